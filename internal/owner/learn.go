package owner

import (
	"time"

	"github.com/beryltide/beryltide/internal/forecast"
	"github.com/beryltide/beryltide/internal/job"
)

// sampleWeight is the weight of a new observation in a mean.
const sampleWeight = 0.2

// durations are the mean times that tasks of a kind truly take: what callers
// estimate is off by up to ten times, and tasks of one image behave alike.
type durations map[durationKey]time.Duration

type durationKey struct {
	queue string
	image string
}

func keyOf(s *job.Submission, step *job.Step) durationKey {
	return durationKey{queue: s.Queue, image: step.Image}
}

// observeDuration notes how long a task took.
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

// estimate returns how long a task of a step is expected to take: between what
// its caller says and what such tasks took.
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

// queueWork is the mean work of a queue's jobs, in core-seconds.
type queueWork struct {
	mean float64
}

func coreSeconds(step job.Step, d time.Duration) float64 {
	return d.Seconds() * (float64(step.Need.CPU)/1000 + coresPerGPU*float64(step.Need.GPU))
}

// coresPerGPU is what an accelerator counts in cores, as the users price it.
const coresPerGPU = 8

func (u *Unit) observeWork(e *entry) {
	w := u.workByQueue[e.job.Submission.Queue]
	if w == nil {
		u.workByQueue[e.job.Submission.Queue] = &queueWork{mean: e.totalWork}
		return
	}
	w.mean += sampleWeight * (e.totalWork - w.mean)
}

// observeArrival counts a job's work towards what its pool is expected to be asked
// for. Lasting jobs and those with due times don't come by turns.
func (u *Unit) observeArrival(e *entry, now time.Time) {
	if !u.loaded || e.longRunning || e.timed {
		return
	}
	pool := e.job.Submission.Pool
	if u.arrivals[pool] == nil {
		u.arrivals[pool] = &forecast.Arrivals{}
	}
	chain, work := u.remaining(e, nil)
	u.arrivals[pool].Add(now, work, chain)
}
