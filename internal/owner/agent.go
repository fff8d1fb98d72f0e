package owner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/instance"
	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/ownership"
	"github.com/beryltide/beryltide/internal/pause"
)

// Bounds of what is sent to an instance.
const (
	// leaseMargin covers an instance's clock that runs 2% slow, with as much again.
	leaseMargin = 1.04
	// leaseAim covers a successor's takeover (the membership's ttl, a join, a read
	// and a look: under 3 s) twice.
	leaseAim = 6 * time.Second
	// clockSlow is by how much an instance's clock may run slow.
	clockSlow = 0.98
	// lookWait is how long a look waits for an end. It also bounds for how long a
	// silent connection goes unnoticed, and how old a serving task's tail is.
	lookWait = time.Second
	// ackFresh bounds how long ago an instance must have listed the ends that it
	// is told to forget: one that has started anew numbers its ends from 1, and
	// would forget those of other runs. It is shorter than a restart.
	ackFresh = 300 * time.Millisecond
	// lookRetry lies between looks that fail.
	lookRetry = 200 * time.Millisecond
	// contactLost is when an instance that doesn't answer gets no new tasks.
	contactLost = lookWait + 700*time.Millisecond
	// orderSenders work off one instance's orders.
	orderSenders = 2
	// orderBuffer holds the orders of several rounds.
	orderBuffer = 512
	// orderTries bounds how often a start without an answer is repeated before
	// it is stopped instead.
	orderTries = 3
	// orderRetry lies between two tries of an order.
	orderRetry = 50 * time.Millisecond
	// stopRepeat is when a stop whose end isn't listed is sent again.
	stopRepeat = 400 * time.Millisecond
)

// agent is what the unit keeps of one instance, and the goroutines that call it.
type agent struct {
	unit   *Unit
	reg    instance.Registration
	listed bool
	ctx    context.Context
	cancel context.CancelFunc

	incarnation int64
	// reconciled says that the instance has seen this tenure's fence and has
	// listed what it runs.
	reconciled   bool
	reconciledAt time.Time
	lastContact  time.Time
	// knownSince is when this tenure first knew of the instance.
	knownSince time.Time
	// unreachable since a look failed.
	failing bool
	// lossRecorded says that the store knows of the lost contact.
	lossRecorded bool
	// regaining says that the record of it is being dropped.
	regaining bool
	// seen is the last end applied, acknowledged the last one recorded.
	seen, acknowledged int64
	runs               map[job.TaskID]*run
	// strays are runs that the instance lists and the unit doesn't know.
	strays     int
	failStreak int
	failedAt   time.Time
	// cordonedAt is when a release was last asked for; none starts there then.
	cordonedAt, cordonedSince time.Time
	// idleSince is since when nothing has run there.
	idleSince time.Time
	// calmSince is since when no serving task there is near its target.
	calmSince time.Time

	// heard is the incarnation that answered the last look, at heardAt, and
	// ackSent the last end that it was told to forget. The look's goroutine has
	// them.
	heard, ackSent int64
	heardAt        time.Time

	target atomic.Pointer[instance.Registration]
	clock  atomic.Pointer[clockReading]
	// leaseBound is when everything there has surely lapsed, on the boot clock.
	leaseBound atomic.Int64
	// outOfContact says that no lease may be extended: a look has failed, and
	// what was recorded of that still stands.
	outOfContact atomic.Bool
	nextLook     chan cursor
	orders       chan order
}

// cursor is the last end that an incarnation may be told to forget. Each
// numbers its ends from 1.
type cursor struct {
	incarnation int64
	recorded    int64
}

// clockReading relates an instance's clock to the boot clock.
type clockReading struct {
	clock time.Duration
	at    time.Duration
}

// run is a recorded start at an instance.
type run struct {
	number int
	need   job.Resources
	step   *job.Step
	// resolvedAt is when an answer settled that no start is under way any more.
	resolvedAt time.Time
	stopping   bool
	stopSentAt time.Time
	startedAt  time.Time
	percent    int
	percentAt  time.Time
	paced      int
}

// order is a call to make, with what handles its result.
type order struct {
	// extends says that the order carries a lease.
	extends bool
	send    func(ctx context.Context, at instance.Registration, lease time.Duration) error
	done    func(error)
}

