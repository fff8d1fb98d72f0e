package claims

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/record"
	"github.com/beryltide/beryltide/internal/verdict"
)

const (
	// callTimeout bounds one call to a peer; a claim's wait for a result is
	// added.
	callTimeout = 500 * time.Millisecond
	// retryDelay is the time between attempts to reach a key's home.
	retryDelay = 50 * time.Millisecond
	// settleTimeout bounds the attempts to report a claim's end to its home.
	settleTimeout = 30 * time.Second
)

// Peers calls other members.
type Peers interface {
	Claim(ctx context.Context, to record.MemberID, r Request) (Reply, error)
	Settle(ctx context.Context, to record.MemberID, s Settlement) error
	Transfer(ctx context.Context, to record.MemberID, t Transfer) (Receipt, error)
}

// Service claims keys at their homes, and serves as the home for claims of
// other members. It is safe for concurrent use.
type Service struct {
	registry *Registry
	peers    Peers
	// settling counts the settlements in progress.
	settling sync.WaitGroup
}

// NewService returns a service over a registry.
func NewService(r *Registry, p Peers) *Service { return &Service{registry: r, peers: p} }

// Registry returns the service's registry.
func (s *Service) Registry() *Registry { return s.registry }

// Serve decides on a claim as the key's home. While another request with the
// key is running, it waits for up to req.Wait.
func (s *Service) Serve(ctx context.Context, req Request) Reply {
	ctx, cancel := context.WithTimeout(ctx, req.Wait)
	defer cancel()
	for {
		d := s.registry.begin(req)
		switch {
		case d.replicate != nil:
			return s.replicate(ctx, d)
		case d.holderDone == nil:
			return d.reply
		}
		select {
		case <-d.holderDone:
		case <-ctx.Done():
			return d.reply
		}
	}
}

// replicate sends the replica of a new claim to another member. If no member
// accepts it, the claim is released.
func (s *Service) replicate(ctx context.Context, d decision) Reply {
	v := s.registry.View()
	t := Transfer{From: v.Self, Epoch: d.epoch, Replica: true, Copies: []Replica{*d.replicate}}
	if len(v.Members) == 1 && v.Epoch == d.epoch {
		return d.reply
	}
	for _, m := range v.order(d.replicate.Key) {
		if m == v.Self {
			continue
		}
		receipt, err := s.transfer(ctx, m, t)
		if err == nil && receipt == ReceiptAccepted {
			s.registry.markHeld(&t, m)
			return d.reply
		}
	}
	replica := d.replicate
	s.registry.settle(Settlement{Key: replica.Key, Request: replica.Request, Token: replica.Token, Owner: replica.Owner, State: Released})
	return Reply{Refusal: refuse(verdict.NotRun, verdict.CodeNotReady, "no other member accepted a replica of the claim")}
}

func (s *Service) transfer(ctx context.Context, to record.MemberID, t Transfer) (Receipt, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.peers.Transfer(ctx, to, t)
}

// Receive stores replicas sent by another member.
func (s *Service) Receive(t Transfer) Receipt { return s.registry.merge(t) }

// Settle ends a claim and sends the new state to the members that hold
// replicas.
func (s *Service) Settle(ctx context.Context, settlement Settlement) {
	replica, holders, ok := s.registry.settle(settlement)
	if !ok {
		return
	}
	v := s.registry.View()
	t := Transfer{From: v.Self, Epoch: v.Epoch, Copies: []Replica{replica}}
	for _, m := range holders {
		if v.has(m) {
			_, _ = s.transfer(ctx, m, t) // a stale replica is safe: it permits less
		}
	}
}

// Grant is a claim that this member holds for one request.
type Grant struct {
	service *Service
	request Request
}

