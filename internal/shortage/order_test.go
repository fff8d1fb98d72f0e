package shortage

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// The alternatives of docs/design/shortage.md.
var alternatives = map[string]order{
	"former order": formerOrder,
	"earliest deadline": func(_ time.Time, j Job) (Prospect, float64) {
		return InTime, float64(j.Accepted.Add(j.Objective).UnixMilli())
	},
	"least work": func(_ time.Time, j Job) (Prospect, float64) { return InTime, j.RemainingWork },
	"least work in time": func(now time.Time, j Job) (Prospect, float64) {
		return j.Prospect(now), j.RemainingWork
	},
	"weighted shares": func(now time.Time, j Job) (Prospect, float64) {
		return j.Prospect(now), -math.Pow(4, -float64(j.Priority)) * Density(j.RemainingWork, j.TotalWork, j.MeanWork)
	},
	"priority before lateness": func(now time.Time, j Job) (Prospect, float64) {
		p, rank := Rank(now, j)
		if p == Late {
			return InTime, rank + rankOfPriority/2
		}
		return p, rank
	},
	"order of this package": Rank,
}

// The figures of docs/design/shortage.md, for jobs of one and of three priorities.
func BenchmarkAlternatives(b *testing.B) {
	for name, l := range map[string]load{"first_customer": firstPeak(), "second_customer": secondPeak()} {
		for _, l.priorities = range []int{1, 3} {
			for _, rule := range slices.Sorted(maps.Keys(alternatives)) {
				b.Run(fmt.Sprintf("%s/%d_priorities/%s", name, l.priorities, rule), func(b *testing.B) {
					var r result
					for b.Loop() {
						r = replaySeeds(l, alternatives[rule], 5)
					}
					b.ReportMetric(float64(r.inTime), "in_time")
					b.ReportMetric(float64(r.late), "late")
					b.ReportMetric(float64(r.worthless), "no_value")
					b.ReportMetric(float64(r.missed[0]), "first_priority_missed")
				})
			}
		}
	}
}

// In the customers' peaks, with estimates that are right and ones that are off by up to a
// factor of 2, fewer callers may miss their jobs' use than in the former order.
func TestPeaksMissFewerCallers(t *testing.T) {
	for _, l := range []load{firstPeak(), secondPeak()} {
		for _, off := range []float64{1, 2} {
			l.priorities, l.error = 1, off
			former, now := replaySeeds(l, formerOrder, 2), replaySeeds(l, Rank, 2)
			t.Logf("estimates off by %v: in time %d, before %d; no value %d, before %d", off, now.inTime, former.inTime, now.worthless, former.worthless)
			if now.worthless > former.worthless {
				t.Errorf("%d callers without value, %d before", now.worthless, former.worthless)
			}
		}
	}
}

// drawLoad draws a peak of some seconds that needs up to six times the pool's capacity.
func drawLoad(t *rapid.T, priorities int) load {
	l := load{
		seed: rapid.Uint64().Draw(t, "seed"), length: time.Duration(rapid.IntRange(3, 8).Draw(t, "seconds")) * time.Second,
		steps: rapid.Float64Range(1, 3).Draw(t, "steps"), tasks: float64(rapid.IntRange(4, 10).Draw(t, "tasks")),
		task:      time.Duration(rapid.IntRange(200, 2000).Draw(t, "task ms")) * time.Millisecond,
		slowShare: rapid.Float64Range(0, 0.05).Draw(t, "slow share"), slow: rapid.Float64Range(2, 7).Draw(t, "slow"),
		perInstance: 10, priorities: priorities, error: rapid.Float64Range(1, 2).Draw(t, "error"),
		stretch: rapid.Float64Range(1, 3).Draw(t, "stretch"), target: time.Duration(rapid.IntRange(500, 2000).Draw(t, "target ms")) * time.Millisecond,
		cores: 6, horizon: 60 * time.Second,
	}
	first, last := rapid.IntRange(3, 20).Draw(t, "instances"), rapid.IntRange(3, 40).Draw(t, "instances at the end")
	l.instances = func(at time.Duration) int { return first + int(float64(last-first)*min(at.Seconds()/6, 1)) }
	work := l.steps * l.tasks * l.task.Seconds()
	l.rate = rapid.Float64Range(0.5, 6).Draw(t, "demand") * float64(first*l.perInstance) / work
	return l
}

