package shortage

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// order ranks a job; jobs with a lower prospect start first, then those with a lower rank.
type order func(now time.Time, j Job) (Prospect, float64)

// formerOrder is the order before priorities counted: by density alone.
func formerOrder(now time.Time, j Job) (Prospect, float64) {
	p := j.Prospect(now)
	if p == NoValue || p == Overdue {
		return NoValue, float64(j.Accepted.UnixMilli())
	}
	return p, -Density(j.RemainingWork, j.TotalWork, j.MeanWork)
}

// load is a peak of one pool.
type load struct {
	seed uint64
	// rate is the number of jobs a second, for length.
	rate   float64
	length time.Duration
	// steps and tasks are the means of a job's steps and of a step's tasks, task is the
	// mean task time. A share of the tasks takes slow times as long.
	steps, tasks float64
	task         time.Duration
	slowShare    float64
	slow         float64
	// instances returns the size of the pool, each of which runs perInstance tasks.
	instances   func(at time.Duration) int
	perInstance int
	// priorities is the number of priorities among which jobs are spread.
	priorities int
	// error is the factor by which estimates are off at most.
	error float64
	// stretch and target make the objective.
	stretch float64
	target  time.Duration
	// cores is what a task takes.
	cores float64
	// horizon is when the replay ends.
	horizon time.Duration
}

// firstPeak is the peak of the first customer: jobs of 1.6 steps of 8 tasks of 0.64 s on
// 6.2 cores, 300 to 400 a second for six seconds, while the pool grows from 30 to 190
// instances of 64 cores.
func firstPeak() load {
	return load{
		seed: 1, rate: 350, length: 6 * time.Second, steps: 1.6, tasks: 8, task: 640 * time.Millisecond, slow: 1,
		instances: func(at time.Duration) int {
			return 30 + int(160*min(max(at.Seconds()-1.5, 0)/5, 1))
		},
		perInstance: 10, priorities: 3, error: 2, stretch: 2, target: time.Second, cores: 6.2, horizon: 40 * time.Second,
	}
}

// secondPeak is the load of the second customer: jobs of two steps of 8 tasks of 1.4 s on
// 6.7 cores of 32, of which 3% take seven times as long.
func secondPeak() load {
	return load{
		seed: 1, rate: 60, length: 8 * time.Second, steps: 2, tasks: 8, task: 1400 * time.Millisecond, slowShare: 0.03, slow: 7,
		instances:   func(at time.Duration) int { return 60 + int(60*min(at.Seconds()/8, 1)) },
		perInstance: 4, priorities: 3, error: 2, stretch: 2, target: time.Second, cores: 6.7, horizon: 90 * time.Second,
	}
}

type replayedStep struct {
	// durations are those of the tasks, of which started have started and done ended.
	durations     []time.Duration
	started, done int
	estimate      time.Duration
}

// replayedJob is a job of a replay.
type replayedJob struct {
	Job
	at, completed time.Duration
	steps         []replayedStep
	step          int
	refused       bool
	prospect      Prospect
	rank          float64
}

// remaining updates what the order knows of the job.
func (j *replayedJob) remaining(cores float64) {
	j.CriticalPath, j.RemainingWork = 0, 0
	for n := j.step; n < len(j.steps); n++ {
		s := &j.steps[n]
		j.CriticalPath += s.estimate
		j.RemainingWork += cores * s.estimate.Seconds() * float64(len(s.durations)-s.done)
	}
}

var replayStart = time.Unix(1_700_000_000, 0)

// draw returns the jobs of the load in the order of their arrival.
func (l load) draw() []*replayedJob {
	r := rand.New(rand.NewPCG(l.seed, 0))
	off := func() float64 { return math.Pow(l.error, 2*r.Float64()-1) }
	var jobs []*replayedJob
	for at := time.Duration(0); at < l.length; at += time.Duration(r.ExpFloat64() / l.rate * float64(time.Second)) {
		j := &replayedJob{at: at, Job: Job{Accepted: replayStart.Add(at), Priority: r.IntN(max(l.priorities, 1))}}
		steps := int(l.steps)
		if r.Float64() < l.steps-float64(steps) {
			steps++
		}
		var truth time.Duration
		for range max(steps, 1) {
			mean := time.Duration((0.5 + r.Float64()) * float64(l.task))
			s := replayedStep{estimate: time.Duration(off() * float64(mean))}
			for range 1 + r.IntN(int(2*l.tasks)-1) {
				d := time.Duration((0.8 + 0.4*r.Float64()) * float64(mean))
				if r.Float64() < l.slowShare {
					d = time.Duration(l.slow * float64(d))
				}
				s.durations = append(s.durations, d)
			}
			truth += mean
			j.steps = append(j.steps, s)
		}
		j.Objective = time.Duration(l.stretch*float64(truth)) + l.target
		j.remaining(l.cores)
		j.TotalWork, j.FullWork = j.RemainingWork, j.RemainingWork
		j.MeanWork = l.steps * l.tasks * l.task.Seconds() * l.cores
		jobs = append(jobs, j)
	}
	return jobs
}

