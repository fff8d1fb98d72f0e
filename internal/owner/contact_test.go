package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/beryltide/beryltide/internal/instance"
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
