package schedule

import "slices"

// Exclusion is the constraint of a step that keeps its tasks from a node.
type Exclusion string

// The exclusions, free capacity aside.
const (
	Allowed Exclusion = ""
	// ByLabel: the node lacks a label that the step requires.
	ByLabel Exclusion = "label"
	// ByInstanceLimit: as many tasks of the step run there as may on one instance.
	ByInstanceLimit Exclusion = "limit on one instance"
	// ByAdvice: the advisor has given no ticket for the node.
	ByAdvice Exclusion = "advice"
)

// Exclusion returns the constraint that keeps the step's tasks from a node.
func (c *Candidate) Exclusion(n *Node) Exclusion {
	for _, label := range c.Step.Labels {
		if !slices.Contains(n.Labels, label) {
			return ByLabel
		}
	}
	if c.Step.PerInstance > 0 && c.Placed[n.ID] >= c.Step.PerInstance {
		return ByInstanceLimit
	}
	if c.Tickets == nil {
		return Allowed
	}
	if _, ok := c.Tickets[n.ID]; !ok {
		return ByAdvice
	}
	return Allowed
}
