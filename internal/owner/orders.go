package owner

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/instance"
	"github.com/beryltide/beryltide/internal/job"
)

// sendStart sends a recorded start. tries counts the earlier tries that got no
// answer.
func (u *Unit) sendStart(sess *session, id job.TaskID, r *run, ticket string, tries int) {
	e := u.jobs[id.Job]
	if e == nil || sess.runs[id] != r {
		return
	}
	if tries > 0 && !r.resolvedAt.IsZero() {
		return // an earlier try was carried out
	}
	if r.stopping && tries == 0 {
		// The job was cancelled while the start was being recorded: it was never
		// sent.
		u.endRun(sess, id, job.EndLost, "", time.Now())
		return
	}
	if r.stopping {
		u.sendStop(sess, id, r, "start outcome unknown")
		return
	}
	start := instance.Start{
		Incarnation: r.incarnation, Task: id, Run: r.number, Payload: e.job.Submission.Payload, Ticket: ticket, Fence: u.tenure.Epoch,
	}
	if t := e.job.Task(id); t != nil {
		start.Checkpoint = t.Checkpoint
	}
	if r.startedAt.IsZero() {
		r.startedAt = time.Now()
	}
	r.dispatch.Store(startWaits)
	sess.enqueue(order{
		carriesLease: true, incarnation: r.incarnation, starts: r, queuedAt: time.Now(),
		send: func(ctx context.Context, at instance.Registration, lease time.Duration) error {
			start.Lease = lease
			return u.Instances.Start(ctx, at, start)
		},
		done: func(err error) { u.onStarted(sess, id, r, ticket, tries, err) },
	})
}

// onStarted handles the result of a start.
func (u *Unit) onStarted(sess *session, id job.TaskID, r *run, ticket string, tries int, err error) {
	if sess.runs[id] != r {
		return
	}
	now := time.Now()
	switch {
	case err == nil:
		u.Meter.started.Inc(1)
		r.resolvedAt = now
	case errors.Is(err, instance.ErrOldRun):
		// The run has been there. The next poll shows how it ended.
		r.resolvedAt = now
	case errors.Is(err, instance.ErrFenced):
		u.lose("an instance has a newer owner")
	case errors.Is(err, instance.ErrUnknown):
		u.Logger.Warn("start.unanswered", zap.String("job", id.Job), zap.Int("run", r.number), zap.String("instance", sess.reg.ID), zap.Int("try", tries), zap.Error(err))
		sess.countFailure(now)
		u.retryStart(sess, id, r, ticket, tries+1)
	case errors.Is(err, errWithdrawn) && tries == 0:
		if !r.stopping {
			sess.countFailure(now)
		}
		u.endRun(sess, id, job.EndLost, "", now)
	case errors.Is(err, instance.ErrRestarted) && (r.bound || tries == 0):
		sess.onRestarted(r.incarnation, now)
		u.endWithIncarnation(sess, id, r, now)
	case tries > 0:
		// An earlier try may still be carried out.
		u.sendStop(sess, id, r, "start outcome unknown")
	default:
		u.Logger.Info("start.refused", zap.String("job", id.Job), zap.Int("run", r.number), zap.String("instance", sess.reg.ID), zap.Error(err))
		sess.unreachable = sess.unreachable || errors.Is(err, instance.ErrUnsent) || errors.Is(err, instance.ErrGone)
		u.endRun(sess, id, job.EndLost, "", now)
	}
}

func (u *Unit) retryStart(sess *session, id job.TaskID, r *run, ticket string, tries int) {
	if tries >= maxStartAttempts || r.stopping {
		u.sendStop(sess, id, r, "start outcome unknown")
		return
	}
	time.AfterFunc(startRetryDelay, func() {
		u.post(func() { u.sendStart(sess, id, r, ticket, tries) })
	})
}

