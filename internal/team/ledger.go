// Package team keeps the limits of teams and the grants that divide each limit
// among the members.
//
// At every offset of the log it keeps the sum of a team's grants within the
// team's limit, unless the limit was lowered below that sum. A grant is reduced
// only by its holder's own yield, or when its holder leaves or is reclaimed.
// The package performs no I/O.
package team

import (
	"maps"
	"slices"

	"github.com/beryltide/beryltide/internal/record"
)

// Ledger holds the grants of all teams. It is not safe for concurrent use.
type Ledger struct {
	accounts map[string]*account
	// generation marks the accounts that belong to this ledger alone and may be
	// changed in place.
	generation *byte
}

type account struct {
	limit   int
	granted int
	grants  map[record.MemberID]int
	// waiting is the number of credits that each member requested and wasn't
	// granted. It has no entries of zero.
	waiting    map[record.MemberID]int
	generation *byte
}

// NewLedger returns a ledger without teams.
func NewLedger() *Ledger {
	return &Ledger{accounts: map[string]*account{}, generation: new(byte)}
}

// Clone returns a copy that later changes to l don't affect. Accounts are
// shared and copied on write.
func (l *Ledger) Clone() *Ledger {
	l.generation = new(byte)
	return &Ledger{accounts: maps.Clone(l.accounts), generation: new(byte)}
}

// SetLimits applies the limits of a configuration. A team that is missing from
// limits gets the limit 0. Grants are kept: while they exceed a lowered limit,
// the team is over it and nothing more is granted.
func (l *Ledger) SetLimits(limits map[string]int) {
	for name, a := range l.accounts {
		if _, ok := limits[name]; !ok && a.limit != 0 {
			l.writable(name).limit = 0
		}
	}
	for name, limit := range limits {
		if l.Limit(name) != limit {
			l.writable(name).limit = limit
		}
	}
	for name, a := range l.accounts {
		if a.limit == 0 && a.granted == 0 {
			delete(l.accounts, name)
		}
	}
}

// Take grants up to n credits of a team to a member and returns how many. Until
// the member's next take, the rest is recorded as waiting.
func (l *Ledger) Take(m record.MemberID, team string, n int) int {
	granted := max(0, min(n, l.Free(team)))
	l.setWaiting(m, team, n-granted)
	if granted == 0 {
		return 0
	}
	a := l.writable(team)
	a.grants[m] += granted
	a.granted += granted
	return granted
}

func (l *Ledger) setWaiting(m record.MemberID, team string, n int) {
	a, ok := l.accounts[team]
	if !ok || max(0, n) == a.waiting[m] {
		return
	}
	a = l.writable(team)
	if n <= 0 {
		delete(a.waiting, m)
		return
	}
	a.waiting[m] = n
}

// Yield returns up to n of a member's credits to its team, and returns their
// number.
func (l *Ledger) Yield(m record.MemberID, team string, n int) int {
	if held := l.Grant(m, team); n > held {
		n = held
	}
	if n <= 0 {
		return 0
	}
	a := l.writable(team)
	a.granted -= n
	a.grants[m] -= n
	if a.grants[m] == 0 {
		delete(a.grants, m)
	}
	if a.limit == 0 && a.granted == 0 {
		delete(l.accounts, team)
	}
	return n
}

// Release returns all credits of a member that has left or was reclaimed.
func (l *Ledger) Release(m record.MemberID) {
	for _, name := range slices.Collect(maps.Keys(l.accounts)) {
		l.setWaiting(m, name, 0)
		l.Yield(m, name, l.Grant(m, name))
	}
}

// Grant returns the number of a team's credits that a member holds.
func (l *Ledger) Grant(m record.MemberID, team string) int {
	a, ok := l.accounts[team]
	if !ok {
		return 0
	}
	return a.grants[m]
}

// Limit returns a team's limit, 0 for an unknown team.
func (l *Ledger) Limit(team string) int {
	a, ok := l.accounts[team]
	if !ok {
		return 0
	}
	return a.limit
}

// Granted returns the sum of a team's grants.
func (l *Ledger) Granted(team string) int {
	a, ok := l.accounts[team]
	if !ok {
		return 0
	}
	return a.granted
}

// Free returns the number of a team's credits that are not granted.
func (l *Ledger) Free(team string) int {
	a, ok := l.accounts[team]
	if !ok {
		return 0
	}
	return max(0, a.limit-a.granted)
}

