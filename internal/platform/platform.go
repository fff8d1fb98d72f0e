// Package platform declares the interfaces to the platform: the log, the
// directory and the backend servers.
//
// It holds only interfaces and the types of their arguments and results. The
// adapters are in the packages below it. The simulated platform is in a package
// that the product never imports.
package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/record"
)

// Stream names a stream of the log.
type Stream string

// Streams that beryltide writes.
const (
	// StreamControl holds the records that all members fold.
	StreamControl Stream = "control"
	// StreamCheckpoint holds snapshots of the folded state, each at one offset
	// of StreamControl.
	StreamCheckpoint Stream = "checkpoint"
)

// ErrTrimmed reports a read from an offset that the log no longer keeps.
var ErrTrimmed = errors.New("offset is below the oldest record kept")

// ErrRebooting reports that a reboot is still in progress.
var ErrRebooting = errors.New("the reboot is still in progress")

// Entry is one record of a stream.
type Entry struct {
	Offset record.Offset
	Data   []byte
}

// Batch is the result of a read.
type Batch struct {
	Entries []Entry
	// Oldest is the lowest offset that the log keeps.
	Oldest record.Offset
	// Head is the offset of the next append.
	Head record.Offset
}

// Log appends to and reads from the platform's log service.
type Log interface {
	// Append adds data to the stream. After an error the record may or may not
	// have been added; only reading the stream shows which.
	Append(ctx context.Context, s Stream, data []byte) error
	// Read returns up to limit entries in order, starting at offset from. If
	// there are none, it waits up to wait for one, then returns an empty batch.
	// If from is no longer kept, it returns ErrTrimmed and a batch with Oldest.
	Read(ctx context.Context, s Stream, from record.Offset, limit int, wait time.Duration) (Batch, error)
}

// Role is the purpose of an instance.
type Role string

// Roles of instances.
const (
	RoleEntry  Role = "entry"
	RoleWorker Role = "worker"
)

// Listing is the directory's entry for one instance.
type Listing struct {
	Instance   string `json:"instance"`
	Role       Role   `json:"role"`
	DataCentre string `json:"dataCentre"`
	Rack       string `json:"rack"`
	// Addr is the backend server's address, or that of the daemon's peer port,
	// as host:port.
	Addr string `json:"addr"`
	// Slots is the number of tasks that the instance runs at once.
	Slots int `json:"slots"`
	// Leaving is set once the platform has announced that the instance will be
	// removed.
	Leaving bool `json:"leaving"`
}

// Directory lists the platform's live and leaving instances, and reboots
// instances. The list lags behind the actual state and may be wrong.
type Directory interface {
	List(ctx context.Context) ([]Listing, error)
	// Reboot requests the reboot of a drained instance. It is idempotent within
	// a wave: a repeated call returns ErrRebooting while the reboot is in
	// progress, and nil once it is over.
	Reboot(ctx context.Context, instance, wave string) error
}

// Task is one attempt to run a request at a backend server.
type Task struct {
	ID    string
	Queue string
	Team  string
	// StartBefore is the time after which the backend server must refuse to
	// start the task.
	StartBefore time.Time
	// Lease is the task's maximum run time. The platform stops the task after
	// it.
	Lease       time.Duration
	ContentType string
	Body        []byte
}

// Answer is a backend server's complete answer to a task.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Instance is the name of the instance that ran the task.
	Instance string
	// Leaving is set when the backend server reports, in an answer or in a
	// refusal, that it is about to shut down.
	Leaving bool
}

// Usage is a backend server's report of its own load. It lags behind the actual
// load.
type Usage struct {
	Instance string `json:"instance"`
	Running  int    `json:"running"`
	Slots    int    `json:"slots"`
	Leaving  bool   `json:"leaving"`
	// CPU and Memory are the used fractions of the instance, 0 to 1.
	CPU    float64 `json:"cpu"`
	Memory float64 `json:"memory"`
}

// Backends runs tasks on backend servers.
type Backends interface {
	// Run runs a task on the backend server at addr. Each error carries a
	// verdict (package verdict), which is NotRun only if it is proved that the
	// task didn't run and won't run.
	Run(ctx context.Context, addr string, t Task) (Answer, error)
	// Stop ends a task. It returns true once it is known that the task is over
	// and will never start.
	Stop(ctx context.Context, addr, taskID string) (bool, error)
	Usage(ctx context.Context, addr string) (Usage, error)
}
