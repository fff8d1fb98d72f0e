// Package fairshare divides a pool's starts among teams by weighted max-min fairness
// on the dominant share: the larger of the shares of CPU and memory that a team's
// running tasks occupy in the pool. The team whose dominant share is the lowest for
// its weight starts the next task. The package does no I/O, knows neither jobs nor
// instances, and keeps no state between rounds.
//
// It is designed for one team that sends several times its usual rate to a pool that
// is short of capacity: the teams that stay within their share keep their service.
package fairshare

import (
	"cmp"
	"slices"

	"github.com/beryltide/beryltide/internal/job"
)

// Team is a team's part in the division of one pool during one round. All of the
// team's candidates point to the same Team.
type Team struct {
	// Name is empty for the group of jobs that belong to no team of positive weight.
	Name   string
	Weight float64

	used, capacity job.Resources
	level          float64
}

// Add adds what a started task occupies.
func (t *Team) Add(r job.Resources) { t.set(t.used.Add(r)) }

// Sub subtracts what a task occupies whose start is given up.
func (t *Team) Sub(r job.Resources) { t.set(t.used.Sub(r)) }

// Used returns what the team's running and started tasks occupy.
func (t *Team) Used() job.Resources { return t.used }

// Level returns the team's dominant share divided by its weight.
func (t *Team) Level() float64 { return t.level }

// DominantShare returns the larger of the shares of CPU and memory that the team
// occupies.
func (t *Team) DominantShare() float64 {
	return max(part(t.used.CPU, t.capacity.CPU), part(t.used.Memory, t.capacity.Memory))
}

func (t *Team) set(used job.Resources) {
	t.used = used
	t.level = t.DominantShare() / t.Weight
}

// part returns the share of a resource that is used. A resource that the pool doesn't
// have is no part of the division.
func part(used, capacity int) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(used) / float64(capacity)
}

// Before reports whether the next start is t's rather than o's. Equal levels are
// decided by name, so that every owner decides alike.
func (t *Team) Before(o *Team) bool {
	if d := cmp.Compare(t.level, o.level); d != 0 {
		return d < 0
	}
	return t.Name < o.Name
}

// Division is the division of one pool's capacity in one round.
type Division struct {
	weights []float64
	teams   map[string]*Team
}

// New returns the division of a pool for the weights of a configuration, or nil if
// none of them is positive: nothing is divided then.
func New(weights []float64) *Division {
	if !slices.ContainsFunc(weights, func(weight float64) bool { return weight > 0 }) {
		return nil
	}
	return &Division{weights: weights, teams: map[string]*Team{}}
}

// meanWeight returns the mean of the positive weights. They are added up in order, so
// that the sum is the same for every order in which they are given.
func (d *Division) meanWeight() float64 {
	var sum float64
	count := 0
	for _, weight := range slices.Sorted(slices.Values(d.weights)) {
		if weight > 0 {
			sum += weight
			count++
		}
	}
	return sum / float64(count)
}

// Team returns the part of a team by its weight and what its running tasks occupy.
// Jobs without a team of positive weight share one part with the mean weight of the
// configuration: a weight of 0 would let any other team keep them from starting, and
// a part for each would reward callers without a key. Used is what all of them occupy.
func (d *Division) Team(name string, weight float64, used job.Resources) *Team {
	key := name
	if weight <= 0 {
		key = ""
	}
	if t := d.teams[key]; t != nil {
		return t
	}
	if key == "" {
		weight = d.meanWeight()
	}
	t := &Team{Name: key, Weight: weight, used: used}
	d.teams[key] = t
	return t
}

// Begin sets the capacity of which the teams hold shares.
func (d *Division) Begin(capacity job.Resources) {
	for _, t := range d.teams {
		t.capacity = capacity
		t.set(t.used)
	}
}

// Order is a priority queue of teams by Before.
type Order struct{ teams []*Team }

// NewOrder returns the order of the given teams. It takes over the slice.
func NewOrder(teams []*Team) *Order {
	o := &Order{teams: teams}
	for i := len(teams)/2 - 1; i >= 0; i-- {
		o.sink(i)
	}
	return o
}

// First returns the team that starts the next task, or nil if no team is left.
func (o *Order) First() *Team {
	if len(o.teams) == 0 {
		return nil
	}
	return o.teams[0]
}

// Update restores the order after the level of the first team has risen.
func (o *Order) Update() { o.sink(0) }

// Drop removes the first team.
func (o *Order) Drop() {
	last := len(o.teams) - 1
	o.teams[0] = o.teams[last]
	o.teams = o.teams[:last]
	o.sink(0)
}

func (o *Order) sink(i int) {
	for {
		child := 2*i + 1
		if child >= len(o.teams) {
			return
		}
		if right := child + 1; right < len(o.teams) && o.teams[right].Before(o.teams[child]) {
			child = right
		}
		if !o.teams[child].Before(o.teams[i]) {
			return
		}
		o.teams[i], o.teams[child] = o.teams[child], o.teams[i]
		i = child
	}
}
