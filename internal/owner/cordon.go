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
	// orderSettleTime is how long an order of a former owner may take to arrive; what
	// it stops then is listed as running for the platform's time for a stop.
	orderSettleTime = 500 * time.Millisecond
	// emptyTimeout is how long tasks may take to end by themselves.
	emptyTimeout = 4 * time.Second
)

func (s *session) cordoned(now time.Time) bool { return now.Sub(s.cordonRenewedAt) < cordonTTL }

// Release keeps new tasks from instances, moves their lasting tasks as far as
// the steps may miss them, and returns those that are empty.
func (u *Unit) Release(ctx context.Context, ids []string) (empty []string, err error) {
	failed := u.do(ctx, func() {
		// Two owners would each stop as many lasting tasks as a step may miss.
		if !u.holds() || !u.loaded || !u.Sole(u.tenure) {
			err = ErrNotReady
			return
		}
		now := time.Now()
		for _, id := range ids {
			// Of an instance that isn't known nothing is known to run.
			if sess := u.agents[id]; sess == nil || u.release(sess, now) {
				empty = append(empty, id)
			}
		}
	})
	if failed != nil {
		return nil, failed
	}
	return empty, err
}

func (u *Unit) release(sess *session, now time.Time) bool {
	if !sess.cordoned(now) {
		sess.cordonedSince = now
		u.Logger.Info("instance.cordoned", zap.String("instance", sess.reg.ID), zap.Int("runs", len(sess.runs)))
	}
	sess.cordonRenewedAt = now
	if !sess.reconciled {
		return false
	}
	for id, r := range sess.runs {
		switch {
		case r.stopping || r.resolvedAt.IsZero():
		case r.step.Lasting && u.canSpare(id, r):
			u.sendStop(sess, id, r, "maintenance")
		case !r.step.Lasting && now.Sub(sess.cordonedSince) > emptyTimeout:
			u.sendStop(sess, id, r, "maintenance")
		}
	}
	return len(sess.runs) == 0 && sess.strays == 0
}

// canSpare says whether a lasting task's step can spare it: fewer of the others
// than it may miss are away.
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

// serving says whether a lasting task is known to serve.
func (u *Unit) serving(e *entry, id job.TaskID) bool {
	task := e.job.Task(id)
	if task == nil || task.Phase != job.Placed {
		return false
	}
	sess := u.agents[task.Placement.Instance]
	if sess == nil || sess.unreachable || time.Since(sess.reconciledAt) < orderSettleTime+u.Bounds.StopTimeout {
		// What a former owner has just stopped there is still listed as running.
		return false
	}
	r := sess.runs[id]
	return r != nil && !r.stopping && r.percent >= servingPercent
}