func (u *Unit) newAgent(reg instance.Registration, listed bool) *agent {
	a := &agent{
		unit: u, reg: reg, listed: listed, runs: map[job.TaskID]*run{},
		nextLook: make(chan cursor, 1), orders: make(chan order, orderBuffer),
	}
	a.idleSince, a.knownSince = time.Now(), time.Now()
	a.ctx, a.cancel = context.WithCancel(u.ctx)
	a.target.Store(&reg)
	// A former owner may have extended the lease for as long as it trusted its
	// tenure.
	a.leaseBound.Store(int64(u.takenOver + ownership.Grace + u.leaseLapse()))
	if loss, known := u.losses[reg.ID]; known {
		a.applyLoss(loss)
	}
	u.agents[reg.ID] = a
	if listed {
		a.start()
	}
	return a
}

func (a *agent) start() {
	a.nextLook <- cursor{}
	go a.look()
	for range orderSenders {
		go a.sendOrders()
	}
}

// leaseTerm is how long a lease runs: long enough for a successor to take over
// and extend it, short enough that a crash isn't waited out for long.
func (u *Unit) leaseTerm() time.Duration { return min(u.Bounds.MaxLease, leaseAim) }

// leaseLapse is after how long a lease granted now has surely lapsed.
func (u *Unit) leaseLapse() time.Duration {
	return time.Duration(float64(u.leaseTerm()) * leaseMargin)
}

// lease returns the instance's clock to extend leases to, or 0 while its clock
// isn't known, and notes what the extension means for a loss of contact.
func (a *agent) lease() time.Duration {
	reading := a.clock.Load()
	if reading == nil {
		return 0
	}
	now := a.unit.Clock()
	a.leaseBound.Store(int64(now + a.unit.leaseLapse()))
	elapsed := time.Duration(float64(now-reading.at) * clockSlow)
	return reading.clock + elapsed + a.unit.leaseTerm()
}

// look extends the lease and reports what the instance lists, again and again.
func (a *agent) look() {
	for {
		select {
		case <-a.ctx.Done():
			return
		case next := <-a.nextLook:
			a.lookOnce(next)
		}
	}
}

func (a *agent) lookOnce(next cursor) {
	if !a.unit.holds() {
		pause.For(a.ctx, lookRetry)
		a.offer(next)
		return
	}
	sent := time.Now()
	look := instance.Look{Fence: a.unit.tenure.Epoch}
	due := next.incarnation == a.heard && next.recorded > a.ackSent
	confirm := due && sent.Sub(a.heardAt) > ackFresh
	if due && !confirm {
		look.Acknowledged = next.recorded
	}
	if !a.outOfContact.Load() {
		// A look that may go astray must not put off the time at which what runs
		// there has surely lapsed.
		look.Lease = a.lease()
	}
	if look.Lease > 0 && !confirm {
		look.Wait = lookWait
	}
	listing, err := a.unit.Instances.Look(a.ctx, *a.target.Load(), look)
	if err != nil {
		a.outOfContact.Store(true)
		// It may have started anew meanwhile.
		a.heardAt = time.Time{}
	}
	if err == nil {
		a.noteHeard(listing.Incarnation, look.Acknowledged)
		a.clock.Store(&clockReading{clock: listing.Clock, at: a.unit.Clock()})
	}
	a.unit.post(func() { a.unit.onLook(a, listing, err, sent) })
	if err != nil {
		pause.For(a.ctx, lookRetry)
		a.offer(next)
		return
	}
	if look.Wait == 0 && !confirm {
		pause.For(a.ctx, lookRetry)
	}
}

// noteHeard remembers which incarnation has answered, and what it was told to
// forget.
func (a *agent) noteHeard(incarnation, acknowledged int64) {
	if incarnation != a.heard {
		a.heard, a.ackSent = incarnation, 0
	} else {
		a.ackSent = max(a.ackSent, acknowledged)
	}
	a.heardAt = time.Now()
}

// offerLook schedules the next look, with what is recorded now. The unit's
// goroutine calls it.
func (a *agent) offerLook() {
	a.offer(cursor{incarnation: a.incarnation, recorded: a.acknowledged})
}

