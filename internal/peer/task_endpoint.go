package peer

import (
	"context"
	"time"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/verdict"
)

// TaskEndpoint is the name under which tasks are served to peers.
const TaskEndpoint = "Task"

// ForwardArgs is a request that another daemon has accepted. The receiver
// serves it itself: it is not forwarded again.
type ForwardArgs struct {
	RequestID      string
	Queue          string
	Team           string
	IdempotencyKey string
	ContentType    string
	Body           []byte
	// Timeout is what is left of the caller's time.
	Timeout time.Duration
	// Revision is the configuration that the sender decided on.
	Revision uint64
	// Key is the hash of the caller's key, zero on open queues. The receiver
	// checks it against its own configuration.
	Key configuration.KeyHash
}

// ForwardReply is the outcome of a forwarded request: an answer, or a failure
// with its verdict.
type ForwardReply struct {
	Answer  platform.Answer
	Failed  bool
	Verdict verdict.Verdict
	Code    verdict.Code
	Detail  string
}

// CancelArgs names a forwarded request whose caller has gone.
type CancelArgs struct {
	RequestID string
}

// Empty is a reply that says nothing.
type Empty struct{}

// TaskServer serves forwarded requests.
type TaskServer interface {
	Forwarded(args ForwardArgs) ForwardReply
	CancelForwarded(requestID string)
}

// Task is the endpoint for forwarded requests.
type Task struct {
	server TaskServer
}

// NewTask returns the endpoint backed by server.
func NewTask(server TaskServer) *Task { return &Task{server: server} }

// Forward serves a request for a peer.
func (t *Task) Forward(args ForwardArgs, reply *ForwardReply) error {
	*reply = t.server.Forwarded(args)
	return nil
}

// Cancel drops a request whose caller has gone.
func (t *Task) Cancel(args CancelArgs, _ *Empty) error {
	t.server.CancelForwarded(args.RequestID)
	return nil
}

// Forward sends a request to a peer and returns the peer's outcome. Failures
// of the call itself carry the verdict NotRun only when nothing was sent. When
// ctx ends first, the peer is told to cancel.
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
