package intake

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/catalog"
	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/memstore"
	"github.com/beryltide/beryltide/internal/owner"
	"github.com/beryltide/beryltide/internal/ownerrpc"
	"github.com/beryltide/beryltide/internal/ownership"
	"github.com/beryltide/beryltide/internal/store"
	"github.com/beryltide/beryltide/internal/unitmap"
)

type noUnits struct{}

func (noUnits) Unit(int) *owner.Unit { return nil }

// allUnits owns all units.
type allUnits struct{}

func (allUnits) Unit(int) *owner.Unit { return &owner.Unit{} }

// startOwner starts a peer that owns all units and stores through the client.
func startOwner(t *testing.T, s *memstore.Store, client *memstore.Client) {
	startOwnerOf(t, s, newService(client))
}

// startOwnerOf starts a peer that owns all units and stores through a service.
func startOwnerOf(t *testing.T, s *memstore.Store, service *Service) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	service.Units = allUnits{}
	services := ownerrpc.Services{Units: noUnits{}, Log: service.Log, Appender: service, MembersChanged: func() {}}
	go func() { _ = ownerrpc.Serve(listener, services, zap.NewNop()) }()
	_, err = s.Client().Join(context.Background(), store.Join{
		Group: "owners", Member: listener.Addr().String() + "#1#1", Topics: []string{ownership.Topic}, TTL: time.Hour,
	})
	if err != nil {
		t.Fatal(err)
	}
}

// watch observes a client's calls on the monotonic clock.
func watch(client *memstore.Client) *store.Relayed {
	begin := time.Now()
	return store.Direct(store.Watch(client, func() time.Duration { return time.Since(begin) }))
}

func newService(client *memstore.Client) *Service {
	log := watch(client)
	member := ownership.New(log, "127.0.0.1:1", "1", 1, func(context.Context, string) bool { return true }, func() time.Duration { return time.Hour }, zap.NewNop())
	return &Service{Log: log, Units: noUnits{}, Peers: ownerrpc.NewClient(), Member: member, UnitOf: func(string) int { return 1 }, Limits: limits, Logger: zap.NewNop()}
}

var limits = store.Limits{Record: 262_144, Append: 2_097_152}

func submission() *job.Submission {
	return &job.Submission{ID: "00000000000000aa", Queue: "q", Pool: "p", Steps: []job.Step{{Count: 1}}}
}

// loseAppends loses the append calls on their way to the store.
func loseAppends(call string) memstore.Fault {
	if call == "append" {
		return memstore.LoseCall
	}
	return memstore.None
}

func refuseAppends(call string) memstore.Fault {
	if call == "append" {
		return memstore.Refuse
	}
	return memstore.None
}

func stored(t *testing.T, s *memstore.Store) bool {
	page, err := s.Client().Newest(context.Background(), ownership.Topic, 1, "")
	if err != nil {
		t.Fatal(err)
	}
	return len(page.Records) > 0
}

func TestOwnerStoresForIsolatedDaemon(t *testing.T) {
	is := is.New(t)
	s := memstore.New(4)
	startOwner(t, s, s.Client())
	local := s.Client()
	local.SetFault(loseAppends)
	service := newService(local)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	is.NoErr(service.Submit(ctx, submission()))
	is.True(stored(t, s))
	is.True(service.ownerFirstUntil.Load() > 0) // the next append goes to the owner first
	is.NoErr(service.Cancel(ctx, &catalog.Queue{Name: "q", Pool: "p"}, "00000000000000aa"))
}

func TestNotRunOnlyIfNoAttemptMayHaveTakenEffect(t *testing.T) {
	for _, c := range []struct {
		name        string
		local, peer func(string) memstore.Fault
		want        error
	}{
		{"both refuse", refuseAppends, refuseAppends, ErrNotRun},
		{"own attempt unanswered", loseAppends, refuseAppends, ErrMayRun},
		{"peer's attempt unanswered", refuseAppends, loseAppends, ErrMayRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := memstore.New(4)
			peer, local := s.Client(), s.Client()
			peer.SetFault(c.peer)
			local.SetFault(c.local)
			startOwner(t, s, peer)
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
			defer cancel()
			err := newService(local).Submit(ctx, submission())
			is.True(errors.Is(err, c.want))
			is.True(!stored(t, s))
		})
	}
}

