package fleetd

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/memstore"
	"github.com/beryltide/beryltide/internal/ownerrpc"
	"github.com/beryltide/beryltide/internal/ownership"
	"github.com/beryltide/beryltide/internal/store"
)

// refusedLog returns the log of a daemon that the store refuses, beside peers that
// the store serves or not.
func refusedLog(t *testing.T, s *memstore.Store, clock *fakeClock, peersServed ...bool) (*store.Relayed, *memstore.Client) {
	for _, served := range peersServed {
		startOwner(t, s, served, clock)
	}
	client := s.Client()
	direct := store.Watch(client, clock.read)
	member := ownership.New(store.Direct(direct), "127.0.0.1:1", "1", 1, alwaysAlive, clock.read, zap.NewNop())
	member.Locate(t.Context(), 0, true) // reads the owners
	client.SetFault(func(string) memstore.Fault { return memstore.Refuse })
	r := &relay{ctx: t.Context(), candidates: member.Peers, peers: ownerrpc.NewClient(), logger: zap.NewNop()}
	return store.Relay(direct, r.log), client
}

// callUntilServed repeats a call, as owners do, for at most a second.
func callUntilServed(clock *fakeClock, call func() error) error {
	var err error
	for range 50 {
		if err = call(); store.Served(err) {
			return err
		}
		clock.advance(20 * time.Millisecond)
		time.Sleep(20 * time.Millisecond)
	}
	return err
}

// The store may turn some machines away and serve the others. An owner among them
// kept its units until its membership lapsed, without a start: 2.0 s on trouble-3 of
// the large deployment, at the peak of its pool.
func TestStoreIsReachedThroughAPeer(t *testing.T) {
	is := is.New(t)
	clock := &fakeClock{}
	s := memstore.New(4)
	log, client := refusedLog(t, s, clock, false, true)
	ctx := t.Context()
	records := []store.Record{{Key: "j/1", Value: []byte{1}}, {Key: "j/2"}}
	seq := &store.Sequence{Producer: "owner", Epoch: 64}
	begin := time.Now()
	is.NoErr(callUntilServed(clock, func() error { return log.Append(ctx, ownership.Topic, 1, records, seq) }))
	is.True(time.Since(begin) < 500*time.Millisecond)
	is.Equal(log.Away(), time.Duration(0))

	batch, err := log.Read(ctx, ownership.Topic, 1, 0, 0)
	is.NoErr(err)
	is.Equal(len(batch.Records), 2)
	is.Equal(len(batch.Records[1].Value), 0) // a tombstone stays one
	page, err := log.Newest(ctx, ownership.Topic, 1, "")
	is.NoErr(err)
	is.Equal(len(page.Records), 1)
	_, err = log.Join(ctx, store.Join{Group: ownership.Group, Member: "a#1#1", Topics: []string{ownership.Topic}, TTL: time.Hour})
	is.NoErr(err)
	owners, err := log.Owners(ctx, ownership.Group)
	is.NoErr(err)
	is.Equal(len(owners), 4)
	is.NoErr(log.Leave(ctx, ownership.Group, "a#1#1"))

	// Errors keep their meaning.
	var sequence *store.SequenceError
	err = log.Append(ctx, ownership.Topic, 1, records, &store.Sequence{Producer: "owner", Epoch: 64, Number: 9})
	is.True(errors.As(err, &sequence))
	is.Equal(sequence.Expected, int64(1))
	err = log.Append(ctx, ownership.Topic, 1, records, &store.Sequence{Producer: "owner", Epoch: 1})
	is.True(errors.Is(err, store.ErrFenced))
	err = log.AppendAt(ctx, ownership.Topic, 1, records, 77)
	is.True(errors.Is(err, store.ErrMoved))

	// The way back: once the store serves the daemon, calls go there.
	client.SetFault(nil)
	_, err = log.Watched.Owners(ctx, ownership.Group)
	is.NoErr(err)
	is.Equal(log.Watched.Away(), time.Duration(0))
}

// In an outage of the store for all, no peer relays: calls fail as not done, at once.
func TestNoRelayInASharedOutage(t *testing.T) {
	is := is.New(t)
	clock := &fakeClock{}
	log, _ := refusedLog(t, memstore.New(4), clock, false, false)
	err := callUntilServed(clock, func() error { return log.Append(t.Context(), ownership.Topic, 1, nil, nil) })
	is.True(errors.Is(err, store.ErrNotDone))
	is.True(log.Away() > 0)
}

// A daemon that has just started knows of no outage, because it has made no call. Peers
// took it for one that the store serves: for half a second of a shared outage all of
// them weren't ready, and sent their calls through it in vain.
func TestDaemonThatHasJustStartedIsNoEvidenceOfService(t *testing.T) {
	is := is.New(t)
	clock := &fakeClock{}
	s := memstore.New(4)
	startOwner(t, s, false, clock)
	fresh := serveOwner(t, s.Client(), store.Watch(s.Client(), clock.read))
	is.Equal(fresh.Away(), time.Duration(0))
	client := s.Client()
	member := ownership.New(store.Direct(store.Watch(client, clock.read)), "127.0.0.1:1", "1", 1, alwaysAlive, clock.read, zap.NewNop())
	member.Locate(t.Context(), 0, true) // reads the owners
	is.Equal(len(member.Peers()), 2)
	o := &outage{log: unreachableLog(t, client, clock), member: member, peers: ownerrpc.NewClient(), logger: zap.NewNop()}
	is.True(o.peersAway(t.Context()))
	r := &relay{ctx: t.Context(), candidates: member.Peers, peers: ownerrpc.NewClient(), logger: zap.NewNop()}
	r.search()
	is.True(r.current == nil)
}
