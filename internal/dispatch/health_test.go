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
func (f *healthFixture) run(n int, team string, failsAt func(instance int) bool) [8]int {
	var got [8]int
	for range n {
		f.jobs++
		f.now = f.now.Add(10 * time.Millisecond)
		i := f.jobs % 8
		name := fmt.Sprintf("i%d", i)
		if f.health.Admission(name, f.now) == dispatch.Closed {
			continue
		}
		got[i]++
		f.health.Observe(dispatch.Outcome{
			Instance: name, Team: team, Job: fmt.Sprint(f.jobs), Failed: failsAt(i),
		}, f.now)
	}
	return got
}

func (f *healthFixture) closed() int {
	n := 0
	for i := range 8 {
		if f.health.Admission(fmt.Sprintf("i%d", i), f.now) == dispatch.Closed {
			n++
		}
	}
	return n
}

func TestFailingInstanceIsEjectedThenReadmitted(t *testing.T) {
	is := is.New(t)
	f := newHealthFixture()
	got := f.run(400, "a", func(i int) bool { return i == 3 })
	is.True(got[3] <= 10) // ejected after a few failures
	is.Equal(f.closed(), 1)
	f.now = f.now.Add(10 * time.Second)
	is.Equal(f.health.Admission("i3", f.now), dispatch.Probation)
	f.run(40, "a", func(int) bool { return false })
	is.Equal(f.health.Admission("i3", f.now), dispatch.Open)
}

func TestFailedProbationEjectsForLonger(t *testing.T) {
	is := is.New(t)
	f := newHealthFixture()
	f.run(400, "a", func(i int) bool { return i == 3 })
	f.now = f.now.Add(6 * time.Second)
	got := f.run(80, "a", func(i int) bool { return i == 3 })
	is.Equal(got[3], 1)
	f.now = f.now.Add(6 * time.Second)
	is.Equal(f.health.Admission("i3", f.now), dispatch.Closed)
}

func TestFailingTeamEjectsNoInstance(t *testing.T) {
	for _, rate := range []float64{0.3, 0.6, 1} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(7, 7))
			f := newHealthFixture()
			f.run(400, "good", func(int) bool { return false })
			for range 200 {
				f.run(8, "bad", func(int) bool { return rng.Float64() < rate })
				f.run(8, "good", func(int) bool { return false })
			}
			is.Equal(f.closed(), 0)
		})
	}
}

func TestAtMostAThirdOfAPoolIsEjected(t *testing.T) {
	is := is.New(t)
	f := newHealthFixture()
	f.run(400, "a", func(int) bool { return false })
	f.run(800, "a", func(i int) bool { return i < 6 })
	is.True(f.closed() <= 3)
	is.True(f.closed() >= 1)
}

func TestJobFailingEverywhereIsRefusedAndEjectsNoInstance(t *testing.T) {
	is := is.New(t)
	f := newHealthFixture()
	for i := range 3 {
		is.True(f.health.Runnable("bad", f.now))
		f.health.Observe(dispatch.Outcome{Instance: fmt.Sprintf("i%d", i), Team: "a", Job: "bad", Failed: true}, f.now)
	}
	is.True(!f.health.Runnable("bad", f.now))
	is.True(f.health.Runnable("good", f.now))
	// Later failures of the same job don't count against an instance either.
	for range 20 {
		f.health.Observe(dispatch.Outcome{Instance: "i0", Team: "a", Job: "bad", Failed: true}, f.now)
	}
	is.Equal(f.health.Admission("i0", f.now), dispatch.Open)
	is.True(f.health.Runnable("bad", f.now.Add(time.Hour)))
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
