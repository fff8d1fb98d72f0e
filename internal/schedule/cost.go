package schedule

// Costs of a node, on the scale on which a wholly free node costs 1.
const (
	costSuspect    = 100.0
	costFailedHere = 200.0
	costFarRack    = 20.0
	// costMixed separates backfill from long-running tasks.
	costMixed = 4.0
	// costSameStep spreads a long-running step's tasks, so that the loss of one
	// instance takes few of them.
	costSameStep = 2.0
	// costCrowded applies above longRunningShare.
	costCrowded = 3.0
	costNewNode = 1.0
	// costMaintenanceDue outweighs all but the spread over two instances: each move of
	// a long-running task uses up its step's disruption budget.
	costMaintenanceDue = 5.0
	costSameRack       = 0.1
)

// longRunningShare is the part of a node's CPU that long-running tasks take before
// other nodes are preferred: services need headroom for their peaks.
const longRunningShare = 0.5

// cost returns the cost of a task on a node. Reliable nodes near the step's data
// and without tasks that would be disturbed are preferred, and among these the
// fullest (best fit): idle nodes can move to pools that need them.
func (p *planner) cost(c *Candidate, t Task, n *Node) float64 {
	cost := freeShare(n)
	if n.Suspect {
		cost += costSuspect
	}
	if t.Avoid == n.ID {
		cost += costFailedHere
	}
	if c.Step.Rack != "" && c.Step.Rack != n.Rack {
		cost += costFarRack
	}
	if c.Step.SameRack && !p.rackCompatible(c, n.Rack) {
		cost += costFarRack
	}
	switch {
	case c.Step.Fills:
		cost += costMixed * float64(n.LongRunningTasks)
	case c.Step.Lasting:
		cost += p.longRunningCost(c, n)
	}
	return cost
}

// longRunningCost packs long-running tasks onto few nodes, but spreads those of one
// step.
func (p *planner) longRunningCost(c *Candidate, n *Node) float64 {
	cost := costMixed*float64(n.BackfillTasks) + costSameStep*float64(c.Placed[n.ID]) + costSameRack*float64(p.placedInRack(c, n.Rack))
	if n.LongRunningTasks == 0 {
		cost += costNewNode
	}
	if n.MaintenanceDue {
		cost += costMaintenanceDue
	}
	if float64(n.LongRunning.CPU+c.Step.Need.CPU) > longRunningShare*float64(n.Capacity.CPU) {
		cost += costCrowded
	}
	return cost
}

func (p *planner) placedInRack(c *Candidate, rack string) int {
	sum := 0
	for _, n := range p.nodes {
		if n.Rack == rack {
			sum += c.Placed[n.ID]
		}
	}
	return sum
}

// rackCompatible reports whether tasks of the step are placed in a rack, or none is
// placed yet.
func (p *planner) rackCompatible(c *Candidate, rack string) bool {
	placed := false
	for id, count := range c.Placed {
		placed = placed || count > 0 && id != ""
	}
	return !placed || p.placedInRack(c, rack) > 0
}
