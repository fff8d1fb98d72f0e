package maintenance

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/beryltide/beryltide/internal/catalog"
	"github.com/beryltide/beryltide/internal/machine"
	"github.com/beryltide/beryltide/internal/memstore"
	"github.com/beryltide/beryltide/internal/owner"
	"github.com/beryltide/beryltide/internal/rebalance"
)

// A machine counts as on its way until its new instance can take tasks, and no
// longer: a pool whose machines have arrived but still count twice gets too few at
// its peak.
func TestMachineIsOnItsWayUntilItsInstanceIsUsable(t *testing.T) {
	is := is.New(t)
	ordered := time.Now()
	c := &Controller{listedAt: ordered.Add(time.Second), demand: map[string]rebalance.Demand{"peak": {Instances: map[string]rebalance.Instance{}}}}
	show := func(pool string, state machine.State, usable bool) {
		c.listed = map[string]machine.Machine{"m": {Name: "m", Pool: pool, State: state, Instance: "i"}}
		c.demand["peak"].Instances["i"] = rebalance.Instance{ID: "i", Usable: usable}
	}
	to := movement{to: "peak", at: ordered}
	show("before", machine.Up, true)
	is.True(!c.arrived("m", to))
	show("peak", machine.Moving, true)
	is.True(!c.arrived("m", to))
	show("peak", machine.Up, false) // not polled by its new owner yet
	is.True(!c.arrived("m", to))
	show("peak", machine.Up, true)
	is.True(c.arrived("m", to))
	c.listedAt = ordered.Add(-time.Second)
	is.True(!c.arrived("m", to)) // the list is older than the order
	c.listedAt = ordered.Add(time.Second)
	show("off", machine.Up, false)
	is.True(c.arrived("m", movement{to: "off", at: ordered}))
}

// drainingOwners answers that no instance is empty until drained is set.
type drainingOwners struct {
	fakeOwners
	drained bool
}

func (o *drainingOwners) Release(_ context.Context, _ string, instances []string) ([]string, error) {
	if o.drained {
		return instances, nil
	}
	return nil, nil
}

// A busy machine that is to move is released again in each pass, until it is empty
// or has taken too long; meanwhile nothing else may be planned for it.
func TestBusyMachineMovesOnceItIsEmpty(t *testing.T) {
	is := is.New(t)
	owners := &drainingOwners{}
	c := &Controller{Owners: owners, Logger: zap.NewNop(), draining: map[string]movement{}, listed: map[string]machine.Machine{
		"m": {Name: "m", Pool: "from", State: machine.Up, Instance: "i"},
	}}
	planned := []rebalance.Move{{Machine: "m", From: "from", To: "to", Instance: "i", Busy: true}}
	is.Equal(len(c.executableMoves(t.Context(), planned)), 0)
	is.Equal(c.drainingMoves(), planned)
	owners.drained = true
	is.Equal(c.executableMoves(t.Context(), c.drainingMoves()), planned)
	is.Equal(len(c.drainingMoves()), 0)

	c.draining["m"] = movement{to: "to", at: time.Now().Add(-drainTimeout - time.Second)}
	is.Equal(len(c.drainingMoves()), 0) // its tasks are too long
	c.draining["m"] = movement{to: "to", at: time.Now()}
	c.listed["m"] = machine.Machine{Name: "m", Pool: "from", State: machine.Maintenance, Instance: "i"}
	is.Equal(len(c.drainingMoves()), 0) // it went down for a wave
}

// After all daemons were lost, owners have no grants until a leader sends some. A
// leader that can't read the fleet's records, since the store refuses that
// partition alone, must not keep every team's work waiting.
func TestGrantsDontWaitForTheFleetsRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, f, owners := memstore.New(1), newFakeMachines(1), &fakeOwners{}
		client := s.Client()
		client.SetFault(func(string) memstore.Fault { return memstore.Refuse })
		ctx, cancel := context.WithCancel(context.Background())
		c := newController(ctx, client, f, owners, waveView(f, &catalog.Pool{Name: "p"}, atOnce), 1)
		go c.Run(ctx)
		time.Sleep(time.Second)
		owners.mu.Lock()
		is.True(owners.grantOrders > 3)
		owners.mu.Unlock()
		is.Equal(f.begunCount(), 0) // no orders before the takeover
		client.SetFault(nil)
		time.Sleep(10 * time.Second)
		is.Equal(f.begunCount(), 1)
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

// Orders that the rate limit holds back for longer than the instances stay cordoned must
// not be sent: tasks start there again, and a late order ends them. A fleet of 3,000
// machines returned so many idle ones at its start that long-running tasks were ended.
func TestOrdersAreNotSentAfterTheCordon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const count, perSecond = 40, 8
		s, f := memstore.New(1), newFakeMachines(1)
		c := newController(t.Context(), s.Client(), f, &fakeOwners{}, waveView(f, &catalog.Pool{Name: "p"}, atOnce), 1)
		c.OrderLimiter = rate.NewLimiter(perSecond, 1)
		c.recentOrders = map[string]lastOrder{}
		released := time.Now()
		var mu sync.Mutex
		sent := 0
		orders := make([]order, count)
		for n := range orders {
			orders[n] = order{machine: fmt.Sprint(n), call: func(context.Context, machine.Holder) error {
				mu.Lock()
				defer mu.Unlock()
				sent++
				is.True(time.Since(released)+orderTime <= owner.CordonTTL)
				return nil
			}}
		}
		errs := c.send(t.Context(), orders, released)
		notDone := 0
		for _, err := range errs {
			if errors.Is(err, machine.ErrNotDone) {
				notDone++
			}
		}
		is.True(sent >= perSecond) // as many as the limit allows
		is.Equal(sent+notDone, count)
	})
}
