package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/platform"
)

const (
	instanceCPU = 8000
	taskCPU     = 1000
	maxLeaseMS  = 10_000
	// pollInterval is how often run times, leases and pending hold calls are
	// checked.
	pollInterval = 5 * time.Millisecond
)

// instance simulates an instance of the platform: it runs tasks under a fencing
// token, a lease and run numbers.
type instance struct {
	checker *checker
	id      string
	mu      sync.Mutex
	// startedAt is the start of the current incarnation.
	startedAt time.Time
	// fence is the highest fencing token of an admitted call.
	fence int64
	// leaseUntil is when the lease expires, in ms of clockMS.
	leaseUntil int64
	// lastEnd is the number of the last ended run.
	lastEnd int64
	// runs holds the running runs by task.
	runs map[string]*taskRun
	// lastRun is the highest run number that was started or stopped, by task.
	lastRun map[string]int
	// unackedEnds holds the ends that no hold call has acknowledged.
	unackedEnds []runEnd
	// runTime is how long each task runs.
	runTime time.Duration
	// startDelay, if not zero, leaves starts unanswered and executes them this much
	// later.
	startDelay time.Duration
}

type taskRun struct {
	id        job.TaskID
	run       int
	startedAt time.Time
}

// runEnd is the end of a run, as listed by hold until it is acknowledged.
type runEnd struct {
	number int64
	task   string
	id     job.TaskID
	run    int
	how    job.End
}

func newInstance(c *checker, id string, runTime time.Duration) *instance {
	i := &instance{checker: c, id: id, runTime: runTime}
	i.restart()
	return i
}

// restart loses all runs and state and starts a new incarnation under the same
// name.
func (i *instance) restart() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for task, r := range i.runs {
		i.checker.ended(i.id, r.id, task, job.EndLost)
	}
	i.startedAt, i.fence, i.leaseUntil, i.lastEnd = time.Now(), 0, 0, 0
	i.runs, i.lastRun, i.unackedEnds = map[string]*taskRun{}, map[string]int{}, nil
}

// clockMS returns the instance's monotonic clock in milliseconds.
func (i *instance) clockMS() int64 { return time.Since(i.startedAt).Milliseconds() + 1000 }

// endDueRuns ends the runs whose lease has expired or whose run time is over. The
// caller holds i.mu.
func (i *instance) endDueRuns() {
	for task, r := range i.runs {
		switch {
		case i.clockMS() > i.leaseUntil:
			i.end(task, r, job.EndLapsed)
		case time.Since(r.startedAt) >= i.runTime:
			i.end(task, r, job.EndDone)
		}
	}
}

func (i *instance) end(task string, r *taskRun, how job.End) {
	delete(i.runs, task)
	i.lastEnd++
	i.unackedEnds = append(i.unackedEnds, runEnd{number: i.lastEnd, task: task, id: r.id, run: r.run, how: how})
	i.checker.ended(i.id, r.id, task, how)
}

// orderBody is the body of all calls: times are in milliseconds, Deadline in ms of
// clockMS.
type orderBody struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fencing_token"`
	Cursor   int64  `json:"ack_cursor"`
	Wait     int64  `json:"wait_ms"`
}

func (i *instance) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", i.orderHandler(i.start))
	mux.HandleFunc("POST /run-stop", i.orderHandler(i.stop))
	mux.HandleFunc("POST /hold", i.orderHandler(i.hold))
	return mux
}

// orderHandler decodes a call and rejects one that is meant for another instance.
func (i *instance) orderHandler(do func(w http.ResponseWriter, r *http.Request, o orderBody)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o orderBody
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.Header.Get("X-Expect-Instance") != i.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		do(w, r, o)
	}
}

func (i *instance) refuse(w http.ResponseWriter, reason string) {
	w.WriteHeader(http.StatusConflict)
	writeJSON(w, map[string]any{"clock_ms": i.clockMS(), "reason": reason})
}

// admit reports whether the call's fencing token is current; if so, it raises the
// fence and extends the lease. The caller holds i.mu.
func (i *instance) admit(o orderBody) bool {
	i.endDueRuns()
	if o.Fence < i.fence {
		return false
	}
	i.fence = o.Fence
	i.leaseUntil = max(i.leaseUntil, min(o.Deadline, i.clockMS()+maxLeaseMS))
	return true
}

