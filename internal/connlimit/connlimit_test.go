package connlimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// conn is a connection whose write in progress began at a time.
type conn struct{ began time.Time }

func (c *conn) WriteBegan() time.Time { return c.began }

// Silent connections must be closed before idle ones, and those before the ones with a
// request, of each the oldest; but not one that has just been opened.
func TestOrderOfClosing(t *testing.T) {
	is := is.New(t)
	table, now := New(3), time.Unix(1000, 0)
	conns := make([]*conn, 6)
	entries := make([]*Entry, 6)
	add := func(n int) Conn {
		conns[n] = &conn{}
		var toClose Conn
		entries[n], toClose = table.Add(conns[n], now)
		return toClose
	}
	for n := range 3 {
		is.Equal(add(n), nil)
		table.Busy(entries[n])
	}
	table.Idle(entries[1])
	is.Equal(add(3), Conn(conns[1])) // the idle one
	table.Busy(entries[0])           // begins another request
	is.Equal(add(4), Conn(conns[2])) // busy for the longest
	table.Idle(entries[0])
	now = now.Add(MaxSilence)
	is.Equal(add(5), Conn(conns[3])) // silent for too long
	table.Idle(entries[2])           // has been removed
	table.Remove(entries[2])
	table.Remove(entries[4])
	is.Equal(add(3), nil)
	is.Equal(table.Stats(), Stats{Open: 3, ClosedIdle: 2, ClosedBusy: 1})
}

// A connection whose answers aren't read must not stay open for ever.
func TestUnreadAnswers(t *testing.T) {
	is := is.New(t)
	table, now := New(3), time.Unix(1000, 0)
	table.Add(&conn{}, now)
	slow := &conn{began: now}
	table.Add(slow, now)
	is.Equal(len(table.Sweep(now.Add(MaxWrite))), 0)
	is.Equal(table.Sweep(now.Add(MaxWrite+1)), []Conn{slow})
	is.Equal(table.Stats(), Stats{Open: 1, Unread: 1})
}
