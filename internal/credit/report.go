package credit

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/beryltide/beryltide/internal/record"
	"github.com/beryltide/beryltide/internal/team"
)

const (
	// idleTimeout is how long a member keeps idle credits that no member needs.
	idleTimeout = 2 * time.Second
	// rotationSlot is how long a member keeps its last credit while others wait
	// for one and the limit is below the number of contenders.
	rotationSlot = 8 * time.Second
	// reserveDivisor sets the reserve of credits beyond the peak use: the peak
	// divided by it.
	reserveDivisor = 4
)

// Next returns the yields and takes for the member's next record, which must be
// a report that contains them, and counts the yields as given away from then
// on. It returns none until that report is folded. It also releases the credits
// of lost tasks whose leases have expired.
func (a *Account) Next() (yields, takes []record.CreditChange) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.releaseExpired(now)
	if a.snap == nil || a.inFlightSeq != 0 {
		return nil, nil
	}
	self := a.snap.Members.Get(a.self)
	if self == nil {
		return nil, nil
	}
	for _, name := range slices.Sorted(maps.Keys(a.teams)) {
		b := a.teams[name]
		v := a.teamViewOf(name, b, now)
		b.ceiling = v.ceiling()
		deferred := b.defersTake(v)
		if n := v.yield(); n > 0 {
			b.yielding = n
			if v.ceiling() == 0 {
				b.rotatedOutAt = now
			}
			yields = append(yields, record.CreditChange{Team: name, Count: n})
		} else if n, ok := v.take(); ok && !deferred {
			takes = append(takes, record.CreditChange{Team: name, Count: n})
		}
		b.peak = b.held
		a.dropUnused(name, b, v)
	}
	if len(yields)+len(takes) > 0 {
		a.inFlightSeq = self.Seq + 1
	}
	return yields, takes
}

// defersTake delays a take by one report when the member rotated out within the
// last rotation and other members still wait for a credit.
func (b *balance) defersTake(v teamView) bool {
	rotation := rotationSlot * time.Duration(v.Contenders) / time.Duration(max(1, v.limit))
	scarce := v.OthersBelowShare && v.limit < v.Contenders && v.free > 0
	b.deferred = scarce && !b.deferred && v.now.Sub(b.rotatedOutAt) < rotation
	return b.deferred
}

// dropUnused drops the balance of a team without grants, requests or credits in
// use at this member.
func (a *Account) dropUnused(name string, b *balance, v teamView) {
	if v.granted == 0 && v.unmet == 0 && b.held == 0 && b.waiting == 0 {
		delete(a.teams, name)
	}
}

// teamView is the input of one decision about a team. unmet is the number of
// credits that the member requested and wasn't granted.
type teamView struct {
	balance
	team.Contention
	now                          time.Time
	closed, over                 bool
	granted, free, unmet         int
	limit, totalGranted, members int
}

func (a *Account) teamViewOf(name string, b *balance, now time.Time) teamView {
	l := a.snap.Ledger
	v := teamView{
		Contention:   l.Contention(a.self, name),
		now:          now,
		closed:       a.closed,
		over:         l.OverLimit(name),
		granted:      l.Grant(a.self, name),
		free:         l.Free(name),
		unmet:        l.Waiting(a.self, name),
		limit:        l.Limit(name),
		totalGranted: l.Granted(name),
		members:      max(1, a.snap.Members.Len()),
	}
	if v.granted == 0 {
		b.heldSince = now
	}
	if b.peak >= v.granted {
		b.idleSince = now
	}
	v.balance = *b
	return v
}

// ceiling bounds the use of credits while others have less than their fair
// share. Credits above it become idle as tasks end.
func (v teamView) ceiling() int {
	switch {
	case !v.OthersBelowShare:
		return math.MaxInt
	case v.limit < v.Contenders && v.now.Sub(v.heldSince) >= rotationSlot:
		return 0
	default:
		return v.FairShare
	}
}

// yield returns how many credits to yield.
func (v teamView) yield() int {
	idle := v.granted - v.held
	unused := v.granted - v.peak
	idleTimedOut := v.now.Sub(v.idleSince) >= idleTimeout
	switch {
	case idle <= 0:
		return 0
	case v.closed:
		return idle
	case v.over:
		return min(idle, v.totalGranted-v.limit)
	case v.granted > v.ceiling():
		return min(idle, v.granted-v.ceiling())
	case v.waiting > 0 && !idleTimedOut:
		return 0
	case v.OthersWaiting || v.free == 0:
		return unused
	case idleTimedOut:
		return max(0, unused-v.reserve())
	default:
		return 0
	}
}

// take returns how many credits to request. It returns 0 and true to withdraw
// an earlier request that was not met.
func (v teamView) take() (int, bool) {
	want := v.held + v.waiting + v.reserve() - v.granted
	switch {
	case v.closed || v.over || v.limit == 0 || v.waiting == 0 || want <= 0:
		return 0, v.unmet > 0 && v.limit > 0
	case v.granted > v.peak:
		return 0, false
	case v.free == 0 && v.unmet > 0:
		return 0, false
	case v.OthersBelowShare:
		want = min(want, v.FairShare-v.granted)
	default:
		want = min(want, max(1, v.limit/v.members, (v.free+1)/2))
	}
	return want, want > 0
}

// reserve returns how many credits the member keeps beyond its peak use while
// credits are plentiful.
func (v teamView) reserve() int {
	return min(max(1, v.peak/reserveDivisor), v.free/(2*v.members))
}
