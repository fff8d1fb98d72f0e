package maintenance

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/beryltide/beryltide/internal/machine"
	"github.com/beryltide/beryltide/internal/owner"
	"github.com/beryltide/beryltide/internal/store"
)

// ordersKey is the key of the record that names the machines with recent orders.
//
// A machine accepts orders from any sender, so two holders must not both send
// orders to one machine during a handover. Each order is first recorded under
// the holder's epoch: a fenced holder can no longer record, and its successor
// reads which machines have just had one.
const ordersKey = "orders"

// agesKey is the key of the record that holds the kind of each of these orders
// and its age when the record was written. A successor waits only for the rest of
// the handover. It doesn't count the time between the record and its takeover,
// so the wait is never too short and needs no common clock.
const agesKey = "order_ages"

// orderAge is an order's entry in the record under agesKey.
type orderAge struct {
	// AgeMS is the order's age in milliseconds when the record was written.
	AgeMS int64
	// Down marks a machine that may be down for maintenance and so counts against
	// its wave's bound. A machine that only moves doesn't.
	Down bool
}

// orderKind is the action that an order requests of a machine.
type orderKind int

const (
	moveOrder orderKind = iota
	maintainOrder
)

// lastOrder is the last order to a machine, by this holder or a former one.
type lastOrder struct {
	at   time.Time
	kind orderKind
}

// formerOrder is a former holder's last order to a machine.
type formerOrder struct {
	// until is the time on the boot clock from which the machine may be sent
	// another order.
	until time.Duration
	kind  orderKind
}

const (
	// maxConcurrentOrders bounds the orders in flight. It equals the number of
	// connections of the machine client.
	maxConcurrentOrders = 16
	// recordInterval is the minimum time between two updates of the recorded ages.
	recordInterval = 500 * time.Millisecond
	// orderTime is the longest time that an order is under way.
	orderTime = time.Second
	// releaseValidity is how long after the call that released an instance an order to
	// its machine may be sent: it arrives before the cordon ends. At 193 orders a second
	// a fleet of 3,000 machines once had more of them to send than in that time; those
	// sent later ended tasks that had been started since.
	releaseValidity = owner.CordonTTL - orderTime
)

// order is a call to the platform that concerns one machine.
type order struct {
	machine string
	kind    orderKind
	call    func(ctx context.Context, by machine.Holder) error
}

// send records the orders, then sends them concurrently under the rate limit, as far as
// the instances that were released at the given time are still cordoned. It returns an
// error or nil for each order, and a nil slice without sending any if they couldn't be
// recorded.
func (c *Controller) send(ctx context.Context, orders []order, releasedAt time.Time) []error {
	if len(orders) == 0 || !c.recordIntent(ctx, orders) {
		return nil
	}
	errs := make([]error, len(orders))
	var group errgroup.Group
	group.SetLimit(maxConcurrentOrders)
	for n, o := range orders {
		group.Go(func() error {
			errs[n] = c.sendOne(ctx, o, releasedAt.Add(releaseValidity))
			return nil
		})
	}
	_ = group.Wait() // errs holds the errors by order
	sent := time.Now()
	for _, o := range orders {
		c.recentOrders[o.machine] = lastOrder{at: sent, kind: o.kind}
	}
	return errs
}

// sendOne waits for the rate limiter, then sends an order if the tenure is still
// confirmed and it isn't too late for it. An error that wraps machine.ErrNotDone means that
// it had no effect.
func (c *Controller) sendOne(ctx context.Context, o order, latest time.Time) error {
	waitCtx, cancel := context.WithDeadline(ctx, latest)
	defer cancel()
	if err := c.OrderLimiter.Wait(waitCtx); err != nil {
		return errors.Wrap(machine.ErrNotDone, err.Error())
	}
	if !c.Holds(c.Tenure, OrderGrace) {
		return errors.Wrap(machine.ErrNotDone, "the tenure isn't confirmed")
	}
	if !time.Now().Before(latest) {
		return errors.Wrap(machine.ErrNotDone, "the instance may not be cordoned any more")
	}
	err := o.call(ctx, machine.Holder{Name: c.Name, Fence: c.Tenure.Epoch})
	if errors.Is(err, machine.ErrFenced) {
		c.superseded(err)
	}
	return err
}

