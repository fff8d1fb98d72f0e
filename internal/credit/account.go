// Package credit keeps one member's account of its teams' credits: which it may
// use now, which it yields, and which it requests.
//
// A credit is the right to run one task of a team. For each team the account
// maintains
//
//	in use + usable <= granted at the last folded offset - yields in flight
//
// and counts a credit as in use until its task is known to have ended. The
// package does not depend on the log or on requests: it gets snapshots of the
// control state, and its yields and takes go into the member's next report.
package credit

import (
	"math"
	"sync"
	"time"

	"github.com/beryltide/beryltide/internal/controlstate"
	"github.com/beryltide/beryltide/internal/record"
)

// Account holds the credits of one member. It is safe for concurrent use.
type Account struct {
	now func() time.Time

	mu       sync.Mutex
	self     record.MemberID
	snap     *controlstate.Snapshot
	teams    map[string]*balance
	expiring map[*Lease]struct{}
	// inFlightSeq is the sequence of the report with the last yields and takes,
	// 0 once the snapshot includes that report.
	inFlightSeq uint64
	closed      bool
}

// balance is the account of one team.
type balance struct {
	// held is the number of credits in use.
	held int
	// peak is the highest value of held since the last report.
	peak int
	// yielding is the number of credits yielded by the report in flight.
	yielding int
	// waiting is the number of requests that wait for a credit at this member.
	waiting int
	// ceiling bounds held while other members wait for credits.
	ceiling int
	// heldSince is when the member last began to hold credits.
	heldSince time.Time
	// rotatedOutAt is when the member last yielded its credits at the end of
	// its rotation slot. deferred is set while it delays a take to let other
	// members take first.
	rotatedOutAt time.Time
	deferred     bool
	// idleSince is when all granted credits were last in use.
	idleSince time.Time
}

// New returns an account without credits. now is the clock.
func New(now func() time.Time) *Account {
	return &Account{
		now:      now,
		teams:    map[string]*balance{},
		expiring: map[*Lease]struct{}{},
	}
}

// Lease is one credit in use. Its methods are safe for concurrent use.
type Lease struct {
	account *Account
	team    string
	// released is set once the credit is back in the account.
	released bool
	// expiresAt is when the lease of a lost task expires.
	expiresAt time.Time
}

// Acquire takes one credit of a team into use. It returns false when none is
// usable.
func (a *Account) Acquire(team string) (*Lease, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.usable(team) <= 0 {
		a.releaseExpired(a.now())
	}
	if a.usable(team) <= 0 {
		return nil, false
	}
	b := a.balanceOf(team)
	b.held++
	b.peak = max(b.peak, b.held)
	return &Lease{account: a, team: team}, true
}

// Release returns the credit to the account, once the task is known to have
// ended or to never start. Later calls do nothing.
func (l *Lease) Release() {
	l.account.mu.Lock()
	defer l.account.mu.Unlock()
	l.release()
}

func (l *Lease) release() {
	if l.released {
		return
	}
	l.released = true
	l.account.teams[l.team].held--
	delete(l.account.expiring, l)
}

// HoldUntil keeps the credit in use until the time by which a task of unknown
// state must have ended. Release ends it earlier.
func (l *Lease) HoldUntil(until time.Time) {
	l.account.mu.Lock()
	defer l.account.mu.Unlock()
	if l.released {
		return
	}
	l.expiresAt = until
	l.account.expiring[l] = struct{}{}
}

// AddWaiting adds change to the number of requests of a team that wait at this
// member.
func (a *Account) AddWaiting(team string, change int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.balanceOf(team).waiting += change
}

// Apply applies a snapshot in which the account's member is self. A snapshot
// older than the last one is ignored. A new member starts without grants, and
// its credits in use stay in use.
func (a *Account) Apply(self record.MemberID, snap *controlstate.Snapshot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.snap != nil && snap.Next < a.snap.Next {
		return
	}
	a.snap = snap
	if self != a.self || a.folded(a.inFlightSeq) {
		a.clearInFlight()
	}
	a.self = self
}

// folded reports whether the snapshot includes the member's record with a
// sequence.
func (a *Account) folded(seq uint64) bool {
	m := a.snap.Members.Get(a.self)
	return m == nil || m.Seq >= seq
}

// clearInFlight ends the report in flight.
func (a *Account) clearInFlight() {
	a.inFlightSeq = 0
	for _, b := range a.teams {
		b.yielding = 0
	}
}

// Close prevents new use of credits. Next then yields all idle ones.
func (a *Account) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
}

// Held returns the number of credits in use of all teams.
func (a *Account) Held() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	held := 0
	for _, b := range a.teams {
		held += b.held
	}
	return held
}

// Usable returns the number of credits of a team that may be taken into use
// now.
func (a *Account) Usable(team string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.usable(team)
}

func (a *Account) usable(team string) int {
	if a.snap == nil || a.closed || a.snap.Ledger.OverLimit(team) {
		return 0
	}
	granted := a.snap.Ledger.Grant(a.self, team)
	b, ok := a.teams[team]
	if !ok {
		return granted
	}
	return max(0, min(granted-b.yielding, b.ceiling)-b.held)
}

func (a *Account) balanceOf(team string) *balance {
	b, ok := a.teams[team]
	if !ok {
		b = &balance{ceiling: math.MaxInt, idleSince: a.now()}
		a.teams[team] = b
	}
	return b
}

// releaseExpired releases the credits of lost tasks whose leases have expired.
func (a *Account) releaseExpired(now time.Time) {
	for l := range a.expiring {
		if !now.Before(l.expiresAt) {
			l.release()
		}
	}
}
