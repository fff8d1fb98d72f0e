package shortage

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/job"
)

// testedOrders are the orders in which jobs start in these tests: the admission must be
// cautious in each, as owners of different versions may have either.
var testedOrders = []order{formerOrder, Rank}

// admission decides by outlooks as a daemon does.
type admission struct {
	l       load
	outlook Outlook
	at      time.Duration
	cores   float64
	rank    order
}

const outlookInterval = 500 * time.Millisecond

// admit reports whether a job is accepted.
func (a *admission) admit(at time.Duration, j *replayedJob, waiting []*replayedJob, slots int) bool {
	if a.outlook.Levels == nil || at-a.at >= outlookInterval {
		a.refresh(at, waiting, float64(slots)*a.l.cores)
	}
	inTime, late := a.ranks(j)
	request := Request{Objective: j.Objective, CriticalPath: j.CriticalPath, InTime: inTime, Late: late}
	return !a.outlook.Estimate(request).Refuse
}

// ranks returns a job's ranks just before it is late, and just before it has no value left.
func (a *admission) ranks(j *replayedJob) (inTime, late float64) {
	_, inTime = a.rank(j.Accepted.Add(j.Objective-j.CriticalPath), j.Job)
	_, late = a.rank(j.Accepted.Add(NoValueAfter*j.Objective-j.CriticalPath), j.Job)
	return inTime, late
}

func (a *admission) refresh(at time.Duration, waiting []*replayedJob, cores float64) {
	now := replayStart.Add(at)
	var jobs []Waiting
	for _, j := range waiting {
		inTime, late := a.ranks(j)
		soonest := now.Add(j.CriticalPath).Sub(j.Accepted)
		jobs = append(jobs, Waiting{InTime: inTime, Late: late, UntilLate: j.Objective - soonest, UntilWorthless: NoValueAfter*j.Objective - soonest, Work: j.RemainingWork})
	}
	growth := 0.0
	if at > a.at {
		growth = (cores - a.cores) / (at - a.at).Seconds()
	}
	expected := ExpectedCores(cores, growth)
	a.outlook = Outlook{Short: backlogOf(now, waiting, cores) >= Backlog, Levels: Levels(jobs, expected, 32), Cores: expected}
	a.at, a.cores = at, cores
}

// stuckPeak is the first customer's peak on a pool that doesn't grow.
func stuckPeak() load {
	l := firstPeak()
	l.instances = func(time.Duration) int { return 30 }
	l.horizon = 60 * time.Second
	return l
}

// No job may be refused that the pool completes with any value if it is accepted: also
// while the pool grows, and with estimates that are off by up to a factor of 2.
func TestNoJobIsRefusedThatCouldComplete(t *testing.T) {
	check := func(name string, l load, rank order) (refusals int) {
		a := &admission{l: l, rank: rank}
		var refused []*replayedJob
		r := replay(l, rank, func(at time.Duration, j *replayedJob, waiting []*replayedJob, slots int) bool {
			if !a.admit(at, j, waiting, slots) {
				refused = append(refused, j)
			}
			return true
		})
		withValue := 0
		for _, j := range refused {
			if j.completed > 0 && j.completed-j.at <= NoValueAfter*j.Objective {
				withValue++
			}
		}
		if name != "" {
			t.Logf("%s: %d of %d jobs without value, %d of them would be refused, and %d with value", name, r.worthless, len(r.jobs), len(refused)-withValue, withValue)
		}
		if withValue > 0 {
			t.Errorf("%s, seed %d: %d of %d refused jobs would complete with value", name, l.seed, withValue, len(refused))
		}
		return len(refused)
	}
	refusals := 0
	for _, rank := range testedOrders {
		for seed := range uint64(2) {
			for name, l := range map[string]load{"first customer": firstPeak(), "second customer": secondPeak(), "first customer, no machines": stuckPeak()} {
				l.seed = seed
				check(name, l, rank)
			}
		}
		for seed := range uint64(60) {
			refusals += check("", randomLoad(seed), rank)
		}
	}
	t.Logf("random loads: %d refusals", refusals)
	if refusals == 0 {
		t.Error("no job of the random loads would be refused")
	}
}

