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
	// Behind marks instances that only tasks without value left need.
	Behind bool
}

// Wanted is a number of a candidate's tasks that need a place.
type Wanted struct {
	*Candidate
	Count int
}

// MissingInstances returns the further instances, of the given size, that tasks need: those
// for tasks that could start at none of the nodes if all tasks there ended that end by
// themselves. Without nodes the size may be unknown, the zero value. Steps with tickets
// aren't counted, since it isn't known whether the advisor allows a further instance. A gang
// of valued tasks isn't either, as its backlog brings machines, which one without value
// doesn't have. It also returns the IDs of the nodes with places for valued tasks.
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
		if c.Tickets != nil || !c.FitsSize(size) {
			continue
		}
		if c.Class == NoValue {
			further = append(further, missingBehind(c, present, further, size)...)
			continue
		}
		if c.Step.Gang {
			continue
		}
		if !c.Step.Lasting {
			tasks = min(tasks, 1) // the others follow in its place
		}
		for range tasks {
			if takeAny(present, c) || takeAny(further, c) {
				continue
			}
			h := furtherHost(c, size)
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

// furtherHost returns an instance for a candidate's tasks, of the given size if it is known.
func furtherHost(c *Candidate, size job.Resources) host {
	if size == (job.Resources{}) {
		size = c.Step.Allocation()
	}
	return host{labels: c.Step.Labels, left: size}
}

// missingBehind returns the further instances for a candidate without value left: as many
// as a gang needs beside those that suit it, and one for other tasks if none suits them.
func missingBehind(c *Candidate, present, further []host, size job.Resources) []host {
	need, units := c.Step.Allocation(), 1
	if c.Step.Gang {
		units = len(c.Tasks)
	}
	for _, hosts := range [][]host{present, further} {
		for i := range hosts {
			if hosts[i].suits(c) {
				units -= max(need.TimesIn(hosts[i].left), 1)
			}
		}
	}
	var out []host
	for units > 0 {
		h := furtherHost(c, size)
		h.behind, h.largest = true, need
		units -= max(need.TimesIn(h.left), 1)
		out = append(out, h)
	}
	return out
}

// host is a node, or a further instance, with what is left of it beside long-running tasks.
type host struct {
	// id is empty for a further instance.
	id     string
	labels []string
	left   job.Resources
	// taken: it has taken a task. behind: only tasks without value left need it.
	taken, behind bool
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

// suits reports whether a task of the candidate fits and has the labels that it asks for.
func (h *host) suits(c *Candidate) bool {
	if !c.Step.Allocation().Fits(h.left) {
		return false
	}
	for _, label := range c.Step.Labels {
		if !slices.Contains(h.labels, label) {
			return false
		}
	}
	return true
}

// take takes a task of the candidate if it can run there. Only long-running ones keep their
// place.
func (h *host) take(c *Candidate) bool {
	if !h.suits(c) {
		return false
	}
	need := c.Step.Allocation()
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

// group counts further instances by their labels, those that only tasks without value left
// need apart.
func group(further []host) []Missing {
	var out []Missing
	for _, h := range further {
		i := slices.IndexFunc(out, func(m Missing) bool { return m.Behind == h.behind && slices.Equal(m.Labels, h.labels) })
		if i < 0 {
			i, out = len(out), append(out, Missing{Labels: h.labels, Behind: h.behind})
		}
		m := &out[i]
		m.Instances++
		m.Need = m.Need.Max(h.largest)
	}
	return out
}
