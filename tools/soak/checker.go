package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/beryltide/beryltide/internal/job"
)

// checker checks the system's promises against what callers and instances
// observe: no two runs of a task at once, no run of a refused, cancelled or
// finished task, steps in order, instances within their capacity, and job states
// that never go back. Its methods may be called concurrently.
type checker struct {
	mu   sync.Mutex
	jobs map[string]*jobRecord
	// runsOf holds the number of each task's running run, by task and instance.
	runsOf map[string]map[string]int
	// acknowledgedAt is when the end of a done task was acknowledged to its
	// instance.
	acknowledgedAt map[string]time.Time
	// violations holds the broken promises, each with its time since the start.
	violations []string
	startedAt  time.Time
	// startCount and endCount are the numbers of runs started and ended.
	startCount, endCount int
}

// jobRecord is what callers and instances have observed of one job.
type jobRecord struct {
	payload string
	// counts holds the number of tasks of each step.
	counts []int
	// mayRun is false once the answer to every attempt of the submission was that
	// the job never runs.
	mayRun      bool
	acceptedAt  time.Time
	cancelledAt time.Time
	lastState   job.State
	doneTasks   map[int]map[int]bool
}

// cancelTimeout is how long after an acknowledged cancellation a task may still
// start: the 3 s promised to users, and the leases that a takeover under faults
// waits for.
const cancelTimeout = 12 * time.Second

func newChecker() *checker {
	return &checker{jobs: map[string]*jobRecord{}, runsOf: map[string]map[string]int{}, acknowledgedAt: map[string]time.Time{}, startedAt: time.Now()}
}

// violation records a broken promise. The caller holds c.mu.
func (c *checker) violation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%7.3f s  ", time.Since(c.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// violationTexts returns a copy of the violations so far.
func (c *checker) violationTexts() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// submitted records a submission before its first attempt.
func (c *checker) submitted(id, payload string, counts []int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[id] == nil {
		c.jobs[id] = &jobRecord{payload: payload, counts: counts, mayRun: true, doneTasks: map[int]map[int]bool{}}
	}
}

// answered records the final result of a submission: refused means that the
// answer to every attempt was that the job never runs.
func (c *checker) answered(id string, accepted, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := c.jobs[id]
	if accepted {
		rec.acceptedAt = time.Now()
	}
	rec.mayRun = !refused
	if refused {
		for task := range c.runsOf {
			if len(task) > len(id) && task[:len(id)] == id {
				c.violation("%s ran, but its caller got the answer that the job never runs", task)
			}
		}
	}
}

// cancelAcked records that a cancellation was acknowledged.
func (c *checker) cancelAcked(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[id].cancelledAt.IsZero() {
		c.jobs[id].cancelledAt = time.Now()
	}
}

// started checks and records the start of a run at an instance, with the payload
// that the instance received.
func (c *checker) started(instanceID string, id job.TaskID, task string, run int, payload string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startCount++
	rec := c.jobs[id.Job]
	switch {
	case rec == nil:
		c.violation("%s run %d at %s: no such job was submitted", task, run, instanceID)
		return
	case rec.payload != payload:
		c.violation("%s run %d at %s: the payload differs from the submitted one", task, run, instanceID)
	case !rec.mayRun:
		c.violation("%s run %d at %s: its caller got the answer that the job never runs", task, run, instanceID)
	case !rec.cancelledAt.IsZero() && time.Since(rec.cancelledAt) > cancelTimeout:
		c.violation("%s run %d at %s: the job was cancelled %s earlier", task, run, instanceID, time.Since(rec.cancelledAt))
	case !c.acknowledgedAt[task].IsZero():
		c.violation("%s run %d at %s: the task was done and its end acknowledged", task, run, instanceID)
	}
	for other, number := range c.runsOf[task] {
		c.violation("%s run %d at %s: run %d is still running at %s", task, run, instanceID, number, other)
	}
	if id.Step > 0 && len(rec.doneTasks[id.Step-1]) < rec.counts[id.Step-1] {
		c.violation("%s run %d at %s: step %d isn't done", task, run, instanceID, id.Step-1)
	}
	if c.runsOf[task] == nil {
		c.runsOf[task] = map[string]int{}
	}
	c.runsOf[task][instanceID] = run
}

// ended records the end of a run at an instance.
func (c *checker) ended(instanceID string, id job.TaskID, task string, how job.End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endCount++
	delete(c.runsOf[task], instanceID)
	if rec := c.jobs[id.Job]; rec != nil && how == job.EndDone {
		if rec.doneTasks[id.Step] == nil {
			rec.doneTasks[id.Step] = map[int]bool{}
		}
		rec.doneTasks[id.Step][id.Index] = true
	}
}

// endAcknowledged records that the end of a done task was acknowledged.
func (c *checker) endAcknowledged(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.acknowledgedAt[task].IsZero() {
		c.acknowledgedAt[task] = time.Now()
	}
}

// overCapacity records that an instance's runs exceed its capacity.
func (c *checker) overCapacity(instanceID string, used, capacity int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violation("%s: runs use %d of its %d CPU units", instanceID, used, capacity)
}

// stateRank orders job states: the state that callers get never goes back.
var stateRank = map[job.State]int{job.Queued: 1, job.Running: 2, job.Completed: 3, job.Failed: 3, job.Cancelled: 3}

// stateReturned checks and records a job's state as returned to a caller; ""
// stands for status 410, no such job.
func (c *checker) stateReturned(id string, state job.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := c.jobs[id]
	if state == "" {
		if !rec.acceptedAt.IsZero() {
			c.violation("%s was accepted and is reported not to exist", id)
		}
		return
	}
	if stateRank[state] < stateRank[rec.lastState] || stateRank[rec.lastState] == 3 && state != rec.lastState {
		c.violation("%s changed from %s to %s", id, rec.lastState, state)
	}
	if state == job.Completed {
		for step, count := range rec.counts {
			if len(rec.doneTasks[step]) < count {
				c.violation("%s is reported completed with %d of %d tasks of step %d done", id, len(rec.doneTasks[step]), count, step)
			}
		}
	}
	rec.lastState = state
}

// unfinished returns the accepted jobs of which no caller got a final state.
func (c *checker) unfinished() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for id, rec := range c.jobs {
		if !rec.acceptedAt.IsZero() && stateRank[rec.lastState] < 3 {
			out = append(out, id)
		}
	}
	return out
}
