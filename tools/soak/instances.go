package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/platform"
	"github.com/beryltide/beryltide/tools/internal/storeserver"
)

const (
	maxLeaseMS = 10_000
	// pollInterval is how often run times, leases and pending hold calls are
	// checked.
	pollInterval = 5 * time.Millisecond
	// endsPerListing is how many ends a listing holds at most.
	endsPerListing = 500
)

// instance simulates an instance of the platform: it runs tasks under a fencing
// token, a lease and run numbers.
type instance struct {
	checker    *checker
	gangs      *gangs
	id         string
	pool       string
	dataCentre string
	// address is that of the proxy in front of the instance.
	address string
	mu      sync.Mutex
	// cpu and label are those of the current incarnation's kind.
	cpu   int
	label string
	// drainingSince is when the instance reported that it drains; zero if it doesn't.
	drainingSince time.Time
	// startedAt is the start of the current incarnation, and listed whether it has
	// answered a hold call.
	startedAt time.Time
	listed    bool
	// fence is the highest fencing token of an admitted call.
	fence int64
	// leaseUntil is when the lease expires, in ms of clockMS.
	leaseUntil int64
	// lastEnd is the number of the last ended run.
	lastEnd int64
	// runs holds the running runs by task.
	runs map[job.TaskID]*taskRun
	// lastRun is the highest run number that was started or stopped, by task.
	lastRun map[job.TaskID]int
	// unackedEnds holds the ends that no hold call has acknowledged.
	unackedEnds []runEnd
	// runTime is how long each task runs.
	runTime time.Duration
	// startDelay, if not zero, leaves starts unanswered and executes them this much
	// later.
	startDelay time.Duration
	// delayed counts the starts that were left unanswered, restarts the restarts, early
	// the runs that started before their incarnation had answered a hold call.
	delayed, restarts, early int
	// holds counts the hold calls.
	holds int
}

type taskRun struct {
	id        job.TaskID
	run       int
	plan      *jobPlan
	startedAt time.Time
	// how is how the run has ended.
	how job.End
}

func (r *taskRun) step() *stepPlan { return &r.plan.steps[r.id.Step] }

// duration returns how long the run works, where the seed's other tasks take runTime.
func (r *taskRun) duration(runTime time.Duration) time.Duration {
	if r.plan.runTime > 0 {
		return r.plan.runTime
	}
	return runTime
}

// percent returns the run's progress: long-running tasks are at work at once.
func (r *taskRun) percent(runTime time.Duration) int {
	if r.step().longRunning {
		return 100
	}
	return int(100 * time.Since(r.startedAt) / r.duration(runTime))
}

// fails reports whether the run is one that fails; of a gang, some of its members may end
// broken then.
func (r *taskRun) fails() bool { return r.run <= r.plan.failures }

// endsLater returns how much later than the first member of its gang the run ends.
func (r *taskRun) endsLater() time.Duration {
	if r.plan.failing == nil || !r.fails() {
		return 0
	}
	return r.plan.failing.apart * time.Duration(r.id.Index) / time.Duration(max(r.step().count-1, 1))
}

// outcome returns how the run ends by itself.
func (r *taskRun) outcome() job.End {
	switch {
	case !r.fails():
		return job.EndDone
	case r.plan.failing != nil && r.id.Index%r.plan.failing.failEach > 0:
		return job.EndBroken
	}
	return job.EndFailed
}

// runEnd is the end of a run, as listed by hold until it is acknowledged.
type runEnd struct {
	number int64
	*taskRun
}

// usedCPU returns what the runs use. The caller holds i.mu.
func (i *instance) usedCPU() int {
	used := 0
	for _, r := range i.runs {
		used += r.step().cpu
	}
	return used
}

// endDueRuns ends the runs whose lease has expired or whose run time is over. The
// caller holds i.mu.
func (i *instance) endDueRuns() {
	for _, r := range i.runs {
		switch {
		case i.clockMS() > i.leaseUntil:
			i.end(r, job.EndLapsed)
		case r.step().gang:
			if how := i.gangs.end(r, i.runTime); how != "" {
				i.end(r, how)
			}
		case time.Since(r.startedAt) >= r.duration(i.runTime):
			i.end(r, r.outcome())
		}
	}
}

func (i *instance) end(r *taskRun, how job.End) {
	delete(i.runs, r.id)
	i.lastEnd++
	r.how = how
	i.unackedEnds = append(i.unackedEnds, runEnd{number: i.lastEnd, taskRun: r})
	i.gangs.left(r, how)
	i.checker.ended(i, r, how)
	if how == job.EndFailed {
		i.checker.failed(r.id, r.run, false)
	}
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
	// calls is the start of the incarnation to which the call's connection was opened.
	calls time.Time
}

