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
	// sent counts the orders by kind.
	sent map[orderKind]int
}

type heldOrder struct {
	kind orderKind
	id   string
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

// depart notes an order, and returns how long it is held and the incarnation that its
// client heeds.
func (d *daemon) depart(kind orderKind, id string, incarnation int64) (time.Duration, int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.transit.sent == nil {
		d.transit.sent = map[orderKind]int{}
	}
	d.transit.sent[kind]++
	held := d.transit.held[heldOrder{kind, id}]
	delete(d.transit.held, heldOrder{kind, id})
	if d.transit.unbound {
		incarnation = 0
	}
	return held, incarnation
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
	i, err := d.carry(at.ID, held)
	if err != nil {
		return instance.Listing{}, err
	}
	return i.poll(ctx, p)
}

func (d *daemon) Pace(_ context.Context, at instance.Registration, p instance.Pace) error {
	i := d.reachable(at.ID)
	d.mu.Lock()
	defer d.mu.Unlock()
	if i != nil && !d.transit.unbound {
		i.mu.Lock()
		defer i.mu.Unlock()
		if i.restartedSince(p.Incarnation) {
			return instance.ErrRestarted
		}
	}
	d.pacePercents = append(d.pacePercents, p.Percent)
	return nil
}

// restartedSince reports whether an order for an incarnation, 0 for any, isn't for the
// present one. The caller holds the mutex.
func (i *fakeInstance) restartedSince(incarnation int64) bool {
	return incarnation != 0 && incarnation != i.incarnation
}
