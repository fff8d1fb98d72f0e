package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/schedule"
)

const (
	// CordonTTL is how long a cordon lasts after the last release call that names
	// the instance.
	CordonTTL = 3 * time.Second
	// orderSettleTime is how long an order of a former owner may take to arrive. A
	// task stopped by it is still listed as running for up to the platform's stop
	// timeout.
	orderSettleTime = 500 * time.Millisecond
	// emptyTimeout is how long tasks at a cordoned instance, other than
	// long-running ones, may take to end by themselves.
	emptyTimeout = 4 * time.Second
)

func (s *session) cordoned(now time.Time) bool { return now.Sub(s.cordonRenewedAt) < CordonTTL }

// released reports whether the instance was emptied for an order to its machine, so
// that its end is expected.
func (s *session) released(now time.Time) bool { return s.cordoned(now) && len(s.runs) == 0 }

// Release cordons instances, moves their long-running tasks as far as the
// steps' MayMiss allows, and returns the instances that are empty. It returns
// ErrNotReady if the unit can't answer or another daemon may own it.
func (u *Unit) Release(ctx context.Context, ids []string) ([]string, error) {
	return ask(ctx, u, func() ([]string, error) {
		// Two owners would each stop as many long-running tasks as a step may miss.
		if !u.holds() || !u.loaded || !u.Sole(u.tenure) {
			return nil, ErrNotReady
		}
		now := time.Now()
		nodes := map[string][]*schedule.Node{}
		var empty []string
		for _, id := range ids {
			// An instance without a session has no known runs.
			sess := u.sessions[id]
			if sess != nil && nodes[sess.reg.Pool] == nil {
				nodes[sess.reg.Pool] = u.nodes(sess.reg.Pool, now)
			}
			if sess == nil || u.release(sess, nodes[sess.reg.Pool], now) {
				empty = append(empty, id)
			}
		}
		return empty, nil
	})
}

// release cordons an instance, and returns whether it is empty. The nodes are those of its
// pool.
func (u *Unit) release(sess *session, nodes []*schedule.Node, now time.Time) bool {
	if !sess.cordoned(now) {
		sess.cordonedSince = now
		u.Logger.Info("instance.cordoned", zap.String("instance", sess.reg.ID), zap.Int("runs", len(sess.runs)))
	}
	sess.cordonRenewedAt = now
	if !sess.reconciled {
		return false
	}
	held := u.holdsTasks(sess, nodes)
	for id, r := range sess.runs {
		switch {
		case r.stopping || r.resolvedAt.IsZero():
		case r.step.Lasting && u.canSpare(id, r) && (!held || u.hasPlace(id, r, sess, nodes)):
			u.sendStop(sess, id, r, "maintenance")
		case !r.step.Lasting && now.Sub(sess.cordonedSince) > emptyTimeout:
			u.sendStop(sess, id, r, "maintenance")
		}
	}
	return len(sess.runs) == 0 && sess.strays == 0
}

// canSpare reports whether a long-running task may be stopped: fewer than
// MayMiss of the step's other tasks are not serving. With a MayMiss of 0 every
// task may be stopped.
func (u *Unit) canSpare(id job.TaskID, r *run) bool {
	if r.step.MayMiss == 0 {
		return true
	}
	e := u.jobs[id.Job]
	if e == nil {
		return true
	}
	unavailable := 0
	for index := range r.step.Count {
		other := id
		other.Index = index
		if index != id.Index && !u.serving(e, other) {
			unavailable++
		}
	}
	return unavailable < r.step.MayMiss
}

// holdsTasks reports whether an instance can't be emptied, since a long-running task there
// has no place elsewhere and its step can't spare it. Any other one that was stopped without
// a place would stay away for as long.
func (u *Unit) holdsTasks(sess *session, nodes []*schedule.Node) bool {
	for id, r := range sess.runs {
		if r.step.Lasting && !r.stopping && !u.canSpareAll(id, r, sess) && !u.hasPlace(id, r, sess, nodes) {
			return true
		}
	}
	return false
}

// canSpareAll reports whether the step's disruption budget allows all of its tasks at an
// instance to be away at once.
func (u *Unit) canSpareAll(id job.TaskID, r *run, sess *session) bool {
	e := u.jobs[id.Job]
	if r.step.MayMiss == 0 || e == nil {
		return true
	}
	away := 0
	for index := range r.step.Count {
		other := id
		other.Index = index
		if sess.runs[other] != nil || !u.serving(e, other) {
			away++
		}
	}
	return away <= r.step.MayMiss
}

// serving reports whether a long-running task is known to serve.
func (u *Unit) serving(e *entry, id job.TaskID) bool {
	task := e.job.Task(id)
	if task == nil || task.Phase != job.Placed {
		return false
	}
	sess := u.sessions[task.Placement.Instance]
	if sess == nil || sess.unreachable || time.Since(sess.reconciledAt) < orderSettleTime+u.Bounds.StopTimeout {
		// A task that a former owner has just stopped there is still listed as
		// running.
		return false
	}
	r := sess.runs[id]
	return r != nil && !r.stopping && r.percent >= servingPercent
}
