package memberlease

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestUntil(t *testing.T) {
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	// wall is a time without a monotonic reading.
	wall := start.Round(0).Add(time.Minute)
	cases := []struct {
		name            string
		contact, member time.Time
		now             time.Time
		left            time.Duration
		ok              bool
	}{
		{"fresh", at(0), at(0), at(0), 3 * time.Second, true},
		{"contact ends first", at(0), at(0), at(2 * time.Second), time.Second, true},
		{"record ends first", at(MemberLease - time.Second), at(0), at(MemberLease - time.Second), time.Second, true},
		{"contact over", at(0), at(3 * time.Second), at(3 * time.Second), 0, false},
		{"record over, as when appends fail", at(MemberLease), at(0), at(MemberLease + time.Second), -time.Second, false},
		{"paused", at(0), at(0), at(time.Minute), -57 * time.Second, false},
		{"by the wall clock", at(0), at(0), wall, -57 * time.Second, false},
		{"never", time.Time{}, time.Time{}, at(0), 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			until, ok := Proof{Contact: c.contact, ContactLease: 3 * time.Second, LastRecord: c.member}.Until(c.now)
			is.Equal(ok, c.ok)
			if !c.contact.IsZero() {
				is.Equal(until.Sub(c.now), c.left)
			}
		})
	}
}

// TestExpiryCoversTheLeases checks that nothing started under a member's lease
// can run past the time at which the member may be declared dead.
func TestExpiryCoversTheLeases(t *testing.T) {
	is := is.New(t)
	made := time.Now()
	run := 30 * time.Second
	for pause := range 40 {
		now := made.Add(time.Duration(pause) * time.Second)
		until, _ := Proof{Contact: now, ContactLease: 3 * time.Second, LastRecord: made}.Until(now)
		ends := until.Add(ClockSkew).Add(run)
		is.True(!ends.After(Expiry(made, run)))
	}
}