// randomLoad returns a peak of some seconds that needs up to six times the pool's capacity.
func randomLoad(seed uint64) load {
	r := rand.New(rand.NewPCG(seed, 1))
	between := func(low, high float64) float64 { return low + r.Float64()*(high-low) }
	l := load{
		seed: seed, length: time.Duration(between(3, 8) * float64(time.Second)), steps: between(1, 3), tasks: between(4, 10),
		task: time.Duration(between(0.2, 2) * float64(time.Second)), slowShare: between(0, 0.05), slow: between(2, 7), perInstance: 10, priorities: 1,
		error: between(1, 2), stretch: between(1, 3), target: time.Duration(between(0.5, 2) * float64(time.Second)), cores: 6, horizon: 60 * time.Second,
	}
	first, last := between(3, 20), between(3, 40)
	l.instances = func(at time.Duration) int { return int(first + (last-first)*min(at.Seconds()/6, 1)) }
	l.rate = between(0.5, 6) * first * float64(l.perInstance) / (l.steps * l.tasks * l.task.Seconds())
	return l
}

// Refusals must spare callers a wait for nothing and take no job in time from the others:
// in the first customer's peak on a pool that doesn't grow.
func TestRefusalsReplaceJobsWithoutValue(t *testing.T) {
	is := is.New(t)
	l := stuckPeak()
	for _, rank := range testedOrders {
		a := &admission{l: l, rank: rank}
		all, admitted := replay(l, rank, nil), replay(l, rank, a.admit)
		t.Logf("in time %d, before %d; late %d, before %d; without value %d, before %d; refused %d", admitted.inTime, all.inTime, admitted.late, all.late, admitted.worthless, all.worthless, admitted.refused)
		is.True(admitted.refused > 0)
		is.True(admitted.worthless < all.worthless)
	}
}

// shortOutlook is the outlook of a pool whose jobs in time need 20 s, and whose late ones
// another 20 s.
func shortOutlook() *Outlook {
	return &Outlook{Short: true, Cores: 100, Levels: []Level{{Rank: 1, Work: 2000}, {Late: true, Rank: 1, Work: 4000}}}
}

// The rules of the admission: what is in doubt is accepted.
func TestEstimateAcceptsInDoubt(t *testing.T) {
	request := Request{Objective: 3 * time.Second, CriticalPath: time.Second, InTime: 2, Late: 2, Needs: []job.Resources{{CPU: 6200, Memory: 100}}}
	for _, c := range []struct {
		name   string
		change func(*Outlook, *Request)
		refuse bool
	}{
		{"no value", func(*Outlook, *Request) {}, true},
		{"the pool isn't short", func(o *Outlook, _ *Request) { o.Short = false }, false},
		{"no capacity known", func(o *Outlook, _ *Request) { o.Cores = 0 }, false},
		{"free instance", func(o *Outlook, _ *Request) { o.Free = job.Resources{CPU: 6200, Memory: 100} }, false},
		{"free CPU without memory", func(o *Outlook, _ *Request) { o.Free = job.Resources{CPU: 6200} }, true},
		{"no objective", func(_ *Outlook, r *Request) { r.Objective = 0 }, false},
		{"in time ahead of the others", func(_ *Outlook, r *Request) { r.InTime = 1 }, false},
		{"value left with half of the wait", func(o *Outlook, _ *Request) { o.Cores = 251 }, false},
		{"just no value left with half of the wait", func(o *Outlook, _ *Request) { o.Cores = 249 }, true},
		{"team without waiting jobs", func(o *Outlook, r *Request) { o.Teams, r.Team = map[string]TeamOutlook{"hot": {Share: 1}}, "cold" }, false},
		{"team within its share", func(o *Outlook, r *Request) {
			o.Teams, r.Team = map[string]TeamOutlook{"cold": {Share: 0.1, Levels: []Level{{Rank: 1, Work: 20}}}}, "cold"
		}, false},
		{"team above its share", func(o *Outlook, r *Request) {
			o.Teams, r.Team = map[string]TeamOutlook{"hot": {Share: 0.9, Levels: o.Levels}}, "hot"
		}, true},
		{"team without a weight", func(o *Outlook, r *Request) { o.Teams, r.Team = map[string]TeamOutlook{"hot": {}}, "hot" }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			o, r := shortOutlook(), request
			c.change(o, &r)
			e := o.Estimate(r)
			is.Equal(e.Refuse, c.refuse)
			is.True(!e.Refuse || e.RetryAfter >= minRetryAfter && e.RetryAfter <= maxRetryAfter)
		})
	}
}
