package credit

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	simTick   = 100 * time.Millisecond
	simPeriod = 31 * time.Second
	// settleTime is the time allowed for grants to follow a change of demand.
	settleTime = time.Second
	// window is the time over which the use of a limit is measured.
	window = 10 * time.Second
)

// step is one report tick of all nodes, with each report folded one tick later.
func (s *sim) step(t testingT) {
	for _, n := range s.nodes {
		s.compose(n)
	}
	for _, n := range s.nodes {
		s.send(t, n)
	}
	for _, n := range s.nodes {
		s.catchUp(t, n, len(s.log))
	}
}

// serve keeps demand[i] requests waiting at node i for one tick, in steps of 10
// ms. It returns the mean number of running tasks.
func (s *sim) serve(rng *rand.Rand, demand []int) float64 {
	running := 0
	const serveStep = 10 * time.Millisecond
	for range simTick / serveStep {
		s.now = s.now.Add(serveStep)
		for i, n := range s.nodes {
			s.finish(n)
			s.run(rng, n, demand[i])
		}
		running += s.running()
	}
	return float64(running) / float64(simTick/serveStep)
}

func (s *sim) run(rng *rand.Rand, n *node, demand int) {
	waiting := max(0, demand-len(n.tasks))
	for waiting > 0 {
		if !n.start(s.now.Add(time.Duration(20+rng.IntN(180)) * time.Millisecond)) {
			break
		}
		waiting--
	}
	n.wait(waiting)
}

// TestLimitIsUsable checks that 95% of a limit is in use from one second after
// a change of demand. The demand moves to other members every 31 seconds.
func TestLimitIsUsable(t *testing.T) {
	cases := []struct {
		name  string
		nodes int
		limit int
		// demand is the number of requests at each node, by period.
		demand [][]int
	}{
		{"one member at a time", 8, 20, [][]int{demandAt(8, 0, 40), demandAt(8, 5, 40), demandAt(8, 2, 40)}},
		{"all members", 8, 20, [][]int{uniformDemand(8, 20)}},
		{"all, then one", 8, 100, [][]int{uniformDemand(8, 100), demandAt(8, 3, 200), uniformDemand(8, 100)}},
		{"uneven", 8, 40, [][]int{{1, 1, 1, 1, 1, 1, 1, 60}, {60, 1, 0, 2, 0, 1, 0, 1}}},
		{"limit under members, one has demand", 8, 3, [][]int{demandAt(8, 0, 9), demandAt(8, 7, 9)}},
		{"limit under members, all have demand", 8, 3, [][]int{uniformDemand(8, 9)}},
		{"limit of one", 8, 1, [][]int{demandAt(8, 1, 5), demandAt(8, 2, 5)}},
		{"sixty members", 60, 200, [][]int{demandAt(60, 9, 400), uniformDemand(60, 30)}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			s := newSim(t, c.nodes, c.limit)
			for p, demand := range c.demand {
				s.serveTicks(t, rng, demand, settleTime)
				for from := settleTime; from < simPeriod; from += window {
					used := s.serveTicks(t, rng, demand, window) / float64(c.limit)
					if used < 0.95 {
						t.Errorf("period %d, %v: %.3f of the limit was in use", p, from, used)
					}
				}
			}
			t.Logf("%d records in %v", len(s.log), simPeriod*time.Duration(len(c.demand)))
		})
	}
}

// serveTicks serves for a duration and returns the mean number of running
// tasks.
func (s *sim) serveTicks(t testingT, rng *rand.Rand, demand []int, d time.Duration) float64 {
	ran := 0.0
	for range int(d / simTick) {
		ran += s.serve(rng, demand)
		s.step(t)
	}
	return ran / float64(d/simTick)
}

// TestLimitIsShared checks that members which join a limit in full use get
// their part within two seconds, and that each runs in rotation under a limit
// below their number.
func TestLimitIsShared(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	s := newSim(t, 8, 40)
	s.serveTicks(t, rng, demandAt(8, 0, 80), simPeriod)
	s.serveTicks(t, rng, uniformDemand(8, 80), 2*time.Second)
	for _, n := range s.nodes {
		if len(n.tasks) < 4 || len(n.tasks) > 6 {
			t.Errorf("%s runs %d of 40 tasks", n.id, len(n.tasks))
		}
	}
	s = newSim(t, 8, 3)
	ran := map[*node]bool{}
	for range int(simPeriod / simTick) {
		s.serveTicks(t, rng, uniformDemand(8, 9), simTick)
		for _, n := range s.nodes {
			ran[n] = ran[n] || len(n.tasks) > 0
		}
	}
	for _, n := range s.nodes {
		if !ran[n] {
			t.Errorf("%s ran nothing in %v", n.id, simPeriod)
		}
	}
}

func demandAt(nodes, at, demand int) []int {
	d := make([]int, nodes)
	d[at] = demand
	return d
}

func uniformDemand(nodes, demand int) []int {
	d := make([]int, nodes)
	for i := range d {
		d[i] = demand
	}
	return d
}
