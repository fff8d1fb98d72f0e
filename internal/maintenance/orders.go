package maintenance

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/beryltide/beryltide/internal/machine"
	"github.com/beryltide/beryltide/internal/store"
)

// ordersKey is the record of the last orders to machines.
//
// A machine takes orders from whoever sends them, so two holders must not give
// some to one machine in turn. Each order is recorded first, under the holder's
// epoch: a former holder can't record any more, and its successor knows which
// machines have just had one.
const ordersKey = "orders"

const (
	// ordersAtOnce are sent at the same time, as many as the client of machines
	// has connections.
	ordersAtOnce = 4
	// releasesAtOnce ask owners at the same time; an owner answers in its turn.
	releasesAtOnce = 8
)

// order is a call about one machine.
type order struct {
	machine string
	call    func(ctx context.Context, by machine.Holder) error
}

// send records that machines get orders, then sends these, as many a second as
// the platform takes. It returns an error or nil for each order, and nothing if
// they weren't recorded.
func (c *Controller) send(ctx context.Context, orders []order) []error {
	names := make([]string, len(orders))
	for n, o := range orders {
		names[n] = o.machine
	}
	if len(orders) == 0 || !c.intend(ctx, names...) {
		return nil
	}
	errs := make([]error, len(orders))
	var group errgroup.Group
	group.SetLimit(ordersAtOnce)
	for n, o := range orders {
		group.Go(func() error {
			errs[n] = c.sendOne(ctx, o)
			return nil
		})
	}
	_ = group.Wait() // errors are kept by order
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

// released returns the machines whose instances are empty and stay so.
func (c *Controller) released(ctx context.Context, machines []machine.Machine) []machine.Machine {
	answers := make([]bool, len(machines))
	var group errgroup.Group
	group.SetLimit(releasesAtOnce)
	for n, m := range machines {
		group.Go(func() error {
			empty, err := c.Releaser.Release(ctx, m.Pool, m.Instance)
			if err != nil {
				c.Logger.Info("machine.not_released", zap.String("machine", m.Name), zap.String("instance", m.Instance), zap.Error(err))
			}
			answers[n] = err == nil && empty
			return nil
		})
	}
	_ = group.Wait() // errors are logged
	var empty []machine.Machine
	for n, m := range machines {
		if answers[n] {
			empty = append(empty, m)
		}
	}
	return empty
}

// intend records that machines are about to get orders. Without it none may be
// sent.
func (c *Controller) intend(ctx context.Context, names ...string) bool {
	now := time.Now()
	for name, at := range c.recent {
		if now.Sub(at) > c.Handover {
			delete(c.recent, name)
		}
	}
	for _, name := range names {
		c.recent[name] = now
	}
	value, err := msgpack.Marshal(slices.Sorted(maps.Keys(c.recent)))
	if err != nil {
		c.Logger.Error("orders.encode", zap.Error(err))
		return false
	}
	if err := c.append(ctx, store.Record{Key: ordersKey, Value: value}); err != nil {
		c.Logger.Warn("orders.not_recorded", zap.Strings("machines", names), zap.Error(err))
		return false
	}
	return c.Holds(c.Tenure, OrderGrace)
}

// loadOrders notes the machines that a former holder may just have ordered.
func (c *Controller) loadOrders(r store.Record) {
	var names []string
	if err := msgpack.Unmarshal(r.Value, &names); err != nil {
		c.Logger.Error("orders.unreadable", zap.Error(err))
		return
	}
	for _, name := range names {
		c.former[name] = true
	}
}

// untouchable says whether a former holder's order to a machine is too fresh.
func (c *Controller) untouchable(name string) bool {
	return c.former[name] && c.Clock() < c.handover
}

// append records under the tenure's epoch.
func (c *Controller) append(ctx context.Context, r store.Record) error {
	c.number++
	seq := &store.Sequence{Producer: producer, Epoch: c.Tenure.Epoch, Number: c.number}
	err := c.Log.Append(ctx, Topic, 0, []store.Record{r}, seq)
	var sequence *store.SequenceError
	if errors.As(err, &sequence) {
		// An append without an answer was, or wasn't, carried out.
		c.number = sequence.Expected - 1
	}
	return err
}
