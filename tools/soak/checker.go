package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/beryltide/beryltide/internal/job"
)

// checker checks the system's promises against what callers and instances observe,
// and counts what each judge has judged. Its methods may be called concurrently.
type checker struct {
	sentTo     func(q *queue, pool string) bool
	movedSince func(q *queue, t time.Time) bool

	mu   sync.Mutex
	jobs map[string]*jobRecord
	// runsOf holds the runs of each task, by instance.
	runsOf map[job.TaskID]map[string]*observedRun
	// acknowledgedAt is when the end of a done task was acknowledged to its instance.
	acknowledgedAt map[job.TaskID]time.Time
	// failedRuns holds the run numbers that ended failed, by task or gang, and
	// whether the end has been acknowledged.
	failedRuns map[job.TaskID]map[int]bool
	// failedMembers counts by job and run the members of a gang that ended failed.
	failedMembers map[string]map[int]int
	// drainingSince is when the first instance began to drain.
	drainingSince time.Time
	// clocksOff tells whether daemons' clocks are off, and clocksChangedAt since when it does.
	clocksOff       bool
	clocksChangedAt time.Time
	// teamCPU is what the team has running.
	teamCPU int
	// violations holds the broken promises, each with its time since the start.
	violations []string
	startedAt  time.Time
	counts     counts
}

// observedRun is a run that is under way.
type observedRun struct {
	run  int
	step *stepPlan
}

// jobRecord is what callers and instances have observed of one job.
type jobRecord struct {
	*jobPlan
	// mayRun is false once the answer to every attempt of the submission was that
	// the job never runs.
	mayRun      bool
	acceptedAt  time.Time
	cancelledAt time.Time
	lastState   job.State
	doneTasks   map[[2]int]map[int]bool
}

func newChecker() *checker {
	return &checker{
		jobs: map[string]*jobRecord{}, runsOf: map[job.TaskID]map[string]*observedRun{}, acknowledgedAt: map[job.TaskID]time.Time{},
		failedRuns: map[job.TaskID]map[int]bool{}, failedMembers: map[string]map[int]int{}, startedAt: time.Now(),
		counts: counts{kinds: map[jobKind]int{}, drawn: map[string]int{}, effective: map[string]int{}, exercised: map[judge]int{}},
	}
}

// violation records a broken promise. The caller holds c.mu.
func (c *checker) violation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%7.3f s  ", time.Since(c.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// report records a broken promise.
func (c *checker) report(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violation(format, args...)
}

// exercise records that a judge has judged something.
func (c *checker) exercise(j judge) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.exercised[j]++
}

// judged returns how much a judge has judged.
func (c *checker) judged(j judge) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts.exercised[j]
}

// drew and tookEffect count a fault.
func (c *checker) drew(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.drawn[kind]++
}

func (c *checker) tookEffect(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.effective[kind]++
}

// seenEffect reports whether a fault of a kind has taken effect.
func (c *checker) seenEffect(kind string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts.effective[kind] > 0
}

// result returns a copy of the violations and the counts so far.
func (c *checker) result() ([]string, counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.counts
	n.accepted, n.completed, n.kinds = 0, 0, map[jobKind]int{}
	for _, rec := range c.jobs {
		if !rec.acceptedAt.IsZero() {
			n.accepted++
			n.kinds[rec.kind]++
		}
		if rec.lastState == job.Completed {
			n.completed++
		}
	}
	return append([]string(nil), c.violations...), n
}

// submitted records a submission before its first attempt.
func (c *checker) submitted(p *jobPlan) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[p.id] == nil {
		c.jobs[p.id] = &jobRecord{jobPlan: p, mayRun: true, doneTasks: map[[2]int]map[int]bool{}}
	}
}

// plan returns a submitted job, or nil.
func (c *checker) plan(id string) *jobPlan {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rec := c.jobs[id]; rec != nil {
		return rec.jobPlan
	}
	return nil
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
	if !refused {
		return
	}
	c.counts.exercised[judgeRefused]++
	for task := range c.runsOf {
		if task.Job == id {
			c.violation("%v ran, but its caller got the answer that the job never runs", task)
		}
	}
}

// cancelAcked records that a cancellation was acknowledged.
func (c *checker) cancelAcked(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rec := c.jobs[id]; rec.cancelledAt.IsZero() {
		rec.cancelledAt = time.Now()
		if stateRank[rec.lastState] < 3 {
			c.counts.exercised[judgeCancelled]++
		}
	}
}

