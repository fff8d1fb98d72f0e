package maintenance

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/beryltide/beryltide/internal/catalog"
	"github.com/beryltide/beryltide/internal/fleetview"
	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/machine"
	"github.com/beryltide/beryltide/internal/memstore"
	"github.com/beryltide/beryltide/internal/owner"
	"github.com/beryltide/beryltide/internal/ownership"
	"github.com/beryltide/beryltide/internal/rebalance"
	"github.com/beryltide/beryltide/internal/store"
)

const (
	handover    = 4 * time.Second
	maintenance = 2 * time.Second
	atOnce      = 3
	// ordersPerSecond is the platform's usual rate limit.
	ordersPerSecond = 64
)

// fakeMachines is a platform with machines that can be taken down. It records the
// orders.
type fakeMachines struct {
	mu       sync.Mutex
	machines map[string]machine.Machine
	begun    map[string]bool
	orders   map[string][]fakeOrder
	// loseNextOrder marks the machines whose next order is lost.
	loseNextOrder map[string]bool
	// firstOrder is when the first order was carried out.
	firstOrder time.Time
	// hidden are the machines that the lists leave out.
	hidden map[string]bool
	// orderLatency is the duration of each call to Maintain.
	orderLatency time.Duration
	down         int
	maxDown      int
}

type fakeOrder struct {
	by machine.Holder
	at time.Time
}

func newFakeMachines(count int) *fakeMachines {
	f := &fakeMachines{orderLatency: time.Millisecond, machines: map[string]machine.Machine{}, begun: map[string]bool{}, orders: map[string][]fakeOrder{}}
	for i := range count {
		name := fmt.Sprintf("m%02d", i)
		f.machines[name] = machine.Machine{Name: name, Pool: "p", State: machine.Up, Instance: "i-" + name, Capacity: job.Resources{CPU: 1000}}
	}
	return f
}

func (f *fakeMachines) List(context.Context) ([]machine.Machine, error) {
	time.Sleep(5 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []machine.Machine
	for name, m := range f.machines {
		if !f.hidden[name] {
			all = append(all, m)
		}
	}
	return all, nil
}

func (f *fakeMachines) Move(context.Context, machine.Holder, string, string) error { return nil }

func (f *fakeMachines) Maintain(_ context.Context, by machine.Holder, name string, _ int64) error {
	time.Sleep(f.orderLatency)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders[name] = append(f.orders[name], fakeOrder{by: by, at: time.Now()})
	if f.loseNextOrder[name] {
		// The order is lost, and an unrelated one replaces the instance.
		delete(f.loseNextOrder, name)
		m := f.machines[name]
		m.Instance += "'"
		f.machines[name] = m
		return machine.ErrUnknown
	}
	if f.begun[name] {
		return nil
	}
	if f.firstOrder.IsZero() {
		f.firstOrder = time.Now()
	}
	f.begun[name] = true
	f.down++
	f.maxDown = max(f.maxDown, f.down)
	m := f.machines[name]
	m.State = machine.Maintenance
	f.machines[name] = m
	time.AfterFunc(maintenance, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.down--
		m.State = machine.Up
		if m.Instance != "" {
			m.Instance += "'"
		}
		f.machines[name] = m
	})
	return nil
}

// fakeOwners answers Release calls one at a time, each after a latency, and
// counts them.
type fakeOwners struct {
	mu           sync.Mutex
	releaseCalls int
	grantOrders  int
	// due holds the instances named as due for maintenance, at the first order with
	// any and at the last order.
	firstDue, due []string
	latency       time.Duration
}

func (o *fakeOwners) Release(_ context.Context, _ string, instances []string) ([]string, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.releaseCalls++
	time.Sleep(o.latency)
	return instances, nil
}

func (o *fakeOwners) Demand(_ context.Context, order owner.GrantOrder) (Report, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.grantOrders++
	o.due = order.MaintenanceDue
	if len(o.firstDue) == 0 {
		o.firstDue = order.MaintenanceDue
	}
	return Report{Demand: rebalance.Demand{WaitingCPU: 1, Instances: map[string]rebalance.Instance{}}}, nil
}

