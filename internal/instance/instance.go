// Package instance defines the instances that run tasks (their registrations, and
// the orders and polls sent to them) and the client interface to them. Package
// platform implements it.
package instance

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/job"
)

// Registration is an instance's entry in the registry, which the instance writes
// itself.
type Registration struct {
	ID   string
	Pool string
	// Address is the host and port of its HTTP server.
	Address    string
	DataCentre string
	Draining   bool
	Capacity   job.Resources
	Labels     []string
	Rack       string
	// Incarnation is the Unix millisecond of the instance's start; 0 if unknown.
	Incarnation int64
}

// Start orders a run.
type Start struct {
	// Incarnation is the one that the order is meant for; 0 means any.
	Incarnation int64
	Task        job.TaskID
	Run         int
	Payload     string
	// Checkpoint is from where the run resumes; empty for a run from the start.
	Checkpoint string
	// Ticket is the advisor's ticket; empty if the queue needs none.
	Ticket string
	// Fence is the fencing token: the epoch of the unit's owner.
	Fence int64
	// Lease is the time on the instance's clock at which the lease of all its runs
	// expires.
	Lease time.Duration
}

// Stop orders the end of a run.
type Stop struct {
	// Incarnation is the one that the order is meant for; 0 means any.
	Incarnation int64
	Task        job.TaskID
	Run         int
	Fence       int64
}

// Pace limits a backfill task to a percentage of its CPU.
type Pace struct {
	// Incarnation is the one that the order is meant for; 0 means any.
	Incarnation int64
	Task        job.TaskID
	Run         int
	Percent     int
	Fence       int64
}

// Poll renews the lease, acknowledges ends and lists the runs.
type Poll struct {
	// Incarnation is the one that the poll is meant for; 0 means any. If another one
	// answers, its listing is returned at once, and nothing is renewed or acknowledged.
	Incarnation int64
	Fence       int64
	// Acknowledged is the number of the last end that has been recorded.
	Acknowledged int64
	// Lease is the time on the instance's clock at which the lease of all its runs
	// expires; 0 doesn't renew it.
	Lease time.Duration
	// Wait is how long the instance may delay its answer until a run ends; 0 for an
	// immediate answer.
	Wait time.Duration
}

// RunningTask is a run that an instance lists as running.
type RunningTask struct {
	Task       job.TaskID
	Run        int
	Checkpoint string
	// Percent is the run's progress; 100 for a long-running task that has started
	// up.
	Percent int
	// Load is the tail latency in milliseconds of a long-running task that serves
	// users, else the CPU in use in thousandths of a core.
	Load float64
}

// EndedTask is the end of a run. An instance lists it until it is acknowledged.
type EndedTask struct {
	// Number numbers the ends of an incarnation.
	Number     int64
	Task       job.TaskID
	Run        int
	How        job.End
	Checkpoint string
}

// Listing is the answer to a poll.
type Listing struct {
	// Clock is the instance's clock, on which leases are measured.
	Clock       time.Duration
	Incarnation int64
	Running     []RunningTask
	Ended       []EndedTask
	// MoreEnds means that Ended may lack later ends: a run in neither list isn't
	// known to be gone.
	MoreEnds bool
	// Unreadable is the number of rows that don't name a task of this program.
	Unreadable int
}

// Client sends orders and polls to instances. Calls go to the address of one
// registration and are refused by any other instance there. An order that names an
// incarnation is not sent to any other one, however long it is on its way. Calls return
// one of the errors below, possibly wrapped.
type Client interface {
	Start(ctx context.Context, at Registration, s Start) error
	Stop(ctx context.Context, at Registration, s Stop) error
	Pace(ctx context.Context, at Registration, p Pace) error
	Poll(ctx context.Context, at Registration, p Poll) (Listing, error)
}

var (
	// ErrFenced means that the instance has had orders with a higher fencing token.
	ErrFenced = errors.New("the instance has a newer owner")
	// ErrOldRun means that the instance has already had this run of the task or a
	// later one.
	ErrOldRun = errors.New("the instance has already had this run or a later one")
	// ErrLate means that the lease in the order had expired when it arrived.
	ErrLate = errors.New("the lease in the order has expired")
	// ErrNoCapacity means that the instance has too little free capacity.
	ErrNoCapacity = errors.New("the instance has too little free capacity")
	// ErrTicket means that the advisor's ticket isn't valid.
	ErrTicket = errors.New("the ticket is not valid")
	// ErrRefused means that the order wasn't executed and won't be.
	ErrRefused = errors.New("the instance refused the order")
	// ErrGone means that another instance answers at the address.
	ErrGone = errors.New("another instance answers at the address")
	// ErrRestarted means that the order wasn't sent, since the instance has restarted.
	ErrRestarted = errors.New("another incarnation of the instance answers")
	// ErrUnsent means that the order wasn't sent.
	ErrUnsent = errors.New("the order was not sent")
	// ErrUnknown means that the order may have been, or may still be, executed.
	ErrUnknown = errors.New("the instance did not answer")
)
