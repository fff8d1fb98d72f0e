// Package traffic runs admitted requests on backend servers. A request passes
// through the queue, gets a credit of its team's limit and a slot on an
// instance, and ends with the backend server's answer or an error with a
// verdict.
//
// The package reads immutable views of the control state and never waits for
// the log.
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
	// Key is the hash of the caller's key, zero on an open queue. It is checked
	// again before each send, since a key may be withdrawn in the meantime.
	Key            configuration.KeyHash
	IdempotencyKey string
	ContentType    string
	Body           []byte
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Forwarded requests come from a peer and are not forwarded again.
	Forwarded bool
}

// job is a request in progress, with its queue's configuration.
type job struct {
	Request
	queue configuration.Queue
	// name is the same for repeated submissions of a task.
	name    string
	arrived time.Time
	// lastPeer is the address of the peer that the request was last forwarded
	// to.
	lastPeer string
}

// waiter is a job that waits for a placement.
type waiter struct {
	dispatch.Request
	// placed receives the placement of the request.
	placed chan placement
}

// placement is a slot on an instance together with a credit.
type placement struct {
	instance string
	addr     string
	pool     *pool
	credit   Credit
}

// Bounds of the work at one instance.
const (
	// maxConnections bounds the connections of this daemon to one instance.
	maxConnections = 8
	// stopRetryInterval is how often the stop of a lost task is requested.
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
