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
	// Topic is the topic that stores the waves' progress and the last orders.
	Topic = "keyed.fleet"
	// producer is the store's producer name, shared by all holders of the fleet's
	// unit: an append with a higher epoch fences those with lower ones.
	producer = "fleet"
	// reconcileInterval is the time from one pass of the control loop to the next.
	reconcileInterval = 150 * time.Millisecond
	// minReconcilePause is the least pause between two passes that take long.
	minReconcilePause = 20 * time.Millisecond
	// maxListAge is the age above which the list of machines is read again.
	maxListAge = 500 * time.Millisecond
	// OrderGrace is how long after its last confirmed join a holder may still send
	// orders that it has recorded.
	OrderGrace = time.Second
	// storeRetryDelay is the pause before a failed takeover is retried.
	storeRetryDelay = 100 * time.Millisecond
	// unacknowledgedFactor times the platform's maintenance duration is the time
	// after which a machine that is up counts as back although its order wasn't
	// acknowledged and its instance still has the same name.
	unacknowledgedFactor = 2
)

// PoolOwners reaches the owners of pools: it drains instances, hands out grants
// and reads demand. Its methods are called concurrently.
type PoolOwners interface {
	// Release cordons and drains a pool's instances, and returns those that are
	// empty. The cordon expires unless the call is repeated.
	Release(ctx context.Context, pool string, instances []string) (empty []string, err error)
	// Demand sends a pool's owner the teams' grants there, and returns the pool's
	// demand, the state of its instances, and what the teams hold and use.
	Demand(ctx context.Context, order owner.GrantOrder) (Report, error)
}

// Report is the answer of a pool's owner to its grants.
type Report struct {
	Demand rebalance.Demand
	// Uses is what each team holds and uses, by the team's name.
	Uses map[string]quota.Use
	// Owner is the epoch of the owner that answered.
	Owner int64
}

// Controller carries out waves, assigns grants and moves machines while this
// daemon holds the fleet's unit. Its unexported fields belong to the goroutine
// that calls Run.
type Controller struct {
	Log store.Log
	// Machines is nil in a deployment without a machine service: the controller then
	// only assigns grants.
	Machines machine.Client
	Owners   PoolOwners
	View     *fleetview.View
	Clock    bootclock.Clock
	Logger   *zap.Logger
	Tenure   ownership.Tenure
	// Holds reports whether a tenure was confirmed within the given time.
	Holds func(t ownership.Tenure, within time.Duration) bool
	// GiveUp ends a tenure that a later holder has superseded. It may be called more than
	// once and concurrently.
	GiveUp func(t ownership.Tenure)
	// Name identifies this daemon as the holder that sends orders.
	Name string
	// Handover is the time after a former holder's order to a machine during which
	// a new holder sends that machine no orders.
	Handover time.Duration
	// OrderLimiter limits the orders per second sent to the platform.
	OrderLimiter *rate.Limiter
	// RoundTook is called with the duration of each pass of the control loop.
	RoundTook func(time.Duration)
	// Duration is how long the platform's maintenance of a machine takes.
	Duration time.Duration
	// StatusTopic is the topic in which operators find the status of waves; Status
	// encodes a record of it.
	StatusTopic string
	Status      func(wave int64, completed bool) (key string, value []byte)

	waves map[int64]*progress
	// listed is the last list of machines, by name, read at listedAt.
	listed   map[string]machine.Machine
	listedAt time.Time
	demand   map[string]rebalance.Demand
	ledger   *quota.Ledger
	// lastGrant is the number of the last grant order sent to an owner.
	lastGrant int64
	// recentOrders holds the last order to each machine, by this holder or a
	// former one; formerOrders those of former holders only.
	recentOrders map[string]lastOrder
	formerOrders map[string]formerOrder
	// recordedOrders is the number of machines in the stored record of the last
	// orders, and ordersRecordedAt the time of the last attempt to write it.
	recordedOrders   int
	ordersRecordedAt time.Time
	// moving holds the machines with an order to move, by name.
	moving map[string]movement
	// draining holds the busy machines that move once they are empty, by name.
	draining map[string]movement
	// poolStatesLoggedAt is when the state of the pools was last logged.
	poolStatesLoggedAt time.Time
	supply             supply
	// lastAppend is the sequence number of the last append under this tenure.
	lastAppend int64
}

// Run takes over from the former holder and runs the control loop until the context
// ends. Until it has taken over it only assigns grants: owners obey the newest leader
// by its epoch alone, so that teams' work goes on while the fleet's records can't be
// read. Run gives the tenure up and returns early if a later holder has superseded this one.
func (c *Controller) Run(ctx context.Context) {
	c.waves = map[int64]*progress{}
	c.moving, c.draining = map[string]movement{}, map[string]movement{}
	c.ledger = quota.NewLedger()
	c.recentOrders, c.formerOrders = map[string]lastOrder{}, map[string]formerOrder{}
	takenOver, fenced := false, make(chan bool, 1)
	go func() { fenced <- !c.takeOver(ctx) }()
	for ctx.Err() == nil {
		select {
		case lost := <-fenced:
			if lost {
				return
			}
			takenOver = true
		default:
		}
		begin := time.Now()
		if c.Holds(c.Tenure, OrderGrace) {
			c.reconcile(ctx, takenOver)
			c.RoundTook(time.Since(begin))
		}
		pause.For(ctx, max(reconcileInterval-time.Since(begin), minReconcilePause))
	}
}

