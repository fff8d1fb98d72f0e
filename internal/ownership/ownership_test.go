package ownership

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/memstore"
	"github.com/beryltide/beryltide/internal/store"
)

const units = 4

// fakeHost is the machine of a daemon. Its clock also counts the time for which
// it was suspended, in nanoseconds.
type fakeHost struct {
	began     time.Time
	suspended atomic.Int64
}

func (h *fakeHost) clock() time.Duration {
	return time.Since(h.began) + time.Duration(h.suspended.Load())
}

func alwaysAlive(context.Context, string) bool { return true }

func startMember(ctx context.Context, s *memstore.Store, address string, strength float64) (*Member, *memstore.Client, *fakeHost) {
	h := &fakeHost{began: time.Now()}
	client := s.Client()
	m := New(store.Direct(store.Watch(client, h.clock)), address, "1", strength, alwaysAlive, h.clock, zap.NewNop())
	go m.Run(ctx, func([]Tenure) {})
	return m, client, h
}

func inVirtualTime(t *testing.T, test func(ctx context.Context, s *memstore.Store, is *is.I)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(time.Minute)
			synctest.Wait()
		}()
		test(ctx, memstore.New(units), is.New(t))
	})
}

func TestUnitsAreSharedAndEpochsIncrease(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context, s *memstore.Store, is *is.I) {
		a, _, _ := startMember(ctx, s, "a:1", 0.4)
		time.Sleep(time.Second)
		before := map[int]int64{}
		for _, tenure := range a.Tenures() {
			before[tenure.Unit] = tenure.Epoch
		}
		is.Equal(len(before), units)
		b, _, _ := startMember(ctx, s, "b:1", 0.4)
		time.Sleep(time.Second)
		is.Equal(len(a.Tenures())+len(b.Tenures()), units)
		for _, tenure := range b.Tenures() {
			is.True(tenure.Epoch > before[tenure.Unit]) // fences the former owner
			is.True(b.Holds(tenure))
			is.True(!a.Holds(Tenure{Unit: tenure.Unit, Epoch: before[tenure.Unit]}))
			is.Equal(a.Locate(ctx, tenure.Unit, true), "b:1")
		}
	})
}

func TestTenureIsValidOnlyWithinGrace(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context, s *memstore.Store, is *is.I) {
		a, client, _ := startMember(ctx, s, "a:1", 0.4)
		time.Sleep(time.Second)
		tenure := a.Tenures()[0]
		client.SetFault(func(string) memstore.Fault { return memstore.Refuse })
		time.Sleep(Grace - 500*time.Millisecond)
		is.True(a.Holds(tenure))
		time.Sleep(time.Second)
		is.True(!a.Holds(tenure))
	})
}

// A machine that was suspended must confirm its tenure before it acts: the
// monotonic clock didn't count that time, and another daemon may own the unit.
func TestSuspendedTimeCounts(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context, s *memstore.Store, is *is.I) {
		a, _, host := startMember(ctx, s, "a:1", 0.4)
		time.Sleep(time.Second)
		tenure := a.Tenures()[0]
		host.suspended.Add(int64(4 * time.Second))
		is.True(!a.Holds(tenure))
		time.Sleep(time.Second)
		is.Equal(len(a.Tenures()), units)
	})
}

// After the ttl another member may have owned a unit in the meantime, so the
// tenure gets a new epoch.
func TestTenureAfterExpiryHasNewEpoch(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context, s *memstore.Store, is *is.I) {
		a, client, _ := startMember(ctx, s, "a:1", 0.4)
		time.Sleep(time.Second)
		before := a.Tenures()[0]
		client.SetFault(func(string) memstore.Fault { return memstore.Refuse })
		time.Sleep(2 * time.Second)
		s.Reassign(Group)
		client.SetFault(nil)
		time.Sleep(time.Second)
		is.True(!a.Holds(before))
		for _, tenure := range a.Tenures() {
			is.True(tenure.Epoch > before.Epoch)
		}
	})
}

func TestFencedTenureIsReacquiredWithNewEpoch(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context, s *memstore.Store, is *is.I) {
		a, _, _ := startMember(ctx, s, "a:1", 0.4)
		time.Sleep(time.Second)
		before := a.Tenures()[0]
		a.Discard(before)
		is.True(!a.Holds(before))
		time.Sleep(time.Second)
		for _, tenure := range a.Tenures() {
			if tenure.Unit == before.Unit {
				is.True(tenure.Epoch > before.Epoch)
			}
		}
	})
}

