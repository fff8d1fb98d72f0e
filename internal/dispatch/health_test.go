package dispatch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/dispatch"
)

// healthFixture is a pool of eight instances with the Health that gets their
// outcomes.
type healthFixture struct {
	health *dispatch.Health
	now    time.Time
	jobs   int
}

func newHealthFixture() *healthFixture {
	h := dispatch.NewHealth()
	h.SetSize(8)
	return &healthFixture{health: h, now: epoch}
}

// run spreads n jobs of a team over the instances that aren't closed and
// returns how many each instance got.
func (p *healthFixture) run(n int, team string, failsAt func(instance int) bool) [8]int {
	var got [8]int
	for range n {
		p.jobs++
		p.now = p.now.Add(10 * time.Millisecond)
		i := p.jobs % 8
		name := fmt.Sprintf("i%d", i)
		if p.health.Admission(name, p.now) == dispatch.Closed {
			continue
		}
		got[i]++
		p.health.Observe(dispatch.Outcome{
			Instance: name, Team: team, Job: fmt.Sprint(p.jobs), Failed: failsAt(i),
		}, p.now)
	}
	return got
}

func (p *healthFixture) closed() int {
	n := 0
	for i := range 8 {
		if p.health.Admission(fmt.Sprintf("i%d", i), p.now) == dispatch.Closed {
			n++
		}
	}
	return n
}

func TestFailingInstanceIsEjectedThenReadmitted(t *testing.T) {
	is := is.New(t)
	p := newHealthFixture()
	got := p.run(400, "a", func(i int) bool { return i == 3 })
	is.True(got[3] <= 10) // ejected after a few failures
	is.Equal(p.closed(), 1)
	p.now = p.now.Add(10 * time.Second)
	is.Equal(p.health.Admission("i3", p.now), dispatch.Probation)
	p.run(40, "a", func(int) bool { return false })
	is.Equal(p.health.Admission("i3", p.now), dispatch.Open)
}

func TestFailedProbationEjectsForLonger(t *testing.T) {
	is := is.New(t)
	p := newHealthFixture()
	p.run(400, "a", func(i int) bool { return i == 3 })
	p.now = p.now.Add(6 * time.Second)
	got := p.run(80, "a", func(i int) bool { return i == 3 })
	is.Equal(got[3], 1)
	p.now = p.now.Add(6 * time.Second)
	is.Equal(p.health.Admission("i3", p.now), dispatch.Closed)
}

func TestFailingTeamEjectsNoInstance(t *testing.T) {
	for _, rate := range []float64{0.3, 0.6, 1} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(7, 7))
			p := newHealthFixture()
			p.run(400, "good", func(int) bool { return false })
			for range 200 {
				p.run(8, "bad", func(int) bool { return rng.Float64() < rate })
				p.run(8, "good", func(int) bool { return false })
			}
			is.Equal(p.closed(), 0)
		})
	}
}

func TestAtMostAThirdOfAPoolIsEjected(t *testing.T) {
	is := is.New(t)
	p := newHealthFixture()
	p.run(400, "a", func(int) bool { return false })
	p.run(800, "a", func(i int) bool { return i < 6 })
	is.True(p.closed() <= 3)
	is.True(p.closed() >= 1)
}

func TestJobFailingEverywhereIsRefusedAndEjectsNoInstance(t *testing.T) {
	is := is.New(t)
	p := newHealthFixture()
	for i := range 3 {
		is.True(p.health.Runnable("bad", p.now))
		p.health.Observe(dispatch.Outcome{Instance: fmt.Sprintf("i%d", i), Team: "a", Job: "bad", Failed: true}, p.now)
	}
	is.True(!p.health.Runnable("bad", p.now))
	is.True(p.health.Runnable("good", p.now))
	// Later failures of the same job don't count against an instance either.
	for range 20 {
		p.health.Observe(dispatch.Outcome{Instance: "i0", Team: "a", Job: "bad", Failed: true}, p.now)
	}
	is.Equal(p.health.Admission("i0", p.now), dispatch.Open)
	is.True(p.health.Runnable("bad", p.now.Add(time.Hour)))
}

// TestSizesAreLearnedFromLaggingReports delays each report by three steps.
func TestSizesAreLearnedFromLaggingReports(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(3, 3))
	s := dispatch.NewSizes()
	use := map[string]float64{"light": 0.05, "heavy": 0.4}
	var reports []float64
	mix := map[string]int{}
	for step := range 4000 {
		if step%25 == 0 {
			mix = map[string]int{"light": rng.IntN(6), "heavy": rng.IntN(2)}
		}
		reports = append(reports, float64(mix["light"])*use["light"]+float64(mix["heavy"])*use["heavy"])
		if step >= 3 {
			s.Report("i", mix, mix["light"]+mix["heavy"], reports[step-3])
		}
	}
	is.Equal(s.Cost("light", 8), dispatch.Slot) // 0.4 slots are rounded up to one
	heavy := float64(s.Cost("heavy", 8)) / float64(dispatch.Slot)
	is.True(math.Abs(heavy-3.2) < 0.5) // 0.4 of 8 slots
	is.Equal(s.Cost("unknown", 8), dispatch.Slot)
}
