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
	"github.com/beryltide/beryltide/internal/store"
)

// ordersKey is the record of the machines that had orders lately.
//
// A machine takes orders from whoever sends them, so two holders must not give
// some to one machine in turn. Each order is recorded first, under the holder's
// epoch: a former holder can't record any more, and its successor knows which
// machines have just had one.
const ordersKey = "orders"

// agesKey is the record of how old each of these orders was when it was written,
// and what it did. A successor waits only for the rest of the handover: the time
// between the record and its takeover comes on top, and needs no common clock.
const agesKey = "order_ages"

// orderAge is an order's part of the record.
type orderAge struct {
	AgeMS int64
	// Down says that the machine may be down for maintenance: it counts against
	// its wave's bound. One that only moves doesn't.
	Down bool
}

// orderKind is what an order does to a machine.
type orderKind int

const (
	moveOrder orderKind = iota
	maintainOrder
)

// lastOrder is a machine's last order by this holder, or by a former one.
type lastOrder struct {
	at   time.Time
	kind orderKind
}

// formerOrder is a former holder's order to a machine.
type formerOrder struct {
	// until is when the machine may have another, on the boot clock.
	until time.Duration
	kind  orderKind
}

const (
	// maxConcurrentOrders are sent at the same time, as many as the client of machines
	// has connections.
	maxConcurrentOrders = 4
	// recordInterval lies between two records of how old the last orders are.
	recordInterval = 500 * time.Millisecond
)

// order is a call about one machine.
type order struct {
	machine string
	kind    orderKind
	call    func(ctx context.Context, by machine.Holder) error
}

// send records that machines get orders, then sends these, as many a second as
// the platform takes. It returns an error or nil for each order, and nothing if
// they weren't recorded.
func (c *Controller) send(ctx context.Context, orders []order) []error {
	if len(orders) == 0 || !c.recordIntent(ctx, orders) {
		return nil
	}
	errs := make([]error, len(orders))
	var group errgroup.Group
	group.SetLimit(maxConcurrentOrders)
	for n, o := range orders {
		group.Go(func() error {
			errs[n] = c.sendOne(ctx, o)
			return nil
		})
	}
	_ = group.Wait() // errors are kept by order
	sent := time.Now()
	for _, o := range orders {
		c.recentOrders[o.machine] = lastOrder{at: sent, kind: o.kind}
	}
	return errs
}

func (c *Controller) sendOne(ctx context.Context, o order) error {
	if err := c.Pace.Wait(ctx); err != nil {
		return errors.Wrap(machine.ErrNotDone, err.Error())
	}
	if !c.Holds(c.Tenure, OrderGrace) {
		return errors.Wrap(machine.ErrNotDone, "the tenure isn't confirmed")
	}
	return o.call(ctx, machine.Holder{Name: c.Name, Fence: c.Tenure.Epoch})
}

// release returns the machines whose instances are empty and stay so. Each
// pool's owner is asked once for all of its instances.
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
			released, err := c.Releaser.Release(ctx, pool, instances)
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

// recordIntent records that machines are about to get orders. Without it none may be
// sent.
func (c *Controller) recordIntent(ctx context.Context, orders []order) bool {
	now := time.Now()
	c.dropOldOrders(now)
	for _, o := range orders {
		c.recentOrders[o.machine] = lastOrder{at: now, kind: o.kind}
	}
	return c.recordOrders(ctx) && c.Holds(c.Tenure, OrderGrace)
}

// recordAges records how old the last orders are by now, until none of them is of
// any concern to a successor.
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

// loadOrders notes the machines that a former holder may just have ordered. They
// stay in the record until its orders are surely old: this holder may be followed
// by the next one before.
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
			// Of an order that is only named it isn't known what it did.
			kind = maintainOrder
		}
		elapsed := min(time.Duration(age.AgeMS)*time.Millisecond, c.Handover)
		c.formerOrders[name] = formerOrder{until: clock + c.Handover - elapsed, kind: kind}
		c.recentOrders[name] = lastOrder{at: now.Add(-elapsed), kind: kind}
	}
	c.recordedOrders = len(c.recentOrders)
}

// reserved says whether a former holder's order to a machine is too fresh.
func (c *Controller) reserved(name string) bool {
	former, ordered := c.formerOrders[name]
	return ordered && c.Clock() < former.until
}

// downByFormerHolder says whether a machine is down for maintenance, or may be, by a
// former holder's order.
func (c *Controller) downByFormerHolder(name string) bool {
	if c.listed[name].State == machine.Maintenance {
		return true
	}
	return c.reserved(name) && c.formerOrders[name].kind == maintainOrder
}

// append records under the tenure's epoch.
func (c *Controller) append(ctx context.Context, records ...store.Record) error {
	c.lastAppend++
	seq := &store.Sequence{Producer: producer, Epoch: c.Tenure.Epoch, Number: c.lastAppend}
	err := c.Log.Append(ctx, Topic, 0, records, seq)
	var sequence *store.SequenceError
	if errors.As(err, &sequence) {
		// An append without an answer was, or wasn't, carried out.
		c.lastAppend = sequence.Expected - 1
	}
	return err
}
