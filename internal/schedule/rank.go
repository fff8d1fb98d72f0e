package schedule

import (
	"time"
)

// noValueAfter is the multiple of its objective after which a job's completion has
// no value left.
const noValueAfter = 3

// RankInput is the input of Rank: a job's progress and its pool's backlog.
type RankInput struct {
	// Accepted is when the job was accepted, or when its occurrence was due.
	Accepted time.Time
	// Objective is the target time from Accepted to the job's completion.
	Objective time.Duration
	// CriticalPath is the length of the job's remaining critical path.
	CriticalPath time.Duration
	// RemainingWork is the job's remaining work, in core-seconds.
	RemainingWork float64
	// TotalWork is the job's total work, in core-seconds.
	TotalWork float64
	// MeanWork is the mean total work of the jobs of its queue, in core-seconds.
	MeanWork float64
	// Backlog is how long the pool's whole capacity needs for the waiting work.
	Backlog time.Duration
}

// overloadBacklog is the backlog from which not all jobs can meet their objective,
// so that jobs are ranked by value per core-second; below it the job with the least
// slack goes first.
const overloadBacklog = time.Second

// A job's value, as its users count it, is a fixed part for its completion plus a
// part in proportion to its size relative to the queue's mean, up to a maximum.
const (
	baseValue = 0.3
	sizeValue = 0.7
	maxValue  = 4.0
)

// Rank returns a job's class and its rank within that class, lowest first. Below
// overloadBacklog the job with the least slack goes first; above it, the one with
// the highest value per remaining core-second (density). Jobs that can no longer
// meet their objective come after those that can, and jobs without value left come
// last, in the order of acceptance.
func Rank(now time.Time, in RankInput) (Class, float64) {
	value := baseValue
	if in.MeanWork > 0 {
		value += sizeValue * in.TotalWork / in.MeanWork
	}
	density := min(value, maxValue) / max(in.RemainingWork, minWork)
	latency := now.Add(in.CriticalPath).Sub(in.Accepted)
	switch {
	case latency <= in.Objective:
		if in.Backlog < overloadBacklog {
			return InTime, (in.Objective - latency).Seconds()
		}
		return InTime, -density
	case latency <= noValueAfter*in.Objective:
		return Late, -density
	}
	return NoValue, float64(in.Accepted.UnixMilli())
}

// minWork, in core-seconds, bounds the density of a job close to completion.
const minWork = 0.05
