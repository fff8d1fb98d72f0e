package peer

import (
	"context"
	"time"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/verdict"
)

// TaskEndpoint is the RPC service name for forwarded requests.
const TaskEndpoint = "Task"

// ForwardArgs is a request that the sending daemon has accepted. The receiver
// serves it itself and doesn't forward it again.
type ForwardArgs struct {
	RequestID      string
	Queue          string
	Team           string
	IdempotencyKey string
	ContentType    string
	Body           []byte
	// Timeout is the time left until the caller's deadline.
	Timeout time.Duration
	// Revision is the configuration revision that the sender's decision is based
	// on.
	Revision uint64
	// Key is the hash of the caller's key, zero on open queues. The receiver
	// checks it against its own configuration.
	Key configuration.KeyHash
}

// ForwardReply is the outcome of a forwarded request: an answer, or, if Failed is
// set, a failure with its verdict.
type ForwardReply struct {
	Answer  platform.Answer
	Failed  bool
	Verdict verdict.Verdict
	Code    verdict.Code
	Detail  string
}

// CancelArgs identifies a forwarded request whose caller has disconnected or timed
// out.
type CancelArgs struct {
	RequestID string
}

// Empty is a reply without data.
type Empty struct{}

// TaskServer serves forwarded requests. Its methods are called concurrently.
type TaskServer interface {
	ServeForwarded(args ForwardArgs) ForwardReply
	CancelForwarded(requestID string)
}

// Task is the RPC endpoint for forwarded requests.
type Task struct {
	server TaskServer
}

// NewTask returns the endpoint backed by server.
func NewTask(server TaskServer) *Task { return &Task{server: server} }

// Forward serves a request that a peer forwards.
func (t *Task) Forward(args ForwardArgs, reply *ForwardReply) error {
	*reply = t.server.ServeForwarded(args)
	return nil
}

// Cancel cancels a forwarded request.
func (t *Task) Cancel(args CancelArgs, _ *Empty) error {
	t.server.CancelForwarded(args.RequestID)
	return nil
}

// Forward forwards a request to the peer at addr and returns the peer's outcome.
// If the call itself fails, the error's verdict is NotRun if nothing was sent, and
// MayHaveRun otherwise. If ctx ends after the request was sent, Forward cancels it
// at the peer, without waiting for that.
func (c *Client) Forward(ctx context.Context, addr string, args ForwardArgs) (platform.Answer, error) {
	reply, err := call[ForwardReply](ctx, c, addr, TaskEndpoint+".Forward", args)
	if err != nil {
		return platform.Answer{}, c.forwardError(ctx, addr, args, err)
	}
	if reply.Failed {
		return platform.Answer{}, verdict.New(reply.Verdict, reply.Code, "%s", reply.Detail)
	}
	return reply.Answer, nil
}