// begunCount returns how many machines have gone down for maintenance.
func (f *fakeMachines) begunCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.begun)
}

// startController runs a controller with the given epoch until ctx ends.
func startController(ctx context.Context, s *memstore.Store, f *fakeMachines, view *fleetview.View, epoch int64) {
	startControllerWithOwners(ctx, s, f, &fakeOwners{}, view, epoch)
}

func startControllerWithOwners(ctx context.Context, s *memstore.Store, f *fakeMachines, owners *fakeOwners, view *fleetview.View, epoch int64) {
	go newController(ctx, s.Client(), f, owners, view, epoch).Run(ctx)
}

func newController(ctx context.Context, log store.Log, f *fakeMachines, owners PoolOwners, view *fleetview.View, epoch int64) *Controller {
	started := time.Now()
	return &Controller{
		Log: log, Machines: f, Owners: owners, View: view, Clock: func() time.Duration { return time.Since(started) },
		Logger: zap.NewNop(), Tenure: ownership.Tenure{Epoch: epoch}, Name: fmt.Sprint("holder-", epoch),
		Holds:        func(ownership.Tenure, time.Duration) bool { return ctx.Err() == nil },
		GiveUp:       func(ownership.Tenure) {},
		RoundTook:    func(time.Duration) {},
		OrderLimiter: rate.NewLimiter(ordersPerSecond, 1),
		Handover:     handover, Duration: maintenance, StatusTopic: "keyed.status",
		Status: func(wave int64, completed bool) (string, []byte) {
			return fmt.Sprint("wave/", wave), []byte(fmt.Sprint(completed))
		},
	}
}

func waveView(f *fakeMachines, pool *catalog.Pool, atOnce int) *fleetview.View {
	c := catalog.New(1)
	c.Pools["p"] = pool
	wave := &catalog.Wave{Number: 1, Machines: slices.Sorted(maps.Keys(f.machines)), Duration: time.Minute, AtOnce: atOnce}
	v := fleetview.New(fleetview.Decoders{Operator: func(key string, _ []byte) (catalog.OperatorRecord, error) {
		if key == "wave" {
			return catalog.OperatorRecord{Wave: wave}, nil
		}
		return catalog.OperatorRecord{Catalog: c}, nil
	}}, func() time.Duration { return 0 }, zap.NewNop())
	v.ResetOperator([]store.Record{{Key: "config"}, {Key: "wave"}})
	return v
}

// Holders that replace each other every few seconds must finish a wave, never
// take more machines down than it allows, and not both send orders to a machine
// within the handover.
func TestSuccessiveHoldersKeepWaveBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, f := memstore.New(1), newFakeMachines(16)
		view := waveView(f, &catalog.Pool{Name: "p"}, atOnce)
		cancel := context.CancelFunc(func() {})
		for epoch := int64(1); epoch <= 12; epoch++ {
			cancel()
			var ctx context.Context
			ctx, cancel = context.WithCancel(context.Background())
			startController(ctx, s, f, view, epoch)
			time.Sleep(2500 * time.Millisecond)
		}
		time.Sleep(20 * time.Second)
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
		is.Equal(len(f.begun), 16)
		is.True(f.maxDown <= atOnce)
		for _, orders := range f.orders {
			for i := 1; i < len(orders); i++ {
				is.True(orders[i].by == orders[i-1].by || orders[i].at.Sub(orders[i-1].at) >= 3*time.Second)
			}
		}
		page, err := s.Client().Newest(context.Background(), "keyed.status", 0, "")
		is.NoErr(err)
		is.Equal(string(page.Records[0].Value), "true")
	})
}

// An unacknowledged order counts as carried out only once a repeat was
// acknowledged, even if the machine's instance has been replaced meanwhile.
func TestUnacknowledgedOrderIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, f := memstore.New(1), newFakeMachines(3)
		f.loseNextOrder = map[string]bool{"m00": true, "m01": true}
		ctx, cancel := context.WithCancel(context.Background())
		startController(ctx, s, f, waveView(f, &catalog.Pool{Name: "p"}, atOnce), 1)
		time.Sleep(30 * time.Second)
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
		is.Equal(len(f.begun), 3)
		page, err := s.Client().Newest(context.Background(), "keyed.status", 0, "")
		is.NoErr(err)
		is.Equal(string(page.Records[0].Value), "true")
	})
}