// On random loads no more callers may be left without value, or get their jobs late, than
// in the former order. Any order that differs has single loads that it serves worse, so all
// loads count together.
func TestRandomLoadsMissNoMoreCallers(t *testing.T) {
	is := is.New(t)
	var former, now result
	worse, better := 0, 0
	for n := range 60 {
		l := rapid.Custom(func(t *rapid.T) load { return drawLoad(t, 1) }).Example(n)
		f, r := replay(l, formerOrder, nil), replay(l, Rank, nil)
		former.worthless, former.inTime = former.worthless+f.worthless, former.inTime+f.inTime
		now.worthless, now.inTime = now.worthless+r.worthless, now.inTime+r.inTime
		switch {
		case r.worthless > f.worthless:
			worse++
		case r.worthless < f.worthless:
			better++
		}
	}
	t.Logf("without value %d, before %d; in time %d, before %d; fewer without value in %d loads, more in %d", now.worthless, former.worthless, now.inTime, former.inTime, better, worse)
	is.True(now.worthless <= former.worthless)
	is.True(now.inTime >= former.inTime)
}

// On random loads of several priorities no more callers of the first priority may miss
// their objective than in the former order.
func TestFirstPriorityMissesNoMore(t *testing.T) {
	for n := range 40 {
		l := rapid.Custom(func(t *rapid.T) load { return drawLoad(t, 3) }).Example(n)
		former, now := replay(l, formerOrder, nil), replay(l, Rank, nil)
		if now.missed[0] > former.missed[0] {
			t.Errorf("load %d: %d of the first priority, %d before", n, now.missed[0], former.missed[0])
		}
	}
}

// In an overload that doesn't end jobs of the last priority, and those without value left,
// must still be served within the documented bound. In the former order they waited for
// as long as it lasted.
func TestNoJobStarves(t *testing.T) {
	is := is.New(t)
	l := load{
		seed: 1, rate: 7, length: 150 * time.Second, steps: 1, tasks: 4, task: time.Second, slow: 1, perInstance: 10, priorities: 3,
		instances: func(time.Duration) int { return 2 }, error: 2, stretch: 2, target: time.Second, cores: 6, horizon: 150 * time.Second,
	}
	longest := func(rank order) (wait time.Duration) {
		for _, j := range replay(l, rank, nil).jobs {
			if j.at < 60*time.Second {
				done := j.completed
				if done == 0 {
					done = l.horizon
				}
				wait = max(wait, done-j.at)
			}
		}
		return wait
	}
	const served = 10 * time.Second // its own run, and that of those which became overdue together
	is.True(longest(formerOrder) > StarvationBound(3*time.Second)+served)
	is.True(longest(Rank) <= StarvationBound(3*time.Second)+served)
}

// The rules of the order, each with a job that has to go ahead of another.
func TestOrder(t *testing.T) {
	now := replayStart
	base := Job{Accepted: now, Objective: 2 * time.Second, CriticalPath: time.Second, RemainingWork: 8, FullWork: 8, TotalWork: 8, MeanWork: 8}
	with := func(change func(*Job)) Job {
		j := base
		change(&j)
		return j
	}
	late := with(func(j *Job) {
		j.Accepted, j.RemainingWork, j.FullWork, j.TotalWork = now.Add(-3*time.Second), 80, 80, 80
	})
	withLate := func(change func(*Job)) Job {
		return with(func(j *Job) {
			j.Accepted = now.Add(-2 * time.Second)
			change(j)
		})
	}
	gone := with(func(j *Job) { j.Accepted = now.Add(-10 * time.Second) })
	for _, c := range []struct {
		name         string
		ahead, after Job
	}{
		{"higher priority", with(func(j *Job) { j.RemainingWork, j.FullWork = 80, 80 }), with(func(j *Job) { j.Priority = 1; j.RemainingWork = 1 })},
		{"small ones before a large one that is late anyway", base, late},
		{"late before without value", late, gone},
		{"nearly done of two that are late", withLate(func(j *Job) { j.RemainingWork, j.FullWork = 40, 80 }), withLate(func(*Job) {})},
		{"no time left of two that are late", withLate(func(j *Job) { j.Accepted = now.Add(-5 * time.Second) }), withLate(func(*Job) {})},
		{"less work", with(func(j *Job) { j.RemainingWork, j.FullWork = 6, 6 }), base},
		{"overdue", with(func(j *Job) { j.Accepted, j.Priority = now.Add(-61*time.Second), 9 }), base},
		{"earlier of two without value", with(func(j *Job) { j.Accepted = now.Add(-11 * time.Second) }), gone},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, rank := Rank(now, c.ahead)
			q, other := Rank(now, c.after)
			if p > q || p == q && rank >= other {
				t.Fatalf("prospect %d, rank %v; the other %d, %v", p, rank, q, other)
			}
		})
	}
}
