package maintenance

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/beryltide/beryltide/internal/bootclock"
	"github.com/beryltide/beryltide/internal/catalog"
	"github.com/beryltide/beryltide/internal/fleetview"
	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/machine"
	"github.com/beryltide/beryltide/internal/owner"
	"github.com/beryltide/beryltide/internal/ownership"
	"github.com/beryltide/beryltide/internal/pause"
	"github.com/beryltide/beryltide/internal/quota"
	"github.com/beryltide/beryltide/internal/rebalance"
	"github.com/beryltide/beryltide/internal/store"
)

const (
	// Topic keeps how far the waves are.
	Topic = "keyed.fleet"
	// producer is the same for all holders; a higher epoch fences the lower ones.
	producer = "fleet"
	// reconcileInterval is how often a wave in progress is looked at.
	reconcileInterval = 150 * time.Millisecond
	// listMaxAge bounds how old the list of machines may be.
	listMaxAge = 500 * time.Millisecond
	// OrderGrace is how long after its last confirmed join a holder still gives
	// orders that it has recorded.
	OrderGrace = time.Second
	// storeRetryDelay lies between two tries of a call to the store.
	storeRetryDelay = 100 * time.Millisecond
	// unacknowledgedFactor times the platform's maintenance is when a machine that is up
	// counts as back without an answer to its order, though its instance has the
	// name that it had.
	unacknowledgedFactor = 2
)

// Releaser empties instances through their pools' owners.
type Releaser interface {
	// Release keeps new tasks from a pool's instances and returns those that are
	// empty. It must be repeated to stay in force.
	Release(ctx context.Context, pool string, instances []string) (empty []string, err error)
	// Demand tells a pool's owner what teams may run there, and returns what
	// waits, what the instances do, and what the teams hold and use.
	Demand(ctx context.Context, order owner.GrantOrder) (Report, error)
}

// Report is a pool's owner's answer to its grants.
type Report struct {
	Demand rebalance.Demand
	Uses   map[string]quota.Use
	// Owner is the epoch of the owner that answered.
	Owner int64
}

// Controller carries out waves while this daemon holds the fleet's unit.
type Controller struct {
	Log      store.Log
	Machines machine.Client
	Releaser Releaser
	View     *fleetview.View
	Clock    bootclock.Clock
	Logger   *zap.Logger
	Tenure   ownership.Tenure
	// Holds says whether the tenure was confirmed within a time.
	Holds func(t ownership.Tenure, within time.Duration) bool
	// Name is this daemon's, as holder of orders.
	Name string
	// Handover is how long a new holder leaves alone the machines to which a
	// former one gave its last orders.
	Handover time.Duration
	// Pace bounds the orders a second that the platform takes.
	Pace *rate.Limiter
	// Duration is how long the platform's maintenance takes.
	Duration time.Duration
	// StatusTopic and Status tell operators how a wave stands.
	StatusTopic string
	Status      func(wave int64, completed bool) (key string, value []byte)

	waves    map[int64]*progress
	listed   map[string]machine.Machine
	listedAt time.Time
	demand   map[string]rebalance.Demand
	ledger   *quota.Ledger
	// lastGrant numbers the words to owners.
	lastGrant int64
	// recentOrders holds the machines' last orders, former those that former holders
	// gave.
	recentOrders map[string]lastOrder
	formerOrders map[string]formerOrder
	// recordedOrders is how many machines the record of the last orders names, and
	// recordedAt when it was written.
	recordedOrders   int
	ordersRecordedAt time.Time
	// moving holds the machines with an order to move.
	moving     map[string]movement
	lastAppend int64
}

// Run works until the context ends.
func (c *Controller) Run(ctx context.Context) {
	c.waves = map[int64]*progress{}
	c.moving = map[string]movement{}
	c.ledger = quota.NewLedger()
	c.recentOrders, c.formerOrders = map[string]lastOrder{}, map[string]formerOrder{}
	if !c.takeOver(ctx) {
		return
	}
	for ctx.Err() == nil {
		if c.Holds(c.Tenure, OrderGrace) {
			c.reconcile(ctx)
		}
		pause.For(ctx, reconcileInterval)
	}
}

