package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/job"
)

const (
	// cordonTTL is how long a release holds without being repeated.
	cordonTTL = 3 * time.Second
	// orderSettles is how long an order of a former owner may take to arrive; what
	// it stops then is listed as running for the platform's time for a stop.
	orderSettles = 500 * time.Millisecond
	// emptyPatience is how long tasks may take to end by themselves.
	emptyPatience = 4 * time.Second
)

func (a *agent) cordoned(now time.Time) bool { return now.Sub(a.cordonedAt) < cordonTTL }

// Release keeps new tasks from instances, moves their lasting tasks as far as
// the steps may miss them, and returns those that are empty.
func (u *Unit) Release(ctx context.Context, ids []string) (empty []string, err error) {
	failed := u.ask(ctx, func() {
		// Two owners would each stop as many lasting tasks as a step may miss.
		if !u.holds() || !u.loaded || !u.Sole(u.tenure) {
			err = ErrNotReady
			return
		}
		now := time.Now()
		for _, id := range ids {
			// Of an instance that isn't known nothing is known to run.
			if a := u.agents[id]; a == nil || u.release(a, now) {
				empty = append(empty, id)
			}
		}
	})
	if failed != nil {
		return nil, failed
	}
	return empty, err
}

func (u *Unit) release(a *agent, now time.Time) bool {
	if !a.cordoned(now) {
		a.cordonedSince = now
		u.Logger.Info("instance.cordoned", zap.String("instance", a.reg.ID), zap.Int("runs", len(a.runs)))
	}
	a.cordonedAt = now
	if !a.reconciled {
		return false
	}
	for id, r := range a.runs {
		switch {
		case r.stopping || r.resolvedAt.IsZero():
		case r.step.Lasting && u.mayStop(id, r):
			u.sendStop(a, id, r, "maintenance")
		case !r.step.Lasting && now.Sub(a.cordonedSince) > emptyPatience:
			u.sendStop(a, id, r, "maintenance")
		}
	}
	return len(a.runs) == 0 && a.strays == 0
}

// mayStop says whether a lasting task's step can spare it: fewer of the others
// than it may miss are away.
func (u *Unit) mayStop(id job.TaskID, r *run) bool {
	if r.step.MayMiss == 0 {
		return true
	}
	e := u.jobs[id.Job]
	if e == nil {
		return true
	}
	away := 0
	for index := range r.step.Count {
		other := id
		other.Index = index
		if index != id.Index && !u.atWork(e, other) {
			away++
		}
	}
	return away < r.step.MayMiss
}

// atWork says whether a lasting task is known to serve.
func (u *Unit) atWork(e *entry, id job.TaskID) bool {
	t := e.job.Task(id)
	if t == nil || t.Phase != job.Placed {
		return false
	}
	a := u.agents[t.Placement.Instance]
	if a == nil || a.failing || time.Since(a.reconciledAt) < orderSettles+u.Bounds.StopTimeout {
		// What a former owner has just stopped there is still listed as running.
		return false
	}
	r := a.runs[id]
	return r != nil && !r.stopping && r.percent >= atWorkPercent
}
