package owner

import (
	"context"
	"time"

	"github.com/beryltide/beryltide/internal/instance"
)

// orderKind is a kind of call to an instance.
type orderKind string

const (
	startOrder orderKind = "start"
	stopOrder  orderKind = "stop"
	paceOrder  orderKind = "pace"
	pollOrder  orderKind = "poll"
)

// maxHold is the longest time that an order can be on its way: opening its connection is
// given up after unreachableTimeout, the order unansweredTimeout later. Then the connection
// is reset.
const maxHold = unreachableTimeout + unansweredTimeout

// transit is what happens to a daemon's orders on their way. The daemon's mutex guards it.
type transit struct {
	// unbound: orders name no incarnation, as those of earlier versions do.
	unbound bool
	// held is the time that the next order takes, by kind and instance.
	held map[heldOrder]time.Duration
	// sent counts the orders by kind, meantFor those that name an incarnation by it.
	sent     map[orderKind]int
	meantFor map[meantFor]int
	// leasedAt is when a poll or start that carries a lease was last sent, by instance.
	leasedAt map[string]time.Time
}

type meantFor struct {
	kind        orderKind
	incarnation int64
}

type heldOrder struct {
	kind orderKind
	id   string
}

// setUnbound makes the daemon's orders name no incarnation.
func (d *daemon) setUnbound() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.transit.unbound = true
}

// holdNext holds the daemon's next order of a kind to an instance on its way for a time.
func (d *daemon) holdNext(kind orderKind, id string, held time.Duration) {
	if held > maxHold {
		d.cluster.t.Fatalf("an order is %v on its way, its connection is reset after %v", held, maxHold)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.transit.held == nil {
		d.transit.held = map[heldOrder]time.Duration{}
	}
	d.transit.held[heldOrder{kind, id}] = held
}

// ordersSent returns how many orders of a kind the daemon has sent.
func (d *daemon) ordersSent(kind orderKind) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.transit.sent[kind]
}

// ordersFor returns how many of them name an incarnation.
func (d *daemon) ordersFor(kind orderKind, incarnation int64) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.transit.meantFor[meantFor{kind, incarnation}]
}

// depart notes an order, and returns how long it is held and the incarnation that its
// client heeds.
func (d *daemon) depart(kind orderKind, id string, incarnation int64) (time.Duration, int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.transit.sent == nil {
		d.transit.sent, d.transit.meantFor = map[orderKind]int{}, map[meantFor]int{}
	}
	d.transit.sent[kind]++
	if incarnation != 0 {
		d.transit.meantFor[meantFor{kind, incarnation}]++
	}
	held := d.transit.held[heldOrder{kind, id}]
	delete(d.transit.held, heldOrder{kind, id})
	if d.transit.unbound {
		incarnation = 0
	}
	return held, incarnation
}

// noteLease notes an order that carries a lease.
func (d *daemon) noteLease(id string, lease time.Duration) {
	if lease == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.transit.leasedAt == nil {
		d.transit.leasedAt = map[string]time.Time{}
	}
	d.transit.leasedAt[id] = time.Now()
}

// lastLease returns when the daemon last sent an order with a lease to an instance.
func (d *daemon) lastLease(id string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.transit.leasedAt[id]
}

// carry takes an order to an instance, and returns that instance once the order has
// arrived. Opening the order's connection takes the first unreachableTimeout of the time
// for which it is held: the connection leads to the incarnation that is there then, and
// ends with it.
func (d *daemon) carry(id string, held time.Duration) (*fakeInstance, error) {
	i := d.reachable(id)
	if i == nil {
		time.Sleep(unreachableTimeout)
		return nil, instance.ErrUnsent
	}
	if held == 0 {
		return i, nil
	}
	opening := min(held, unreachableTimeout)
	time.Sleep(opening)
	restarts := i.restartCount()
	time.Sleep(held - opening)
	if i.restartCount() != restarts || d.reachable(id) == nil {
		time.Sleep(unansweredTimeout - (held - opening))
		return nil, instance.ErrUnknown
	}
	return i, nil
}

func (d *daemon) Start(_ context.Context, at instance.Registration, s instance.Start) error {
	var held time.Duration
	held, s.Incarnation = d.depart(startOrder, at.ID, s.Incarnation)
	d.noteLease(at.ID, s.Lease)
	i, err := d.carry(at.ID, held)
	if err != nil {
		return err
	}
	time.Sleep(time.Millisecond)
	return i.start(s)
}

func (d *daemon) Stop(_ context.Context, at instance.Registration, s instance.Stop) error {
	var held time.Duration
	held, s.Incarnation = d.depart(stopOrder, at.ID, s.Incarnation)
	i, err := d.carry(at.ID, held)
	if err != nil {
		return err
	}
	time.Sleep(time.Millisecond)
	return i.stop(s)
}

func (d *daemon) Poll(ctx context.Context, at instance.Registration, p instance.Poll) (instance.Listing, error) {
	var held time.Duration
	held, p.Incarnation = d.depart(pollOrder, at.ID, p.Incarnation)
	d.noteLease(at.ID, p.Lease)
	i, err := d.carry(at.ID, held)
	if err != nil {
		return instance.Listing{}, err
	}
	return i.poll(ctx, p)
}

func (d *daemon) Pace(_ context.Context, at instance.Registration, p instance.Pace) error {
	_, p.Incarnation = d.depart(paceOrder, at.ID, p.Incarnation)
	i := d.reachable(at.ID)
	d.mu.Lock()
	defer d.mu.Unlock()
	if i != nil {
		i.mu.Lock()
		defer i.mu.Unlock()
		if err := i.otherIncarnation(p.Incarnation); err != nil {
			return err
		}
	}
	d.pacePercents = append(d.pacePercents, p.Percent)
	return nil
}

// otherIncarnation returns the error of an order that is meant for an incarnation, 0 for
// any, if that isn't the present one. The caller holds the mutex.
func (i *fakeInstance) otherIncarnation(incarnation int64) error {
	switch {
	case incarnation == 0 || incarnation == i.incarnation:
		return nil
	case i.incarnation == 0:
		return instance.ErrUnsent // that shows no restart
	}
	return instance.ErrRestarted
}
