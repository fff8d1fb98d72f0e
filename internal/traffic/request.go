// Package traffic takes admitted requests to backend servers: through the
// queue, a credit of the team's limit, a place at an instance, and the answer
// or a failure with its verdict.
//
// It reads immutable views of the control state and never waits for the log.
package traffic

import (
	"time"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/dispatch"
)

// Request is one admitted request.
type Request struct {
	ID    string
	Queue string
	Team  string
	// Key is the hash of the caller's key; zero on an open queue. It is checked
	// again before each send, since a key may be withdrawn meanwhile.
	Key            configuration.KeyHash
	IdempotencyKey string
	ContentType    string
	Body           []byte
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Forwarded requests come from a peer and are not forwarded again.
	Forwarded bool
}

// job is a request on its way, with its queue's configuration.
type job struct {
	Request
	queue configuration.Queue
	// name is alike for submissions of the same task.
	name    string
	arrived time.Time
	// tried is the peer that the request was last forwarded to.
	lastPeer string
}

// waiter is one wait of a job for a place.
type waiter struct {
	dispatch.Request
	// ready gets the place at which the request may run.
	placed chan placement
}

// place is a slot at an instance and the credit that goes with it.
type placement struct {
	instance string
	addr     string
	pool     *pool
	credit   Credit
}

// Bounds of the work at one instance.
const (
	// connections is the most connections of this daemon to one instance.
	maxConnections = 8
	// stopEvery is how often the end of a lost task is asked for.
	stopRetryInterval = time.Second
)

func (j *job) waiter() *waiter {
	w := &waiter{placed: make(chan placement, 1)}
	w.Request = dispatch.Request{
		Team:    j.Team,
		Pool:    j.queue.Pool,
		Queue:   j.Queue,
		Urgent:  j.queue.Urgent,
		Cost:    dispatch.Slot,
		Arrived: j.arrived,
		StartBy: j.Deadline,
		Value:   w,
	}
	return w
}
