package fleetd

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/memstore"
	"github.com/beryltide/beryltide/internal/owner"
	"github.com/beryltide/beryltide/internal/ownerrpc"
	"github.com/beryltide/beryltide/internal/ownership"
	"github.com/beryltide/beryltide/internal/store"
)

type noUnits struct{}

func (noUnits) Unit(int) *owner.Unit { return nil }

func alwaysAlive(context.Context, string) bool { return true }

// fakeClock is a clock that tests advance.
type fakeClock struct{ now atomic.Int64 }

func (c *fakeClock) read() time.Duration { return time.Duration(c.now.Load()) }

func (c *fakeClock) advance(by time.Duration) { c.now.Add(int64(by)) }

// unreachableLog returns a log whose store fails all calls, after enough failures
// to detect the outage.
func unreachableLog(t *testing.T, client *memstore.Client, clock *fakeClock) *store.Watched {
	log := store.Watch(client, clock.read)
	failCalls(t, client, log, clock)
	return log
}

// failCalls makes the store fail all calls of a client, and makes enough of them to
// detect the outage.
func failCalls(t *testing.T, client *memstore.Client, log *store.Watched, clock *fakeClock) {
	client.SetFault(func(string) memstore.Fault { return memstore.LoseCall })
	for range 3 {
		_, err := log.Owners(t.Context(), ownership.Group)
		is.New(t).True(err != nil)
		clock.advance(200 * time.Millisecond)
	}
}

// A daemon that is cut off from the store alone must not treat the outage as
// shared: its callers are to be sent to daemons that the store still serves.
func TestOutageIsSharedOnlyIfNoOwnerIsServed(t *testing.T) {
	for _, c := range []struct {
		name  string
		peers []bool // whether the store serves the peer
		want  bool
	}{
		{"no peer known", nil, false},
		{"served peer", []bool{true}, false},
		{"peer in the same outage", []bool{false}, true},
		{"one of two served", []bool{false, true}, false},
		{"neither of two served", []bool{false, false}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			clock := &fakeClock{}
			s := memstore.New(4)
			var logs []*store.Watched
			for _, served := range c.peers {
				logs = append(logs, startOwner(t, s, served, clock))
			}
			client := s.Client()
			member := ownership.New(store.Direct(store.Watch(client, clock.read)), "127.0.0.1:1", "1", 1, alwaysAlive, clock.read, zap.NewNop())
			member.Locate(t.Context(), 0, true) // reads the owners
			for n, log := range logs {
				is.Equal(log.Away() == 0, c.peers[n])
			}
			o := &outage{log: unreachableLog(t, client, clock), member: member, peers: ownerrpc.NewClient(), logger: zap.NewNop()}
			is.Equal(o.peersAway(t.Context()), c.want)
		})
	}
}

// startOwner starts the peer port of a daemon that owns a unit, and returns its log.
func startOwner(t *testing.T, s *memstore.Store, served bool, clock *fakeClock) *store.Watched {
	client := s.Client()
	log := store.Watch(client, clock.read)
	serveOwner(t, client, log)
	if served {
		_, err := log.Owners(t.Context(), ownership.Group)
		is.New(t).NoErr(err)
	} else {
		failCalls(t, client, log, clock)
	}
	return log
}

// serveOwner starts the peer port of a daemon that owns a unit, with the log through
// which it sees the store.
func serveOwner(t *testing.T, client *memstore.Client, log *store.Watched) *store.Watched {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	_, err = client.Join(context.Background(), store.Join{
		Group: ownership.Group, Member: listener.Addr().String() + "#1#1", Topics: []string{ownership.Topic}, TTL: time.Hour,
	})
	if err != nil {
		t.Fatal(err)
	}
	services := ownerrpc.Services{Units: noUnits{}, Log: store.Direct(log), MembersChanged: func() {}}
	go func() { _ = ownerrpc.Serve(listener, services, zap.NewNop()) }()
	return log
}
