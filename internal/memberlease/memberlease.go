// Package memberlease decides until when a member may start work.
//
// A member starts work only under two leases. The contact lease runs from the
// last time as of which its state was known to be current; it bounds how long a
// withdrawn key or a data centre out of service can still be used. The member
// lease runs from the last record that the member has made and read back; a
// member may be taken for dead only once that lease and all that was started
// under it have lapsed. Each task carries the end of both leases as the time
// after which it must not start, so that one sent by a member that was paused
// meanwhile never starts late.
//
// The package is pure: times go in, times come out.
package memberlease

import "time"

const (
	// MemberLease is how long a member may start work after it made a record
	// that it has read back. It is well over the heartbeat of a large fleet.
	MemberLease = 30 * time.Second
	// ClockSkew is the most that the clocks of two instances differ.
	ClockSkew = time.Second
)

// Proof is what a member knows of its own standing.
type Proof struct {
	// Contact is the time as of which the member's state is current.
	Contact time.Time
	// ContactLease is how long that lets it start work.
	ContactLease time.Duration
	// Member is when the member made the last record that it has read back.
	Member time.Time
}

// Until returns the time until which the member may start work, and false when
// that is over. A member that was paused finds its leases lapsed, and has no
// standing before it has been in contact anew.
func (p Proof) Until(now time.Time) (time.Time, bool) {
	left := min(p.ContactLease-elapsed(p.Contact, now), MemberLease-elapsed(p.Member, now))
	return now.Add(left), left > 0
}

// elapsed returns the time since from: the longer of what the monotonic clock
// and the wall clock tell, since the first stands still while the machine is
// suspended, and the second may be set back.
func elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}

// Lapse returns the time by which everything has ended that a member may have
// started, when no later record of it was read than one received at heard and
// no task runs longer than longestRun.
func Lapse(lastReceived time.Time, longestRun time.Duration) time.Time {
	return lastReceived.Add(MemberLease + ClockSkew + longestRun)
}
