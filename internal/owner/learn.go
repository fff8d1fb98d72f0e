package owner

import (
	"time"

	"github.com/beryltide/beryltide/internal/job"
)

// sampleWeight is the weight of a new sample in an exponential moving average.
const sampleWeight = 0.2

// durations holds the average run times of tasks by queue and image. Callers'
// estimates are off by up to ten times, and tasks with the same image take
// similar times.
type durations map[durationKey]time.Duration

type durationKey struct {
	queue string
	image string
}

func keyOf(s *job.Submission, step *job.Step) durationKey {
	return durationKey{queue: s.Queue, image: step.Image}
}

// observeDuration updates the average duration with a completed task.
func (u *Unit) observeDuration(id job.TaskID, r *run, now time.Time) {
	e := u.jobs[id.Job]
	if e == nil || r.startedAt.IsZero() || r.step.Lasting {
		return
	}
	elapsed := now.Sub(r.startedAt)
	key := keyOf(e.job.Submission, r.step)
	mean, known := u.durations[key]
	if !known {
		u.durations[key] = elapsed
		return
	}
	u.durations[key] = mean + time.Duration(sampleWeight*float64(elapsed-mean))
}

// estimate returns the expected run time of a step's task: the mean of the
// observed average and the caller's estimate, the latter limited to between
// half and twice the average.
func (u *Unit) estimate(s *job.Submission, step *job.Step) time.Duration {
	mean, known := u.durations[keyOf(s, step)]
	if !known {
		return step.Estimate
	}
	if step.Estimate == 0 {
		return mean
	}
	return (mean + min(max(step.Estimate, mean/2), 2*mean)) / 2
}

// queueWork is the average work of a queue's jobs, in core-seconds.
type queueWork struct {
	mean float64
}

func (u *Unit) observeWork(e *entry) {
	w := u.workByQueue[e.job.Submission.Queue]
	if w == nil {
		u.workByQueue[e.job.Submission.Queue] = &queueWork{mean: e.totalWork}
		return
	}
	w.mean += sampleWeight * (e.totalWork - w.mean)
}

// observeArrival adds a job's work to the forecast of its pool's demand.
// Long-running jobs and those with due times are left out, since their arrivals
// don't follow demand peaks.
func (u *Unit) observeArrival(e *entry, now time.Time) {
	if !u.loaded || e.longRunning || e.timed {
		return
	}
	pool := e.job.Submission.Pool
	if u.arrivals[pool] == nil {
		u.arrivals[pool] = &arrivals{}
	}
	criticalPath, _ := u.remaining(e, nil)
	size := u.meanInstance[pool]
	var work [resourceCount]float64
	for i := range e.job.Submission.Steps {
		step := &e.job.Submission.Steps[i]
		coreSeconds := u.estimate(e.job.Submission, step).Seconds() * float64(step.Count) / 1000
		for n, occupied := range occupancyOf(step.Need, size) {
			work[n] += coreSeconds * float64(occupied)
		}
	}
	u.arrivals[pool].add(now, work, criticalPath)
}
