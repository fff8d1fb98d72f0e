// Package dispatch chooses the waiting request that starts next, and the
// instance that runs it.
//
// It owns the order of teams by their shares of the whole fleet, the bounds of
// the waiting requests (queue depth and start deadline), and the choice of an
// instance. It does not depend on the log, on connections or on credits:
// callers pass in loads, the time and a random source, and enforce team limits
// themselves. Nothing here is safe for concurrent use; callers serialize access
// to a Queue and its Pools.
package dispatch

import "time"

// Request is a waiting request. The caller sets the exported fields and must
// not change them while the request waits.
type Request struct {
	Team  string
	Pool  string
	Queue string
	// Urgent requests go first while their team's urgent work is within its
	// share.
	Urgent bool
	// Cost is the size that counts against the team's share; zero means one
	// Slot.
	Cost    Cost
	Arrived time.Time
	// StartBy is the latest time at which a start is still useful.
	StartBy time.Time
	// Value belongs to the caller; this package does not read it.
	Value any

	teamQueue  *teamQueue
	prev, next *Request
	heapIndex  int
}

func (r *Request) cost() Cost { return max(r.Cost, Slot) }

// Waiting reports whether the request is in a Queue.
func (r *Request) Waiting() bool { return r.teamQueue != nil }
