package schedule

import (
	"strings"

	"github.com/beryltide/beryltide/internal/job"
)

// Runnable returns the candidates that the nodes could run if they were empty: a node is
// large enough for one of the tasks and allowed, and all nodes together are large enough
// for a gang. An allowance for other candidates would stay unused.
func Runnable(candidates []*Candidate, nodes []*Node) []*Candidate {
	var capacity job.Resources
	for _, n := range nodes {
		capacity = capacity.Add(n.Capacity)
	}
	known := map[shape]bool{}
	var out []*Candidate
	for _, c := range candidates {
		if c.Step.Gang && !c.Step.Allocation().Times(len(c.Tasks)).Fits(capacity) {
			continue
		}
		if c.Step.PerInstance > 0 || c.Tickets != nil {
			if c.runsOn(nodes) {
				out = append(out, c)
			}
			continue
		}
		s := shapeOf(c.Step)
		if _, seen := known[s]; !seen {
			known[s] = c.runsOn(nodes)
		}
		if known[s] {
			out = append(out, c)
		}
	}
	return out
}

// Unit returns what has to start at once: a task, or a whole gang.
func (c *Candidate) Unit() job.Resources {
	if c.Step.Gang {
		return c.Step.Need.Times(len(c.Tasks))
	}
	return c.Step.Need
}

// Room returns how many tasks of each candidate the nodes' free capacity lets start now, each
// candidate taken by itself; of a gang all or none.
func Room(candidates []*Candidate, nodes []*Node) map[*Candidate]int {
	places := map[shape]int{}
	out := map[*Candidate]int{}
	for _, c := range candidates {
		tasks := 0
		if c.Step.PerInstance > 0 || c.Tickets != nil {
			tasks = c.places(nodes)
		} else {
			s := shapeOf(c.Step)
			if _, known := places[s]; !known {
				places[s] = c.places(nodes)
			}
			tasks = places[s]
		}
		if c.Step.Gang && tasks < len(c.Tasks) {
			tasks = 0
		}
		out[c] = min(tasks, len(c.Tasks))
	}
	return out
}

// places returns how many tasks of the step the nodes' free capacity has room for.
func (c *Candidate) places(nodes []*Node) int {
	need, sum := c.Step.Allocation(), 0
	for _, n := range nodes {
		if !c.feasible(n) || !need.Fits(n.Free) {
			continue
		}
		tasks := max(need.TimesIn(n.Free), 1)
		if c.Step.PerInstance > 0 {
			tasks = min(tasks, c.Step.PerInstance-c.Placed[n.ID])
		}
		sum += tasks
	}
	return sum
}

// FitsSize reports whether a task fits an instance of the given size; true if no size is
// known.
func (c *Candidate) FitsSize(size job.Resources) bool {
	return size == (job.Resources{}) || c.Step.Allocation().Fits(size)
}

func (c *Candidate) runsOn(nodes []*Node) bool {
	for _, n := range nodes {
		if c.Step.Allocation().Fits(n.Capacity) && c.feasible(n) {
			return true
		}
	}
	return false
}

// shape is the key under which the planner records that no node fits the tasks of
// an unconstrained step. labels holds the step's labels, each with an end mark.
type shape struct {
	need   job.Resources
	labels string
}

func shapeOf(s *job.Step) shape {
	var labels strings.Builder
	for _, label := range s.Labels {
		labels.WriteString(label)
		labels.WriteByte(0)
	}
	return shape{need: s.Allocation(), labels: labels.String()}
}
