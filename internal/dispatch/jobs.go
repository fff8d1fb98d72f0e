package dispatch

import (
	"slices"
	"time"
)

const (
	// jobFaultInstances is the number of instances at which a job has to
	// fail, with no success, to be at fault itself.
	jobFaultInstances = 3
	// jobFaultTime is how long a job at fault is refused.
	jobFaultTime = 10 * time.Minute
	// jobsKept is the most failed jobs that are remembered.
	maxFailedJobs = 4096
)

// mark is what a job's failure counted against an instance.
type penalty struct {
	instance string
	excess   float64
}

// suspect is a job that has failed.
type failedJob struct {
	penalties []penalty
	// refusedUntil is zero while the job may still be tried.
	refusedUntil time.Time
}

// jobs remembers failed jobs, the oldest ones only up to jobsKept.
type failedJobs struct {
	byName map[string]*failedJob
	order  []string
}

func newFailedJobs() *failedJobs { return &failedJobs{byName: map[string]*failedJob{}} }

func (j *failedJobs) runnable(job string, now time.Time) bool {
	s, ok := j.byName[job]
	return !ok || s.refusedUntil.IsZero() || !now.Before(s.refusedUntil)
}

func (j *failedJobs) recordSuccess(job string) { delete(j.byName, job) }

// failed notes a failure. Once the job is at fault itself it returns the
// marks to take back.
func (j *failedJobs) recordFailure(job, instance string, excess float64, now time.Time) []penalty {
	s := j.failedJobOf(job)
	if !s.refusedUntil.IsZero() {
		return []penalty{{instance: instance, excess: excess}}
	}
	s.penalties = append(s.penalties, penalty{instance: instance, excess: excess})
	if countInstances(s.penalties) < jobFaultInstances {
		return nil
	}
	s.refusedUntil = now.Add(jobFaultTime)
	penalties := s.penalties
	s.penalties = nil
	return penalties
}

func countInstances(penalties []penalty) int {
	var seen []string
	for _, p := range penalties {
		if !slices.Contains(seen, p.instance) {
			seen = append(seen, p.instance)
		}
	}
	return len(seen)
}

func (j *failedJobs) failedJobOf(job string) *failedJob {
	if s, ok := j.byName[job]; ok {
		return s
	}
	if len(j.order) >= maxFailedJobs {
		delete(j.byName, j.order[0])
		j.order = j.order[1:]
	}
	s := &failedJob{}
	j.byName[job] = s
	j.order = append(j.order, job)
	return s
}
