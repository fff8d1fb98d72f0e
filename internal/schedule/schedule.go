// Package schedule assigns waiting tasks to instances. Plan computes the starts
// from a snapshot; the package does no I/O, keeps no state between calls and
// depends on package job only.
//
// It is designed for demand peaks: for some seconds jobs of a few short tasks need
// several times a pool's capacity, and little of it in between.
package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/beryltide/beryltide/internal/job"
)

// reserveAfter is how long a task that fits nowhere waits before it reserves a
// node's free capacity: users accept a wait of up to 3 s while twice the capacity
// that the task needs is free.
const reserveAfter = 2 * time.Second

// Class is a candidate's priority class. Rank orders the candidates of one class.
type Class int

// The classes, highest priority first. Their numbers are logged.
const (
	// LongRunning tasks are services that run until their job is cancelled.
	LongRunning Class = iota
	// InTime jobs can still meet their objective.
	InTime
	// Late jobs can no longer meet their objective. Their value is low, but doesn't
	// fall further soon.
	Late
	// NoValue jobs can't complete within three times their objective.
	NoValue
	// Backfill tasks use processors that other tasks leave idle.
	Backfill
)

// Task is one waiting task.
type Task struct {
	Index int
	// Avoid is the instance at which the task's last run failed; empty if none.
	Avoid string
}

// Candidate is a step with waiting tasks.
type Candidate struct {
	Job        string
	Occurrence int
	// Number is the step's index in its job.
	Number int
	Step   *job.Step
	Tasks  []Task
	Class  Class
	// Rank orders candidates of a class, lowest first.
	Rank float64
	// WaitingSince is when the longest waiting task became ready to start.
	WaitingSince time.Time
	// Placed counts the step's tasks by instance ID.
	Placed map[string]int
	// Allowance is what the team may still start, shared by all of its candidates;
	// nil means no limit.
	Allowance *job.Resources
	// Tickets holds the advisor's tickets by the ID of the instance that may run
	// the step; nil means that any instance may.
	Tickets map[string]string
}

// Trim removes the tasks for which stillWaiting returns false.
func (c *Candidate) Trim(stillWaiting func(job.TaskID) bool) {
	c.Tasks = slices.DeleteFunc(c.Tasks, func(t Task) bool {
		return !stillWaiting(job.TaskID{Job: c.Job, Occurrence: c.Occurrence, Step: c.Number, Index: t.Index})
	})
}

// Node is an instance that may take tasks.
type Node struct {
	ID         string
	Rack       string
	DataCentre string
	Labels     []string
	Capacity   job.Resources
	// Free may be negative in a dimension that is over-committed.
	Free job.Resources
	// Suspect marks a node that has recently failed tasks; it is used last.
	Suspect bool
	// LongRunningTasks is the number of long-running tasks.
	LongRunningTasks int
	// BackfillTasks is the number of backfill tasks.
	BackfillTasks int
	// LongRunningCPU is the CPU allocation of the long-running tasks, in thousandths
	// of a core.
	LongRunningCPU int
}

// Assignment is one start.
type Assignment struct {
	Task job.TaskID
	// Node is the instance ID.
	Node string
	// Ticket is the advisor's ticket; empty for steps that need none.
	Ticket string
}

// Plan assigns waiting tasks to nodes, in the order of class, rank and job. It
// sorts candidates in place, and updates Free and the task counts of the nodes and
// Placed and Allowance of the candidates.
func Plan(now time.Time, candidates []*Candidate, nodes []*Node) []Assignment {
	slices.SortStableFunc(candidates, compare)
	p := planner{now: now, nodes: nodes, blocked: map[shape]bool{}}
	for _, c := range candidates {
		if c.Step.Gang {
			p.placeGang(c)
			continue
		}
		p.placeTasks(c)
	}
	return p.assignments
}

func compare(a, b *Candidate) int {
	if d := cmp.Compare(a.Class, b.Class); d != 0 {
		return d
	}
	if d := cmp.Compare(a.Rank, b.Rank); d != 0 {
		return d
	}
	return cmp.Compare(a.Job, b.Job)
}

// shape is the key under which the planner records that no node fits the tasks of
// an unconstrained step. label is the step's first label; the others are left out.
type shape struct {
	need  job.Resources
	label string
}

type planner struct {
	now         time.Time
	nodes       []*Node
	assignments []Assignment
	// blocked holds the shapes that fitted no node in this round.
	blocked map[shape]bool
}

