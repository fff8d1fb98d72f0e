// Package credit is one member's account of its teams' grants: which credits
// it may use now, which it gives back and which it asks for.
//
// A credit is the right to run one task of a team. For each team the account
// keeps
//
//	in use + usable <= granted at the last folded offset - yields in flight
//
// and counts a credit as in use until its task is known to have ended. The
// package knows nothing of the log or of requests: it is given snapshots, and
// what it yields and takes goes into the member's next report.
package credit

import (
	"math"
	"sync"
	"time"

	"github.com/beryltide/beryltide/internal/controlstate"
	"github.com/beryltide/beryltide/internal/record"
)

// Account is the credits of one member. It is safe for concurrent use.
type Account struct {
	now func() time.Time

	mu       sync.Mutex
	self     record.MemberID
	snap     *controlstate.Snapshot
	teams    map[string]*balance
	expiring map[*Lease]struct{}
	// inFlight is the sequence of the report that holds the last yields and
	// takes, 0 once the snapshot holds it too.
	inFlightSeq uint64
	closed      bool
}

// balance is the account of one team.
type balance struct {
	// held are the credits in use.
	held int
	// peak is the highest held since the last report.
	peak int
	// yielding are the credits given back by the report in flight.
	yielding int
	// waiting is the number of requests that wait for a credit here.
	waiting int
	// ceiling bounds held while other members wait for credits.
	ceiling int
	// heldSince is when the member last got its first credit.
	heldSince time.Time
	// turnEnded is when the member last gave up its only credit to others, and
	// deferred is set while it lets them ask first.
	rotatedOutAt time.Time
	deferred     bool
	// idleSince is when the credits were last all in use.
	idleSince time.Time
}

// New returns an account without credits.
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
	// over is set once the credit is back in the account.
	released bool
	// until is when a lost task's lease has lapsed.
	expiresAt time.Time
}

// Acquire puts one credit of a team in use. It returns false when none is
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

// Release gives the credit back to the account, once the task is known to have
// ended or never to start. Later calls do nothing.
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

// Lost keeps the credit in use until a time, by which a task whose end is not
// known must have ended. Release before that time ends it early.
func (l *Lease) Lost(until time.Time) {
	l.account.mu.Lock()
	defer l.account.mu.Unlock()
	if l.released {
		return
	}
	l.expiresAt = until
	l.account.expiring[l] = struct{}{}
}

// Waiting changes the number of requests of a team that wait here.
func (a *Account) Waiting(team string, change int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.balanceOf(team).waiting += change
}

// Fold puts a snapshot in force, of which the account's member is self. Older
// ones than the last are ignored. A new member starts without grants; credits
// in use stay so.
func (a *Account) Fold(self record.MemberID, snap *controlstate.Snapshot) {
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

// folded tells whether the snapshot holds the member's record with a sequence.
func (a *Account) folded(seq uint64) bool {
	m := a.snap.Members.Get(a.self)
	return m == nil || m.Seq >= seq
}

// settle ends the report in flight.
func (a *Account) clearInFlight() {
	a.inFlightSeq = 0
	for _, b := range a.teams {
		b.yielding = 0
	}
}

// Close stops new use of credits; Next then yields all that are idle.
func (a *Account) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
}

// Held returns the credits in use of all teams.
func (a *Account) Held() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	held := 0
	for _, b := range a.teams {
		held += b.held
	}
	return held
}

// Usable returns the credits of a team that may be put in use now.
func (a *Account) Usable(team string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.usable(team)
}

func (a *Account) usable(team string) int {
	if a.snap == nil || a.closed || a.snap.Ledger.Over(team) {
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

// lapse frees the credits of lost tasks whose leases are over.
func (a *Account) releaseExpired(now time.Time) {
	for l := range a.expiring {
		if !now.Before(l.expiresAt) {
			l.release()
		}
	}
}
