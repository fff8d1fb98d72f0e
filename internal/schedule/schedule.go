// Package schedule decides which waiting tasks start where: a snapshot goes in,
// a plan comes out. It does no I/O and keeps nothing.
//
// The load it answers is demand by turns: a pool is asked for several times its
// room for some seconds and little in between, by jobs of a few short tasks.
package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/beryltide/beryltide/internal/job"
)

// reserveAfter is when a task that fits nowhere keeps a node's room for itself:
// the users allow a turn 3 s while there is room twice over.
const reserveAfter = 2 * time.Second

// Class orders steps before their rank does.
type Class int

// The classes, first come first.
const (
	// Lasting tasks serve users at all times.
	Lasting Class = iota
	// InTime jobs can still meet their objective.
	InTime
	// Late jobs are worth little, and can't become worth less soon.
	Late
	// Worthless jobs have missed three times their objective.
	Worthless
	// Filling tasks take what is left.
	Filling
)

// Task is one waiting task.
type Task struct {
	Index int
	// Avoid is an instance at which the task has failed.
	Avoid string
}

// Candidate is a step with tasks that wait.
type Candidate struct {
	Job        string
	Occurrence int
	Number     int
	Step       *job.Step
	Tasks      []Task
	Class      Class
	// Rank orders candidates of a class, lowest first.
	Rank  float64
	Since time.Time
	// Placed counts the step's tasks by instance.
	Placed map[string]int
	// Team bounds: what the team may still start; nil is no bound.
	Allowance *job.Resources
	// Tickets holds the instances that may run the step; nil means all.
	Tickets map[string]string
}

// Trim leaves only the tasks that still wait.
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
	Free       job.Resources
	// Doubtful nodes have failed tasks lately; they come last.
	Doubtful bool
	// Serving counts lasting tasks, Fillers the tasks that fill.
	Serving int
	Fillers int
	// ServingCPU is what the lasting tasks take.
	ServingCPU int
}

// Assignment is one start.
type Assignment struct {
	Task   job.TaskID
	Node   string
	Ticket string
}

// Plan assigns waiting tasks to nodes. It changes the nodes' free room.
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

// shape is what decides alone whether an unconstrained task fits anywhere.
type shape struct {
	need  job.Resources
	label string
}

type planner struct {
	now         time.Time
	nodes       []*Node
	assignments []Assignment
	// blocked holds the shapes that fitted nowhere in this round.
	blocked map[shape]bool
}

func (p *planner) placeTasks(c *Candidate) {
	unconstrained := c.Step.PerInstance == 0 && c.Tickets == nil
	s := shape{need: c.Step.Room()}
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

// placeGang starts all members or none.
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
				n.Free = n.Free.Add(c.Step.Room())
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
		n.Serving += by
		n.ServingCPU += by * c.Step.Need.CPU
	case c.Step.Fills:
		n.Fillers += by
	}
}

func (p *planner) assign(c *Candidate, t Task, n *Node) {
	n.Free = n.Free.Sub(c.Step.Room())
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

// reserve keeps the emptiest node that could hold the task free of what comes
// behind it in the order, once the task has waited long.
func (p *planner) reserve(c *Candidate) {
	if p.now.Sub(c.Since) < reserveAfter || c.Class >= Worthless {
		return
	}
	var best *Node
	for _, n := range p.nodes {
		if !c.feasible(n) || !c.Step.Room().Fits(n.Capacity) {
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

// choose returns the best node for a task, or nil.
func (p *planner) choose(c *Candidate, t Task) *Node {
	var best *Node
	var bestCost float64
	for _, n := range p.nodes {
		if !c.feasible(n) || !c.Step.Room().Fits(n.Free) {
			continue
		}
		cost := p.cost(c, t, n)
		if best == nil || cost < bestCost {
			best, bestCost = n, cost
		}
	}
	return best
}

// feasible says whether the step's rules allow a node.
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

// Costs of a node, in shares of an idle node. Each outweighs those below it.
const (
	costSuspect    = 100.0
	costFailedHere = 200.0
	costFarRack    = 20.0
	costMixed      = 4.0
	// costSameStep keeps a lasting step's tasks apart: what is lost with one
	// instance should be few of them.
	costSameStep = 2.0
	// costCrowded keeps serving tasks from filling a node.
	costCrowded  = 3.0
	costNewNode  = 1.0
	costSameRack = 0.1
)

// longRunningShare is the part of a node that lasting tasks fill before others are
// preferred: what serves needs room for its peaks.
const longRunningShare = 0.5

// cost weighs a node for a task: nodes that work, near the data, apart from
// what the task would disturb. Then the fullest, so that others stand idle and
// can go to pools that need them.
func (p *planner) cost(c *Candidate, t Task, n *Node) float64 {
	free := float64(n.Free.CPU) / float64(max(n.Capacity.CPU, 1))
	cost := free
	if n.Doubtful {
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
		cost += costMixed * float64(n.Serving)
	case c.Step.Lasting:
		cost += p.longRunningCost(c, n)
	}
	return cost
}

// longRunningCost gathers lasting tasks at few nodes, but not those of one step.
func (p *planner) longRunningCost(c *Candidate, n *Node) float64 {
	cost := costMixed*float64(n.Fillers) + costSameStep*float64(c.Placed[n.ID]) + costSameRack*float64(p.placedInRack(c, n.Rack))
	if n.Serving == 0 {
		cost += costNewNode
	}
	if float64(n.ServingCPU+c.Step.Need.CPU) > longRunningShare*float64(n.Capacity.CPU) {
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

// rackCompatible says whether the step's tasks lie in a rack, or nowhere yet.
func (p *planner) rackCompatible(c *Candidate, rack string) bool {
	placed := false
	for id, count := range c.Placed {
		placed = placed || count > 0 && id != ""
	}
	return !placed || p.placedInRack(c, rack) > 0
}
