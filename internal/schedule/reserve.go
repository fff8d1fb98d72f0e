package schedule

import (
	"time"

	"github.com/beryltide/beryltide/internal/job"
)

const (
	// reserveAfter is how long a task that fits nowhere waits before it reserves a
	// node's free capacity: users accept a wait of up to 3 s while twice the capacity
	// that the task needs is free.
	reserveAfter = 2 * time.Second
	// nodesPerReservation bounds the reserved nodes to one for so many nodes: a
	// reserved node runs less than it could until the task fits.
	nodesPerReservation = 50
)

// StepKey names a step of a job's occurrence.
type StepKey struct {
	Job        string
	Occurrence int
	Number     int
}

// Key returns the candidate's name.
func (c *Candidate) Key() StepKey {
	return StepKey{Job: c.Job, Occurrence: c.Occurrence, Number: c.Number}
}

// keepReservations takes over the nodes' reservations, and drops those of steps that
// no longer wait.
func (p *planner) keepReservations(candidates []*Candidate) {
	waiting := map[StepKey]bool{}
	for i := range p.nodes {
		if p.nodes[i].Reservation != (StepKey{}) {
			waiting[p.nodes[i].Reservation] = false
		}
	}
	if len(waiting) == 0 {
		return
	}
	for _, c := range candidates {
		if _, reserves := waiting[c.Key()]; reserves {
			waiting[c.Key()] = true
		}
	}
	for i := range p.nodes {
		n := &p.nodes[i]
		if waiting[n.Reservation] {
			p.reserved[n.Reservation] = n
		} else {
			n.Reservation = StepKey{}
		}
	}
}

// reserve withholds a node from all later candidates of this round, once a step has
// waited for reserveAfter: the one that it reserved before, so that the node's tasks
// end one after another and nothing takes their place, or else the one with the most
// free CPU. Tasks that aren't valued reserve nothing: that would keep capacity from valued
// ones that arrive, which fill the fullest nodes first and so leave others empty while
// less than half of the pool is in use.
func (p *planner) reserve(c *Candidate) {
	if p.now.Sub(c.WaitingSince) < reserveAfter || !c.Class.Valued() {
		return
	}
	n := p.reserved[c.Key()]
	if n == nil && len(p.reserved) < max(len(p.nodes)/nodesPerReservation, 1) {
		n = p.all.emptiest(c)
	}
	if n == nil {
		return
	}
	n.Reservation = c.Key()
	p.reserved[c.Key()] = n
	p.setFree(n, job.Resources{})
}

// renewReservation withholds the node that the step has reserved, if there is one.
func (p *planner) renewReservation(c *Candidate) {
	if p.reserved[c.Key()] != nil {
		p.reserve(c)
	}
}