func (i *instance) start(w http.ResponseWriter, _ *http.Request, o orderBody) {
	i.mu.Lock()
	delay, startedAt := i.startDelay, i.startedAt
	i.mu.Unlock()
	if delay > 0 {
		time.AfterFunc(delay, func() { i.startUnlessRestarted(startedAt, o) })
		panic(http.ErrAbortHandler)
	}
	if reason := i.startTask(o); reason != "" {
		i.refuse(w, reason)
		return
	}
	writeJSON(w, map[string]any{"clock_ms": i.clockMS()})
}

// startUnlessRestarted executes a delayed start unless the instance has restarted
// since it arrived.
func (i *instance) startUnlessRestarted(startedAt time.Time, o orderBody) {
	i.mu.Lock()
	same := i.startedAt.Equal(startedAt)
	i.mu.Unlock()
	if same {
		i.startTask(o)
	}
}

// startTask starts a run, or returns the reason for which it is refused. A repeated
// start of the same run has no effect.
func (i *instance) startTask(o orderBody) string {
	i.mu.Lock()
	defer i.mu.Unlock()
	id, err := platform.ParseTaskName(o.Task)
	switch {
	case err != nil:
		return "name"
	case !i.admit(o):
		return "fence"
	}
	if r := i.runs[o.Task]; r != nil && r.run == o.Run {
		return ""
	}
	switch {
	case o.Run <= i.lastRun[o.Task]:
		return "old"
	case o.Deadline <= i.clockMS():
		return "late"
	}
	i.lastRun[o.Task] = o.Run
	i.runs[o.Task] = &taskRun{id: id, run: o.Run, startedAt: time.Now()}
	i.checker.started(i.id, id, o.Task, o.Run, o.Spec)
	if used := len(i.runs) * taskCPU; used > instanceCPU {
		i.checker.overCapacity(i.id, used, instanceCPU)
	}
	return ""
}

func (i *instance) stop(w http.ResponseWriter, _ *http.Request, o orderBody) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.admit(o) {
		i.refuse(w, "fence")
		return
	}
	i.lastRun[o.Task] = max(i.lastRun[o.Task], o.Run)
	if r := i.runs[o.Task]; r != nil && r.run == o.Run {
		i.end(o.Task, r, job.EndStopped)
	}
	writeJSON(w, map[string]any{"clock_ms": i.clockMS()})
}

// hold lists the running and ended runs. It waits up to wait_ms for an end to
// list.
func (i *instance) hold(w http.ResponseWriter, r *http.Request, o orderBody) {
	deadline := time.Now().Add(time.Duration(o.Wait) * time.Millisecond)
	i.mu.Lock()
	startedAt := i.startedAt
	i.mu.Unlock()
	for {
		i.mu.Lock()
		if i.startedAt != startedAt {
			// The incarnation that received the call has ended, and its connections
			// with it.
			i.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		admitted := i.admit(o)
		if admitted {
			i.discardAcked(o.Cursor)
		}
		if !admitted || len(i.unackedEnds) > 0 || !time.Now().Before(deadline) || r.Context().Err() != nil {
			i.writeListing(w, admitted)
			i.mu.Unlock()
			return
		}
		i.mu.Unlock()
		time.Sleep(pollInterval)
	}
}

// discardAcked drops the ends up to the acknowledged number. The caller holds i.mu.
func (i *instance) discardAcked(cursor int64) {
	var kept []runEnd
	for _, e := range i.unackedEnds {
		switch {
		case e.number > cursor:
			kept = append(kept, e)
		case e.how == job.EndDone:
			i.checker.endAcknowledged(e.task)
		}
	}
	i.unackedEnds = kept
}

func (i *instance) writeListing(w http.ResponseWriter, admitted bool) {
	if !admitted {
		i.refuse(w, "fence")
		return
	}
	running, ended := [][]any{}, [][]any{}
	for task, r := range i.runs {
		running = append(running, []any{task, r.run, "", int(100 * time.Since(r.startedAt) / i.runTime), taskCPU})
	}
	for _, e := range i.unackedEnds {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	writeJSON(w, map[string]any{"clock_ms": i.clockMS(), "born": i.startedAt.UnixMilli(), "running": running, "ended_runs": ended})
}
