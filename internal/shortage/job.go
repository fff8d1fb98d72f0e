package shortage

import "time"

// Prospect is what a job's completion can still be worth to its caller.
type Prospect int

// The prospects, in the order in which jobs start.
const (
	// Overdue jobs have waited for longer than StarvationBound allows.
	Overdue Prospect = iota
	// InTime jobs can still meet their objective.
	InTime
	// Late jobs can't. A further delay costs their callers little.
	Late
	// NoValue jobs can't complete within NoValueAfter times their objective.
	NoValue
)

const (
	// starvationWait is the shortest wait after which a job goes ahead of others. It is
	// well above the length of a demand peak (14 s), at whose end the jobs that were put
	// behind are served anyway.
	starvationWait = time.Minute
	// starvationFactor is the same as a multiple of the job's objective, so that jobs
	// with long objectives aren't ahead of others before they are late.
	starvationFactor = 2 * NoValueAfter
)

// StarvationBound returns the time after its acceptance at which a job goes ahead of all
// others.
func StarvationBound(objective time.Duration) time.Duration {
	return max(starvationWait, starvationFactor*objective)
}

// A job's value, as its users count it, is a fixed part for its completion plus a
// part in proportion to its size relative to the queue's mean, up to a maximum.
const (
	baseValue = 0.3
	sizeValue = 0.7
	maxValue  = 4.0
	// minWork, in core-seconds, bounds the density of a job close to completion.
	minWork = 0.05
)

// Density returns a job's value per core-second of its remaining work. Total is its whole
// work, mean that of the jobs of its queue, 0 if unknown.
func Density(remaining, total, mean float64) float64 {
	value := baseValue
	if mean > 0 {
		value += sizeValue * total / mean
	}
	return min(value, maxValue) / max(remaining, minWork)
}

// Job is a job with waiting tasks.
type Job struct {
	// Accepted is when the job was accepted, or when its occurrence was due.
	Accepted time.Time
	// Objective is the target time from Accepted to the job's completion.
	Objective time.Duration
	// CriticalPath is the length of the job's remaining critical path.
	CriticalPath time.Duration
	// Backlog is how long the pool's whole capacity needs for the waiting work.
	Backlog time.Duration
	// Priority is that of the job's queue, 0 for the highest.
	Priority int
	// RemainingWork and FullWork are the work that is left and that of the whole job by
	// the same estimates, in core-seconds.
	RemainingWork float64
	FullWork      float64
	// TotalWork is the work of the whole job by its caller's estimates, and MeanWork the
	// mean of it for the jobs of its queue, in core-seconds.
	TotalWork float64
	MeanWork  float64
}

// Prospect returns what the job's completion can be worth if it isn't delayed further.
func (j Job) Prospect(now time.Time) Prospect {
	latency := now.Add(j.CriticalPath).Sub(j.Accepted)
	switch {
	case latency <= j.Objective:
		return InTime
	case latency <= NoValueAfter*j.Objective:
		return Late
	case now.Sub(j.Accepted) > StarvationBound(j.Objective):
		return Overdue
	}
	return NoValue
}