// result is what became of a load's jobs.
type result struct {
	jobs []*replayedJob
	// inTime, late, worthless and refused count the jobs; by priority for those that
	// weren't completed in time.
	inTime, late, worthless, refused int
	missed                           [3]int
}

type runningTask struct {
	end time.Duration
	job *replayedJob
}

// replayRound is the time from one round of starts to the next.
const replayRound = 20 * time.Millisecond

// replay runs a load: each round starts waiting tasks in the order of the ranks. Admit may
// refuse a job.
func replay(l load, rank order, admit func(at time.Duration, j *replayedJob, waiting []*replayedJob, slots int) bool) result {
	jobs := l.draw()
	var waiting []*replayedJob
	var running []runningTask
	next := 0
	for at := time.Duration(0); at < l.horizon; at += replayRound {
		now := replayStart.Add(at)
		running = slices.DeleteFunc(running, func(t runningTask) bool {
			if t.end > at {
				return false
			}
			t.job.taskDone(t.end, l.cores)
			return true
		})
		slots := l.instances(at) * l.perInstance
		for ; next < len(jobs) && jobs[next].at <= at; next++ {
			j := jobs[next]
			if admit != nil && !admit(at, j, waiting, slots) {
				j.refused = true
				continue
			}
			waiting = append(waiting, j)
		}
		backlog := backlogOf(now, waiting, float64(slots)*l.cores)
		for _, j := range waiting {
			j.Backlog = backlog
			j.prospect, j.rank = rank(now, j.Job)
		}
		slices.SortStableFunc(waiting, func(a, b *replayedJob) int {
			return cmp.Or(cmp.Compare(a.prospect, b.prospect), cmp.Compare(a.rank, b.rank))
		})
		for _, j := range waiting {
			s := &j.steps[j.step]
			for s.started < len(s.durations) && len(running) < slots {
				running = append(running, runningTask{end: at + s.durations[s.started], job: j})
				s.started++
			}
		}
		waiting = slices.DeleteFunc(waiting, func(j *replayedJob) bool { return j.completed > 0 })
	}
	return count(jobs)
}

// backlogOf returns how long a number of cores needs for the waiting tasks with value.
func backlogOf(now time.Time, waiting []*replayedJob, cores float64) time.Duration {
	var work float64
	for _, j := range waiting {
		if s := &j.steps[j.step]; j.Prospect(now) != NoValue && len(s.durations) > s.done {
			work += j.RemainingWork * float64(len(s.durations)-s.started) / float64(len(s.durations)-s.done)
		}
	}
	return time.Duration(work / cores * float64(time.Second))
}

func (j *replayedJob) taskDone(at time.Duration, cores float64) {
	s := &j.steps[j.step]
	if s.done++; s.done == len(s.durations) {
		j.step++
	}
	j.remaining(cores)
	if j.step == len(j.steps) {
		j.completed, j.step = at, len(j.steps)-1
	}
}

func count(jobs []*replayedJob) result {
	r := result{jobs: jobs}
	for _, j := range jobs {
		took := j.completed - j.at
		switch {
		case j.refused:
			r.refused++
		case j.completed > 0 && took <= j.Objective:
			r.inTime++
			continue
		case j.completed > 0 && took <= NoValueAfter*j.Objective:
			r.late++
		default:
			r.worthless++
		}
		r.missed[min(j.Priority, 2)]++
	}
	return r
}

// replaySeeds replays a load with a number of seeds.
func replaySeeds(l load, rank order, seeds uint64) (sum result) {
	for seed := range seeds {
		l.seed = seed
		r := replay(l, rank, nil)
		sum.inTime, sum.late, sum.worthless = sum.inTime+r.inTime, sum.late+r.late, sum.worthless+r.worthless
		for n := range sum.missed {
			sum.missed[n] += r.missed[n]
		}
	}
	return sum
}
