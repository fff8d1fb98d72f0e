package dispatch

import (
	"slices"
	"time"
)

const (
	// jobFaultInstances is the number of instances at which a job must fail,
	// without a success, to be at fault itself.
	jobFaultInstances = 3
	// jobFaultTime is how long a job at fault is refused.
	jobFaultTime = 10 * time.Minute
	// maxFailedJobs bounds the failed jobs that are kept.
	maxFailedJobs = 4096
)

// penalty is the amount that one failure of a job added to the score of an
// instance.
type penalty struct {
	instance string
	excess   float64
}

// failedJob is a job that has failed since its last success.
type failedJob struct {
	penalties []penalty
	// refusedUntil is zero while the job may be tried.
	refusedUntil time.Time
}

// failedJobs holds up to maxFailedJobs failed jobs. The oldest is dropped for a
// new one.
type failedJobs struct {
	byName map[string]*failedJob
	order  []string
}

func newFailedJobs() *failedJobs { return &failedJobs{byName: map[string]*failedJob{}} }

func (j *failedJobs) runnable(job string, now time.Time) bool {
	f, ok := j.byName[job]
	return !ok || f.refusedUntil.IsZero() || !now.Before(f.refusedUntil)
}

func (j *failedJobs) recordSuccess(job string) {
	if _, known := j.byName[job]; !known {
		return
	}
	delete(j.byName, job)
	at := slices.Index(j.order, job)
	j.order = slices.Delete(j.order, at, at+1)
}

// recordFailure records a failure. Once the job is at fault itself, it returns
// the penalties to retract.
func (j *failedJobs) recordFailure(job, instance string, excess float64, now time.Time) []penalty {
	f := j.failedJobOf(job)
	if !f.refusedUntil.IsZero() {
		return []penalty{{instance: instance, excess: excess}}
	}
	f.penalties = append(f.penalties, penalty{instance: instance, excess: excess})
	if countInstances(f.penalties) < jobFaultInstances {
		return nil
	}
	f.refusedUntil = now.Add(jobFaultTime)
	penalties := f.penalties
	f.penalties = nil
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
	if f, ok := j.byName[job]; ok {
		return f
	}
	if len(j.order) >= maxFailedJobs {
		delete(j.byName, j.order[0])
		j.order = j.order[1:]
	}
	f := &failedJob{}
	j.byName[job] = f
	j.order = append(j.order, job)
	return f
}