// Owners must learn which instances a wave will still take down, and that none are left
// once it has ended.
func TestOwnersLearnWhatIsDueForMaintenance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, owners := newFakeMachines(6), &fakeOwners{}
		ctx, cancel := context.WithCancel(context.Background())
		startControllerWithOwners(ctx, memstore.New(1), f, owners, waveView(f, &catalog.Pool{Name: "p"}, atOnce), 1)
		time.Sleep(30 * time.Second)
		cancel()
		synctest.Wait()
		is.Equal(len(f.begun), 6)
		is.True(len(owners.firstDue) >= 6-atOnce) // the others may be down already
		is.Equal(len(owners.due), 0)
	})
}

// A wave must not be reported as done while a machine of it hasn't been taken down. One
// that a single list left out counted as having left the fleet, though it had joined
// since that list was read. Machines that are gone for good must not hold the wave up.
func TestMachineMissingFromOneListHasNotLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, f := memstore.New(1), newFakeMachines(5)
		f.hidden = map[string]bool{"m01": true, "m02": true, "m04": true}
		ctx, cancel := context.WithCancel(context.Background())
		startController(ctx, s, f, waveView(f, &catalog.Pool{Name: "p"}, atOnce), 1)
		time.Sleep(maxListAge + reconcileInterval)
		f.mu.Lock()
		f.hidden = map[string]bool{"m04": true} // gone for good
		f.mu.Unlock()
		time.Sleep(30 * time.Second)
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
		is.Equal(len(f.begun), 4)
		page, err := s.Client().Newest(context.Background(), "keyed.status", 0, "")
		is.NoErr(err)
		is.Equal(string(page.Records[0].Value), "true")
	})
}

// The orders of a wave of many idle machines are sent at the platform's rate
// limit instead of waiting for each other's answers.
func TestWaveOrdersAreSentConcurrently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const machines = 60
		s, f := memstore.New(1), newFakeMachines(machines)
		f.orderLatency = 40 * time.Millisecond
		ctx, cancel := context.WithCancel(context.Background())
		begin := time.Now()
		startController(ctx, s, f, waveView(f, &catalog.Pool{Name: "p", Spare: true}, machines), 1)
		time.Sleep(20 * time.Second)
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
		is.Equal(len(f.begun), machines)
		// The time at the rate limit, plus a second for the list and the first pass.
		bound := time.Second + machines*time.Second/ordersPerSecond
		for _, orders := range f.orders {
			is.Equal(len(orders), 1)
			is.True(orders[0].at.Sub(begin) < bound)
		}
	})
}

// A former holder's moves don't delay its successor's wave. Machines that it may
// have taken down count against the wave for the rest of the handover.
func TestOnlyMachinesThatMayBeDownCountAgainstWave(t *testing.T) {
	for _, c := range []struct {
		name string
		ages map[string]orderAge
		wait time.Duration
	}{
		{"moved", map[string]orderAge{"m00": {}, "m01": {}, "m02": {}}, 0},
		{"taken down", map[string]orderAge{"m00": {Down: true}, "m01": {Down: true}, "m02": {Down: true}}, handover},
		{"taken down 3 s ago", map[string]orderAge{"m00": {3000, true}, "m01": {3000, true}, "m02": {3000, true}}, handover - 3*time.Second},
		{"recorded without an age", nil, handover},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s, f := memstore.New(1), newFakeMachines(12)
				storeFormerOrders(t, s, []string{"m00", "m01", "m02"}, c.ages)
				ctx, cancel := context.WithCancel(context.Background())
				begin := time.Now()
				startController(ctx, s, f, waveView(f, &catalog.Pool{Name: "p"}, atOnce), 2)
				time.Sleep(20 * time.Second)
				cancel()
				time.Sleep(time.Minute)
				synctest.Wait()
				waited := f.firstOrder.Sub(begin)
				is.True(waited >= c.wait)
				is.True(waited < c.wait+time.Second)
				is.True(f.maxDown <= atOnce)
			})
		})
	}
}

