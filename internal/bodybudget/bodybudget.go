// Package bodybudget divides a daemon's memory for request bodies among the requests
// that are being read, decoded or stored. It decides which request gets memory, which one
// gives it up and which one is too slow. It does no I/O, and time is a parameter.
//
// It answers this load pattern: many callers, of one team or of many, hold large bodies
// open, most of them stopping just short of the end.
package bodybudget

import (
	"container/list"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// shareOfTeam and shareOfBody are the shares of the budget that one team, and one
	// body, may hold. A connection has one request at a time, so the latter is also
	// that of a connection.
	shareOfTeam = 0.5
	shareOfBody = 0.25
	// MinStall is how long no byte of a body has arrived before it gives up its memory
	// to others: longer than the pauses of a daemon with a fifth of a core.
	MinStall = 250 * time.Millisecond
	// Deadline is the longest time that a body may take to arrive.
	Deadline = 60 * time.Second
	// Window is the time in which at least MinBytes of a body must arrive: a quarter of
	// the rate at which a body of 256 KiB meets Deadline.
	Window   = 10 * time.Second
	MinBytes = 10 << 10
)

// Errors of a body that isn't read, or not to its end.
var (
	// ErrFull means that the budget, or the team's share of it, is used up.
	ErrFull = errors.New("too many request bodies at once")
	// ErrTooSlow means that the body missed its deadline or the minimum arrival rate.
	ErrTooSlow = errors.New("the request body arrives too slowly")
)

// Cutter ends the read of a body that is in progress. Cut is called with the budget's
// lock held and must not block.
type Cutter interface{ Cut() }

// Stats counts what the budget did since it was made, and what it holds.
type Stats struct {
	// Bytes is the memory held now.
	Bytes int64
	// Refused counts bodies without memory, Displaced stalled ones that gave theirs to
	// others, Slow those that arrived too slowly.
	Refused, Displaced, Slow int64
}

// Budget is the memory of all bodies. It is safe for concurrent use.
type Budget struct {
	total int64

	mu     sync.Mutex
	byTeam map[string]int64
	// arriving holds the bodies that are being read, the longest without progress first.
	arriving list.List
	stats    Stats
}

// New returns a budget of a number of bytes.
func New(total int64) *Budget { return &Budget{total: total, byTeam: map[string]int64{}} }

// Body is the memory of one body. It belongs to the goroutine that reads it.
type Body struct {
	budget *Budget
	team   string
	cutter Cutter
	held   int64
	// place is nil once the body has been read or has been cut.
	place *list.Element
	// cause is why the body was cut.
	cause error
	begun time.Time
	// progressAt is when bytes last arrived.
	progressAt  time.Time
	windowBegan time.Time
	windowBytes int64
}

// Begin registers a body that is about to be read. End must be called.
func (b *Budget) Begin(team string, cutter Cutter, now time.Time) *Body {
	body := &Body{budget: b, team: team, cutter: cutter, begun: now, progressAt: now, windowBegan: now}
	b.mu.Lock()
	defer b.mu.Unlock()
	body.place = b.arriving.PushBack(body)
	return body
}

// Grow takes more memory for the body. If there is none, bodies without progress give
// theirs up. Otherwise it returns ErrFull, or the reason why this body has been cut.
func (m *Body) Grow(n int64, now time.Time) error {
	b := m.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if m.cause != nil {
		return m.cause
	}
	for !m.fits(n) {
		victim := b.stalled(m, n, now)
		if victim == nil {
			b.stats.Refused++
			return ErrFull
		}
		b.stats.Displaced++
		victim.cut(ErrFull)
	}
	m.hold(n)
	return nil
}

// fits reports whether the body may hold more. One that is alone may hold everything, so
// that any request within the limits is served.
func (m *Body) fits(n int64) bool {
	b := m.budget
	if m.held == b.stats.Bytes {
		return m.held+n <= b.total
	}
	return b.stats.Bytes+n <= b.total && m.teamFits(n) && m.shareFits(n)
}

func (m *Body) shareFits(n int64) bool {
	return float64(m.held+n) <= shareOfBody*float64(m.budget.total)
}

func (m *Body) teamFits(n int64) bool {
	return float64(m.budget.byTeam[m.team]+n) <= shareOfTeam*float64(m.budget.total)
}

// stalled returns the body that has to give its memory to another one, which wants more:
// the one that has been without progress for the longest, at least for MinStall; of the
// same team if that team would hold too much. It returns nil if no other body's memory
// helps.
func (b *Budget) stalled(m *Body, n int64, now time.Time) *Body {
	if !m.shareFits(n) {
		return nil
	}
	sameTeam := !m.teamFits(n)
	for e := b.arriving.Front(); e != nil; e = e.Next() {
		other := e.Value.(*Body)
		if now.Sub(other.progressAt) < MinStall {
			return nil
		}
		if other != m && other.held > 0 && (!sameTeam || other.team == m.team) {
			return other
		}
	}
	return nil
}

// cut ends the read of the body and frees its memory. What its goroutine still holds is
// freed as soon as that runs.
func (m *Body) cut(cause error) {
	m.cause = cause
	m.budget.arriving.Remove(m.place)
	m.place = nil
	m.hold(-m.held)
	m.cutter.Cut()
}

func (m *Body) hold(n int64) {
	b := m.budget
	m.held += n
	b.stats.Bytes += n
	if left := b.byTeam[m.team] + n; left != 0 {
		b.byTeam[m.team] = left
	} else {
		delete(b.byTeam, m.team)
	}
}

// Shrink gives memory back.
func (m *Body) Shrink(n int64) {
	b := m.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	m.hold(-min(n, m.held))
}

// ShrinkTo gives memory back so that at most a number of bytes is left.
func (m *Body) ShrinkTo(n int64) {
	b := m.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	m.hold(-max(m.held-n, 0))
}

// Arrived records that bytes have arrived. It returns the reason if the body has been cut.
func (m *Body) Arrived(n int, now time.Time) error {
	b := m.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if m.cause != nil {
		return m.cause
	}
	m.progressAt = now
	m.windowBytes += int64(n)
	b.arriving.MoveToBack(m.place)
	return nil
}

// Read records that the body has been read; it keeps its memory from then on. It
// returns the reason if the body has been cut before.
func (m *Body) Read() error {
	b := m.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	m.leave()
	return m.cause
}

func (m *Body) leave() {
	if m.place != nil {
		m.budget.arriving.Remove(m.place)
		m.place = nil
	}
}

// End gives all memory back. The cutter isn't called any more.
func (m *Body) End() {
	b := m.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	m.leave()
	m.hold(-m.held)
}

// Sweep cuts the bodies that arrive too slowly. It is called about once a second.
func (b *Budget) Sweep(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var next *list.Element
	for e := b.arriving.Front(); e != nil; e = next {
		next = e.Next()
		if m := e.Value.(*Body); m.tooSlow(now) {
			b.stats.Slow++
			m.cut(ErrTooSlow)
		}
	}
}

func (m *Body) tooSlow(now time.Time) bool {
	if now.Sub(m.begun) > Deadline {
		return true
	}
	if now.Sub(m.windowBegan) < Window {
		return false
	}
	slow := m.windowBytes < MinBytes
	m.windowBegan, m.windowBytes = now, 0
	return slow
}

// Stats returns the budget's counts.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}
