package bodybudget

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// cuts counts the calls of Cut.
type cuts int

func (c *cuts) Cut() { *c++ }

// One team that holds its bodies open must leave memory to the others, and its stalled
// bodies must give way to its own new ones.
func TestStalledBodiesOfOneTeam(t *testing.T) {
	is := is.New(t)
	b, now, cut := New(1000), time.Unix(0, 0), new(cuts)
	for range 5 {
		is.NoErr(b.Begin("hot", cut, now).Grow(100, now))
	}
	late := b.Begin("hot", cut, now)
	is.True(errors.Is(late.Grow(100, now), ErrFull)) // its team's half is used up
	is.NoErr(b.Begin("other", cut, now).Grow(100, now))
	now = now.Add(MinStall)
	is.NoErr(late.Grow(100, now))
	is.Equal(int(*cut), 1)
	is.Equal(b.Stats(), Stats{Bytes: 600, Refused: 1, Displaced: 1})
}

// A body that doesn't fit into its team's share, or into that of a body, must not take
// memory from other teams.
func TestShareOfATeamSparesOthers(t *testing.T) {
	is := is.New(t)
	b, now, cut := New(1000), time.Unix(0, 0), new(cuts)
	is.NoErr(b.Begin("other", cut, now).Grow(100, now)) // stalls
	for range 2 {
		m := b.Begin("hot", cut, now)
		is.NoErr(m.Grow(240, now))
		is.NoErr(m.Read())
	}
	now = now.Add(MinStall)
	is.True(errors.Is(b.Begin("hot", cut, now).Grow(100, now), ErrFull))
	is.True(errors.Is(b.Begin("third", cut, now).Grow(300, now), ErrFull))
	is.Equal(int(*cut), 0)
}

// Replays callers that hold bodies of 256 KiB open just short of the end: the budget must
// hold, and an ordinary body must get its memory.
func TestReplayOfStalledBodies(t *testing.T) {
	is := is.New(t)
	const callers, size, total, ordinary = 1200, 256 << 10, 23 << 20, 4 << 10
	b, now, cut := New(total), time.Unix(0, 0), new(cuts)
	for n := range callers {
		now = now.Add(time.Millisecond)
		m := b.Begin(strconv.Itoa(n%7), cut, now)
		for held := int64(ordinary); held <= size && m.Grow(held, now) == nil; held *= 2 {
			m.Shrink(held / 2)
			is.NoErr(m.Arrived(int(held/2), now))
		}
		is.True(b.Stats().Bytes <= total)
	}
	served := b.Begin("ordinary", cut, now.Add(MinStall))
	is.NoErr(served.Grow(ordinary, now.Add(MinStall)))
	is.NoErr(served.Read())
	is.True(int(*cut) > 0)
	b.Sweep(now.Add(Window)) // enough has arrived in the first window
	b.Sweep(now.Add(2 * Window))
	is.Equal(b.Stats().Bytes, int64(ordinary)) // all others were cut
}

// A body that was cut must be told so, and must not give its memory back twice.
func TestCutBody(t *testing.T) {
	is := is.New(t)
	b, now, cut := New(1000), time.Unix(0, 0), new(cuts)
	first := b.Begin("a", cut, now)
	is.NoErr(first.Grow(1000, now)) // it is alone
	second := b.Begin("b", cut, now)
	now = now.Add(MinStall)
	is.NoErr(second.Grow(10, now))
	is.True(errors.Is(first.Arrived(1, now), ErrFull))
	is.True(errors.Is(first.Grow(1, now), ErrFull))
	is.True(errors.Is(first.Read(), ErrFull))
	first.End()
	is.Equal(b.Stats().Bytes, int64(10))
	second.End()
	is.Equal(b.Stats().Bytes, int64(0))
	is.Equal(len(b.byTeam), 0)
}

// A body that has been read must keep its memory until the request ends, however long
// the store takes.
func TestReadBodyKeepsItsMemory(t *testing.T) {
	is := is.New(t)
	b, now, cut := New(1000), time.Unix(0, 0), new(cuts)
	first := b.Begin("a", cut, now)
	is.NoErr(first.Grow(1000, now))
	is.NoErr(first.Read())
	now = now.Add(2 * Deadline)
	b.Sweep(now)
	is.True(errors.Is(b.Begin("b", cut, now).Grow(10, now), ErrFull))
	is.Equal(int(*cut), 0)
	first.ShrinkTo(10)
	is.NoErr(b.Begin("b", cut, now).Grow(10, now))
}

// A body that arrives slowly must be cut, one that arrives at the minimum rate only at
// the deadline.
func TestSlowBodies(t *testing.T) {
	is := is.New(t)
	b, now := New(1<<20), time.Unix(0, 0)
	silent, steady := new(cuts), new(cuts)
	b.Begin("a", silent, now)
	m := b.Begin("a", steady, now)
	for end := now.Add(Deadline); now.Before(end); {
		now = now.Add(time.Second)
		is.NoErr(m.Arrived(MinBytes, now))
		b.Sweep(now)
		is.Equal(int(*steady), 0)
	}
	is.Equal(int(*silent), 1)
	b.Sweep(now.Add(time.Second))
	is.Equal(int(*steady), 1)
	is.True(errors.Is(m.Read(), ErrTooSlow))
}
