package owner

import (
	"time"
)

// drainGrace is the remaining run time up to which a task may finish at a
// draining instance, which keeps running for at least two seconds after it
// announced the drain.
const drainGrace = 1500 * time.Millisecond

// evacuateDraining stops, at draining instances, tasks that would otherwise be
// lost with the instance and restart only after its lease has expired:
// long-running tasks, and tasks with checkpoints that can't finish within
// drainGrace.
func (u *Unit) evacuateDraining(now time.Time) {
	for _, sess := range u.sessions {
		if !sess.listed || !sess.reg.Draining || sess.unreachable {
			continue
		}
		for id, r := range sess.runs {
			if r.stopping || r.resolvedAt.IsZero() {
				continue
			}
			if r.step.Lasting || r.step.Checkpointing && r.timeLeft(now) > drainGrace {
				u.sendStop(sess, id, r, "instance is draining")
			}
		}
	}
}

// timeLeft estimates the remaining time of a run from its progress so far.
func (r *run) timeLeft(now time.Time) time.Duration {
	if r.percent <= 0 {
		return r.step.Estimate
	}
	return now.Sub(r.startedAt) / time.Duration(r.percent) * time.Duration(100-r.percent)
}