// OverLimit reports whether a team's grants exceed its limit, which happens
// after the limit was lowered. Until it ends no member may start work of the
// team.
func (l *Ledger) OverLimit(team string) bool {
	a, ok := l.accounts[team]
	return ok && a.granted > a.limit
}

// Holders returns a copy of a team's grants by member.
func (l *Ledger) Holders(team string) map[record.MemberID]int {
	a, ok := l.accounts[team]
	if !ok {
		return nil
	}
	return maps.Clone(a.grants)
}

// Waiting returns how many of a team's credits a member requested in its last
// take and wasn't granted.
func (l *Ledger) Waiting(m record.MemberID, team string) int {
	a, ok := l.accounts[team]
	if !ok {
		return 0
	}
	return a.waiting[m]
}

// Contention describes the competition for a team's credits from one member's
// point of view.
type Contention struct {
	// FairShare is each contender's part of the limit, rounded up.
	FairShare int
	// Contenders is the number of members that hold credits or wait for some,
	// at least one.
	Contenders int
	// OthersWaiting is set while another member waits. OthersBelowShare is set
	// while one that waits holds less than the fair share.
	OthersWaiting, OthersBelowShare bool
}

// Contention returns the competition for a team's credits from the point of
// view of member m.
func (l *Ledger) Contention(m record.MemberID, team string) Contention {
	a, ok := l.accounts[team]
	if !ok {
		return Contention{Contenders: 1}
	}
	c := Contention{Contenders: len(a.grants)}
	for w := range a.waiting {
		if a.grants[w] == 0 {
			c.Contenders++
		}
	}
	c.Contenders = max(1, c.Contenders)
	c.FairShare = (a.limit + c.Contenders - 1) / c.Contenders
	for w := range a.waiting {
		if w != m {
			c.OthersWaiting = true
			c.OthersBelowShare = c.OthersBelowShare || a.grants[w] < c.FairShare
		}
	}
	return c
}

// Teams returns the names of all teams with a limit or grants, sorted.
func (l *Ledger) Teams() []string {
	return slices.Sorted(maps.Keys(l.accounts))
}

// writable returns a team's account for a change, copied or created as needed.
func (l *Ledger) writable(team string) *account {
	a, ok := l.accounts[team]
	switch {
	case !ok:
		a = &account{
			grants:     map[record.MemberID]int{},
			waiting:    map[record.MemberID]int{},
			generation: l.generation,
		}
	case a.generation == l.generation:
		return a
	default:
		a = &account{
			limit:      a.limit,
			granted:    a.granted,
			grants:     maps.Clone(a.grants),
			waiting:    maps.Clone(a.waiting),
			generation: l.generation,
		}
	}
	l.accounts[team] = a
	return a
}

// AccountState is the serialized form of one team's account.
type AccountState struct {
	Team  string `msgpack:"t"`
	Limit int    `msgpack:"l"`
	// Grants and Waiting are sorted by member, so that equal ledgers have equal
	// forms.
	Grants  []GrantState `msgpack:"g"`
	Waiting []GrantState `msgpack:"w"`
}

// GrantState is the serialized form of one member's credits.
type GrantState struct {
	Member record.MemberID `msgpack:"m"`
	Count  int             `msgpack:"n"`
}

// State returns the serialized form of the ledger, sorted by team.
func (l *Ledger) State() []AccountState {
	states := make([]AccountState, 0, len(l.accounts))
	for _, name := range l.Teams() {
		a := l.accounts[name]
		states = append(states, AccountState{
			Team:    name,
			Limit:   a.limit,
			Grants:  grantStates(a.grants),
			Waiting: grantStates(a.waiting),
		})
	}
	return states
}

func grantStates(grants map[record.MemberID]int) []GrantState {
	states := make([]GrantState, 0, len(grants))
	for _, m := range slices.Sorted(maps.Keys(grants)) {
		states = append(states, GrantState{Member: m, Count: grants[m]})
	}
	return states
}

// Restore returns the ledger of a serialized form.
func Restore(states []AccountState) *Ledger {
	l := NewLedger()
	for _, s := range states {
		a := l.writable(s.Team)
		a.limit = s.Limit
		for _, g := range s.Grants {
			a.grants[g.Member] = g.Count
			a.granted += g.Count
		}
		for _, w := range s.Waiting {
			a.waiting[w.Member] = w.Count
		}
	}
	return l
}
