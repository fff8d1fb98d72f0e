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
	step    = 500 * time.Millisecond
	horizon = 3 * time.Minute
	// lastWrite is when member "d" writes its last record.
	lastWrite    = 10 * time.Second
	longestRun   = 20 * time.Second
	silenceLimit = memberlease.MemberLease + memberlease.ClockSkew + longestRun
	never        = time.Duration(-1)
)

// fixture is the input of one controller, which changes step by step.
type fixture struct {
	now         time.Time
	start       time.Time
	members     *member.Members
	list        *listing.List
	contact     time.Time
	lastMessage time.Time
}

func (f *fixture) elapsed() time.Duration { return f.now.Sub(f.start) }

func entryListing(name, addr string) platform.Listing {
	return platform.Listing{Instance: name, Role: platform.RoleEntry, Addr: addr}
}

// between reports whether the fixture's time is in an interval.
func (f *fixture) between(from, to time.Duration) bool {
	return f.elapsed() >= from && f.elapsed() < to
}

func TestReclaim(t *testing.T) {
	self, dead := entryListing("s", "s:1"), entryListing("d", "d:1")
	gone := []platform.Listing{self}
	both := []platform.Listing{self, dead}
	cases := []struct {
		name string
		// list returns what the directory lists; by default, "d" is missing
		// from the start.
		list func(f *fixture) []platform.Listing
		// change is called at each step.
		change func(f *fixture)
		// want is when the reclaim is first proposed, or never.
		want time.Duration
	}{
		{"dead and not listed", nil, nil, lastWrite + silenceLimit},
		{"removed from the list later", func(f *fixture) []platform.Listing {
			if f.elapsed() < 100*time.Second {
				return both
			}
			return gone
		}, nil, 100*time.Second + unlistedDelay},
		{"still listed", func(*fixture) []platform.Listing { return both }, nil, never},
		{"listed at another address", func(*fixture) []platform.Listing {
			return []platform.Listing{self, entryListing("d", "d:2")}
		}, nil, lastWrite + silenceLimit},
		{"a newer run at the same address", func(*fixture) []platform.Listing { return both }, func(f *fixture) {
			f.members.Join(99, "d2", 1, record.Join{Instance: "d", PeerAddr: "d:1"})
		}, lastWrite + silenceLimit},
		{"flapping list", func(f *fixture) []platform.Listing {
			if int(f.elapsed()/time.Second)%5 == 0 {
				return both
			}
			return gone
		}, nil, never},
		{"empty list", func(*fixture) []platform.Listing { return nil }, nil, never},
		{"list without this daemon", func(*fixture) []platform.Listing {
			return []platform.Listing{entryListing("x", "x:1")}
		}, nil, never},
		{"messages received by peers", nil, func(f *fixture) { f.lastMessage = f.now }, never},
		{"still writing", nil, func(f *fixture) {
			f.members.Accept(1, "d", f.members.Get("d").Seq+1)
		}, never},
		{"log unavailable for a minute", nil, func(f *fixture) {
			if f.between(20*time.Second, 80*time.Second) {
				f.contact = f.start.Add(20 * time.Second)
			}
		}, 79500*time.Millisecond + silenceLimit},
		{"log down", nil, func(f *fixture) { f.contact = f.start }, never},
		{"this daemon paused", nil, func(f *fixture) {
			if f.elapsed() == 20*time.Second {
				f.now = f.now.Add(40 * time.Second)
			}
		}, 60*time.Second + silenceLimit},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			if c.list == nil {
				c.list = func(*fixture) []platform.Listing { return gone }
			}
			is.Equal(f.firstReclaim(c.list, c.change), c.want)
		})
	}
}

func newFixture() *fixture {
	f := &fixture{start: time.Unix(1_000_000, 0), members: member.New()}
	f.now = f.start
	f.members.SetLongestRun(longestRun)
	f.members.Join(0, "s", 1, record.Join{Instance: "s", PeerAddr: "s:1"})
	f.members.Join(1, "d", 1, record.Join{Instance: "d", PeerAddr: "d:1"})
	return f
}

// firstReclaim returns when the controller first proposes to reclaim "d".
func (f *fixture) firstReclaim(list func(*fixture) []platform.Listing, change func(*fixture)) time.Duration {
	c := New(Options{
		Newest:  func() *listing.List { return f.list },
		Contact: func() time.Time { return f.contact },
		LastMessage: func(id record.MemberID) time.Time {
			if id == "d" {
				return f.lastMessage
			}
			return time.Time{}
		},
		Now: func() time.Time { return f.now },
	})
	for ; f.elapsed() < horizon; f.now = f.now.Add(step) {
		f.contact = f.now
		if f.elapsed() <= lastWrite {
			f.members.Accept(1, "d", f.members.Get("d").Seq+1)
		}
		if change != nil {
			change(f)
		}
		f.list = listing.NewList(f.now, list(f))
		snap := &controlstate.Snapshot{Members: f.members.Clone()}
		v := &control.View{Snapshot: snap, Self: "s"}
		c.Publish(v)
		c.Report(f.now, &record.Report{})
		for _, b := range c.Propose(f.now, v) {
			r := b.(record.Reclaim)
			if r.Member != "d" || r.LastSeq != f.members.Get("d").Seq {
				continue
			}
			return f.elapsed()
		}
	}
	return never
}
