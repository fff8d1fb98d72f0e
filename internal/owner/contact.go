package owner

import (
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/instance"
	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/store"
)

// lossPrefix starts the keys of records of lost contact.
//
// Without them each takeover would have to wait anew for the leases of an
// instance that can't be reached, since a former owner might have extended them
// just before. While such a record stands, no owner extends leases there.
const lossPrefix = "l/"

// wallClockMargin covers times of day that differ between daemons.
const wallClockMargin = 3 * time.Second

// loss is what is recorded of an instance that can't be reached.
type loss struct {
	// LapsedBy is the Unix millisecond at which all leases there have lapsed.
	LapsedBy int64
}

func decodeLoss(r store.Record) (string, loss, error) {
	var l loss
	err := msgpack.Unmarshal(r.Value, &l)
	return strings.TrimPrefix(r.Key, lossPrefix), l, errors.Wrap(err, "loss of contact")
}

// applyLoss takes over what a former owner knew.
func (a *agent) applyLoss(l loss) {
	a.lossRecorded = true
	a.outOfContact.Store(true)
	left := time.Until(time.UnixMilli(l.LapsedBy)) + wallClockMargin
	bound := int64(a.unit.Clock() + left)
	if bound < a.leaseBound.Load() {
		a.leaseBound.Store(bound)
	}
}

// onLookFailed notes that an instance can't be reached.
func (u *Unit) onLookFailed(a *agent, err error, now time.Time) {
	switch {
	case errors.Is(err, instance.ErrFenced):
		u.lose("an instance has a newer owner")
		return
	case errors.Is(err, instance.ErrGone):
		u.endIncarnation(a, now)
	}
	u.Meter.lookFailed.Inc(1)
	if !a.failing {
		u.Logger.Warn("instance.lost", zap.String("instance", a.reg.ID), zap.Int("runs", len(a.runs)), zap.Error(err))
	}
	a.failing = true
	if !a.lossRecorded && len(a.runs) > 0 {
		a.lossRecorded = true
		left := time.Duration(a.leaseBound.Load()) - u.Clock()
		u.recordLoss(a, &loss{LapsedBy: now.Add(left).UnixMilli()})
	}
}

// endIncarnation ends the runs of an instance whose address another one has:
// an address has one holder at a time.
func (u *Unit) endIncarnation(a *agent, now time.Time) {
	if len(a.runs) > 0 {
		u.Logger.Warn("instance.replaced", zap.String("instance", a.reg.ID), zap.Int("runs", len(a.runs)))
	}
	for id := range a.runs {
		u.endRun(a, id, job.EndLost, "", now)
	}
}

// regain lets leases be extended again, once the store has dropped the record
// of the loss.
func (u *Unit) regain(a *agent, now time.Time) {
	if a.failing {
		u.Logger.Info("instance.regained", zap.String("instance", a.reg.ID), zap.Duration("after", a.silentFor(now)))
	}
	a.failing = false
	if !a.lossRecorded {
		a.outOfContact.Store(false)
		return
	}
	if a.regaining {
		return
	}
	a.regaining = true
	u.recordLoss(a, nil)
	u.afterCommit(func() {
		a.regaining = false
		if !a.failing {
			a.lossRecorded = false
			a.outOfContact.Store(false)
		}
	})
}

// recordLoss records a loss of contact, or drops the record.
func (u *Unit) recordLoss(a *agent, l *loss) {
	key := lossPrefix + a.reg.ID
	if l == nil {
		u.commit.extra = append(u.commit.extra, store.Record{Key: key})
		delete(u.losses, a.reg.ID)
		return
	}
	value, err := msgpack.Marshal(l)
	if err != nil {
		u.Logger.Error("loss.encode", zap.Error(err))
		return
	}
	u.losses[a.reg.ID] = *l
	u.commit.extra = append(u.commit.extra, store.Record{Key: key, Value: value})
}

// silentFor is for how long the instance hasn't answered this tenure.
func (a *agent) silentFor(now time.Time) time.Duration {
	if a.lastContact.IsZero() {
		return now.Sub(a.knownSince)
	}
	return now.Sub(a.lastContact)
}
