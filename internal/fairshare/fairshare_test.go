package fairshare_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/beryltide/beryltide/internal/fairshare"
	"github.com/beryltide/beryltide/internal/job"
)

// capacity is that of a pool of one instance of 100 cores.
var capacity = job.Resources{CPU: 100_000, Memory: 1000}

func TestTeamsAreOrderedByDominantShareForWeight(t *testing.T) {
	is := is.New(t)
	is.True(fairshare.New(nil) == nil)
	is.True(fairshare.New([]float64{0, -1}) == nil) // no weights, no division
	d := fairshare.New([]float64{1, 3, 0})
	cpu := d.Team("cpu", 1, job.Resources{CPU: 20_000, Memory: 100})
	memory := d.Team("memory", 1, job.Resources{CPU: 10_000, Memory: 300})
	heavy := d.Team("heavy", 3, job.Resources{CPU: 45_000})
	d.Begin(capacity)
	is.Equal([]float64{cpu.Level(), memory.Level(), heavy.Level()}, []float64{0.2, 0.3, 0.15})
	is.True(heavy.Before(cpu) && cpu.Before(memory))
	cpu.Sub(job.Resources{CPU: 5000})
	is.True(cpu.Before(heavy) && !heavy.Before(cpu)) // equal levels by name
}

// Guards against jobs without a team, or of a team without a weight, that come last for
// ever: together they have the part of a team of mean weight.
func TestTeamsWithoutWeightShareOnePart(t *testing.T) {
	is := is.New(t)
	d := fairshare.New([]float64{1, 3, 0})
	shared := d.Team("", 0, job.Resources{CPU: 40_000})
	is.True(d.Team("unweighted", 0, job.Resources{CPU: 40_000}) == shared)
	d.Begin(capacity)
	is.Equal(shared.Level(), 0.2) // 0.4 at the mean weight of 2
}

// Starts one by one, each of the first team in the order, lead to weighted max-min
// shares: levels differ by at most one start, whatever the order was built from.
func TestStartsInOrderLevelOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := fairshare.New([]float64{1})
		var teams []*fairshare.Team
		for i := range rapid.IntRange(1, 30).Draw(t, "teams") {
			used := job.Resources{CPU: rapid.IntRange(0, 3000).Draw(t, "used")}
			teams = append(teams, d.Team(fmt.Sprint(i), float64(rapid.IntRange(1, 5).Draw(t, "weight")), used))
		}
		d.Begin(capacity)
		order := fairshare.NewOrder(append([]*fairshare.Team(nil), teams...))
		task := job.Resources{CPU: 200}
		for range 600 {
			first := order.First()
			for _, team := range teams {
				if team.Before(first) {
					t.Fatalf("team %s at %g comes before the first, %s at %g", team.Name, team.Level(), first.Name, first.Level())
				}
			}
			first.Add(task)
			order.Update()
		}
		least, most := math.Inf(1), 0.0
		for _, team := range teams {
			least, most = min(least, team.Level()), max(most, team.Level()-200.0/100_000/team.Weight)
		}
		if most > max(least, 0.03)+1e-9 { // what ran before was at most 0.03 of the pool
			t.Fatalf("levels from %g to more than %g", least, most)
		}
		for range teams {
			order.Drop()
		}
		if order.First() != nil {
			t.Fatal("a team is left")
		}
	})
}
