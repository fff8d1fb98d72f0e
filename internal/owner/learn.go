package owner

import (
	"time"

	"github.com/beryltide/beryltide/internal/forecast"
	"github.com/beryltide/beryltide/internal/job"
)

// learnWeight is the weight of a new observation in a mean.
const learnWeight = 0.2

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

// learn notes how long a task took.
func (u *Unit) learn(id job.TaskID, r *run, now time.Time) {
	e := u.jobs[id.Job]
	if e == nil || r.startedAt.IsZero() || r.step.Lasting {
		return
	}
	took := now.Sub(r.startedAt)
	key := keyOf(e.job.Submission, r.step)
	mean, known := u.durations[key]
	if !known {
		u.durations[key] = took
		return
	}
	u.durations[key] = mean + time.Duration(learnWeight*float64(took-mean))
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
	return d.Seconds() * (float64(step.Need.CPU)/1000 + gpuCores*float64(step.Need.GPU))
}

// gpuCores is what an accelerator counts in cores, as the users price it.
const gpuCores = 8

func (u *Unit) noteWork(e *entry) {
	w := u.work[e.job.Submission.Queue]
	if w == nil {
		u.work[e.job.Submission.Queue] = &queueWork{mean: e.whole}
		return
	}
	w.mean += learnWeight * (e.whole - w.mean)
}

// noteArrival counts a job's work towards what its pool is expected to be asked
// for. Lasting jobs and those with due times don't come by turns.
func (u *Unit) noteArrival(e *entry, now time.Time) {
	if !u.loaded || e.lasting || e.timed {
		return
	}
	pool := e.job.Submission.Pool
	if u.arrivals[pool] == nil {
		u.arrivals[pool] = &forecast.Arrivals{}
	}
	chain, work := u.remaining(e, nil)
	u.arrivals[pool].Add(now, work, chain)
}