// One strong owner that is alive is enough: if weak daemons joined whenever some
// strong ones have stopped, all units would be reassigned again and again.
func TestWeakDaemonsOwnUnitsOnlyWithoutStrongOnes(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context, s *memstore.Store, is *is.I) {
		cancels := map[string]context.CancelFunc{}
		for _, address := range []string{"a:1", "b:1", "c:1"} {
			strong, cancel := context.WithCancel(ctx)
			cancels[address] = cancel
			startMember(strong, s, address, 0.8)
		}
		time.Sleep(500 * time.Millisecond)
		h := &fakeHost{began: time.Now()}
		log := store.Direct(store.Watch(s.Client(), h.clock))
		var stopped sync.Map
		weak := New(log, "w:1", "1", 0.2, func(_ context.Context, address string) bool {
			_, found := stopped.Load(address)
			return !found
		}, h.clock, zap.NewNop())
		go weak.Run(ctx, func([]Tenure) {})
		time.Sleep(5 * time.Second)
		is.Equal(len(weak.Tenures()), 0)
		// Two strong owners stop, and one still owns units.
		for _, address := range []string{"a:1", "b:1"} {
			cancels[address]()
			stopped.Store(address, true)
			is.NoErr(s.Client().Leave(ctx, Group, address+"#1#0.8"))
		}
		time.Sleep(5 * time.Second)
		is.Equal(len(weak.Tenures()), 0)
		// The last one stops too, though the store still lists it.
		cancels["c:1"]()
		stopped.Store("c:1", true)
		time.Sleep(5 * time.Second)
		is.Equal(len(weak.Tenures()), units)
	})
}

// A weak daemon that starts during an outage can't read who owns units: it must not
// join before it has.
func TestDaemonThatCantReadTheOwnersDoesntJoinYet(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context, s *memstore.Store, is *is.I) {
		startMember(ctx, s, "strong:1", 0.8)
		time.Sleep(time.Second)
		h := &fakeHost{began: time.Now()}
		client := s.Client()
		client.SetFault(func(call string) memstore.Fault {
			if call == "owners" {
				return memstore.Refuse
			}
			return memstore.None
		})
		given := 0
		weak := New(store.Direct(store.Watch(client, h.clock)), "weak:1", "1", 0.2, alwaysAlive, h.clock, zap.NewNop())
		go weak.Run(ctx, func(t []Tenure) { given += len(t) })
		time.Sleep(2 * time.Second)
		client.SetFault(nil)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		is.Equal(given, 0)
	})
}

// A daemon that is restarted leaves the group, but the next owner of its units
// learned so only by its next join, up to 300 ms later.
func TestUnitsPassOnAtOnceWhenAPeerLeaves(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context, s *memstore.Store, is *is.I) {
		leaving, cancel := context.WithCancel(ctx)
		a, _, _ := startMember(leaving, s, "a:1", 0.4)
		b, _, _ := startMember(ctx, s, "b:1", 0.4)
		time.Sleep(3*time.Second + 10*time.Millisecond)
		cancel()
		is.NoErr(a.Leave(ctx))
		b.JoinSoon()
		time.Sleep(5 * time.Millisecond)
		is.Equal(len(b.Tenures()), units)
	})
}

// A unit passes on once its former owner has joined again, and then the next one:
// with joins each 300 ms it had no owner for half a second.
func TestMembersJoinOftenWhileUnitsPassOn(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context, s *memstore.Store, is *is.I) {
		_, client, _ := startMember(ctx, s, "a:1", 0.4)
		var joins atomic.Int64
		client.SetFault(func(call string) memstore.Fault {
			if call == "join" {
				joins.Add(1)
			}
			return memstore.None
		})
		countIn := func(d time.Duration) int64 {
			before := joins.Load()
			time.Sleep(d)
			return joins.Load() - before
		}
		time.Sleep(5 * time.Second)
		is.True(countIn(3*time.Second) <= 11)
		s.Reassign(Group)
		time.Sleep(joinInterval)
		is.True(countIn(settlingPeriod-joinInterval) >= 5)
		time.Sleep(time.Second)
		is.True(countIn(3*time.Second) <= 11)
	})
}

// A daemon that finds its tenure fenced again and again, as after a clock of the
// group that went back, used up the epochs of the generation: then each further
// tenure had the same epoch and stayed fenced for as long as no member came or went.
func TestNewGenerationOnceEpochsAreUsedUp(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context, s *memstore.Store, is *is.I) {
		a, _, _ := startMember(ctx, s, "a:1", 0.4)
		time.Sleep(time.Second)
		seen := map[Tenure]bool{}
		for range 2 * epochsPerGeneration {
			tenure := a.Tenures()[0]
			is.True(!seen[tenure]) // a tenure that was given up doesn't come back
			seen[tenure] = true
			a.Discard(tenure)
			for tries := 0; len(a.Tenures()) < units && tries < 10; tries++ {
				time.Sleep(joinInterval)
			}
			is.Equal(len(a.Tenures()), units)
		}
	})
}
