package schedule

import (
	"time"
)

// noValueAfter times its objective is when a job's completion earns nothing.
const noValueAfter = 3

// Outlook is what decides a job's turn.
type Outlook struct {
	Accepted  time.Time
	Objective time.Duration
	// Chain is the longest chain of work that the job still has.
	Chain time.Duration
	// Work is what the job still needs, in core-seconds.
	Work float64
	// Whole is what the job needs as a whole, in core-seconds.
	Whole float64
	// MeanWork is the mean of the job's queue.
	MeanWork float64
	// Backlog is for how long the pool's waiting work keeps all its room busy.
	Backlog time.Duration
}

// overloadBacklog is the backlog from which not all jobs can be in time, and the
// worth of a core-second counts; below it the job with the least time left goes
// first.
const overloadBacklog = time.Second

// Shares of a job's worth that come from its completion alone and from its
// size against the mean, as the users count them; the largest count as four.
const (
	baseValue = 0.3
	sizeValue = 0.7
	maxValue  = 4.0
)

// Rank returns a job's class and its rank in it. With little waiting the job
// with the least time left goes first; in a peak, the one that earns most for a
// core-second. A job that can't be in time any more stands behind those that can.
func Rank(now time.Time, o Outlook) (Class, float64) {
	value := baseValue
	if o.MeanWork > 0 {
		value += sizeValue * o.Whole / o.MeanWork
	}
	density := min(value, maxValue) / max(o.Work, minWork)
	latency := now.Add(o.Chain).Sub(o.Accepted)
	switch {
	case latency <= o.Objective:
		if o.Backlog < overloadBacklog {
			return InTime, (o.Objective - latency).Seconds()
		}
		return InTime, -density
	case latency <= noValueAfter*o.Objective:
		return Late, -density
	}
	return Worthless, float64(o.Accepted.UnixMilli())
}

// minWork keeps a job that is nearly done from ranking without bound.
const minWork = 0.05
