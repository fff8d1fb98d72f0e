package owner

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/instance"
	"github.com/beryltide/beryltide/internal/job"
)

// Lengths of leases.
const (
	// leaseMargin allows for an instance's clock that runs 2% slow, doubled.
	leaseMargin = 1.04
	// leaseTarget is twice the time of a takeover by a successor (the membership's
	// TTL, a join, a read and a poll: under 3 s).
	leaseTarget = 6 * time.Second
	// minClockRate is the slowest rate at which an instance's clock may run.
	minClockRate = 0.98
	// maxOrderTransit is the longest time from when a lease is computed for an order that
	// isn't bound until an incarnation has the order. After the time-outs of a call, at most
	// 1.9 s, its connection is reset.
	maxOrderTransit = 2 * time.Second
)

// leaseTerm returns a term that is long enough for a successor to take over and
// extend it, but short enough that the runs of a crashed instance restart soon.
func (u *Unit) leaseTerm() time.Duration { return min(u.Bounds.MaxLease, leaseTarget) }

// leaseUpperBound returns the longest time until a lease granted now expires.
func (u *Unit) leaseUpperBound() time.Duration {
	return time.Duration(float64(u.leaseTerm()) * leaseMargin)
}

// longestLease returns the longest time for which an instance may grant a lease. It grants
// no longer one by an order for its former incarnation, whose clock showed a later time.
func (u *Unit) longestLease() time.Duration {
	return time.Duration(float64(u.Bounds.MaxLease) * leaseMargin)
}

// extendLease returns the time, by the clock of an incarnation, to extend its lease to, and
// moves the expiries accordingly. It returns 0 while the instance's clock isn't known,
// ErrRestarted if the known clock is another incarnation's, and ErrUnsent if the lease must
// not be extended. It is safe for concurrent use.
func (s *session) extendLease(incarnation int64) (time.Duration, error) {
	reading := s.clock.Load()
	switch {
	case reading == nil:
		return 0, nil
	case reading.incarnation == 0 && incarnation != 0:
		// That shows no restart.
		return 0, errors.Wrap(instance.ErrUnsent, "the clock read last is of an unknown incarnation")
	case reading.incarnation != incarnation:
		return 0, errors.Wrap(instance.ErrRestarted, "the clock read last is another incarnation's")
	}
	now := s.unit.Clock()
	putOff(&s.leaseExpiry, now+s.unit.leaseUpperBound())
	if incarnation == 0 {
		putOff(&s.unboundExpiry, now+maxOrderTransit+s.unit.longestLease())
	}
	// Checked after the clock was read and the expiries were moved: a goroutine that was
	// suspended before has a lease from within its tenure, and one that isn't refused here has
	// moved the expiries before a lost contact can be recorded with them.
	if reason := s.extensionForbidden(); reason != "" {
		return 0, errors.Wrap(instance.ErrUnsent, reason)
	}
	s.extensions.Add(1)
	elapsed := time.Duration(float64(now-reading.at) * minClockRate)
	return reading.clock + elapsed + s.unit.leaseTerm(), nil
}

// extensionForbidden returns why the lease must not be extended, or "".
func (s *session) extensionForbidden() string {
	switch {
	case !s.unit.holds():
		return "the tenure isn't confirmed"
	case s.outOfContact.Load():
		return "the instance is out of contact"
	}
	return ""
}

// putOff moves an expiry to a time unless it is later already: a sender that was held up
// between reading the clock and here must not bring it forward.
func putOff(expiry *atomic.Int64, to time.Duration) {
	for {
		current := expiry.Load()
		if current >= int64(to) || expiry.CompareAndSwap(current, int64(to)) {
			return
		}
	}
}

// bringForward moves an expiry to a time unless it is earlier already.
func bringForward(expiry *atomic.Int64, to time.Duration) {
	if int64(to) < expiry.Load() {
		expiry.Store(int64(to))
	}
}

// onFirstContact brings unboundExpiry forward: from the first poll on, the instance refuses
// the orders of former owners.
func (s *session) onFirstContact() {
	bringForward(&s.unboundExpiry, s.unit.Clock()+s.unit.longestLease())
}

// onNewIncarnation puts unboundExpiry off: until it was polled, the incarnation had no fence
// against the orders of former owners.
func (s *session) onNewIncarnation() {
	putOff(&s.unboundExpiry, s.unit.Clock()+s.unit.longestLease())
}

// expiry returns when the lease of a run has expired at the latest, without further
// extensions. A run that isn't bound may have been started by an incarnation whose lease
// was extended by the clock of another one; after an owner of an earlier version that goes
// for all runs, as the lease is that of the whole instance.
func (s *session) expiry(r *run) time.Duration {
	if r.bound && !s.unit.succeedsUnbound {
		return time.Duration(s.leaseExpiry.Load())
	}
	return time.Duration(max(s.leaseExpiry.Load(), s.unboundExpiry.Load()))
}

// lastExpiry returns when the leases of all runs there have expired at the latest.
func (s *session) lastExpiry() time.Duration {
	last := time.Duration(s.leaseExpiry.Load())
	for _, r := range s.runs {
		last = max(last, s.expiry(r))
	}
	return last
}

// expireLeases ends runs without contact once their leases have expired.
func (u *Unit) expireLeases(now time.Time) {
	for _, sess := range u.sessions {
		if len(sess.runs) == 0 || now.Sub(sess.lastContact) < contactTimeout {
			continue
		}
		var expired []job.TaskID
		for id, r := range sess.runs {
			// Withdrawing comes first: a start that is sent meanwhile has moved the expiry.
			if u.Clock() >= sess.expiry(r) && (r.withdraw() || u.Clock() >= sess.expiry(r)) {
				expired = append(expired, id)
			}
		}
		if len(expired) == 0 {
			continue
		}
		u.Logger.Warn("instance.leases_lapsed", zap.String("instance", sess.reg.ID), zap.Int("runs", len(expired)), zap.Duration("without_contact", sess.silentFor(now)))
		for _, id := range expired {
			u.endRun(sess, id, job.EndLapsed, "", now)
		}
	}
}
