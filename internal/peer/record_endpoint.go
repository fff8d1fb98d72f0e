package peer

import (
	"context"
	"time"

	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/record"
)

// RecordEndpoint is the RPC service name for records of the log.
const RecordEndpoint = "Record"

// NeverCurrent is the age that a daemon reports if it has not yet read the log up
// to its head.
const NeverCurrent time.Duration = -1

// LogPositionArgs is the empty argument of Record.Standing.
type LogPositionArgs struct{}

// LogPosition is how far a daemon has read the log.
type LogPosition struct {
	Member record.MemberID
	// Next is the offset of the first record that the daemon hasn't folded.
	Next record.Offset
	// Age is the time since the daemon, by reading the log or through peers, held
	// every record of the log; NeverCurrent if it never did.
	Age time.Duration
}

// RecordsArgs requests the records from an offset on.
type RecordsArgs struct {
	From record.Offset
}

// Records are records of the control stream, in order and without gaps.
type Records struct {
	// Checkpoint is an encoded state. It is set instead of Entries if the daemon
	// no longer keeps the requested record.
	Checkpoint []byte
	Entries    []platform.Entry
}

// RecordServer serves the records that a daemon has read. Its methods are called
// concurrently.
type RecordServer interface {
	Standing() LogPosition
	Records(from record.Offset) (Records, error)
}

// Record is the RPC endpoint for records.
type Record struct {
	server RecordServer
}

// NewRecord returns the endpoint backed by server.
func NewRecord(server RecordServer) *Record { return &Record{server: server} }

// Standing returns how far this daemon has read the log.
func (r *Record) Standing(_ LogPositionArgs, reply *LogPosition) error {
	*reply = r.server.Standing()
	return nil
}

// Records returns the records from an offset on, or a checkpoint.
func (r *Record) Records(args RecordsArgs, reply *Records) error {
	records, err := r.server.Records(args.From)
	*reply = records
	return err
}

// Standing returns how far the peer at addr has read the log.
func (c *Client) Standing(ctx context.Context, addr string) (LogPosition, error) {
	return call[LogPosition](ctx, c, addr, RecordEndpoint+".Standing", LogPositionArgs{})
}

// Records returns the records from an offset on, or a checkpoint, of the peer at
// addr.
func (c *Client) Records(ctx context.Context, addr string, from record.Offset) (Records, error) {
	return call[Records](ctx, c, addr, RecordEndpoint+".Records", RecordsArgs{From: from})
}
