// Package handover is a daemon's part in the idempotency claims of its fleet:
// it puts each membership in force at the claims, hands them over after a
// change, and reports that it has.
//
// The rules of claims are those of package claims; this package knows views,
// reports and peers' addresses.
package handover

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/claims"
	"github.com/beryltide/beryltide/internal/control"
	"github.com/beryltide/beryltide/internal/record"
)

// Times of a hand-over.
const (
	// attemptTimeout bounds one attempt.
	attemptTimeout = 10 * time.Second
	// retryDelay is the time before the next one.
	retryDelay = 200 * time.Millisecond
)

// Participant takes part in the control loop for the claims.
type Participant struct {
	service *claims.Service
	logger  *zap.Logger
	// requestReport asks for a report.
	requestReport func()
	changed       chan struct{}
	// view is the last one published; it belongs to the control goroutine.
	view *control.View
}

var _ control.Participant = (*Participant)(nil)

// New returns a participant for a service.
func New(s *claims.Service, wake func(), logger *zap.Logger) *Participant {
	return &Participant{service: s, logger: logger, requestReport: wake, changed: make(chan struct{}, 1)}
}

// Publish implements control.Participant. No claim is granted under an
// earlier membership once it returns.
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

// Run hands claims over until ctx ends.
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
		sleep(ctx, retryDelay)
	}
}

func (p *Participant) handoverDue() bool {
	r := p.service.Registry()
	return r.HandedOver() < r.View().Epoch
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Caller is used to call members by their address.
type Caller interface {
	AcquireClaim(ctx context.Context, addr string, r claims.Request) (claims.Reply, error)
	SettleClaim(ctx context.Context, addr string, s claims.Settlement) error
	TransferClaims(ctx context.Context, addr string, t claims.Transfer) (claims.Receipt, error)
}

// Peers calls members by the addresses of the view in force. It implements
// claims.Peers.
type Peers struct {
	view   func() *control.View
	caller Caller
}

var _ claims.Peers = (*Peers)(nil)

// NewPeers returns the peers of a view.
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
		return "", errors.Errorf("member %s has gone", id)
	}
	return m.PeerAddr, nil
}
