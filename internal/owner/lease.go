package owner

import "time"

// Lengths of leases.
const (
	// leaseMargin allows for an instance's clock that runs 2% slow, doubled.
	leaseMargin = 1.04
	// leaseTarget is twice the time of a takeover by a successor (the membership's
	// TTL, a join, a read and a poll: under 3 s).
	leaseTarget = 6 * time.Second
	// minClockRate is the slowest rate at which an instance's clock may run.
	minClockRate = 0.98
)

// leaseTerm returns a term that is long enough for a successor to take over and
// extend it, but short enough that the runs of a crashed instance restart soon.
func (u *Unit) leaseTerm() time.Duration { return min(u.Bounds.MaxLease, leaseTarget) }

// leaseUpperBound returns the longest time until a lease granted now expires.
func (u *Unit) leaseUpperBound() time.Duration {
	return time.Duration(float64(u.leaseTerm()) * leaseMargin)
}

// extendLease returns the time, by the instance's clock, to extend its lease
// to, and moves leaseExpiry accordingly. It returns 0 while the instance's
// clock isn't known. It is safe for concurrent use.
func (s *session) extendLease() time.Duration {
	reading := s.clock.Load()
	if reading == nil {
		return 0
	}
	s.extensions.Add(1)
	now := s.unit.Clock()
	s.putOffExpiry(now + s.unit.leaseUpperBound())
	elapsed := time.Duration(float64(now-reading.at) * minClockRate)
	return reading.clock + elapsed + s.unit.leaseTerm()
}

// putOffExpiry moves leaseExpiry to a time unless it is later already: a sender that
// was held up between reading the clock and here must not bring it forward.
func (s *session) putOffExpiry(to time.Duration) {
	for {
		current := s.leaseExpiry.Load()
		if current >= int64(to) || s.leaseExpiry.CompareAndSwap(current, int64(to)) {
			return
		}
	}
}
