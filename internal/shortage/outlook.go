package shortage

import (
	"cmp"
	"slices"
	"time"

	"github.com/beryltide/beryltide/internal/job"
)

// Waiting is a job's waiting work.
type Waiting struct {
	// InTime and Late are the job's ranks just before it is late, and just before it has
	// no value left: the best that it can get, as urgency only grows.
	InTime, Late float64
	// UntilLate and UntilWorthless are how long it can still wait until then.
	UntilLate, UntilWorthless time.Duration
	// Work is in core-seconds.
	Work float64
}

// Level is the work of jobs that are served up to a rank, in core-seconds. Jobs that are
// served late come after all that are served in time.
type Level struct {
	Late bool
	Rank float64
	Work float64
}

// Levels returns the work that a number of cores would serve with value if no more jobs
// came, in the order of starts: at most some so many levels for jobs in time, and as many
// for late ones. It reckons with a capacity that does it with caution. Arrivals aren't
// expected to go on: in replays that expected those of half a second, jobs were refused
// that the pool would have completed with value.
func Levels(jobs []Waiting, cores float64, most int) []Level {
	var total float64
	for _, w := range jobs {
		total += w.Work
	}
	s := served{cores: cores / caution, step: total / float64(most)}
	jobs = slices.Clone(jobs)
	slices.SortFunc(jobs, func(a, b Waiting) int { return cmp.Compare(a.InTime, b.InTime) })
	jobs = slices.DeleteFunc(jobs, func(w Waiting) bool { return s.serve(w.Work, w.UntilLate, w.InTime) })
	s.close()
	s.late = true
	slices.SortFunc(jobs, func(a, b Waiting) int { return cmp.Compare(a.Late, b.Late) })
	for _, w := range jobs {
		s.serve(w.Work, w.UntilWorthless, w.Late)
	}
	s.close()
	return s.levels
}

// served adds up work in the order in which it is served.
type served struct {
	cores, step float64
	late        bool
	levels      []Level
	// next is the level that isn't full yet, work what is served in all.
	next Level
	work float64
}

// serve adds a job's work, and reports whether its turn comes before a time.
func (s *served) serve(work float64, before time.Duration, rank float64) bool {
	if s.work/s.cores > before.Seconds() {
		return false
	}
	s.work += work
	s.next = Level{Late: s.late, Rank: rank, Work: s.work}
	if len(s.levels) == 0 || s.work-s.levels[len(s.levels)-1].Work >= s.step {
		s.close()
	}
	return true
}

// close ends a level, unless it is empty.
func (s *served) close() {
	if s.next.Work > 0 {
		s.levels = append(s.levels, s.next)
	}
	s.next = Level{}
}

// ahead returns the work that is served before a job of a rank: that of the levels which
// end before it, so at most what it is.
func ahead(levels []Level, late bool, rank float64) (work float64) {
	for _, l := range levels {
		if l.Late && !late || l.Late == late && l.Rank >= rank {
			break
		}
		work = l.Work
	}
	return work
}

// Outlook is what a pool's owner expects of the pool. It is sent over net/rpc.
type Outlook struct {
	// Short is set while the pool is short and a job may be refused. Without it the
	// other fields are empty.
	Short bool
	// Levels holds the work of waiting jobs that can be served with value.
	Levels []Level
	// Teams holds the teams that have waiting jobs; nil if none of them has a weight.
	Teams map[string]TeamOutlook
	// Queues holds what is known of the jobs of the pool's queues.
	Queues map[string]QueueOutlook
	// Cores is the capacity that is expected within growthHorizon: that of the pool's
	// instances without what long-running tasks take, of those that are arriving, and of
	// further ones if the pool grows on as it did.
	Cores float64
	// Free is the largest free amount of each resource at an instance.
	Free job.Resources
	// Backlog is how long the pool's capacity needs for the waiting work.
	Backlog time.Duration
}

// TeamOutlook is the waiting work of a team and its share of the pool by weight; 0 for a
// team without a weight.
type TeamOutlook struct {
	Share  float64
	Levels []Level
}

// QueueOutlook is what an owner has learned of a queue's jobs.
type QueueOutlook struct {
	// MeanWork is the mean total work of a job, in core-seconds.
	MeanWork float64
	// LongestTask is the longest of the mean run times of its tasks by image.
	LongestTask time.Duration
}

// Request is a job that asks to be accepted.
type Request struct {
	Team  string
	Needs []job.Resources
	// Objective is the target time to the job's completion, and CriticalPath the length
	// of its critical path.
	Objective    time.Duration
	CriticalPath time.Duration
	// InTime and Late are its ranks, as in Waiting.
	InTime, Late float64
}

// Estimate is when a job could complete.
type Estimate struct {
	// Refuse means that its completion would have no value.
	Refuse bool
	// Wait is the expected wait for its start.
	Wait time.Duration
	// RetryAfter is when a job like it is expected to be accepted.
	RetryAfter time.Duration
}

const (
	// caution is the part of the expected wait with which a job must still have no value
	// to be refused: task times are off by up to a factor of 2, and machines may arrive.
	caution = 0.5
	// growthHorizon is for how long a pool is expected to grow on as it does: a machine
	// that is ordered now arrives within that time.
	growthHorizon = 3 * time.Second
	// minRetryAfter and maxRetryAfter bound RetryAfter without its random part: callers
	// retry only a few times.
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
)

// ExpectedCores returns the capacity within growthHorizon of a pool that grows by a number
// of cores a second.
func ExpectedCores(cores, growth float64) float64 {
	return cores + max(growth, 0)*growthHorizon.Seconds()
}

// Estimate returns when a job could complete. It is refused only if, with a part of the
// expected wait, its turn comes neither while it can be in time nor before it has no value
// left, and if no instance has free capacity for one of its tasks.
func (o *Outlook) Estimate(r Request) Estimate {
	if !o.Short || o.Cores <= 0 || r.Objective <= 0 || o.hasFree(r.Needs) {
		return Estimate{}
	}
	inTime := o.wait(r.Team, false, r.InTime)
	e := Estimate{Wait: max(o.wait(r.Team, true, r.Late), inTime)}
	spare := NoValueAfter*r.Objective - r.CriticalPath
	if cautious(inTime) <= r.Objective-r.CriticalPath || cautious(e.Wait) <= spare {
		return e
	}
	e.Refuse = true
	e.RetryAfter = min(max(e.Wait-spare, minRetryAfter), maxRetryAfter)
	return e
}

func cautious(wait time.Duration) time.Duration {
	return time.Duration(caution * float64(wait))
}

func (o *Outlook) hasFree(needs []job.Resources) bool {
	return slices.ContainsFunc(needs, func(need job.Resources) bool { return need.Fits(o.Free) })
}

// wait returns the shorter of the waits in the order of all jobs, and in that of the
// team's jobs on its share of the capacity.
func (o *Outlook) wait(team string, late bool, rank float64) time.Duration {
	wait := drain(ahead(o.Levels, late, rank), o.Cores)
	if o.Teams == nil || team == "" {
		return wait
	}
	t, waits := o.Teams[team]
	if !waits {
		return 0
	}
	if t.Share <= 0 {
		return wait
	}
	return min(wait, drain(ahead(t.Levels, late, rank), o.Cores*t.Share))
}

// longestWait bounds waits.
const longestWait = time.Hour

// drain returns how long a number of cores needs for some work.
func drain(work, cores float64) time.Duration {
	return time.Duration(min(work/cores, longestWait.Seconds()) * float64(time.Second))
}