// sendStop orders the end of a run. If the run isn't there yet, the stop
// prevents its start.
func (u *Unit) sendStop(sess *session, id job.TaskID, r *run, reason string) {
	if !r.stopping {
		u.Logger.Info("run.stop", zap.String("job", id.Job), zap.Int("step", id.Step), zap.Int("index", id.Index), zap.Int("run", r.number), zap.String("instance", sess.reg.ID), zap.String("reason", reason))
	}
	r.stopping, r.stopUnderWay = true, true
	r.stopSentAt = time.Now()
	r.withdraw()
	stop := instance.Stop{Incarnation: r.incarnation, Task: id, Run: r.number, Fence: u.tenure.Epoch}
	sess.enqueue(order{
		send: func(ctx context.Context, at instance.Registration, _ time.Duration) error {
			return u.Instances.Stop(ctx, at, stop)
		},
		done: func(err error) { u.onStopped(sess, id, r, err) },
	})
}

func (u *Unit) onStopped(sess *session, id job.TaskID, r *run, err error) {
	r.stopUnderWay = false
	if sess.runs[id] != r {
		return
	}
	switch {
	case err == nil:
		if r.resolvedAt.IsZero() {
			r.resolvedAt = time.Now()
		}
	case errors.Is(err, instance.ErrRestarted):
		// The next listing ends the run.
		sess.onRestarted(r.incarnation, time.Now())
	case errors.Is(err, instance.ErrFenced):
		u.lose("an instance has a newer owner")
	}
}

// resendStops repeats stops of runs whose end isn't listed.
func (u *Unit) resendStops(now time.Time) {
	for _, sess := range u.sessions {
		if sess.unreachable {
			continue
		}
		for id, r := range sess.runs {
			if r.stopping && !r.stopUnderWay && now.Sub(r.stopSentAt) > stopResendInterval {
				u.sendStop(sess, id, r, "")
			}
		}
	}
}

// stopPlaced stops all runs of a job.
func (u *Unit) stopPlaced(e *entry, reason string) {
	e.job.EachPlaced(func(id job.TaskID, t *job.Task) {
		u.stopRun(id, t.Run, t.Placement.Instance, reason)
	})
}

func (u *Unit) stopRun(id job.TaskID, number int, instanceID, reason string) {
	sess := u.sessions[instanceID]
	if sess == nil {
		return
	}
	if r := sess.runs[id]; r != nil && r.number == number {
		if r.resolvedAt.IsZero() && r.startedAt.IsZero() {
			// The start hasn't been sent yet. sendStart ends the run when it sees
			// stopping.
			r.stopping, r.stopSentAt = true, time.Now()
			return
		}
		u.sendStop(sess, id, r, reason)
	}
}

// stopStray stops a run that the unit has no record of.
func (u *Unit) stopStray(sess *session, t instance.RunningTask) {
	u.Logger.Warn("run.stray", zap.String("job", t.Task.Job), zap.Int("run", t.Run), zap.String("instance", sess.reg.ID))
	stop := instance.Stop{Incarnation: sess.incarnation, Task: t.Task, Run: t.Run, Fence: u.tenure.Epoch}
	sess.enqueue(order{
		send: func(ctx context.Context, at instance.Registration, _ time.Duration) error {
			return u.Instances.Stop(ctx, at, stop)
		},
		done: func(err error) {
			if err != nil {
				u.Logger.Warn("run.stray_not_stopped", zap.String("job", t.Task.Job), zap.String("instance", sess.reg.ID), zap.Error(err))
			}
		},
	})
}

// adoptPlaced takes over the runs that former owners started.
func (u *Unit) adoptPlaced() {
	now := time.Now()
	for _, e := range u.jobs {
		e.job.EachPlaced(func(id job.TaskID, t *job.Task) {
			sess := u.sessions[t.Placement.Instance]
			if sess == nil {
				sess = u.newSession(instance.Registration{ID: t.Placement.Instance}, false)
			}
			step := e.job.Step(id)
			u.allowances.add(e.job.Submission, step)
			// The run counts as resolved: the first poll raises the fence, so no start
			// of a former owner can be carried out after it.
			r := &run{number: t.Run, need: step.Allocation(), step: step, resolvedAt: now, stopping: !e.job.Active(), pacePercent: fullPace}
			r.dispatch.Store(startSent) // or never, if its owner had no time for it
			if t.Placement.Bound {
				r.incarnation, r.bound = t.Placement.Incarnation, true
			}
			u.succeedsUnbound = u.succeedsUnbound || !t.Placement.Bound
			sess.addRun(id, r)
		})
	}
}
