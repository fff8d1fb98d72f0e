// Package team is the aggregate of teams: their limits, and the grants that
// split each limit among the members.
//
// It keeps the sum of a team's grants at or under the team's limit, at every
// offset of the log. A grant falls only by its holder's own yield, or when its
// holder leaves or is reclaimed. The package imports no I/O.
package team

import (
	"maps"
	"slices"

	"github.com/beryltide/beryltide/internal/record"
)

// Ledger holds the grants of all teams. It is not safe for concurrent use.
type Ledger struct {
	accounts map[string]*account
	// generation marks the accounts that this ledger may change in place.
	generation *byte
}

type account struct {
	limit   int
	granted int
	grants  map[record.MemberID]int
	// waiting is what each member asked for and didn't get, above zero.
	waiting    map[record.MemberID]int
	generation *byte
}

// NewLedger returns a ledger without teams.
func NewLedger() *Ledger {
	return &Ledger{accounts: map[string]*account{}, generation: new(byte)}
}

// Clone returns a copy that later changes to l don't reach. Accounts are
// shared until one side changes them.
func (l *Ledger) Clone() *Ledger {
	l.generation = new(byte)
	return &Ledger{accounts: maps.Clone(l.accounts), generation: new(byte)}
}

// SetLimits puts the limits of a configuration in force. A team that limits
// doesn't name gets the limit 0. Grants stay as they are: while they exceed a
// lowered limit, the team is over it and nothing is granted.
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

// Take grants up to n credits of a team to a member and returns how many. What
// it can't grant stands as the member's wait until the member's next take.
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

// Yield gives back up to n credits of a team and returns how many.
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

// Release gives back all credits of a member that has left or was reclaimed.
func (l *Ledger) Release(m record.MemberID) {
	for _, name := range slices.Collect(maps.Keys(l.accounts)) {
		l.setWaiting(m, name, 0)
		l.Yield(m, name, l.Grant(m, name))
	}
}

// Grant returns the credits of a team that a member holds.
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

// Free returns the credits of a team that are not granted.
func (l *Ledger) Free(team string) int {
	a, ok := l.accounts[team]
	if !ok {
		return 0
	}
	return max(0, a.limit-a.granted)
}

// Over tells whether a team's grants exceed its limit, as they do after the
// limit was lowered. No member may start work of the team meanwhile.
func (l *Ledger) Over(team string) bool {
	a, ok := l.accounts[team]
	return ok && a.granted > a.limit
}

// Holders returns a team's grants by member.
func (l *Ledger) Holders(team string) map[record.MemberID]int {
	a, ok := l.accounts[team]
	if !ok {
		return nil
	}
	return maps.Clone(a.grants)
}

// Waiting returns the credits of a team that a member asked for in its last
// take and didn't get.
func (l *Ledger) Waiting(m record.MemberID, team string) int {
	a, ok := l.accounts[team]
	if !ok {
		return 0
	}
	return a.waiting[m]
}

// Contention is who needs a team's credits, as one member sees it.
type Contention struct {
	// Fair is each contender's part of the limit, rounded up.
	Fair int
	// Contenders is the number of members that hold credits or wait for some.
	Contenders int
	// OthersWait is set while another member waits, and OthersShort while one
	// of those holds less than the fair part.
	OthersWait, OthersShort bool
}

// Contention returns who needs a team's credits, as member m sees it.
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
	c.Fair = (a.limit + c.Contenders - 1) / c.Contenders
	for w := range a.waiting {
		if w != m {
			c.OthersWait = true
			c.OthersShort = c.OthersShort || a.grants[w] < c.Fair
		}
	}
	return c
}

// Teams returns the names of all teams with a limit or grants, sorted.
func (l *Ledger) Teams() []string {
	return slices.Sorted(maps.Keys(l.accounts))
}

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

// AccountState is the serial form of one team's grants.
type AccountState struct {
	Team  string `msgpack:"t"`
	Limit int    `msgpack:"l"`
	// Grants and Waiting are sorted by member, so that equal ledgers have
	// equal forms.
	Grants  []GrantState `msgpack:"g"`
	Waiting []GrantState `msgpack:"w"`
}

// GrantState is the serial form of one member's credits.
type GrantState struct {
	Member record.MemberID `msgpack:"m"`
	Count  int             `msgpack:"n"`
}

// State returns the serial form of the ledger, sorted by team.
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

// Restore returns the ledger of a serial form.
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