func (a *agent) offer(next cursor) {
	select {
	case a.nextLook <- next:
	default:
	}
}

func (a *agent) sendOrders() {
	for {
		select {
		case <-a.ctx.Done():
			return
		case o := <-a.orders:
			a.sendOrder(o)
		}
	}
}

func (a *agent) sendOrder(o order) {
	if why := a.withheld(o); why != "" {
		a.unit.post(func() { o.done(errors.Wrap(instance.ErrUnsent, why)) })
		return
	}
	err := o.send(a.ctx, *a.target.Load(), a.lease())
	a.unit.post(func() { o.done(err) })
}

// withheld says why an order must not be sent now, if so.
func (a *agent) withheld(o order) string {
	switch {
	case !a.unit.holds():
		return "the tenure isn't confirmed"
	case o.extends && a.outOfContact.Load():
		return "the instance is out of contact"
	}
	return ""
}

// enqueue hands an order to the senders; a full queue refuses it unsent.
func (a *agent) enqueue(o order) {
	select {
	case a.orders <- o:
	default:
		a.unit.Logger.Warn("orders.full", zap.String("instance", a.reg.ID))
		o.done(errors.Wrap(instance.ErrUnsent, "too many orders wait"))
	}
}

// usable says whether tasks may be started there.
func (a *agent) usable(now time.Time) bool {
	return a.listed && a.reconciled && !a.reg.Draining && !a.failing && a.strays == 0 &&
		!a.cordoned(now) && now.Sub(a.lastContact) < contactLost
}

// used returns what recorded runs take there.
func (a *agent) used() job.Resources {
	var sum job.Resources
	for _, r := range a.runs {
		sum = sum.Add(r.need)
	}
	return sum
}

// syncAgents follows the registry.
func (u *Unit) syncAgents(now time.Time) {
	listed := u.View.Instances()
	for id, reg := range listed {
		if u.UnitOf(reg.Pool) != u.tenure.Unit {
			continue
		}
		a := u.agents[id]
		if a == nil {
			u.newAgent(reg, true)
			continue
		}
		u.updateAgent(a, reg)
	}
	for id, a := range u.agents {
		reg, is := listed[id]
		if is && u.UnitOf(reg.Pool) == u.tenure.Unit {
			continue
		}
		if a.listed {
			u.Logger.Info("instance.unlisted", zap.String("instance", id), zap.Int("runs", len(a.runs)))
		}
		a.listed = false
		if len(a.runs) == 0 && now.Sub(a.lastContact) > contactLost {
			u.dropAgent(a)
		}
	}
}

func (u *Unit) dropAgent(a *agent) {
	a.cancel()
	delete(u.agents, a.reg.ID)
	if a.lossRecorded {
		u.recordLoss(a, nil)
	}
}

func (u *Unit) updateAgent(a *agent, reg instance.Registration) {
	if reg.Draining != a.reg.Draining {
		u.Logger.Info("instance.draining", zap.String("instance", reg.ID), zap.Bool("draining", reg.Draining), zap.Int("runs", len(a.runs)))
	}
	begin := !a.listed && a.target.Load().Address == ""
	a.reg, a.listed = reg, true
	a.target.Store(&reg)
	if begin {
		a.start()
	}
}

// keepLooking extends leases while ends wait to be recorded for long.
func (u *Unit) keepLooking(now time.Time) {
	for _, a := range u.agents {
		if a.seen > a.acknowledged && now.Sub(a.lastContact) > lookWait {
			a.offerLook()
		}
	}
}

// expireAgents takes the runs of unreachable instances for ended once their
// leases have surely lapsed.
func (u *Unit) expireAgents(now time.Time) {
	for _, a := range u.agents {
		if len(a.runs) == 0 || now.Sub(a.lastContact) < contactLost || int64(u.Clock()) < a.leaseBound.Load() {
			continue
		}
		u.Logger.Warn("instance.leases_lapsed", zap.String("instance", a.reg.ID), zap.Int("runs", len(a.runs)), zap.Duration("without_contact", a.silentFor(now)))
		for id := range a.runs {
			u.endRun(a, id, job.EndLapsed, "", now)
		}
	}
}
