package owner

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

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
	// maxOrderTransit is the longest time from when a lease is computed for an order until
	// the instance has the order. After the time-outs of a call, at most 1.9 s, its
	// connection is reset.
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

// extendLease returns the time, by the instance's clock, to extend its lease
// to, and moves leaseExpiry and restartExpiry accordingly. It returns 0 while the
// instance's clock isn't known. It is safe for concurrent use.
func (s *session) extendLease() time.Duration {
	if s.clock.Load() == nil {
		return 0
	}
	s.extensions.Add(1)
	now := s.unit.Clock()
	putOff(&s.leaseExpiry, now+s.unit.leaseUpperBound())
	putOff(&s.restartExpiry, now+maxOrderTransit+s.unit.longestLease())
	// The clock is read after restartExpiry has moved: if another incarnation's clock
	// replaces it meanwhile, the expiry that is then derived covers this order.
	reading := s.clock.Load()
	elapsed := time.Duration(float64(now-reading.at) * minClockRate)
	return reading.clock + elapsed + s.unit.leaseTerm()
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

// onNewIncarnation puts leaseExpiry off to cover the orders that were sent with the clock of
// the former incarnation.
func (s *session) onNewIncarnation() {
	putOff(&s.leaseExpiry, time.Duration(s.restartExpiry.Load()))
}

// onFirstContact brings leaseExpiry forward: from the first poll on, the instance refuses
// the orders of former owners.
func (s *session) onFirstContact() {
	bound := int64(s.unit.Clock() + s.unit.longestLease())
	if bound < s.leaseExpiry.Load() {
		s.leaseExpiry.Store(bound)
	}
}

// expiry returns when the lease of a run has expired at the latest, without further
// extensions. A run that hasn't been listed may have been started by an incarnation
// whose clock isn't known yet.
func (s *session) expiry(r *run) time.Duration {
	if r.confirmed {
		return time.Duration(s.leaseExpiry.Load())
	}
	return time.Duration(max(s.leaseExpiry.Load(), s.restartExpiry.Load()))
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
			if u.Clock() >= sess.expiry(r) {
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
