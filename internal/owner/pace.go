package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/instance"
	"github.com/beryltide/beryltide/internal/job"
)

// Paces of backfill tasks, in percent of their full speed.
const (
	fullPace = 100
	// paceStep is by how much the pace is raised at a time.
	paceStep = 25
)

// Fractions of a serving task's latency target above which backfill tasks
// beside it are throttled, and below which they may resume.
const (
	throttleAbove = 0.9
	resumeBelow   = 0.6
)

// resumeDelay is how long all serving tasks must stay below resumeBelow before
// a backfill task's pace is raised: load changes within seconds.
const resumeDelay = 3 * time.Second

// throttleBackfill sets the pace of an instance's backfill tasks to 0 while a
// serving task there is above throttleAbove of its latency target, and raises
// their pace again in steps once all have been below resumeBelow for resumeDelay.
func (u *Unit) throttleBackfill(sess *session, running []instance.RunningTask, now time.Time) {
	overThreshold, allBelow := false, true
	for _, t := range running {
		r := sess.runs[t.Task]
		if r == nil || !r.step.Lasting || r.step.Fills || r.step.Target == 0 {
			continue
		}
		latency := time.Duration(t.Load) * time.Millisecond
		overThreshold = overThreshold || float64(latency) > throttleAbove*float64(r.step.Target)
		allBelow = allBelow && float64(latency) < resumeBelow*float64(r.step.Target)
	}
	if !allBelow {
		sess.belowTargetSince = now
	}
	for id, r := range sess.runs {
		if !r.step.Fills || r.stopping || r.resolvedAt.IsZero() {
			continue
		}
		switch {
		case overThreshold && r.pacePercent > 0:
			u.setPace(sess, id, r, 0)
		case !overThreshold && r.pacePercent < fullPace && now.Sub(sess.belowTargetSince) > resumeDelay:
			u.setPace(sess, id, r, min(r.pacePercent+paceStep, fullPace))
			sess.belowTargetSince = now
		}
	}
}

func (u *Unit) setPace(sess *session, id job.TaskID, r *run, percent int) {
	previous := r.pacePercent
	r.pacePercent = percent
	u.Logger.Info("run.paced", zap.String("job", id.Job), zap.Int("run", r.number), zap.String("instance", sess.reg.ID), zap.Int("percent", percent))
	pace := instance.Pace{Incarnation: r.incarnation, Task: id, Run: r.number, Percent: percent, Fence: u.tenure.Epoch}
	sess.enqueue(order{
		send: func(ctx context.Context, at instance.Registration, _ time.Duration) error {
			return u.Instances.Pace(ctx, at, pace)
		},
		done: func(err error) {
			if err != nil && r.pacePercent == percent {
				r.pacePercent = previous
				u.Logger.Warn("run.pace_failed", zap.String("job", id.Job), zap.String("instance", sess.reg.ID), zap.Error(err))
			}
		},
	})
}
