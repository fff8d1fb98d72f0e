// Package handover connects a daemon's idempotency claims to the control loop:
// it passes each published membership to the claims' registry, hands claims over
// to the members now responsible after a change, and reports when that is done.
//
// The rules of claims are in package claims; this package adapts views, reports
// and peers' addresses to it.
package handover

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/claims"
	"github.com/beryltide/beryltide/internal/control"
	"github.com/beryltide/beryltide/internal/pause"
	"github.com/beryltide/beryltide/internal/record"
)

// Durations of a handover.
const (
	// attemptTimeout bounds one attempt to hand claims over.
	attemptTimeout = 10 * time.Second
	// retryDelay is the pause before the next attempt.
	retryDelay = 200 * time.Millisecond
)

// Participant takes part in the control loop for the claims. Publish and Report
// are called from the control goroutine, Run from one of its own.
type Participant struct {
	service *claims.Service
	logger  *zap.Logger
	// requestReport triggers a report.
	requestReport func()
	changed       chan struct{}
	// view is the last published view; it belongs to the control goroutine.
	view *control.View
}

var _ control.Participant = (*Participant)(nil)

// New returns a participant for a service. It calls requestReport after each
// completed handover.
func New(s *claims.Service, requestReport func(), logger *zap.Logger) *Participant {
	return &Participant{service: s, logger: logger, requestReport: requestReport, changed: make(chan struct{}, 1)}
}

// Publish implements control.Participant. Once it returns, no claim is granted
// under an earlier membership.
func (p *Participant) Publish(v *control.View) {
	p.view = v
	p.service.Registry().Advance(claims.View{
		Self:      v.Self,
		Epoch:     v.Members.Epoch(),
		Members:   v.Members.IDs(),
		Settled:   v.Members.Settled(),
		LostEpoch: v.Members.LostEpoch(),
	})
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// Report implements control.Participant.
func (p *Participant) Report(_ time.Time, r *record.Report) bool {
	r.HandedOver = p.service.Registry().HandedOver()
	self := p.view.Members.Get(p.view.Self)
	return self != nil && r.HandedOver > self.HandedOver
}

// Run hands claims over after each change of membership, until ctx ends.
func (p *Participant) Run(ctx context.Context) {
	for {
		select {
		case <-p.changed:
			p.handOver(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (p *Participant) handOver(ctx context.Context) {
	for ctx.Err() == nil && p.handoverDue() {
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		err := p.service.HandOver(attempt)
		cancel()
		if err == nil {
			p.requestReport()
			return
		}
		p.logger.Warn("claims.handover_failed", zap.Error(err))
		pause.For(ctx, retryDelay)
	}
}

func (p *Participant) handoverDue() bool {
	r := p.service.Registry()
	return r.HandedOver() < r.View().Epoch
}

// Caller calls members at their addresses.
type Caller interface {
	AcquireClaim(ctx context.Context, addr string, r claims.Request) (claims.Reply, error)
	SettleClaim(ctx context.Context, addr string, s claims.Settlement) error
	TransferClaims(ctx context.Context, addr string, t claims.Transfer) (claims.Receipt, error)
}

// Peers calls members at their addresses in the active view. It implements
// claims.Peers.
type Peers struct {
	view   func() *control.View
	caller Caller
}

var _ claims.Peers = (*Peers)(nil)

// NewPeers returns peers that look up addresses in the result of view.
func NewPeers(view func() *control.View, c Caller) *Peers { return &Peers{view: view, caller: c} }

// Claim implements claims.Peers.
func (p *Peers) Claim(ctx context.Context, to record.MemberID, r claims.Request) (claims.Reply, error) {
	addr, err := p.addr(to)
	if err != nil {
		return claims.Reply{}, err
	}
	return p.caller.AcquireClaim(ctx, addr, r)
}

// Settle implements claims.Peers.
func (p *Peers) Settle(ctx context.Context, to record.MemberID, s claims.Settlement) error {
	addr, err := p.addr(to)
	if err != nil {
		return err
	}
	return p.caller.SettleClaim(ctx, addr, s)
}

// Transfer implements claims.Peers.
func (p *Peers) Transfer(ctx context.Context, to record.MemberID, t claims.Transfer) (claims.Receipt, error) {
	addr, err := p.addr(to)
	if err != nil {
		return 0, err
	}
	return p.caller.TransferClaims(ctx, addr, t)
}

func (p *Peers) addr(id record.MemberID) (string, error) {
	m := p.view().Members.Get(id)
	if m == nil {
		return "", errors.Errorf("member %s is not in the active view", id)
	}
	return m.PeerAddr, nil
}
