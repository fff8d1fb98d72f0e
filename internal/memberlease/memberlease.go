// Package memberlease decides until when a member may start work.
//
// A member starts work only under two leases. The contact lease runs from the
// last time as of which its state was known to be current; it bounds how long a
// withdrawn key or a data centre out of service can still be used. The member
// lease runs from the last record that the member has made and read back; a
// member may be declared dead only once that lease and all work started under
// it have expired. Each task carries the end of both leases as the time after
// which it must not start, so that a task sent by a member that was paused in
// the meantime never starts late.
//
// The package is pure: times go in, times come out.
package memberlease

import "time"

const (
	// MemberLease is how long a member may start work after it made a record
	// that it has read back. It is well over the heartbeat interval of a large
	// fleet.
	MemberLease = 30 * time.Second
	// ClockSkew is the greatest difference between the clocks of two instances.
	ClockSkew = time.Second
)

// Proof is the evidence for a member's two leases.
type Proof struct {
	// Contact is the time as of which the member's state is current, or the
	// time of its last contact with a quorum of the members if that is later.
	Contact time.Time
	// ContactLease is how long the member may start work from then on.
	ContactLease time.Duration
	// LastRecord is when the member made the last record that it has read back,
	// or the time of its last contact with a quorum if that is later: while the
	// log is down, no member can append a record.
	LastRecord time.Time
}

// Until returns the time until which the member may start work, and false when
// that time has passed. A member that was paused finds its leases expired, and
// may start no work before its next contact with the log.
func (p Proof) Until(now time.Time) (time.Time, bool) {
	left := min(p.ContactLease-elapsed(p.Contact, now), MemberLease-elapsed(p.LastRecord, now))
	return now.Add(left), left > 0
}

// elapsed returns the time since a given time: the longer of the monotonic
// clock's and the wall clock's, since the first stops while the machine is
// suspended, and the second may be set back.
func elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}

// Expiry returns the time by which everything that a member may have started
// has ended, when nothing was received from it after lastReceived and no task
// runs longer than longestRun.
func Expiry(lastReceived time.Time, longestRun time.Duration) time.Time {
	return lastReceived.Add(MemberLease + ClockSkew + longestRun)
}