func (p *planner) placeTasks(c *Candidate) {
	unconstrained := c.Step.PerInstance == 0 && c.Tickets == nil
	s := shape{need: c.Step.Allocation()}
	if len(c.Step.Labels) > 0 {
		s.label = c.Step.Labels[0]
	}
	for _, t := range c.Tasks {
		if unconstrained && p.blocked[s] {
			return
		}
		if !c.withinAllowance() {
			return
		}
		n := p.choose(c, t)
		if n == nil {
			p.blocked[s] = p.blocked[s] || unconstrained && t.Avoid == ""
			p.reserve(c)
			return
		}
		p.assign(c, t, n)
	}
}

// placeGang assigns all members of a gang or none.
func (p *planner) placeGang(c *Candidate) {
	begin := len(p.assignments)
	for _, t := range c.Tasks {
		n := p.choose(c, t)
		if n == nil || !c.withinAllowance() {
			p.rollBack(c, begin)
			return
		}
		p.assign(c, t, n)
	}
}

func (p *planner) rollBack(c *Candidate, from int) {
	for _, a := range p.assignments[from:] {
		for _, n := range p.nodes {
			if n.ID == a.Node {
				n.Free = n.Free.Add(c.Step.Allocation())
				c.countPlaced(n, -1)
			}
		}
		if c.Allowance != nil {
			*c.Allowance = c.Allowance.Add(c.Step.Need)
		}
	}
	p.assignments = p.assignments[:from]
}

func (c *Candidate) withinAllowance() bool {
	return c.Allowance == nil || c.Step.Need.Fits(*c.Allowance)
}

func (c *Candidate) countPlaced(n *Node, by int) {
	if c.Placed == nil {
		c.Placed = map[string]int{}
	}
	c.Placed[n.ID] += by
	switch {
	case c.Step.Lasting && !c.Step.Fills:
		n.LongRunningTasks += by
		n.LongRunningCPU += by * c.Step.Need.CPU
	case c.Step.Fills:
		n.BackfillTasks += by
	}
}

func (p *planner) assign(c *Candidate, t Task, n *Node) {
	n.Free = n.Free.Sub(c.Step.Allocation())
	c.countPlaced(n, 1)
	if c.Allowance != nil {
		*c.Allowance = c.Allowance.Sub(c.Step.Need)
	}
	p.assignments = append(p.assignments, Assignment{
		Task:   job.TaskID{Job: c.Job, Occurrence: c.Occurrence, Step: c.Number, Index: t.Index},
		Node:   n.ID,
		Ticket: c.Tickets[n.ID],
	})
}

// reserve withholds, once a step has waited for reserveAfter, the node with the
// most free CPU that could hold one of its tasks from all later candidates of this
// round. Jobs without value left and backfill reserve nothing.
func (p *planner) reserve(c *Candidate) {
	if p.now.Sub(c.WaitingSince) < reserveAfter || c.Class >= NoValue {
		return
	}
	var best *Node
	for _, n := range p.nodes {
		if !c.feasible(n) || !c.Step.Allocation().Fits(n.Capacity) {
			continue
		}
		if best == nil || n.Free.CPU > best.Free.CPU {
			best = n
		}
	}
	if best != nil {
		best.Free = job.Resources{}
	}
}

// choose returns the node with the lowest cost for a task, or nil if it fits none.
func (p *planner) choose(c *Candidate, t Task) *Node {
	var best *Node
	var bestCost float64
	for _, n := range p.nodes {
		if !c.feasible(n) || !c.Step.Allocation().Fits(n.Free) {
			continue
		}
		cost := p.cost(c, t, n)
		if best == nil || cost < bestCost {
			best, bestCost = n, cost
		}
	}
	return best
}

// feasible reports whether the step's constraints allow a node, free capacity
// aside.
func (c *Candidate) feasible(n *Node) bool {
	for _, label := range c.Step.Labels {
		if !slices.Contains(n.Labels, label) {
			return false
		}
	}
	if c.Step.PerInstance > 0 && c.Placed[n.ID] >= c.Step.PerInstance {
		return false
	}
	if c.Tickets == nil {
		return true
	}
	_, ok := c.Tickets[n.ID]
	return ok
}

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
	costCrowded  = 3.0
	costNewNode  = 1.0
	costSameRack = 0.1
)

// longRunningShare is the part of a node's CPU that long-running tasks take before
// other nodes are preferred: services need headroom for their peaks.
const longRunningShare = 0.5

// cost returns the cost of a task on a node. Reliable nodes near the step's data
// and without tasks that would be disturbed are preferred, and among these the
// fullest (best fit): idle nodes can move to pools that need them.
func (p *planner) cost(c *Candidate, t Task, n *Node) float64 {
	free := float64(n.Free.CPU) / float64(max(n.Capacity.CPU, 1))
	cost := free
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
	if float64(n.LongRunningCPU+c.Step.Need.CPU) > longRunningShare*float64(n.Capacity.CPU) {
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
