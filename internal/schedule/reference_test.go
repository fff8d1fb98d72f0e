package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/beryltide/beryltide/internal/job"
)

// scanPlan is Plan without indexes: it compares all nodes for each task.
func scanPlan(now time.Time, candidates []*Candidate, nodes []*Node) []Assignment {
	slices.SortStableFunc(candidates, compare)
	p := newPlanner(now, nodes)
	p.keepReservations(candidates)
	for _, c := range candidates {
		p.scanStep(c)
	}
	return p.assignments
}

func (p *planner) scanStep(c *Candidate) {
	begin := len(p.assignments)
	for _, t := range c.Tasks {
		n := p.scan(c, t)
		if n != nil && c.withinAllowance() {
			p.assign(c, t, n)
			continue
		}
		switch {
		case c.Step.Gang:
			p.rollBack(c, begin)
		case n == nil && c.withinAllowance():
			p.scanReserve(c)
		}
		return
	}
}

func (p *planner) scanReserve(c *Candidate) {
	if p.now.Sub(c.WaitingSince) < reserveAfter || c.Class >= NoValue {
		return
	}
	best := p.reserved[c.Key()]
	if best == nil && len(p.reserved) > 0 {
		return // few nodes, so one reservation
	}
	for i := range p.nodes {
		n := &p.nodes[i]
		if p.reserved[c.Key()] == nil && n.Free.CPU > 0 && c.feasible(n.Node) && c.Step.Allocation().Fits(n.Capacity) && (best == nil || n.Free.CPU > best.Free.CPU) {
			best = n
		}
	}
	if best != nil {
		best.Reservation = c.Key()
		p.reserved[c.Key()] = best
		p.setFree(best, job.Resources{})
	}
}

// The indexes must not change a plan: for random nodes in racks, partly full,
// suspect or of other sizes, and candidates with every kind of constraint, the plan
// is that of a comparison of all nodes for each task.
func TestIndexedPlanEqualsScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes, copies := drawRackedNodes(t), []*Node(nil)
		nodes[0].Reservation = StepKey{Job: fmt.Sprint("j", rapid.IntRange(0, 9).Draw(t, "reserved for"))}
		for _, n := range nodes {
			clone := *n
			copies = append(copies, &clone)
		}
		candidates := drawConstrained(t, nodes)
		var candidateCopies []*Candidate
		for _, c := range candidates {
			clone := *c
			candidateCopies = append(candidateCopies, &clone)
		}
		got, want := Plan(now, candidates, nodes), scanPlan(now, candidateCopies, copies)
		if !slices.Equal(got, want) {
			t.Fatalf("got  %v\nwant %v", got, want)
		}
	})
}

func drawRackedNodes(t *rapid.T) []*Node {
	var nodes []*Node
	for i := range rapid.IntRange(1, 12).Draw(t, "nodes") {
		n := node(fmt.Sprint(i), rapid.IntRange(2, 6).Draw(t, "cpu")*1000)
		n.Rack = fmt.Sprint("r", rapid.IntRange(0, 2).Draw(t, "rack"))
		n.Free.CPU = rapid.IntRange(-500, n.Capacity.CPU).Draw(t, "free")
		n.Free.Memory = rapid.IntRange(0, n.Capacity.Memory).Draw(t, "free memory")
		n.Suspect = rapid.IntRange(0, 4).Draw(t, "suspect") == 0
		if rapid.Bool().Draw(t, "labelled") {
			n.Labels = []string{"x"}
		}
		nodes = append(nodes, n)
	}
	return nodes
}

func drawConstrained(t *rapid.T, nodes []*Node) []*Candidate {
	candidates := drawCandidates(t)
	for _, c := range candidates {
		c.Rank = float64(rapid.IntRange(0, 2).Draw(t, "rank"))
		c.Step.SameRack = rapid.IntRange(0, 3).Draw(t, "same rack") == 0
		c.Step.Lasting = rapid.IntRange(0, 3).Draw(t, "lasting") == 0
		c.Step.Fills = c.Step.Fills && rapid.IntRange(0, 2).Draw(t, "keep fills") == 0
		c.Step.Need.Memory = rapid.IntRange(0, 400).Draw(t, "memory")
		if rapid.IntRange(0, 2).Draw(t, "near data") == 0 {
			c.Step.Rack = fmt.Sprint("r", rapid.IntRange(0, 3).Draw(t, "data rack"))
		}
		if rapid.IntRange(0, 3).Draw(t, "label") == 0 {
			c.Step.Labels = []string{"x"}
		}
		if rapid.IntRange(0, 3).Draw(t, "avoid") == 0 {
			c.Tasks[0].Avoid = rapid.SampledFrom(nodes).Draw(t, "avoided").ID
		}
		if rapid.IntRange(0, 3).Draw(t, "advised") == 0 {
			c.Tickets = map[string]string{rapid.SampledFrom(nodes).Draw(t, "allowed").ID: "t"}
		}
	}
	return candidates
}

// peakLoad is a pool in its peak: nodes of 16 cores of which some have free
// capacity, and jobs of 13 tasks with sizes of their own that all wait.
func peakLoad(nodeCount, jobs, withRoom int) ([]*Candidate, []*Node) {
	var nodes []*Node
	for i := range nodeCount {
		n := node(fmt.Sprint("i-", i), 16_000)
		n.Capacity.Memory, n.Rack = 32_000, fmt.Sprint("r", i/20)
		n.Free = job.Resources{CPU: 300 + i%1000, Memory: 20_000}
		if i < withRoom {
			n.Free.CPU = 16_000
		}
		nodes = append(nodes, n)
	}
	var candidates []*Candidate
	for i := range jobs {
		c := candidate(fmt.Sprint("j-", i), 1500+i%1300, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)
		c.Rank, c.WaitingSince = float64(i*7919%jobs), now.Add(-3*time.Second)
		candidates = append(candidates, c)
	}
	return candidates, nodes
}

func BenchmarkPlan(b *testing.B) {
	for _, load := range []struct{ nodes, jobs, withRoom int }{{700, 5, 60}, {700, 150, 60}, {700, 500, 0}, {700, 500, 60}} {
		for _, teams := range []int{0, 20} {
			b.Run(fmt.Sprintf("%d_jobs_%d_with_room_%d_teams", load.jobs, load.withRoom, teams), func(b *testing.B) {
				for b.Loop() {
					b.StopTimer()
					candidates, nodes := peakLoad(load.nodes, load.jobs, load.withRoom)
					divideAmong(candidates, teams)
					b.StartTimer()
					Plan(now, candidates, nodes)
				}
			})
		}
	}
}
