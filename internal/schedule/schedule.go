// Package schedule assigns waiting tasks to instances. Plan computes the starts
// from a snapshot; the package does no I/O, keeps no state between calls and
// depends on packages job, fairshare and shortage only.
//
// It is designed for demand peaks: for some seconds jobs of a few short tasks need
// several times a pool's capacity, and little of it in between.
package schedule

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/beryltide/beryltide/internal/fairshare"
	"github.com/beryltide/beryltide/internal/job"
)

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

// Valued reports whether callers gain by tasks of the class. Limits, machines and
// reservations go to valued tasks first, backlogs and forecasts consist of them, and the
// others get what they leave: no waiting task is without a claim to what it needs to start.
func (c Class) Valued() bool { return c <= Late }

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
	// Team is the team's part in the division of the pool, shared by all of its
	// candidates; nil if the pool isn't divided.
	Team *fairshare.Team
	// Begun jobs have had a start. Begun and Priority, the queue's with 0 first, order a
	// team's candidates in a division.
	Begun    bool
	Priority int
	// HeldBack is set by Plan if the team's share kept a task of the step from starting.
	HeldBack bool
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
	// MaintenanceDue marks a node that maintenance will take down: long-running tasks
	// would have to move once more.
	MaintenanceDue bool
	// LongRunningTasks is the number of long-running tasks.
	LongRunningTasks int
	// BackfillTasks is the number of backfill tasks.
	BackfillTasks int
	// LongRunning is the allocation of the long-running tasks.
	LongRunning job.Resources
	// Reservation names the step that the node's free capacity is kept for, until
	// one of its tasks fits; empty if none. Plan updates it.
	Reservation StepKey
}

// Assignment is one start.
type Assignment struct {
	Task job.TaskID
	// Node is the instance ID.
	Node string
	// Ticket is the advisor's ticket; empty for steps that need none.
	Ticket string
	// Class is the candidate's class when it was assigned.
	Class Class
}

// Plan assigns waiting tasks to nodes, in the order of class, rank and job, or, within
// the classes in time and late, divided among the candidates' teams. It sorts candidates
// in place by class, rank and job, and updates Free, Reservation and the task counts of
// the nodes, and Placed, Allowance, Team and HeldBack of the candidates.
func Plan(now time.Time, candidates []*Candidate, nodes []*Node) []Assignment {
	slices.SortFunc(candidates, compare)
	p := newPlanner(now, nodes)
	p.keepReservations(candidates)
	for len(candidates) > 0 {
		class := firstClass(candidates)
		p.placeClass(class)
		candidates = candidates[len(class):]
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
	if d := strings.Compare(a.Job, b.Job); d != 0 {
		return d
	}
	return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Number, b.Number))
}

type planner struct {
	now         time.Time
	nodes       []indexedNode
	byID        map[string]int32
	assignments []Assignment
	// all is an index of all nodes, racks one of each rack that a task has preferred
	// so far.
	all   *nodeIndex
	racks map[string]*nodeIndex
	// blocked holds the shapes that fitted no node in this round.
	blocked map[shape]bool
	// reserved holds the reserved nodes by step.
	reserved map[StepKey]*indexedNode
}

func newPlanner(now time.Time, nodes []*Node) *planner {
	p := &planner{
		now: now, nodes: make([]indexedNode, len(nodes)), byID: make(map[string]int32, len(nodes)),
		racks: map[string]*nodeIndex{}, blocked: map[shape]bool{}, reserved: map[StepKey]*indexedNode{},
	}
	positions := make([]int32, len(nodes))
	for i, n := range nodes {
		p.nodes[i] = indexedNode{Node: n, share: freeShare(n), position: i}
		p.byID[n.ID] = int32(i)
		positions[i] = int32(i)
	}
	p.all = newNodeIndex(p.nodes, positions)
	return p
}

// node returns a node of the plan, or nil.
func (p *planner) node(id string) *indexedNode {
	if at, found := p.byID[id]; found {
		return &p.nodes[at]
	}
	return nil
}

// rack returns the index of a rack's nodes.
func (p *planner) rack(name string) *nodeIndex {
	if p.racks[name] == nil {
		var members []int32
		for i := range p.nodes {
			if p.nodes[i].Rack == name {
				members = append(members, int32(i))
			}
		}
		p.racks[name] = newNodeIndex(p.nodes, members)
	}
	return p.racks[name]
}

// setFree changes a node's free capacity and its place in the indexes.
func (p *planner) setFree(n *indexedNode, free job.Resources) {
	rack := p.racks[n.Rack]
	p.all.remove(n)
	if rack != nil {
		rack.remove(n)
	}
	n.Free = free
	n.share = freeShare(n.Node)
	p.all.insert(n)
	if rack != nil {
		rack.insert(n)
	}
}

