package traffic

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/peer"
	"github.com/beryltide/beryltide/internal/verdict"
)

// ForwardServer runs requests that peers accepted and forwarded to this daemon.
// It implements peer.TaskServer and is safe for concurrent use.
type ForwardServer struct {
	broker *Broker

	mu      sync.Mutex
	cancels map[string]context.CancelFunc
	// draining is set once new requests are refused. idle is closed when no
	// request is left after that.
	draining bool
	idle     chan struct{}
}

var _ peer.TaskServer = (*ForwardServer)(nil)

// NewForwardServer returns a server that runs forwarded requests through broker.
func NewForwardServer(broker *Broker) *ForwardServer {
	return &ForwardServer{broker: broker, cancels: map[string]context.CancelFunc{}, idle: make(chan struct{})}
}

// ServeForwarded implements peer.TaskServer.
func (f *ForwardServer) ServeForwarded(args peer.ForwardArgs) peer.ForwardReply {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if !f.begin(args.RequestID, cancel) {
		return peer.ForwardReply{Failed: true, Verdict: verdict.NotRun, Code: verdict.CodePeer, Detail: "the peer is stopping"}
	}
	defer f.end(args.RequestID)
	answer, err := f.broker.Do(ctx, Request{
		ID:             args.RequestID,
		Queue:          args.Queue,
		Team:           args.Team,
		Key:            args.Key,
		IdempotencyKey: args.IdempotencyKey,
		ContentType:    args.ContentType,
		Body:           args.Body,
		Deadline:       time.Now().Add(args.Timeout),
		Forwarded:      true,
	})
	if err != nil {
		return peer.ForwardReply{Failed: true, Verdict: verdict.Of(err), Code: verdict.CodeOf(err), Detail: err.Error()}
	}
	return peer.ForwardReply{Answer: answer}
}

func (f *ForwardServer) begin(id string, cancel context.CancelFunc) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return false
	}
	f.cancels[id] = cancel
	return true
}

func (f *ForwardServer) end(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.cancels, id)
	f.closeIdle()
}

func (f *ForwardServer) closeIdle() {
	if !f.draining || len(f.cancels) > 0 {
		return
	}
	select {
	case <-f.idle:
	default:
		close(f.idle)
	}
}

// CancelForwarded implements peer.TaskServer.
func (f *ForwardServer) CancelForwarded(requestID string) {
	f.mu.Lock()
	cancel, ok := f.cancels[requestID]
	f.mu.Unlock()
	if ok {
		cancel()
	}
}

// Drain refuses further requests as not run, and waits until no request is left
// or ctx ends.
func (f *ForwardServer) Drain(ctx context.Context) error {
	f.mu.Lock()
	f.draining = true
	f.closeIdle()
	f.mu.Unlock()
	select {
	case <-f.idle:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "drain forwarded requests")
	}
}

// Cancel cancels all requests.
func (f *ForwardServer) Cancel() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, cancel := range f.cancels {
		cancel()
	}
}