// takeOver fences the former holder and reads how far the waves are.
func (c *Controller) takeOver(ctx context.Context) bool {
	for ctx.Err() == nil {
		err := c.load(ctx)
		if err == nil {
			c.Logger.Info("maintenance.taken_over", zap.Int64("epoch", c.Tenure.Epoch), zap.Int("waves", len(c.waves)))
			return true
		}
		if errors.Is(err, store.ErrFenced) {
			c.Logger.Warn("maintenance.fenced", zap.Int64("epoch", c.Tenure.Epoch))
			return false
		}
		c.Logger.Warn("maintenance.takeover_failed", zap.Error(err))
		pause.For(ctx, storeRetryDelay)
	}
	return false
}

func (c *Controller) load(ctx context.Context) error {
	err := c.Log.Append(ctx, Topic, 0, nil, &store.Sequence{Producer: producer, Epoch: c.Tenure.Epoch})
	var sequence *store.SequenceError
	if err != nil && !errors.As(err, &sequence) {
		return err
	}
	records, _, err := store.ReadNewest(ctx, c.Log, Topic, 0)
	if err != nil {
		return err
	}
	c.loadOrders(records)
	for _, r := range records {
		if r.Key == ordersKey || r.Key == agesKey {
			continue
		}
		number, p, err := decodeProgress(r)
		if err != nil {
			c.Logger.Error("maintenance.record_unreadable", zap.String("key", r.Key), zap.Error(err))
			continue
		}
		c.waves[number] = p
	}
	return nil
}

// reconcile shares out the teams' limits, carries the waves on, then moves machines.
func (c *Controller) reconcile(ctx context.Context) {
	configuration := c.View.Catalog()
	if configuration == nil {
		return
	}
	c.exchangeGrants(ctx, configuration)
	if time.Since(c.listedAt) > listMaxAge && !c.listMachines(ctx) {
		return
	}
	for number, wave := range c.View.Duties().Waves {
		p := c.waves[number]
		if p == nil {
			p = newProgress()
			c.waves[number] = p
		}
		if !p.completed {
			c.advance(ctx, wave, p)
		}
	}
	c.rebalance(ctx, configuration)
	c.recordAges(ctx)
}

// exchangeGrants asks the owners of all pools, and grants them what teams may run.
// Pools whose owner doesn't answer are left out.
func (c *Controller) exchangeGrants(ctx context.Context, configuration *catalog.Catalog) {
	limits := map[string]job.Resources{}
	for name, team := range configuration.Teams {
		limits[name] = team.Limit
	}
	var pools []string
	for name, pool := range configuration.Pools {
		if !pool.Spare {
			pools = append(pools, name)
		}
	}
	slices.Sort(pools)
	orders := make([]owner.GrantOrder, len(pools))
	for n, name := range pools {
		c.lastGrant++
		orders[n] = owner.GrantOrder{Pool: name, Lead: c.Tenure.Epoch, Number: c.lastGrant, Grants: c.ledger.Grants(name, limits, pools)}
	}
	reports, errs := c.queryOwners(ctx, orders)
	c.demand = map[string]rebalance.Demand{}
	for n, name := range pools {
		if errs[n] != nil {
			c.Logger.Debug("demand.unknown", zap.String("pool", name), zap.Error(errs[n]))
			continue
		}
		if c.ledger.Confirm(name, reports[n].Owner, reports[n].Uses) {
			c.demand[name] = reports[n].Demand
		}
	}
}

// queryOwners asks all owners at the same time: one that can't be reached must not keep
// the others waiting for their grants.
func (c *Controller) queryOwners(ctx context.Context, orders []owner.GrantOrder) ([]Report, []error) {
	reports, errs := make([]Report, len(orders)), make([]error, len(orders))
	var wg sync.WaitGroup
	for n, order := range orders {
		wg.Add(1)
		go func() {
			defer wg.Done()
			reports[n], errs[n] = c.Releaser.Demand(ctx, order)
		}()
	}
	wg.Wait()
	return reports, errs
}

func (c *Controller) listMachines(ctx context.Context) bool {
	machines, err := c.Machines.List(ctx)
	if err != nil {
		c.Logger.Warn("machines.list_failed", zap.Error(err))
		return false
	}
	c.listed = map[string]machine.Machine{}
	for _, m := range machines {
		c.listed[m.Name] = m
	}
	c.listedAt = time.Now()
	return true
}