// A submission must not be answered as not run after an append that may have counted.
// That happened when the pool lost its unit, as its configuration was withdrawn,
// between two attempts of the same submission.
func TestSubmissionMayRunAfterThePoolLosesItsUnit(t *testing.T) {
	is := is.New(t)
	s := memstore.New(4)
	local := s.Client()
	local.SetFault(loseAppends)
	startOwner(t, s, local)
	service := newService(local)
	lookups := 0
	service.UnitOf = func(string) int {
		if lookups++; lookups > 1 {
			return unitmap.None
		}
		return 1
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	is.True(errors.Is(service.Submit(ctx, submission()), ErrMayRun))
	is.True(lookups > 1) // the pool had lost its unit
}

// While the store is slow, a unit's partition must have few writers: it takes one
// append at a time. With one from each of 147 daemons the owner's starts waited behind
// all of them, and the store refused what had to wait for over 2 s.
func TestSlowStoreIsWrittenThroughTheOwner(t *testing.T) {
	is := is.New(t)
	s := memstore.New(4)
	s.Latency = 120 * time.Millisecond // from 100 ms on a call is slow
	ownersAppends, directAppends := atomic.Int32{}, atomic.Int32{}
	count := func(n *atomic.Int32) func(string) memstore.Fault {
		return func(call string) memstore.Fault {
			if call == "append" {
				n.Add(1)
			}
			return memstore.None
		}
	}
	peer := s.Client()
	peer.SetFault(count(&ownersAppends))
	startOwner(t, s, peer)
	done := make(chan error, 30)
	for range cap(done) {
		client := s.Client()
		client.SetFault(count(&directAppends))
		service := newService(client)
		go func() {
			// Any call shows that the store is slow.
			if _, err := service.Log.Owners(t.Context(), ownership.Group); err != nil {
				done <- err
				return
			}
			done <- service.Submit(t.Context(), submission())
		}()
	}
	for range cap(done) {
		is.NoErr(<-done)
	}
	is.Equal(directAppends.Load(), int32(0))
	is.True(ownersAppends.Load() <= 5) // not one for each daemon
	is.True(stored(t, s))
}

// queuedPartition is a partition that takes one append at a time and refuses what would
// wait behind too many others, as the store does.
type queuedPartition struct {
	one     sync.Mutex
	waiting atomic.Int32
}

// The time of an append, and the number that may wait.
const (
	queuedAppendTime = 40 * time.Millisecond
	maxQueued        = 10
)

func (q *queuedPartition) enter() error {
	if q.waiting.Add(1) > maxQueued {
		q.waiting.Add(-1)
		return store.ErrNotDone
	}
	defer q.waiting.Add(-1)
	q.one.Lock()
	defer q.one.Unlock()
	time.Sleep(queuedAppendTime)
	return nil
}

// queuedLog is a log whose appends go through the partition. It counts them.
type queuedLog struct {
	store.Log
	queue   *queuedPartition
	appends atomic.Int32
}

func (l *queuedLog) Append(ctx context.Context, topic string, partition int, records []store.Record, seq *store.Sequence) error {
	l.appends.Add(1)
	if err := l.queue.enter(); err != nil {
		return err
	}
	return l.Log.Append(ctx, topic, partition, records, seq)
}

func (l *queuedLog) AppendAt(ctx context.Context, topic string, partition int, records []store.Record, end int64) error {
	l.appends.Add(1)
	if err := l.queue.enter(); err != nil {
		return err
	}
	return l.Log.AppendAt(ctx, topic, partition, records, end)
}

// A partition whose queue has filled up must empty: its refusals come at once, so no
// daemon saw that it was slow, and the repeats and probes of 147 daemons kept it full for
// as long as the store was slow, with the owner's own appends refused beside them
// (inc-0a1a of the large deployment, 11.5 to 16 s).
func TestFullPartitionEmpties(t *testing.T) {
	is := is.New(t)
	s := memstore.New(4)
	queue := &queuedPartition{}
	begin := time.Now()
	serviceOf := func(log store.Log) *Service {
		watched := store.Direct(store.Watch(log, func() time.Duration { return time.Since(begin) }))
		service := newService(s.Client())
		service.Log = watched
		return service
	}
	startOwnerOf(t, s, serviceOf(&queuedLog{Log: s.Client(), queue: queue}))
	const daemons = 60
	logs := make([]*queuedLog, daemons)
	done := make(chan error, daemons)
	for n := range daemons {
		logs[n] = &queuedLog{Log: s.Client(), queue: queue}
		service := serviceOf(logs[n])
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			for { // as a caller does that is refused
				err := service.Submit(ctx, submission())
				if err == nil || ctx.Err() != nil {
					done <- err
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	for range daemons {
		is.NoErr(<-done)
	}
	is.True(time.Since(begin) < 5*time.Second)
	direct := int32(0)
	for _, l := range logs {
		direct += l.appends.Load()
	}
	is.True(direct <= 2*daemons)
}

// While a partition refuses appends its owner must probe it for all daemons: the probes of
// 147 daemons, twice a second each, were more than a slow partition can take.
func TestOwnerProbesForOthers(t *testing.T) {
	is := is.New(t)
	s := memstore.New(4)
	peer, local := s.Client(), s.Client()
	peer.SetFault(refuseAppends)
	startOwner(t, s, peer)
	var direct atomic.Int32
	local.SetFault(func(call string) memstore.Fault {
		if call == "append" {
			direct.Add(1)
		}
		return refuseAppends(call)
	})
	service := newService(local)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	is.True(errors.Is(service.Submit(ctx, submission()), ErrNotRun))
	is.True(service.unitOutage(1) > 0)
	before := direct.Load()
	time.Sleep(3 * unitProbeInterval)
	is.Equal(direct.Load(), before) // no probe of its own
	peer.SetFault(nil)
	time.Sleep(2 * unitProbeInterval)
	is.Equal(service.unitOutage(1), time.Duration(0))
	is.NoErr(service.Submit(t.Context(), submission()))
}

// Records that arrive while an append is in flight are stored together in the
// next append.
func TestRecordsAreStoredInBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := memstore.New(4)
		s.Latency = 100 * time.Millisecond
		client := s.Client()
		appends := 0
		client.SetFault(func(call string) memstore.Fault {
			if call == "append" {
				appends++
			}
			return memstore.None
		})
		service := newService(client)
		done := make(chan error, 50)
		for range cap(done) {
			go func() { done <- service.Submit(t.Context(), submission()) }()
		}
		for range cap(done) {
			is.NoErr(<-done)
		}
		is.True(appends <= 2)
	})
}

// A daemon that has detected the store's outage refuses submissions at once with
// ErrNotRun, instead of holding them until their callers time out.
func TestSubmissionsAreRefusedDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := memstore.New(4)
		client := s.Client()
		service := newService(client)
		client.SetFault(func(string) memstore.Fault { return memstore.LoseCall })
		for range 5 { // failures like those of the daemon's own joins
			_, err := service.Log.Owners(t.Context(), "owners")
			is.True(err != nil)
			time.Sleep(300 * time.Millisecond)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		begin := time.Now()
		is.True(errors.Is(service.Submit(ctx, submission()), ErrNotRun))
		is.True(time.Since(begin) < 50*time.Millisecond)
		is.True(service.RetryAfter() >= minRetryAfter)
		client.SetFault(nil)
		is.True(!stored(t, s))
		_, err := service.Log.Owners(t.Context(), "owners")
		is.NoErr(err)
		is.NoErr(service.Submit(ctx, submission()))
		is.True(stored(t, s))
	})
}

