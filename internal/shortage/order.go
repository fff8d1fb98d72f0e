package shortage

import (
	"math"
	"time"
)

const (
	// nearlyDone is the part of its work up to which a late job is nearly completed: what
	// has been done for it is of no use to its caller while it is set aside.
	nearlyDone = 0.5
	// urgencyLate is the slack, as a multiple of a late job's objective, for which its rank
	// falls by a factor of e: it can wait for one that is about to lose its value. The slack
	// is at least urgencyOfBacklog times the backlog, as with a long backlog most of the jobs
	// that get urgent can't be served. With these figures fewest jobs lose their value in
	// replays of both customers' peaks and of random ones.
	urgencyLate      = 2.0
	urgencyOfBacklog = 2.0
)

// The steps between ranks. A density is at most maxValue/minWork, which is 80.
const (
	rankOfFirstHalf = 100
	rankOfPriority  = 1000
	// lowestPriority bounds priorities, so that a rank stays exact.
	lowestPriority = 1_000_000
)

// Rank returns a job's prospect, and its rank within the prospect, lowest first: by
// priority, then by the value per remaining core-second. Late jobs that are nearly done come
// before the others, and the value counts less for late jobs with time left: urgency would
// spend capacity on jobs in time that miss their objective all the same. Jobs without
// value, and overdue ones, rank in the order of acceptance.
func Rank(now time.Time, j Job) (Prospect, float64) {
	prospect := j.Prospect(now)
	if prospect == NoValue || prospect == Overdue {
		return prospect, float64(j.Accepted.UnixMilli())
	}
	rank := rankOfPriority * float64(min(max(j.Priority, 0), lowestPriority))
	if prospect == Late && j.RemainingWork > nearlyDone*j.FullWork {
		rank += rankOfFirstHalf
	}
	density := Density(j.RemainingWork, j.TotalWork, j.MeanWork)
	if prospect == Late {
		density *= j.urgency(now)
	}
	return prospect, rank - density
}

// urgency returns 1 for a late job that must start now to complete with any value, and less
// the longer it can wait.
func (j Job) urgency(now time.Time) float64 {
	slack := NoValueAfter*j.Objective - now.Add(j.CriticalPath).Sub(j.Accepted)
	if slack <= 0 {
		return 1
	}
	return math.Exp(-slack.Seconds() / max(urgencyLate*j.Objective.Seconds(), urgencyOfBacklog*j.Backlog.Seconds()))
}
