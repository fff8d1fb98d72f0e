// Package machine defines the platform's machines, on which the instances run, and
// the client interface to them. Package platform implements it. Only the leader, the
// holder of the fleet's unit, sends orders to machines.
package machine

import (
	"context"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/job"
)

// State is a machine's state as the platform lists it.
type State string

// The states of a machine.
const (
	Up          State = "up"
	Moving      State = "moving"
	Maintenance State = "maintenance"
	Down        State = "down"
)

// Machine is one machine of the fleet.
type Machine struct {
	Name       string
	Pool       string
	State      State
	DataCentre string
	Labels     []string
	Capacity   job.Resources
	// Instance is the ID of the instance on the machine; empty if there is none.
	Instance string
}

// Holder identifies the leader that sends an order. Fence is its fencing token, the
// epoch of its tenure: the platform refuses orders with a lower one than the highest
// that it has received.
type Holder struct {
	Name  string
	Fence int64
}

// Client lists and orders the platform's machines. Move and Maintain return one of
// the errors below, possibly wrapped.
type Client interface {
	List(ctx context.Context) ([]Machine, error)
	// Move ends all runs on a machine and brings it up in another pool.
	Move(ctx context.Context, by Holder, name, pool string) error
	// Maintain ends all runs on a machine and takes it down for a wave.
	Maintain(ctx context.Context, by Holder, name string, wave int64) error
}

var (
	// ErrBusy means that the machine isn't up, or is about to move or go down.
	ErrBusy = errors.New("the machine is busy")
	// ErrFenced means that a holder with a higher fencing token has sent orders.
	ErrFenced = errors.New("the machine has had orders with a higher fencing token")
	// ErrNotOfWave means that the machine isn't part of the wave.
	ErrNotOfWave = errors.New("the machine is not part of the wave")
	// ErrUnknownMachine means that there is no machine of that name.
	ErrUnknownMachine = errors.New("no such machine")
	// ErrNotDone means that the call had no effect and will have none.
	ErrNotDone = errors.New("the platform refused the call")
	// ErrUnknown means that it isn't known whether the call had an effect.
	ErrUnknown = errors.New("the platform did not answer")
)