func (i *instance) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", i.orderHandler(i.start))
	mux.HandleFunc("POST /run-stop", i.orderHandler(i.stop))
	mux.HandleFunc("POST /hold", i.orderHandler(i.hold))
	return mux
}

// incarnationKey is the key of a connection's context value: the start of the
// incarnation to which it was opened.
type incarnationKey struct{}

func (i *instance) connContext(ctx context.Context, _ net.Conn) context.Context {
	i.mu.Lock()
	defer i.mu.Unlock()
	return context.WithValue(ctx, incarnationKey{}, i.startedAt)
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
		o.calls, _ = r.Context().Value(incarnationKey{}).(time.Time)
		do(w, r, o)
	}
}

func (i *instance) refuse(w http.ResponseWriter, reason string) {
	w.WriteHeader(http.StatusConflict)
	storeserver.WriteJSON(w, map[string]any{"clock_ms": i.clockMS(), "reason": reason})
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
	delay := i.startDelay
	if delay > 0 {
		i.delayed++
	}
	i.mu.Unlock()
	if delay > 0 {
		time.AfterFunc(delay, func() { i.startTask(o) })
		panic(http.ErrAbortHandler)
	}
	switch reason := i.startTask(o); reason {
	case "":
	case restartedReason:
		panic(http.ErrAbortHandler)
	default:
		i.refuse(w, reason)
		return
	}
	storeserver.WriteJSON(w, map[string]any{"clock_ms": i.clockMS()})
}

// restartedReason is the reason for which startTask refuses a start that a former
// incarnation has taken.
const restartedReason = "restarted"

// startTask starts a run, or returns the reason for which it is refused. A repeated
// start of the same run has no effect.
func (i *instance) startTask(o orderBody) string {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.startedAt.Equal(o.calls) {
		return restartedReason
	}
	id, err := platform.ParseTaskName(o.Task)
	plan := i.checker.plan(id.Job)
	switch {
	case err != nil, plan == nil, id.Step >= len(plan.steps), id.Index >= plan.steps[id.Step].count:
		i.checker.report("%s at %s: no such task", o.Task, i.id)
		return "name"
	case !i.admit(o):
		return "fence"
	}
	if r := i.runs[id]; r != nil && r.run == o.Run {
		return ""
	}
	switch {
	case o.Run <= i.lastRun[id]:
		return "old"
	case o.Deadline <= i.clockMS():
		return "late"
	}
	r := &taskRun{id: id, run: o.Run, plan: plan, startedAt: time.Now()}
	i.lastRun[id], i.runs[id] = o.Run, r
	if !i.listed {
		i.early++
	}
	i.gangs.joined(r)
	i.checker.started(i, id, o.Run, o.Spec)
	return ""
}

func (i *instance) stop(w http.ResponseWriter, _ *http.Request, o orderBody) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.startedAt.Equal(o.calls) {
		panic(http.ErrAbortHandler)
	}
	id, err := platform.ParseTaskName(o.Task)
	if err != nil || !i.admit(o) {
		i.refuse(w, "fence")
		return
	}
	i.lastRun[id] = max(i.lastRun[id], o.Run)
	if r := i.runs[id]; r != nil && r.run == o.Run {
		i.end(r, job.EndStopped)
	}
	storeserver.WriteJSON(w, map[string]any{"clock_ms": i.clockMS()})
}

// hold lists the running and ended runs. It waits up to wait_ms for an end to
// list.
func (i *instance) hold(w http.ResponseWriter, r *http.Request, o orderBody) {
	deadline := time.Now().Add(time.Duration(o.Wait) * time.Millisecond)
	i.mu.Lock()
	i.holds++
	i.mu.Unlock()
	for {
		i.mu.Lock()
		if !i.startedAt.Equal(o.calls) {
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
			i.checker.endAcknowledged(i, e.id)
		case e.how == job.EndFailed:
			i.checker.failed(e.id, e.run, true)
		}
	}
	i.unackedEnds = kept
}

func (i *instance) writeListing(w http.ResponseWriter, admitted bool) {
	if !admitted {
		i.refuse(w, "fence")
		return
	}
	i.listed = true
	running, ended := [][]any{}, [][]any{}
	for id, r := range i.runs {
		running = append(running, []any{platform.TaskName(id), r.run, "", r.percent(i.runTime), r.step().cpu})
	}
	for _, e := range i.unackedEnds[:min(len(i.unackedEnds), endsPerListing)] {
		ended = append(ended, []any{e.number, platform.TaskName(e.id), e.run, e.how, ""})
	}
	storeserver.WriteJSON(w, map[string]any{"clock_ms": i.clockMS(), "born": i.startedAt.UnixMilli(), "running": running, "ended_runs": ended})
}
