package owner

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/beryltide/beryltide/internal/instance"
	"github.com/beryltide/beryltide/internal/ownership"
)

// Guards against counting the time without contact from the zero time: an
// instance that was unreachable before a takeover counts as silent from the
// takeover on.
func TestSilenceCountsFromTheTakeover(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	sess := &session{knownSince: now.Add(-4 * time.Second)}
	is.Equal(sess.silentFor(now), 4*time.Second)
	sess.lastContact = now.Add(-time.Second)
	is.Equal(sess.silentFor(now), time.Second)
}

// An instance that was emptied for a move or maintenance of its machine ends as
// planned: that is no loss of contact, which on-call engineers would look into.
func TestPlannedEndOfAnInstanceIsNoLoss(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zap.InfoLevel)
	u := peakUnit(2, 0, 0)
	u.Logger = zap.New(core)
	emptied, busy := u.sessions["i-0"], u.sessions["i-1"]
	clear(emptied.runs)
	busy.lossRecorded = true // nothing to record in this test
	now := time.Now()
	emptied.cordonRenewedAt, busy.cordonRenewedAt = now, now
	u.onPollFailed(emptied, instance.ErrUnknown, now)
	u.onPollFailed(busy, instance.ErrUnknown, now)
	is.Equal(logs.FilterMessage("instance.left").Len(), 1)
	is.Equal(logs.FilterMessage("instance.lost").Len(), 1)
	is.True(emptied.unreachable) // it gets no tasks either way
}

// Stops and paces extend no lease, so they must not put off when leases count as
// expired: while stops were repeated, the work of an instance out of contact was
// waited for longer. A sender that was held up must not bring the expiry forward
// either: the work could then run elsewhere while its lease holds.
func TestOnlyOrdersWithALeasePutOffItsExpiry(t *testing.T) {
	is := is.New(t)
	var clock time.Duration
	u := peakUnit(1, 0, 0)
	u.Clock = func() time.Duration { return clock }
	u.Holds = func(ownership.Tenure) bool { return true }
	u.Bounds.MaxLease = 10 * time.Second
	u.events = make(chan func(), 8)
	u.ctx = context.Background()
	sess := u.sessions["i-0"]
	sess.ctx = u.ctx
	sess.target.Store(&sess.reg)
	sess.clock.Store(&clockReading{})
	var lease time.Duration
	send := func(_ context.Context, _ instance.Registration, l time.Duration) error {
		lease = l
		return nil
	}
	o := order{carriesLease: true, send: send, done: func(error) {}}
	sess.sendOrder(o)
	first := sess.leaseExpiry.Load()
	is.True(lease > 0 && first > 0)
	clock = 5 * time.Second
	o.carriesLease = false
	sess.sendOrder(o)
	is.Equal(lease, time.Duration(0))
	is.Equal(sess.leaseExpiry.Load(), first)
	putOff(&sess.leaseExpiry, time.Duration(first)-time.Second)
	is.Equal(sess.leaseExpiry.Load(), first)
	o.carriesLease = true
	sess.sendOrder(o)
	is.True(sess.leaseExpiry.Load() > first)
}
