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

const (
	// lossRecordInterval is by how much the time left has to have shrunk for the record to
	// be written again: what a takeover can add to the wait, beside the time without an owner.
	lossRecordInterval = 500 * time.Millisecond
	// unknownLeft is longer than any lease: the record says nothing of the time left.
	unknownLeft = time.Hour
)

// farFuture keeps owners of an earlier version, which compare it with their time of day, from
// concluding anything. It is within the range of a time.Duration.
var farFuture = time.Date(2150, time.January, 1, 0, 0, 0, 0, time.UTC)

// contactLoss is the record of an instance that can't be reached: within a time from when it
// was stored, all leases there expire. The reader counts that time by its own clock from when
// it has read the record, which is later. So no clock is compared with another one's.
type contactLoss struct {
	// LapsedBy is a Unix time in milliseconds by which the leases have expired, as the
	// earlier versions write and read it. It isn't used.
	LapsedBy int64
	// LeftMS is the time left in milliseconds; nil in records of earlier versions. The
	// fields' names are stored with them.
	LeftMS *int64
}

// newContactLoss returns the record of a loss with a time left, rounded up.
func newContactLoss(left time.Duration) contactLoss {
	ms := max(0, left+time.Millisecond-1).Milliseconds()
	return contactLoss{LapsedBy: farFuture.UnixMilli(), LeftMS: &ms}
}

// left returns the time until all leases there have expired, at most unknownLeft.
func (l contactLoss) left() time.Duration {
	if l.LeftMS == nil {
		return unknownLeft
	}
	ms := min(max(0, *l.LeftMS), unknownLeft.Milliseconds())
	return time.Duration(ms) * time.Millisecond
}

func decodeLoss(r store.Record) (string, contactLoss, error) {
	var l contactLoss
	err := msgpack.Unmarshal(r.Value, &l)
	return strings.TrimPrefix(r.Key, lossPrefix), l, errors.Wrap(err, "decode the record of lost contact")
}

// applyLoss applies a former owner's record of lost contact. It may shorten the
// wait for the leases, never prolong it.
func (s *session) applyLoss(l contactLoss) {
	s.lossRecorded, s.recordedLeft = true, l.left()
	s.outOfContact.Store(true)
	s.unit.Logger.Info("instance.loss_applied", zap.String("instance", s.reg.ID), zap.Duration("left", l.left()),
		zap.Duration("without_record", time.Duration(s.leaseExpiry.Load())-s.unit.Clock()))
	bringForward(&s.leaseExpiry, s.unit.recordsReadAt+l.left())
	bringForward(&s.unboundExpiry, s.unit.recordsReadAt+l.left())
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
		// The deletion of a former record may have allowed extensions since the poll failed.
		sess.outOfContact.Store(true)
		left := sess.lastExpiry() - u.Clock()
		u.Logger.Info("instance.loss_recorded", zap.String("instance", sess.reg.ID), zap.Int("runs", len(sess.runs)), zap.Duration("left", left))
		u.recordLoss(sess, left)
	}
}

// renewLosses records again how much time is left at instances out of contact, so that
// successors wait for less. It is called right before an append, since what a record says is
// counted from its storage on, and measures once a tick.
func (u *Unit) renewLosses() {
	if !u.lossesDue {
		return
	}
	u.lossesDue = false
	for _, sess := range u.sessions {
		if !sess.lossRecorded || sess.clearingLoss || len(sess.runs) == 0 {
			continue
		}
		left := max(0, sess.lastExpiry()-u.Clock())
		if sess.recordedLeft-left >= lossRecordInterval {
			u.recordLoss(sess, left)
		}
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
	u.dropLoss(sess)
	u.afterCommit(func() {
		sess.clearingLoss, sess.lossRecorded = false, false
		if !sess.unreachable {
			sess.outOfContact.Store(false)
		}
	})
}

// recordLoss records a loss of contact with the time left there. While the deletion of a
// former record is under way it must not be called: leases would be extended after the
// deletion, beside the new record.
func (u *Unit) recordLoss(sess *session, left time.Duration) {
	l := newContactLoss(left)
	value, err := msgpack.Marshal(l)
	if err != nil {
		u.Logger.Error("loss.encode", zap.Error(err))
		return
	}
	sess.lossRecorded, sess.recordedLeft = true, l.left()
	u.contactLosses[sess.reg.ID] = l
	u.commit.extraRecords = append(u.commit.extraRecords, store.Record{Key: lossPrefix + sess.reg.ID, Value: value})
	u.Meter.lossRecords.Inc(1)
}

// dropLoss deletes the record of a loss of contact.
func (u *Unit) dropLoss(sess *session) {
	u.commit.extraRecords = append(u.commit.extraRecords, store.Record{Key: lossPrefix + sess.reg.ID})
	delete(u.contactLosses, sess.reg.ID)
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
