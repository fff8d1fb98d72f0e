package peer

import (
	"context"
	"time"

	"github.com/beryltide/beryltide/internal/dispatch"
	"github.com/beryltide/beryltide/internal/record"
)

// LoadEndpoint is the RPC service name for loads.
const LoadEndpoint = "Load"

// PoolDemand is the work that has arrived at one daemon for one pool since the
// daemon started. The counts only increase.
type PoolDemand struct {
	Pool     string
	Requests int64
	// Work is the estimated work of the requests in slot-milliseconds.
	Work int64
}

// DaemonLoad is a daemon's running, queued and arrived work.
type DaemonLoad struct {
	// Loads are its running and queued requests, by pool and team.
	Loads []dispatch.Load
	Pools []PoolDemand
	// Leaving are instances that have reported to the daemon that they are about
	// to leave.
	Leaving []string
}

// LoadArgs is a daemon's load. It replaces earlier ones of the same sender.
type LoadArgs struct {
	From record.MemberID
	// Seq increases when the load changes.
	Seq  uint64
	Load DaemonLoad
	// Lifetime is the time after its receipt at which the load expires.
	Lifetime time.Duration
}

// LoadSink receives the loads of peers. TakeLoad is called concurrently.
type LoadSink interface {
	TakeLoad(args LoadArgs)
}

// Load is the RPC endpoint for loads.
type Load struct {
	sink LoadSink
}

// NewLoad returns the endpoint that passes loads to sink.
func NewLoad(sink LoadSink) *Load { return &Load{sink: sink} }

// Push receives a peer's load.
func (l *Load) Push(args LoadArgs, _ *Empty) error {
	l.sink.TakeLoad(args)
	return nil
}

// PushLoad sends a load to a peer.
func (c *Client) PushLoad(ctx context.Context, addr string, args LoadArgs) error {
	_, err := call[Empty](ctx, c, addr, LoadEndpoint+".Push", args)
	return err
}
