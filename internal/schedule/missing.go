package schedule

import (
	"slices"

	"github.com/beryltide/beryltide/internal/job"
)

// Missing is a number of instances that a pool lacks.
type Missing struct {
	// Labels are those that the instances must have.
	Labels []string
	// Need is what the largest task for them takes.
	Need      job.Resources
	Instances int
}

// Wanted is a number of a candidate's tasks that need a place.
type Wanted struct {
	*Candidate
	Count int
}

// MissingInstances returns the further instances, of the given size, that tasks need: those
// for tasks that could start at none of the nodes if all tasks there ended that end by
// themselves. Steps with tickets aren't counted, since it isn't known whether the advisor
// allows a further instance, nor are gangs. It also returns the IDs of the nodes with places
// for the others.
func MissingInstances(wanted []Wanted, nodes []*Node, size job.Resources) (missing []Missing, awaited map[string]bool) {
	if len(wanted) == 0 {
		return nil, nil
	}
	present := make([]host, len(nodes))
	for i, n := range nodes {
		present[i] = host{id: n.ID, labels: n.Labels, left: n.Capacity.Sub(n.LongRunning)}
	}
	var further []host
	for _, w := range wanted {
		c, tasks := w.Candidate, w.Count
		if c.Step.Gang || c.Tickets != nil || !c.Step.Allocation().Fits(size) {
			continue
		}
		if !c.Step.Lasting {
			tasks = min(tasks, 1) // the others follow in its place
		}
		for range tasks {
			if takeAny(present, c) || takeAny(further, c) {
				continue
			}
			h := host{labels: c.Step.Labels, left: size}
			h.take(c)
			further = append(further, h)
		}
	}
	awaited = map[string]bool{}
	for i := range present {
		if present[i].taken {
			awaited[present[i].id] = true
		}
	}
	return group(further), awaited
}

// host is a node, or a further instance, with what is left of it beside long-running tasks.
type host struct {
	// id is empty for a further instance.
	id     string
	labels []string
	left   job.Resources
	// taken: it has taken a task.
	taken bool
	// longRunning counts the long-running tasks that it has taken by step, largest is the
	// largest of all tasks.
	longRunning map[StepKey]int
	largest     job.Resources
}

func takeAny(hosts []host, c *Candidate) bool {
	for i := range hosts {
		if hosts[i].take(c) {
			return true
		}
	}
	return false
}

// take takes a task of the candidate if it can run there. Only long-running ones keep their
// place.
func (h *host) take(c *Candidate) bool {
	need := c.Step.Allocation()
	if !need.Fits(h.left) {
		return false
	}
	for _, label := range c.Step.Labels {
		if !slices.Contains(h.labels, label) {
			return false
		}
	}
	if c.Step.Lasting {
		if c.Step.PerInstance > 0 && c.Placed[h.id]+h.longRunning[c.Key()] >= c.Step.PerInstance {
			return false
		}
		if h.longRunning == nil {
			h.longRunning = map[StepKey]int{}
		}
		h.longRunning[c.Key()]++
		h.left = h.left.Sub(need)
	}
	h.taken, h.largest = true, h.largest.Max(need)
	return true
}

// group counts further instances by their labels.
func group(further []host) []Missing {
	var out []Missing
	for _, h := range further {
		i := slices.IndexFunc(out, func(m Missing) bool { return slices.Equal(m.Labels, h.labels) })
		if i < 0 {
			i, out = len(out), append(out, Missing{Labels: h.labels})
		}
		m := &out[i]
		m.Instances++
		m.Need = m.Need.Max(h.largest)
	}
	return out
}
