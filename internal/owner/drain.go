package owner

import (
	"time"
)

// drainGrace is how long a task may still take at an instance that leaves:
// it goes on for at least two seconds after it said so.
const drainGrace = 1500 * time.Millisecond

// evacuateDraining stops, at instances that leave, what would be lost with them
// and wait for its lease there: lasting tasks, and long ones with checkpoints.
func (u *Unit) evacuateDraining(now time.Time) {
	for _, sess := range u.agents {
		if !sess.listed || !sess.reg.Draining || sess.unreachable {
			continue
		}
		for id, r := range sess.runs {
			if r.stopping || r.resolvedAt.IsZero() {
				continue
			}
			if r.step.Lasting || r.step.Checkpointing && r.timeLeft(now) > drainGrace {
				u.sendStop(sess, id, r, "instance leaves")
			}
		}
	}
}

// timeLeft is how long a run still takes at its pace so far.
func (r *run) timeLeft(now time.Time) time.Duration {
	if r.percent <= 0 {
		return r.step.Estimate
	}
	return now.Sub(r.startedAt) / time.Duration(r.percent) * time.Duration(100-r.percent)
}
