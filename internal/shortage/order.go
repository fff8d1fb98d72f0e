package shortage

import (
	"math"
	"time"
)

const (
	// nearlyDone is the part of its work up to which a job is nearly completed: what has
	// been done for it is of no use to its caller while it is set aside.
	nearlyDone = 0.5
	// urgencyInTime and urgencyLate are the slack, as a multiple of a job's objective,
	// for which its rank falls by a factor of e: a job with much time left can wait for
	// one that would miss its objective, and a late one for one that is about to lose
	// its value. The slack is at least urgencyOfBacklog times the backlog, as with a long
	// backlog most of the jobs that get urgent can't be served. With these figures fewest
	// jobs lose their value in replays of both customers' peaks and of random ones.
	urgencyInTime    = 4.0
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
// priority, then jobs that are nearly done, then by the value per remaining core-second,
// less for jobs with time left. Jobs without value, and overdue ones, rank in the order of
// acceptance.
func Rank(now time.Time, j Job) (Prospect, float64) {
	prospect := j.Prospect(now)
	if prospect == NoValue || prospect == Overdue {
		return prospect, float64(j.Accepted.UnixMilli())
	}
	rank := rankOfPriority * float64(min(max(j.Priority, 0), lowestPriority))
	if j.RemainingWork > nearlyDone*j.FullWork {
		rank += rankOfFirstHalf
	}
	return prospect, rank - Density(j.RemainingWork, j.TotalWork, j.MeanWork)*j.urgency(now, prospect)
}

// urgency returns 1 for a job that must start now to complete with the value of its
// prospect, and less the longer it can wait.
func (j Job) urgency(now time.Time, prospect Prospect) float64 {
	limit, scale := j.Objective, urgencyInTime
	if prospect == Late {
		limit, scale = NoValueAfter*j.Objective, urgencyLate
	}
	slack := limit - now.Add(j.CriticalPath).Sub(j.Accepted)
	if slack <= 0 {
		return 1
	}
	return math.Exp(-slack.Seconds() / max(scale*j.Objective.Seconds(), urgencyOfBacklog*j.Backlog.Seconds()))
}