// ended records the end of a run at an instance.
func (c *checker) ended(at *instance, r *taskRun, how job.End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if observed := c.runsOf[r.id][at.id]; observed != nil {
		c.teamCPU -= observed.step.cpu
	}
	delete(c.runsOf[r.id], at.id)
	rec := c.jobs[r.id.Job]
	if rec == nil || how != job.EndDone {
		return
	}
	key := [2]int{r.id.Occurrence, r.id.Step}
	if rec.doneTasks[key] == nil {
		rec.doneTasks[key] = map[int]bool{}
	}
	rec.doneTasks[key][r.id.Index] = true
	for index := range rec.steps[r.id.Step].count {
		if rec.steps[r.id.Step].gang {
			rec.doneTasks[key][index] = true
		}
	}
}

// failed records that a run has ended failed, or that this end was acknowledged.
func (c *checker) failed(id job.TaskID, run int, acknowledged bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rec := c.jobs[id.Job]; rec != nil && rec.kind == failingGang && !acknowledged {
		if c.failedMembers[id.Job] == nil {
			c.failedMembers[id.Job] = map[int]int{}
		}
		c.failedMembers[id.Job][run]++
	}
	id = c.attemptKey(id)
	if c.failedRuns[id] == nil {
		c.failedRuns[id] = map[int]bool{}
	}
	c.failedRuns[id][run] = c.failedRuns[id][run] || acknowledged
}

// attemptKey returns the task whose attempts count: for members of a gang the first
// one. The caller holds c.mu.
func (c *checker) attemptKey(id job.TaskID) job.TaskID {
	if rec := c.jobs[id.Job]; rec != nil && rec.steps[id.Step].gang {
		id.Index = 0
	}
	return id
}

// endAcknowledged records that the end of a done task was acknowledged to an instance.
func (c *checker) endAcknowledged(at *instance, id job.TaskID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.exercised[judgeAcked]++
	if at.restarts > 1 {
		c.counts.exercised[judgeAckedAfterRestart]++
	}
	if c.acknowledgedAt[id].IsZero() {
		c.acknowledgedAt[id] = time.Now()
	}
}

// stateRank orders job states: the state that callers get never goes back.
var stateRank = map[job.State]int{job.Queued: 1, job.Running: 2, job.Completed: 3, job.Failed: 3, job.Cancelled: 3}

// stateReturned checks and records a job's state as returned to a caller; ""
// stands for status 410, no such job.
func (c *checker) stateReturned(id string, state job.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := c.jobs[id]
	c.counts.exercised[judgeKnown]++
	if !rec.acceptedAt.IsZero() && c.movedSince(rec.queue, rec.acceptedAt) {
		c.counts.exercised[judgeMoved]++
	}
	if state == "" {
		if !rec.acceptedAt.IsZero() {
			c.violation("%s (%s) was accepted and is reported not to exist", id, rec.queue.name)
		}
		return
	}
	if stateRank[state] < stateRank[rec.lastState] || stateRank[rec.lastState] == 3 && state != rec.lastState {
		c.violation("%s changed from %s to %s", id, rec.lastState, state)
	}
	if rec.lastState != "" {
		c.counts.exercised[judgeStates]++
	}
	if rec.lastState != state && state == job.Failed {
		c.checkFailed(rec)
	}
	if rec.lastState != state && state == job.Completed {
		c.checkCompleted(rec)
	}
	rec.lastState = state
}

// checkFailed checks that a task or gang of a failed job has failed often enough.
func (c *checker) checkFailed(rec *jobRecord) {
	most := 0
	for id, runs := range c.failedRuns {
		if id.Job == rec.id {
			most = max(most, len(runs))
		}
	}
	c.counts.exercised[judgeAttempts]++
	if most < rec.queue.maxAttempts {
		c.violation("%s (%s) is reported failed after %d failed runs of a task, of %d", rec.id, rec.kind, most, rec.queue.maxAttempts)
	}
}

func (c *checker) checkCompleted(rec *jobRecord) {
	for occurrence := range max(rec.occurrences, 1) {
		for step, s := range rec.steps {
			if done := len(rec.doneTasks[[2]int{occurrence, step}]); done < s.count {
				c.violation("%s is reported completed with %d of %d tasks of step %d done", rec.id, done, s.count, step)
			}
		}
	}
}

// unfinished returns the accepted jobs that have to end and of which no caller got a
// final state.
func (c *checker) unfinished() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for id, rec := range c.jobs {
		if !rec.acceptedAt.IsZero() && rec.mustEnd() && stateRank[rec.lastState] < 3 {
			out = append(out, id)
		}
	}
	return out
}

// beginDrain records that an instance drains from now on.
func (c *checker) beginDrain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainingSince = time.Now()
}
