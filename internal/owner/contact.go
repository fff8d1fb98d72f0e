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

// lossPrefix is the key prefix of records of lost contact.
//
// Without these records each takeover would have to wait again for the leases
// of an unreachable instance to expire, since a former owner might have
// extended them just before. While such a record exists, no owner extends
// leases there.
const lossPrefix = "l/"

// wallClockMargin covers the difference between the wall clocks of daemons.
const wallClockMargin = 3 * time.Second

// contactLoss is the record of an instance that can't be reached.
type contactLoss struct {
	// LapsedBy is the Unix time in milliseconds by which all leases there have
	// expired. The field's name is stored with it.
	LapsedBy int64
}

func decodeLoss(r store.Record) (string, contactLoss, error) {
	var l contactLoss
	err := msgpack.Unmarshal(r.Value, &l)
	return strings.TrimPrefix(r.Key, lossPrefix), l, errors.Wrap(err, "decode the record of lost contact")
}

// applyLoss applies a former owner's record of lost contact. It may shorten the
// wait for the leases, never prolong it.
func (s *session) applyLoss(l contactLoss) {
	s.lossRecorded = true
	s.outOfContact.Store(true)
	left := time.Until(time.UnixMilli(l.LapsedBy)) + wallClockMargin
	s.unit.Logger.Info("instance.loss_applied", zap.String("instance", s.reg.ID), zap.Duration("left", left),
		zap.Duration("without_record", time.Duration(s.leaseExpiry.Load())-s.unit.Clock()))
	bringForward(&s.leaseExpiry, s.unit.Clock()+left)
	bringForward(&s.unboundExpiry, s.unit.Clock()+left)
}

// onPollFailed handles a failed poll. It gives the unit up if the instance has
// a newer owner, ends the runs if another instance has the address, and records
// the lost contact while runs remain there.
func (u *Unit) onPollFailed(sess *session, err error, now time.Time) {
	switch {
	case errors.Is(err, instance.ErrFenced):
		u.lose("an instance has a newer owner")
		return
	case errors.Is(err, instance.ErrGone):
		u.endReplaced(sess, now)
	}
	if !sess.unreachable && sess.released(now) {
		u.Logger.Info("instance.left", zap.String("instance", sess.reg.ID))
	} else if !sess.unreachable {
		u.Logger.Warn("instance.lost", zap.String("instance", sess.reg.ID), zap.Int("runs", len(sess.runs)), zap.Error(err))
	}
	if !sess.released(now) {
		u.Meter.pollFailed.Inc(1)
	}
	sess.unreachable = true
	if !sess.lossRecorded && len(sess.runs) > 0 {
		sess.lossRecorded = true
		// The deletion of a former record may have allowed extensions since the poll failed.
		sess.outOfContact.Store(true)
		left := sess.lastExpiry() - u.Clock()
		u.Logger.Info("instance.loss_recorded", zap.String("instance", sess.reg.ID), zap.Int("runs", len(sess.runs)), zap.Duration("left", left))
		u.recordLoss(sess, &contactLoss{LapsedBy: now.Add(left).UnixMilli()})
	}
}

// endReplaced ends the runs of an instance whose address belongs to another one
// now: only one instance at a time has an address.
func (u *Unit) endReplaced(sess *session, now time.Time) {
	if len(sess.runs) > 0 {
		u.Logger.Warn("instance.replaced", zap.String("instance", sess.reg.ID), zap.Int("runs", len(sess.runs)))
	}
	for id := range sess.runs {
		u.endRun(sess, id, job.EndLost, "", now)
	}
}

// regain handles a successful poll. After a loss of contact, leases may be
// extended again once the store has deleted the record of the loss.
func (u *Unit) regain(sess *session, now time.Time) {
	if sess.unreachable {
		u.Logger.Info("instance.regained", zap.String("instance", sess.reg.ID), zap.Duration("after", sess.silentFor(now)))
	}
	sess.unreachable = false
	if !sess.lossRecorded {
		sess.outOfContact.Store(false)
		return
	}
	if sess.clearingLoss {
		return
	}
	sess.clearingLoss = true
	u.recordLoss(sess, nil)
	u.afterCommit(func() {
		sess.clearingLoss = false
		if !sess.unreachable {
			sess.lossRecorded = false
			sess.outOfContact.Store(false)
		}
	})
}

// recordLoss records a loss of contact, or with nil deletes the record.
func (u *Unit) recordLoss(sess *session, l *contactLoss) {
	key := lossPrefix + sess.reg.ID
	if l == nil {
		u.commit.extraRecords = append(u.commit.extraRecords, store.Record{Key: key})
		delete(u.contactLosses, sess.reg.ID)
		return
	}
	value, err := msgpack.Marshal(l)
	if err != nil {
		u.Logger.Error("loss.encode", zap.Error(err))
		return
	}
	u.contactLosses[sess.reg.ID] = *l
	u.commit.extraRecords = append(u.commit.extraRecords, store.Record{Key: key, Value: value})
}

// lost reports whether the instance has been out of contact for so long that it gets no new
// tasks.
func (s *session) lost(now time.Time) bool {
	return s.unreachable && s.silentFor(now) >= contactTimeout
}

// silentFor returns the time since the instance last answered this tenure, or
// since this tenure learned of it.
func (s *session) silentFor(now time.Time) time.Duration {
	if s.lastContact.IsZero() {
		return now.Sub(s.knownSince)
	}
	return now.Sub(s.lastContact)
}