// In a long outage callers get longer delays, and not all the same one.
func TestRetryAfterGrowsAndSpreads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client := memstore.New(4).Client()
		service := newService(client)
		is.Equal(service.RetryAfter(), minRetryAfter)
		client.SetFault(func(string) memstore.Fault { return memstore.LoseCall })
		for range 20 {
			_, _ = service.Log.Owners(t.Context(), "owners")
			time.Sleep(500 * time.Millisecond)
		}
		first, last := service.RetryAfter(), time.Duration(0)
		for range 200 {
			wait := service.RetryAfter()
			first, last = min(first, wait), max(last, wait)
		}
		is.True(first >= maxRetryAfter)
		is.True(last < maxRetryAfter+minRetryAfter)
		is.True(last-first > minRetryAfter/2)
	})
}

// A store may serve only some partitions. Submissions to the units of the others
// are refused at once, with no attempt whose outcome would be uncertain, until a
// probe finds the partition served.
func TestUnitOfUnservedPartitionIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := memstore.New(4)
		client := s.Client()
		service := newService(client)
		client.SetFault(loseAppends)
		first, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		is.True(errors.Is(service.Submit(first, submission()), ErrMayRun))
		_, err := service.Log.Owners(t.Context(), "owners") // the store serves all other calls
		is.NoErr(err)
		is.Equal(service.Log.Away(), time.Duration(0))
		begin := time.Now()
		second, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		is.True(errors.Is(service.Submit(second, submission()), ErrNotRun))
		is.True(time.Since(begin) < 50*time.Millisecond)
		client.SetFault(nil)
		time.Sleep(2 * unitProbeInterval)
		is.True(!stored(t, s)) // probes store nothing
		is.NoErr(service.Submit(t.Context(), submission()))
		synctest.Wait()
	})
}

// Once the store serves a daemon again after an outage, its partitions must be probed at
// once: callers were refused for up to half a second after the store's return, with the
// last of their few attempts.
func TestPartitionIsProbedWhenTheStoreReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := memstore.New(4)
		client := s.Client()
		service := newService(client)
		client.SetFault(func(string) memstore.Fault { return memstore.Refuse })
		for range 25 {
			_ = service.Submit(t.Context(), submission())
			_, _ = service.Log.Owners(t.Context(), "owners")
			time.Sleep(100 * time.Millisecond)
		}
		is.True(service.Log.Away() > 0)
		is.True(service.unitOutage(1) > 0)
		client.SetFault(nil)
		_, err := service.Log.Owners(t.Context(), "owners")
		is.NoErr(err)
		time.Sleep(2 * recoveryCheckInterval)
		is.NoErr(service.Submit(t.Context(), submission()))
		time.Sleep(unitProbeInterval)
		synctest.Wait()
	})
}
