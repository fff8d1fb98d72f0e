package schedule

import (
	"time"

	"github.com/beryltide/beryltide/internal/shortage"
)

// noValueAfter is the multiple of its objective after which a job's completion has
// no value left.
const noValueAfter = shortage.NoValueAfter

// RankInput is the input of Rank: a job's progress and its pool's backlog.
type RankInput struct {
	// Accepted is when the job was accepted, or when its occurrence was due.
	Accepted time.Time
	// Objective is the target time from Accepted to the job's completion.
	Objective time.Duration
	// CriticalPath is the length of the job's remaining critical path.
	CriticalPath time.Duration
	// Priority is that of the job's queue, 0 for the highest.
	Priority int
	// RemainingWork is the job's remaining work, in core-seconds, and FullWork that of
	// the whole job by the same estimates.
	RemainingWork float64
	FullWork      float64
	// TotalWork is the job's total work by its caller's estimates, in core-seconds.
	TotalWork float64
	// MeanWork is the mean total work of the jobs of its queue, in core-seconds.
	MeanWork float64
	// Backlog is how long the pool's whole capacity needs for the waiting work.
	Backlog time.Duration
}

// overloadBacklog is the backlog from which not all jobs can meet their objective, so
// that package shortage ranks them; below it the job with the least slack goes first.
const overloadBacklog = shortage.Backlog

// Rank returns a job's class and its rank within that class, lowest first. Below
// overloadBacklog the job with the least slack goes first, jobs that can no longer meet
// their objective come after those that can, by value per remaining core-second (density),
// and jobs without value left come last, in the order of acceptance. Above it the order is
// that of package shortage.
func Rank(now time.Time, in RankInput) (Class, float64) {
	if in.Backlog >= overloadBacklog {
		return rankUnderShortage(now, in)
	}
	latency := now.Add(in.CriticalPath).Sub(in.Accepted)
	switch {
	case latency <= in.Objective:
		return InTime, (in.Objective - latency).Seconds()
	case latency <= noValueAfter*in.Objective:
		return Late, -shortage.Density(in.RemainingWork, in.TotalWork, in.MeanWork)
	}
	return NoValue, float64(in.Accepted.UnixMilli())
}

// rankOfOverdue, in the unit of times in ms, puts overdue jobs ahead of all others of
// their class.
const rankOfOverdue = -1e13

func rankUnderShortage(now time.Time, in RankInput) (Class, float64) {
	prospect, rank := shortage.Rank(now, shortage.Job{
		Accepted: in.Accepted, Objective: in.Objective, CriticalPath: in.CriticalPath,
		Backlog: in.Backlog, Priority: in.Priority,
		RemainingWork: in.RemainingWork, FullWork: in.FullWork, TotalWork: in.TotalWork, MeanWork: in.MeanWork,
	})
	switch prospect {
	case shortage.Overdue:
		return InTime, rankOfOverdue + rank
	case shortage.InTime:
		return InTime, rank
	case shortage.Late:
		return Late, rank
	}
	return NoValue, rank
}
