package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/beryltide/beryltide/internal/fairshare"
	"github.com/beryltide/beryltide/internal/job"
)

// Overloaded reports whether a pool's backlog is so long that its capacity is to be
// divided among teams.
func Overloaded(backlog time.Duration) bool { return backlog >= overloadBacklog }

// Divided reports whether a division among teams applies to a class. Long-running tasks
// come before it, jobs without value left and backfill after it.
func (c Class) Divided() bool { return c == InTime || c == Late }

// firstClass returns the leading candidates of one class.
func firstClass(candidates []*Candidate) []*Candidate {
	for i, c := range candidates {
		if c.Class != candidates[0].Class {
			return candidates[:i]
		}
	}
	return candidates
}

// placeClass places the candidates of one class, in the order of rank and job or
// divided among their teams.
func (p *planner) placeClass(class []*Candidate) {
	if class[0].Class.Divided() && slices.ContainsFunc(class, func(c *Candidate) bool { return c.Team != nil }) {
		p.placeDivided(class)
		return
	}
	for _, c := range class {
		p.place(c)
	}
}

func (p *planner) place(c *Candidate) {
	if c.Step.Gang {
		p.placeGang(c)
		return
	}
	p.placeTasks(c)
}

// tasksPerTurn is how many tasks of one step a team may start at its turn. A step's tasks
// are started together, since one that gets its share task by task completes late: in the
// replay of package fairshare with weights by usual rate, turns of one task let 0.07 fewer
// of the jobs be in time than turns of a whole step of 8. Larger steps take several turns,
// which bounds how far a team goes beyond its share.
const tasksPerTurn = 16

// placeDivided starts up to tasksPerTurn tasks of a step, or one gang, at a time, each
// time of the team with the lowest level, and passes over what can't start: capacity that
// one team can't use is used by the others. Candidates without a team come last.
func (p *planner) placeDivided(class []*Candidate) {
	d := division{planner: p, mostFree: p.all.mostFree(), queues: map[*fairshare.Team]*teamQueue{}}
	order := fairshare.NewOrder(d.enqueue(class))
	for t := order.First(); t != nil; t = order.First() {
		if d.startTurn(d.queues[t]) {
			order.Update()
		} else {
			order.Drop()
		}
	}
	for _, c := range class {
		if c.Team == nil {
			p.place(c)
		}
	}
	d.markHeldBack()
}

// division is the division of one class.
type division struct {
	*planner
	queues map[*fairshare.Team]*teamQueue
	// noRoom holds the candidates with a task that fitted no node at its turn.
	noRoom []*Candidate
	// latest holds the candidate with a start that comes last by compare, and the last
	// one of all other teams.
	latest [2]*Candidate
	// mostFree is the most that a node had free before the class was placed.
	mostFree job.Resources
}

// queueCapacity is the capacity of a new queue: 20 teams share some 500 candidates.
const queueCapacity = 32

// teamQueue holds a team's candidates of a class that haven't had their turn.
type teamQueue struct {
	candidates []*Candidate
	// next is the position of the first candidate's next task, shape its shape.
	next  int
	shape shape
}

// enqueue sorts the candidates into the queues of their teams, and returns the teams.
func (d *division) enqueue(class []*Candidate) []*fairshare.Team {
	var teams []*fairshare.Team
	for _, c := range class {
		if c.Team == nil {
			continue
		}
		q := d.queues[c.Team]
		if q == nil {
			q = &teamQueue{candidates: make([]*Candidate, 0, queueCapacity)}
			d.queues[c.Team] = q
			teams = append(teams, c.Team)
		}
		q.candidates = append(q.candidates, c)
	}
	for _, q := range d.queues {
		if !slices.IsSortedFunc(q.candidates, compareInTeam) {
			slices.SortStableFunc(q.candidates, compareInTeam)
		}
	}
	return teams
}

// compareInTeam orders a team's candidates of a class that are in the order of compare.
// Jobs that have begun come first: a share of the pool that is spread over all jobs of
// the team would complete none of them.
func compareInTeam(a, b *Candidate) int {
	if a.Begun != b.Begun {
		if a.Begun {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.Priority, b.Priority)
}

// startTurn starts tasks of a queue's first candidate that can start. It returns false if
// there is none.
func (d *division) startTurn(q *teamQueue) bool {
	for len(q.candidates) > 0 {
		c := q.candidates[0]
		started := 0
		for started < tasksPerTurn && d.startOf(c, q) {
			started++
		}
		if started > 0 {
			d.noteStart(c)
		}
		if started == tasksPerTurn {
			return true
		}
		if q.next < len(c.Tasks) && c.withinAllowance() {
			d.noRoom = append(d.noRoom, c)
		}
		q.candidates, q.next = q.candidates[1:], 0
		if started > 0 {
			return true
		}
	}
	return false
}

// startOf starts a candidate's next task, or its gang.
func (d *division) startOf(c *Candidate, q *teamQueue) bool {
	if c.Step.Gang {
		if q.next > 0 || !d.placeGang(c) {
			return false
		}
		q.next = len(c.Tasks)
		return true
	}
	if q.next == len(c.Tasks) {
		return false
	}
	if q.next == 0 {
		q.shape = shapeOf(c.Step)
	}
	if !d.placeTask(c, c.Tasks[q.next], q.shape) {
		return false
	}
	q.next++
	return true
}

func (d *division) noteStart(c *Candidate) {
	first := d.latest[0]
	switch {
	case first == nil || compare(first, c) < 0:
		if first != nil && first.Team != c.Team {
			d.latest[1] = first
		}
		d.latest[0] = c
	case first.Team != c.Team && (d.latest[1] == nil || compare(d.latest[1], c) < 0):
		d.latest[1] = c
	}
}

// markHeldBack marks the candidates whose team's share kept a task from starting: one
// that a node had room for before the class was placed and that comes, without the
// division, before a candidate of another team of which a task was started.
func (d *division) markHeldBack() {
	for _, c := range d.noRoom {
		if !c.Step.Allocation().Fits(d.mostFree) {
			continue
		}
		for _, other := range d.latest {
			c.HeldBack = c.HeldBack || other != nil && other.Team != c.Team && compare(c, other) < 0
		}
	}
}

// mostFree returns the most that a node has free of each resource, by the nodes with
// the highest free share of CPU.
func (x *nodeIndex) mostFree() job.Resources {
	var most job.Resources
	for _, list := range [][]int32{x.reliable, x.suspect} {
		if len(list) > 0 {
			most = most.Max(x.nodes[list[len(list)-1]].Free)
		}
	}
	return most
}