// Acquire claims a key for a request. It returns a grant when the request may
// be started, and otherwise the result of an earlier request with the key. Its
// error states MayHaveRun while the key's history isn't known.
func (s *Service) Acquire(ctx context.Context, k Key, request Digest) (*Grant, Result, error) {
	req := Request{Key: k, Request: request, Token: uuid.NewString(), Owner: s.registry.View().Self}
	var lastErr error
	for {
		reply, err := s.claimAtHome(ctx, req)
		switch {
		case err != nil:
			lastErr = verdict.Wrap(err, verdict.MayHaveRun, verdict.CodePeer, "the key's home can't be reached")
		case reply.Granted:
			return &Grant{service: s, request: req}, Result{}, nil
		case reply.Refusal == nil:
			return nil, reply.Result, nil
		case !retryable(reply.Refusal.Code):
			return nil, Result{}, reply.Refusal.Err()
		default:
			lastErr = verdict.New(verdict.MayHaveRun, reply.Refusal.Code, "%s", reply.Refusal.Detail)
			req.Token = uuid.NewString()
		}
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
			(&Grant{service: s, request: req}).Release()
			return nil, Result{}, lastErr
		}
	}
}

// retryable reports whether a retry may get another answer.
func retryable(c verdict.Code) bool {
	switch c {
	case verdict.CodeNotHome, verdict.CodeNotReady, verdict.CodeStopping, verdict.CodeCancelled, verdict.CodeInProgress:
		return true
	default:
		return false
	}
}

func (s *Service) claimAtHome(ctx context.Context, req Request) (Reply, error) {
	v := s.registry.View()
	home := v.Home(req.Key)
	if home == "" {
		return Reply{}, errors.New("the membership is empty")
	}
	req.Wait = waitAtHome(ctx)
	if home == v.Self {
		return s.Serve(ctx, req), nil
	}
	ctx, cancel := context.WithTimeout(ctx, req.Wait+callTimeout)
	defer cancel()
	return s.peers.Claim(ctx, home, req)
}

// waitAtHome returns how long to wait at the home: until the request's
// deadline.
func waitAtHome(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return settleTimeout
	}
	return max(0, time.Until(deadline))
}

// Finish records the result of the request.
func (g *Grant) Finish(r Result) { g.settle(Finished, r) }

// Release states that the request hasn't run and never will.
func (g *Grant) Release() { g.settle(Released, Result{}) }

func (g *Grant) settle(state State, r Result) {
	s := g.service
	settlement := Settlement{
		Key:     g.request.Key,
		Request: g.request.Request,
		Token:   g.request.Token,
		Owner:   g.request.Owner,
		State:   state,
		Result:  r,
	}
	s.settling.Go(func() { s.deliver(settlement) })
}

// deliver reports a claim's end to the key's home. A home that can't be reached
// keeps the claim as started, which is safe.
func (s *Service) deliver(settlement Settlement) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	for ctx.Err() == nil {
		v := s.registry.View()
		home := v.Home(settlement.Key)
		if home == v.Self {
			s.Settle(ctx, settlement)
			return
		}
		call, done := context.WithTimeout(ctx, callTimeout)
		err := s.peers.Settle(call, home, settlement)
		done()
		if err == nil {
			return
		}
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
		}
	}
}

// HandOver hands over all claims to their current homes. It returns an error
// when a home can't be reached; the caller retries.
func (s *Service) HandOver(ctx context.Context) error {
	x := handOverExclusions{closed: map[record.MemberID]bool{}, unreachable: map[record.MemberID]bool{}}
	for {
		due, enough := s.registry.export(x)
		if len(due) == 0 && enough {
			return nil
		}
		if len(due) == 0 {
			return errors.New("too few members can be reached to hold the claims")
		}
		for to, t := range due {
			if err := s.handOverTo(ctx, to, t, x); err != nil {
				return err
			}
		}
	}
}

func (s *Service) handOverTo(ctx context.Context, to record.MemberID, t *Transfer, x handOverExclusions) error {
	if x.unreachable[to] {
		return errors.Errorf("member %s, the home of some claims, can't be reached", to)
	}
	receipt, err := s.transfer(ctx, to, *t)
	switch {
	case err != nil || receipt == ReceiptRefused:
		x.unreachable[to] = true
	case receipt == ReceiptClosed:
		x.closed[to] = true
	default:
		s.registry.markHeld(t, to)
	}
	return nil
}

// Leave waits for the member's own claims to be settled, makes it refuse
// further claims, and hands its replicas to two other members. Only after that
// may it leave the membership.
func (s *Service) Leave(ctx context.Context) error {
	settled := make(chan struct{})
	go func() {
		s.settling.Wait()
		close(settled)
	}()
	select {
	case <-settled:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "settle claims")
	}
	s.registry.Close()
	return errors.Wrap(s.HandOver(ctx), "hand over claims")
}
