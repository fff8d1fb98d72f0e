// Package connlimit decides which connections of a listener stay open. It does no I/O,
// and time is a parameter.
//
// It answers this load pattern: callers open connections and leave them idle, never end
// their headers or never read their answers, until the process is out of descriptors or
// memory.
package connlimit

import (
	"container/list"
	"sync"
	"time"
)

const (
	// MaxWrite is how long a write may wait for the other side to read.
	MaxWrite = 10 * time.Second
	// MaxSilence is how long a new connection may be silent before it is closed rather
	// than others: callers connect in order to send.
	MaxSilence = time.Second
)

// Conn is a connection as the table sees it.
type Conn interface {
	// WriteBegan returns when the write that is in progress began; zero if none is.
	WriteBegan() time.Time
}

// Entry is the place of one connection in a table.
type Entry struct {
	conn  Conn
	added time.Time
	in    *list.List
	place *list.Element
}

// Stats counts a table's connections.
type Stats struct {
	// Open is the number of connections now, Busy of those with a request.
	Open, Busy int
	// ClosedIdle and ClosedBusy count those closed for new ones, Unread those whose
	// answers weren't read.
	ClosedIdle, ClosedBusy, Unread int64
}

// Table holds the connections of a listener, up to a limit. It is safe for concurrent
// use.
type Table struct {
	limit int

	mu sync.Mutex
	// silent, idle and busy hold the entries by the time at which they became so. Silent
	// ones have sent nothing yet.
	silent, idle, busy list.List
	stats              Stats
}

// New returns a table of at most a number of connections.
func New(limit int) *Table { return &Table{limit: limit} }

// Add adds a connection that has sent nothing yet. If the table is full, it removes and
// returns the one to be closed: one that has been silent for MaxSilence, or else the one
// that has been idle for the longest, or else busy for the longest. Otherwise it returns
// nil.
func (t *Table) Add(c Conn, now time.Time) (entry *Entry, toClose Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open() >= t.limit {
		toClose = t.evict(now)
	}
	entry = &Entry{conn: c, added: now}
	entry.move(&t.silent)
	return entry, toClose
}

func (t *Table) open() int { return t.silent.Len() + t.idle.Len() + t.busy.Len() }

func (t *Table) evict(now time.Time) Conn {
	oldest := t.silent.Front()
	if oldest == nil || now.Sub(oldest.Value.(*Entry).added) < MaxSilence {
		oldest = t.idle.Front()
	}
	switch {
	case oldest != nil:
		t.stats.ClosedIdle++
	case t.busy.Len() > 0:
		oldest = t.busy.Front()
		t.stats.ClosedBusy++
	default:
		oldest = t.silent.Front()
		t.stats.ClosedIdle++
	}
	e := oldest.Value.(*Entry)
	e.remove()
	return e.conn
}

func (e *Entry) move(to *list.List) {
	e.remove()
	e.in, e.place = to, to.PushBack(e)
}

func (e *Entry) remove() {
	if e.in != nil {
		e.in.Remove(e.place)
		e.in, e.place = nil, nil
	}
}

// Idle records that a connection is idle from now on.
func (t *Table) Idle(e *Entry) { t.set(e, &t.idle) }

// Busy records that a request has begun to arrive at a connection.
func (t *Table) Busy(e *Entry) { t.set(e, &t.busy) }

// set moves an entry, unless it has been removed.
func (t *Table) set(e *Entry, to *list.List) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.in != nil {
		e.move(to)
	}
}

// Remove removes a connection that is closed.
func (t *Table) Remove(e *Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.remove()
}

// Sweep removes and returns the connections to be closed because the other side doesn't
// read. It is called about once a second.
func (t *Table) Sweep(now time.Time) []Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	var toClose []Conn
	for _, l := range []*list.List{&t.silent, &t.idle, &t.busy} {
		var next *list.Element
		for place := l.Front(); place != nil; place = next {
			next = place.Next()
			e := place.Value.(*Entry)
			if began := e.conn.WriteBegan(); !began.IsZero() && now.Sub(began) > MaxWrite {
				e.remove()
				t.stats.Unread++
				toClose = append(toClose, e.conn)
			}
		}
	}
	return toClose
}

// Stats returns the table's counts.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Open, t.stats.Busy = t.open(), t.busy.Len()
	return t.stats
}
