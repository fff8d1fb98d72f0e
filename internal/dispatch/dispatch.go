// Package dispatch decides which waiting request runs next, and where.
//
// It owns the order among teams (share of the whole fleet), the bounds of the
// waiting requests, and the choice of an instance. It knows nothing of the
// log, of connections or of credits: callers hand in loads, the time and a
// random source, and check upper limits themselves. Nothing here is safe for
// concurrent use; each daemon has one goroutine that owns a Queue and its
// Pools.
package dispatch

import "time"

// Request is a waiting request. The caller fills the exported fields and
// doesn't change them while the request waits.
type Request struct {
	Team  string
	Pool  string
	Queue string
	// Urgent requests go ahead of others within their team's rights.
	Urgent bool
	// Cost is the size to count against the team's share; zero is one Slot.
	Cost    Cost
	Arrived time.Time
	// StartBy is the latest time at which a start is still of use.
	StartBy time.Time
	// Value is the caller's own and is not looked at.
	Value any

	teamQueue  *teamQueue
	prev, next *Request
	heapIndex  int
}

func (r *Request) cost() Cost { return max(r.Cost, Slot) }

// Waiting tells whether the request is in a Queue.
func (r *Request) Waiting() bool { return r.teamQueue != nil }