// storeFormerOrders stores the record of a former holder's last orders.
func storeFormerOrders(t *testing.T, s *memstore.Store, names []string, ages map[string]orderAge) {
	var records []store.Record
	for key, content := range map[string]any{ordersKey: names, agesKey: ages} {
		value, err := msgpack.Marshal(content)
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, store.Record{Key: key, Value: value})
	}
	if err := s.Client().Append(t.Context(), Topic, 0, records, &store.Sequence{Producer: producer, Epoch: 1, Number: 1}); err != nil {
		t.Fatal(err)
	}
}

// A machine that is off has no instance whose new name would show its return: an
// acknowledged order and the listed state are enough.
func TestPoweredOffMachinesReturnAfterMaintenance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, f := memstore.New(1), newFakeMachines(2*atOnce)
		for name, m := range f.machines {
			m.Instance = ""
			f.machines[name] = m
		}
		ctx, cancel := context.WithCancel(context.Background())
		startController(ctx, s, f, waveView(f, &catalog.Pool{Name: "p", Spare: true}, atOnce), 1)
		// Two batches, each of a maintenance and a list, and a second to begin.
		time.Sleep(2*(maintenance+maxListAge+2*reconcileInterval) + time.Second)
		page, err := s.Client().Newest(ctx, "keyed.status", 0, "")
		is.NoErr(err)
		is.Equal(string(page.Records[0].Value), "true")
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

// readRecordedOrders returns the machines that the stored record names.
func readRecordedOrders(t *testing.T, s *memstore.Store) []string {
	page, err := s.Client().Newest(context.Background(), Topic, 0, "")
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, r := range page.Records {
		if r.Key != ordersKey {
			continue
		}
		if err := msgpack.Unmarshal(r.Value, &names); err != nil {
			t.Fatal(err)
		}
	}
	return names
}

// A holder that has sent no orders for the handover time clears the record, so
// that its successor may send orders at once. That goes for its own orders and
// for those of its predecessor.
func TestExpiredOrdersDontDelaySuccessor(t *testing.T) {
	for _, c := range []struct {
		name     string
		machines int
	}{
		{"its own orders", atOnce},
		{"its predecessor's orders", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s, f := memstore.New(1), newFakeMachines(c.machines)
				storeFormerOrders(t, s, []string{"gone"}, nil)
				ctx, cancel := context.WithCancel(context.Background())
				startController(ctx, s, f, waveView(f, &catalog.Pool{Name: "p"}, atOnce), 2)
				time.Sleep(20 * time.Second)
				cancel()
				time.Sleep(time.Second)
				is.Equal(f.begunCount(), c.machines)
				is.Equal(len(readRecordedOrders(t, s)), 0)
				time.Sleep(time.Minute)
				synctest.Wait()
			})
		})
	}
}

// A holder that is replaced within a second keeps its predecessor's orders in the
// record.
func TestOrdersSurviveTwoTakeovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, f := memstore.New(1), newFakeMachines(atOnce)
		storeFormerOrders(t, s, []string{"before"}, nil)
		ctx, cancel := context.WithCancel(context.Background())
		startController(ctx, s, f, waveView(f, &catalog.Pool{Name: "p"}, atOnce), 2)
		time.Sleep(time.Second)
		cancel()
		is.True(f.begunCount() > 0)
		is.True(slices.Contains(readRecordedOrders(t, s), "before"))
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

// A slow owner gets one Release call for all of its instances, so that they don't
// wait for each other.
func TestReleaseIsBatchedPerOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const machines = 60
		s, f := memstore.New(1), newFakeMachines(machines)
		owners := &fakeOwners{latency: 200 * time.Millisecond}
		ctx, cancel := context.WithCancel(context.Background())
		begin := time.Now()
		startControllerWithOwners(ctx, s, f, owners, waveView(f, &catalog.Pool{Name: "p"}, machines), 1)
		time.Sleep(time.Minute)
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
		is.Equal(len(f.begun), machines)
		// A quarter of the pool is down at a time, but the machines don't come back
		// together.
		is.True(owners.releaseCalls < machines/4)
		is.True(f.firstOrder.Sub(begin) < time.Second)
	})
}