// release has the pools' owners drain the machines' instances, and returns the
// machines whose instances are empty and cordoned. It makes one call per pool.
func (c *Controller) release(ctx context.Context, machines []machine.Machine) []machine.Machine {
	byPool := map[string][]string{}
	for _, m := range machines {
		byPool[m.Pool] = append(byPool[m.Pool], m.Instance)
	}
	var mu sync.Mutex
	empty := map[string]bool{}
	var wg sync.WaitGroup
	for pool, instances := range byPool {
		wg.Add(1)
		go func() {
			defer wg.Done()
			released, err := c.Owners.Release(ctx, pool, instances)
			if err != nil {
				c.Logger.Info("machines.not_released", zap.String("pool", pool), zap.Int("instances", len(instances)), zap.Error(err))
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for _, instance := range released {
				empty[instance] = true
			}
		}()
	}
	wg.Wait()
	var ready []machine.Machine
	for _, m := range machines {
		if empty[m.Instance] {
			ready = append(ready, m)
		}
	}
	return ready
}

// recordIntent records that machines are about to be sent orders. It reports
// whether they may be sent: they were recorded, and the tenure is confirmed.
func (c *Controller) recordIntent(ctx context.Context, orders []order) bool {
	now := time.Now()
	c.dropOldOrders(now)
	for _, o := range orders {
		c.recentOrders[o.machine] = lastOrder{at: now, kind: o.kind}
	}
	return c.recordOrders(ctx) && c.Holds(c.Tenure, OrderGrace)
}

// recordAges updates the recorded ages of the last orders, until all of them are
// older than the handover and the stored record is empty.
func (c *Controller) recordAges(ctx context.Context) {
	now := time.Now()
	if now.Sub(c.ordersRecordedAt) < recordInterval {
		return
	}
	c.dropOldOrders(now)
	if len(c.recentOrders) > 0 || c.recordedOrders > 0 {
		c.recordOrders(ctx)
	}
}

// dropOldOrders removes the orders that are older than the handover.
func (c *Controller) dropOldOrders(now time.Time) {
	for name, last := range c.recentOrders {
		if now.Sub(last.at) > c.Handover {
			delete(c.recentOrders, name)
		}
	}
}

func (c *Controller) recordOrders(ctx context.Context) bool {
	records, err := c.encodeOrders()
	if err != nil {
		c.Logger.Error("orders.encode", zap.Error(err))
		return false
	}
	c.ordersRecordedAt = time.Now()
	if err := c.append(ctx, records...); err != nil {
		c.Logger.Warn("orders.not_recorded", zap.Int("machines", len(c.recentOrders)), zap.Error(err))
		return false
	}
	c.recordedOrders = len(c.recentOrders)
	return true
}

func (c *Controller) encodeOrders() ([]store.Record, error) {
	now := time.Now()
	ages := map[string]orderAge{}
	for name, last := range c.recentOrders {
		ages[name] = orderAge{AgeMS: now.Sub(last.at).Milliseconds(), Down: last.kind == maintainOrder}
	}
	names, err := msgpack.Marshal(slices.Sorted(maps.Keys(c.recentOrders)))
	if err != nil {
		return nil, errors.Wrap(err, ordersKey)
	}
	encoded, err := msgpack.Marshal(ages)
	if err != nil {
		return nil, errors.Wrap(err, agesKey)
	}
	return []store.Record{{Key: ordersKey, Value: names}, {Key: agesKey, Value: encoded}}, nil
}

// loadOrders reads the last orders of former holders. They stay in the record
// until they are older than the handover, as this holder may be replaced by the
// next one before that.
func (c *Controller) loadOrders(records []store.Record) {
	var names []string
	ages := map[string]orderAge{}
	for _, r := range records {
		var err error
		switch r.Key {
		case ordersKey:
			err = msgpack.Unmarshal(r.Value, &names)
		case agesKey:
			err = msgpack.Unmarshal(r.Value, &ages)
		}
		if err != nil {
			c.Logger.Error("orders.unreadable", zap.String("key", r.Key), zap.Error(err))
		}
	}
	now, clock := time.Now(), c.Clock()
	for _, name := range names {
		age, known := ages[name]
		kind := moveOrder
		if age.Down || !known {
			// The kind of an order without an age is unknown: assume the machine
			// may be down.
			kind = maintainOrder
		}
		elapsed := min(time.Duration(age.AgeMS)*time.Millisecond, c.Handover)
		c.formerOrders[name] = formerOrder{until: clock + c.Handover - elapsed, kind: kind}
		c.recentOrders[name] = lastOrder{at: now.Add(-elapsed), kind: kind}
	}
	c.recordedOrders = len(c.recentOrders)
}

// reserved reports whether a former holder's order to a machine is too recent for
// this holder to send another.
func (c *Controller) reserved(name string) bool {
	former, ordered := c.formerOrders[name]
	return ordered && c.Clock() < former.until
}

// downByFormerHolder reports whether a machine is listed as down for maintenance,
// or may be down by a former holder's order.
func (c *Controller) downByFormerHolder(name string) bool {
	if c.listed[name].State == machine.Maintenance {
		return true
	}
	return c.reserved(name) && c.formerOrders[name].kind == maintainOrder
}

// append stores records under the tenure's epoch.
func (c *Controller) append(ctx context.Context, records ...store.Record) error {
	c.lastAppend++
	seq := &store.Sequence{Producer: producer, Epoch: c.Tenure.Epoch, Number: c.lastAppend}
	err := c.Log.Append(ctx, Topic, 0, records, seq)
	var sequence *store.SequenceError
	if errors.As(err, &sequence) {
		// An earlier append without an answer may or may not have been carried
		// out: continue from the number that the store expects.
		c.lastAppend = sequence.Expected - 1
	}
	if errors.Is(err, store.ErrFenced) {
		c.superseded(err)
	}
	return err
}