func (p *planner) placeTasks(c *Candidate) {
	s := shapeOf(c.Step)
	for _, t := range c.Tasks {
		if !p.placeTask(c, t, s) {
			return
		}
	}
}

// placeTask assigns a task of a candidate of the given shape. If it returns false, none
// of the candidate's further tasks can start.
func (p *planner) placeTask(c *Candidate, t Task, s shape) bool {
	unconstrained := c.Step.PerInstance == 0 && c.Tickets == nil
	if unconstrained && p.blocked[s] {
		p.renewReservation(c)
		return false
	}
	if !c.withinAllowance() {
		return false
	}
	n := p.choose(c, t)
	if n == nil {
		p.blocked[s] = p.blocked[s] || unconstrained && t.Avoid == ""
		p.reserve(c)
		return false
	}
	p.assign(c, t, n)
	return true
}

// placeGang assigns all members of a gang or none, and reports which.
func (p *planner) placeGang(c *Candidate) bool {
	begin := len(p.assignments)
	for _, t := range c.Tasks {
		n := p.choose(c, t)
		if n == nil || !c.withinAllowance() {
			p.rollBack(c, begin)
			return false
		}
		p.assign(c, t, n)
	}
	return true
}

func (p *planner) rollBack(c *Candidate, from int) {
	for _, a := range p.assignments[from:] {
		n := p.node(a.Node)
		p.setFree(n, n.Free.Add(c.Step.Allocation()))
		c.countPlaced(n.Node, -1)
		if c.Allowance != nil {
			*c.Allowance = c.Allowance.Add(c.Step.Need)
		}
		if c.Team != nil {
			c.Team.Sub(c.Step.Allocation())
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
		n.LongRunning = n.LongRunning.Add(c.Step.Need.Times(by))
	case c.Step.Fills:
		n.BackfillTasks += by
	}
}

func (p *planner) assign(c *Candidate, t Task, n *indexedNode) {
	p.setFree(n, n.Free.Sub(c.Step.Allocation()))
	c.countPlaced(n.Node, 1)
	if c.Allowance != nil {
		*c.Allowance = c.Allowance.Sub(c.Step.Need)
	}
	if c.Team != nil {
		c.Team.Add(c.Step.Allocation())
	}
	p.assignments = append(p.assignments, Assignment{
		Task:   job.TaskID{Job: c.Job, Occurrence: c.Occurrence, Step: c.Number, Index: t.Index},
		Node:   n.ID,
		Ticket: c.Tickets[n.ID],
		Class:  c.Class,
	})
}

// choose returns the node with the lowest cost for a task, or nil if it fits none.
// Where nodes differ by free share, suspicion and rack alone, it is the fullest one
// of the preferred racks or of all nodes.
func (p *planner) choose(c *Candidate, t Task) *indexedNode {
	if c.Step.Lasting || c.Step.Fills || c.Step.Rack != "" && c.Step.SameRack {
		return p.scan(c, t)
	}
	best := p.all.fullest(c, t)
	if best == nil {
		return nil
	}
	cost := p.cost(c, t, best.Node)
	for _, rack := range p.preferredRacks(c) {
		n := p.rack(rack).fullest(c, t)
		if n == nil {
			continue
		}
		if inRack := p.cost(c, t, n.Node); inRack < cost || inRack == cost && n.position < best.position {
			best, cost = n, inRack
		}
	}
	return best
}

// preferredRacks returns the racks in which a task of the step costs less than
// elsewhere.
func (p *planner) preferredRacks(c *Candidate) []string {
	var racks []string
	switch {
	case c.Step.Rack != "":
		racks = []string{c.Step.Rack}
	case c.Step.SameRack:
		for id, count := range c.Placed {
			if n := p.node(id); n != nil && count > 0 && !slices.Contains(racks, n.Rack) {
				racks = append(racks, n.Rack)
			}
		}
	}
	return racks
}

// scan returns the node with the lowest cost among all nodes, or nil.
func (p *planner) scan(c *Candidate, t Task) *indexedNode {
	var best *indexedNode
	var bestCost float64
	for i := range p.nodes {
		n := &p.nodes[i]
		if !c.feasible(n.Node) || !c.Step.Allocation().Fits(n.Free) {
			continue
		}
		cost := p.cost(c, t, n.Node)
		if best == nil || cost < bestCost {
			best, bestCost = n, cost
		}
	}
	return best
}

// feasible reports whether the step's constraints allow a node, free capacity
// aside.
func (c *Candidate) feasible(n *Node) bool { return c.Exclusion(n) == Allowed }
