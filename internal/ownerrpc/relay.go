package ownerrpc

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/store"
)

const (
	// relayTimeout bounds a relayed call, beside the time for which a read waits. It
	// is shorter than half of a membership's TTL.
	relayTimeout = 600 * time.Millisecond
	// relayMargin is the part of relayTimeout that is left for the answer's way back.
	relayMargin = 100 * time.Millisecond
)

// RelayCall names a call of store.Log. The names are sent.
type RelayCall string

// The calls.
const (
	relayAppend   RelayCall = "append"
	relayAppendAt RelayCall = "append at"
	relayRead     RelayCall = "read"
	relayNewest   RelayCall = "newest"
	relayJoin     RelayCall = "join"
	relayHeld     RelayCall = "held"
	relayLeave    RelayCall = "leave"
	relayOwners   RelayCall = "owners"
)

// RelayRequest is one call to the store, with the arguments that the call has.
type RelayRequest struct {
	Call      RelayCall
	Topic     string
	Partition int
	Records   []store.Record
	Sequence  *store.Sequence
	// Offset is the end of AppendAt, or where Read begins.
	Offset int64
	Wait   time.Duration
	After  string
	Join   store.Join
	Group  string
	Member string
	// Generation is that of a store.Holding.
	Generation int64
}

// RelayReply is the result of the call.
type RelayReply struct {
	// Failure is the number of the error in relayErrors, counted from 1; 0 if the
	// call succeeded, and negative for an error that isn't listed there.
	Failure int
	// Expected is the number of a store.SequenceError; valid if SequenceFailure.
	Expected        int64
	SequenceFailure bool
	Message         string

	Batch      store.Batch
	Page       store.Page
	Membership store.Membership
	Owners     []store.Owner
}

// relayErrors are the errors that keep their meaning on the way. Their order is sent.
var relayErrors = []error{store.ErrFenced, store.ErrExpired, store.ErrMoved, store.ErrNotDone, store.ErrUnknown, store.ErrFull, store.ErrNotHeld}

// setError records the result of the call.
func (r *RelayReply) setError(err error) {
	if err == nil {
		return
	}
	r.Failure, r.Message = -1, err.Error()
	var sequence *store.SequenceError
	if errors.As(err, &sequence) {
		r.SequenceFailure, r.Expected = true, sequence.Expected
		return
	}
	for n, known := range relayErrors {
		if errors.Is(err, known) {
			r.Failure = n + 1
		}
	}
}

// err returns the error that setError recorded.
func (r *RelayReply) err() error {
	switch {
	case r.Failure == 0:
		return nil
	case r.SequenceFailure:
		return &store.SequenceError{Expected: r.Expected}
	case r.Failure > 0 && r.Failure <= len(relayErrors):
		return errors.Wrap(relayErrors[r.Failure-1], "through a peer")
	}
	return errors.New(r.Message)
}

// Relay makes a call to the store for a peer that the store turns away. It never
// passes the call on to a third daemon.
func (s *Server) Relay(req RelayRequest, reply *RelayReply) error {
	if s.log.Away() > 0 {
		reply.setError(store.ErrNotDone)
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout-relayMargin+req.Wait)
	defer cancel()
	reply.setError(s.relay(ctx, req, reply))
	return nil
}

func (s *Server) relay(ctx context.Context, req RelayRequest, reply *RelayReply) (err error) {
	switch req.Call {
	case relayAppend:
		return s.log.Append(ctx, req.Topic, req.Partition, req.Records, req.Sequence)
	case relayAppendAt:
		return s.log.AppendAt(ctx, req.Topic, req.Partition, req.Records, req.Offset)
	case relayRead:
		reply.Batch, err = s.log.Read(ctx, req.Topic, req.Partition, req.Offset, req.Wait)
	case relayNewest:
		reply.Page, err = s.log.Newest(ctx, req.Topic, req.Partition, req.After)
	case relayJoin:
		reply.Membership, err = s.log.Join(ctx, req.Join)
	case relayHeld:
		return s.log.Held(ctx, store.Holding{Group: req.Group, Member: req.Member, Topic: req.Topic, Partition: req.Partition, Generation: req.Generation})
	case relayLeave:
		return s.log.Leave(ctx, req.Group, req.Member)
	case relayOwners:
		reply.Owners, err = s.log.Owners(ctx, req.Group)
	default:
		return errors.Errorf("unknown call %q", req.Call)
	}
	return err
}

// PeerLog is the store's log as a peer reaches it. Failed is called when the peer
// couldn't make a call.
type PeerLog struct {
	Client  *Client
	Address string
	Failed  func()
}

var _ store.Log = (*PeerLog)(nil)

func (p *PeerLog) call(ctx context.Context, req RelayRequest) (RelayReply, error) {
	reply, err := call[RelayReply](ctx, p.Client, relayTimeout+req.Wait, p.Address, "Relay", req)
	switch {
	case errors.Is(err, ErrUnsent):
		err = errors.Wrap(store.ErrNotDone, err.Error())
	case err != nil:
		err = errors.Wrap(store.ErrUnknown, err.Error())
	default:
		err = reply.err()
	}
	if !store.Served(err) && ctx.Err() == nil {
		p.Failed()
	}
	return reply, err
}

// Append implements store.Log.
func (p *PeerLog) Append(ctx context.Context, topic string, partition int, records []store.Record, seq *store.Sequence) error {
	_, err := p.call(ctx, RelayRequest{Call: relayAppend, Topic: topic, Partition: partition, Records: records, Sequence: seq})
	return err
}

// AppendAt implements store.Log.
func (p *PeerLog) AppendAt(ctx context.Context, topic string, partition int, records []store.Record, end int64) error {
	_, err := p.call(ctx, RelayRequest{Call: relayAppendAt, Topic: topic, Partition: partition, Records: records, Offset: end})
	return err
}

// Read implements store.Log.
func (p *PeerLog) Read(ctx context.Context, topic string, partition int, from int64, wait time.Duration) (store.Batch, error) {
	reply, err := p.call(ctx, RelayRequest{Call: relayRead, Topic: topic, Partition: partition, Offset: from, Wait: wait})
	return reply.Batch, err
}

// Newest implements store.Log.
func (p *PeerLog) Newest(ctx context.Context, topic string, partition int, after string) (store.Page, error) {
	reply, err := p.call(ctx, RelayRequest{Call: relayNewest, Topic: topic, Partition: partition, After: after})
	return reply.Page, err
}

// Join implements store.Log.
func (p *PeerLog) Join(ctx context.Context, join store.Join) (store.Membership, error) {
	reply, err := p.call(ctx, RelayRequest{Call: relayJoin, Join: join})
	return reply.Membership, err
}

// Held implements store.Log.
func (p *PeerLog) Held(ctx context.Context, h store.Holding) error {
	_, err := p.call(ctx, RelayRequest{Call: relayHeld, Group: h.Group, Member: h.Member, Topic: h.Topic, Partition: h.Partition, Generation: h.Generation})
	return err
}

// Leave implements store.Log.
func (p *PeerLog) Leave(ctx context.Context, group, member string) error {
	_, err := p.call(ctx, RelayRequest{Call: relayLeave, Group: group, Member: member})
	return err
}

// Owners implements store.Log.
func (p *PeerLog) Owners(ctx context.Context, group string) ([]store.Owner, error) {
	reply, err := p.call(ctx, RelayRequest{Call: relayOwners, Group: group})
	return reply.Owners, err
}