// takeOver fences the former holder and reads the waves' progress. It retries
// until the context ends, and returns false if this holder is itself fenced.
func (c *Controller) takeOver(ctx context.Context) bool {
	for ctx.Err() == nil {
		err := c.load(ctx)
		if err == nil {
			c.Logger.Info("maintenance.taken_over", zap.Int64("epoch", c.Tenure.Epoch), zap.Int("waves", len(c.waves)))
			return true
		}
		if errors.Is(err, store.ErrFenced) {
			c.superseded(err)
			return false
		}
		c.Logger.Warn("maintenance.takeover_failed", zap.Error(err))
		pause.For(ctx, storeRetryDelay)
	}
	return false
}

// superseded gives the tenure up as a later holder of the fleet's unit has acted: whoever
// has obeyed it refuses this one for good.
func (c *Controller) superseded(reason error) {
	c.Logger.Warn("maintenance.superseded", zap.Int64("epoch", c.Tenure.Epoch), zap.Error(reason))
	c.GiveUp(c.Tenure)
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

// reconcile exchanges grants and demand with the owners. After the takeover it also
// advances the waves, then moves machines between pools.
func (c *Controller) reconcile(ctx context.Context, takenOver bool) {
	configuration := c.View.Catalog()
	if configuration == nil {
		return
	}
	if !takenOver || c.Machines == nil {
		c.exchangeGrants(ctx, configuration, nil)
		return
	}
	var list listResult
	var wg sync.WaitGroup
	if time.Since(c.listedAt) > maxListAge {
		wg.Go(func() { list = c.readList(ctx) })
	}
	c.exchangeGrants(ctx, configuration, c.maintenanceDue())
	wg.Wait()
	if !c.applyList(list) {
		return
	}
	for number, wave := range c.View.OperatorState().Waves {
		p := c.waves[number]
		if p == nil {
			p = newProgress()
			c.waves[number] = p
		}
		if !p.completed {
			c.advance(ctx, wave, p)
		}
	}
	c.logPoolStates()
	c.rebalance(ctx, configuration)
	c.recordAges(ctx)
}

// exchangeGrants sends the owners of all pools what teams may run there and what is due
// for maintenance, and reads the pools' demand. Pools whose owner doesn't answer are left out.
func (c *Controller) exchangeGrants(ctx context.Context, configuration *catalog.Catalog, due map[string][]string) {
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
		orders[n] = owner.GrantOrder{Pool: name, Lead: c.Tenure.Epoch, Number: c.lastGrant, Grants: c.ledger.Grants(name, limits, pools), MaintenanceDue: due[name], Supply: c.supplyOf(name)}
	}
	reports, errs := c.queryOwners(ctx, orders)
	c.demand = map[string]rebalance.Demand{}
	for n, name := range pools {
		var superseded *owner.SupersededError
		if errors.As(errs[n], &superseded) {
			c.superseded(errs[n])
			return
		}
		if errs[n] != nil {
			c.Logger.Debug("demand.unknown", zap.String("pool", name), zap.Error(errs[n]))
			continue
		}
		if c.ledger.Confirm(name, reports[n].Owner, reports[n].Uses) {
			c.demand[name] = reports[n].Demand
		}
	}
}

// queryOwners calls all owners concurrently: one that is unreachable must not
// delay the grants of the others.
func (c *Controller) queryOwners(ctx context.Context, orders []owner.GrantOrder) ([]Report, []error) {
	reports, errs := make([]Report, len(orders)), make([]error, len(orders))
	var wg sync.WaitGroup
	for n, order := range orders {
		wg.Add(1)
		go func() {
			defer wg.Done()
			reports[n], errs[n] = c.Owners.Demand(ctx, order)
		}()
	}
	wg.Wait()
	return reports, errs
}

// listResult is the result of reading the list of machines; wasRead is false if that
// wasn't due.
type listResult struct {
	wasRead  bool
	machines []machine.Machine
	err      error
}

func (c *Controller) readList(ctx context.Context) listResult {
	machines, err := c.Machines.List(ctx)
	return listResult{wasRead: true, machines: machines, err: err}
}

// applyList takes over a list that was read, and reports whether the current list is
// recent enough to act on.
func (c *Controller) applyList(r listResult) bool {
	if r.err != nil {
		c.Logger.Warn("machines.list_failed", zap.Error(r.err))
		return false
	}
	if !r.wasRead {
		return c.listed != nil
	}
	c.listed = map[string]machine.Machine{}
	for _, m := range r.machines {
		c.listed[m.Name] = m
	}
	c.listedAt = time.Now()
	return true
}
