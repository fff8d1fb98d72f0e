package reclaim

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/control"
	"github.com/beryltide/beryltide/internal/controlstate"
	"github.com/beryltide/beryltide/internal/listing"
	"github.com/beryltide/beryltide/internal/member"
	"github.com/beryltide/beryltide/internal/memberlease"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/record"
)

const (
	step = 500 * time.Millisecond
	span = 3 * time.Minute
	// death is when member "d" writes its last record.
	death  = 10 * time.Second
	runs   = 20 * time.Second
	silent = memberlease.MemberLease + memberlease.ClockSkew + runs
	never  = time.Duration(-1)
)

// world is what one controller sees, step by step.
type world struct {
	now     time.Time
	start   time.Time
	members *member.Members
	list    *listing.List
	contact time.Time
	heard   time.Time
}

func (w *world) at() time.Duration { return w.now.Sub(w.start) }

func entryAt(name, addr string) platform.Listing {
	return platform.Listing{Instance: name, Role: platform.RoleEntry, Addr: addr}
}

// between tells whether the world's time is in an interval.
func (w *world) between(from, to time.Duration) bool { return w.at() >= from && w.at() < to }

func TestReclaim(t *testing.T) {
	self, dead := entryAt("s", "s:1"), entryAt("d", "d:1")
	gone := []platform.Listing{self}
	both := []platform.Listing{self, dead}
	cases := []struct {
		name string
		// list returns what the directory lists; default is gone from death on.
		list func(w *world) []platform.Listing
		// change is run at each step.
		change func(w *world)
		// want is when the reclaim is first proposed, or never.
		want time.Duration
	}{
		{"dead and not listed", nil, nil, death + silent},
		{"not listed any more only later", func(w *world) []platform.Listing {
			if w.at() < 100*time.Second {
				return both
			}
			return gone
		}, nil, 100*time.Second + goneFor},
		{"still listed", func(*world) []platform.Listing { return both }, nil, never},
		{"listed at another address", func(*world) []platform.Listing {
			return []platform.Listing{self, entryAt("d", "d:2")}
		}, nil, death + silent},
		{"a later run at the same address", func(*world) []platform.Listing { return both }, func(w *world) {
			w.members.Join(99, "d2", 1, record.Join{Instance: "d", PeerAddr: "d:1"})
		}, death + silent},
		{"flapping list", func(w *world) []platform.Listing {
			if int(w.at()/time.Second)%5 == 0 {
				return both
			}
			return gone
		}, nil, never},
		{"empty list", func(*world) []platform.Listing { return nil }, nil, never},
		{"list without this daemon", func(*world) []platform.Listing {
			return []platform.Listing{entryAt("x", "x:1")}
		}, nil, never},
		{"heard by peers", nil, func(w *world) { w.heard = w.now }, never},
		{"still writing", nil, func(w *world) {
			w.members.Accept(1, "d", w.members.Get("d").Seq+1)
		}, never},
		{"log down for a minute", nil, func(w *world) {
			if w.between(20*time.Second, 80*time.Second) {
				w.contact = w.start.Add(20 * time.Second)
			}
		}, 79500*time.Millisecond + silent},
		{"log down", nil, func(w *world) { w.contact = w.start }, never},
		{"this daemon paused", nil, func(w *world) {
			if w.at() == 20*time.Second {
				w.now = w.now.Add(40 * time.Second)
			}
		}, 60*time.Second + silent},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld()
			if c.list == nil {
				c.list = func(*world) []platform.Listing { return gone }
			}
			is.Equal(w.run(c.list, c.change), c.want)
		})
	}
}

func newWorld() *world {
	w := &world{start: time.Unix(1_000_000, 0), members: member.New()}
	w.now = w.start
	w.members.SetLongestRun(runs)
	w.members.Join(0, "s", 1, record.Join{Instance: "s", PeerAddr: "s:1"})
	w.members.Join(1, "d", 1, record.Join{Instance: "d", PeerAddr: "d:1"})
	return w
}

// run returns when the controller first proposes to reclaim "d".
func (w *world) run(list func(*world) []platform.Listing, change func(*world)) time.Duration {
	c := New(Options{
		Newest:  func() *listing.List { return w.list },
		Contact: func() time.Time { return w.contact },
		Heard: func(id record.MemberID) time.Time {
			if id == "d" {
				return w.heard
			}
			return time.Time{}
		},
		Now: func() time.Time { return w.now },
	})
	for ; w.at() < span; w.now = w.now.Add(step) {
		w.contact = w.now
		if w.at() <= death {
			w.members.Accept(1, "d", w.members.Get("d").Seq+1)
		}
		if change != nil {
			change(w)
		}
		w.list = listing.NewList(w.now, list(w))
		snap := &controlstate.Snapshot{Members: w.members.Clone()}
		v := &control.View{Snapshot: snap, Self: "s"}
		c.Publish(v)
		c.Report(w.now, &record.Report{})
		for _, b := range c.Propose(w.now, v) {
			r := b.(record.Reclaim)
			if r.Member != "d" || r.LastSeq != w.members.Get("d").Seq {
				continue
			}
			return w.at()
		}
	}
	return never
}
