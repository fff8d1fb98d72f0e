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
	// leaseTarget covers a successor's takeover (the membership's ttl, a join, a read
	// and a look: under 3 s) twice.
	leaseTarget = 6 * time.Second
	// minClockRate is by how much an instance's clock may run slow.
	minClockRate = 0.98
	// pollWait is how long a look waits for an end. It also bounds for how long a
	// silent connection goes unnoticed, and how old a serving task's tail is.
	pollWait = time.Second
	// ackMaxAge bounds how long ago an instance must have listed the ends that it
	// is told to forget: one that has started anew numbers its ends from 1, and
	// would forget those of other runs. It is shorter than a restart.
	ackMaxAge = 300 * time.Millisecond
	// pollRetryDelay lies between looks that fail.
	pollRetryDelay = 200 * time.Millisecond
	// contactTimeout is when an instance that doesn't answer gets no new tasks.
	contactTimeout = pollWait + 700*time.Millisecond
	// orderSenders work off one instance's orders.
	orderSenders = 2
	// orderBuffer holds the orders of several rounds.
	orderBuffer = 512
	// maxStartTries bounds how often a start without an answer is repeated before
	// it is stopped instead.
	maxStartTries = 3
	// startRetryDelay lies between two tries of an order.
	startRetryDelay = 50 * time.Millisecond
	// stopResendInterval is when a stop whose end isn't listed is sent again.
	stopResendInterval = 400 * time.Millisecond
)

// session is what the unit keeps of one instance, and the goroutines that call it.
type session struct {
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
	unreachable bool
	// lossRecorded says that the store knows of the lost contact.
	lossRecorded bool
	// clearingLoss says that the record of it is being dropped.
	clearingLoss bool
	// lastApplied is the last end applied, lastRecorded the last one recorded.
	lastApplied, lastRecorded int64
	runs                      map[job.TaskID]*run
	// strays are runs that the instance lists and the unit doesn't know.
	strays     int
	failStreak int
	failedAt   time.Time
	// cordonRenewedAt is when a release was last asked for; none starts there then.
	cordonRenewedAt, cordonedSince time.Time
	// idleSince is since when nothing has run there.
	idleSince time.Time
	// belowTargetSince is since when no serving task there is near its target.
	belowTargetSince time.Time

	// polledIncarnation is the incarnation that answered the last look, at heardAt, and
	// lastAcknowledged the last end that it was told to forget. The look's goroutine has
	// them.
	polledIncarnation, lastAcknowledged int64
	polledAt                            time.Time

	target atomic.Pointer[instance.Registration]
	clock  atomic.Pointer[clockReading]
	// leaseExpiry is when everything there has surely lapsed, on the boot clock.
	leaseExpiry atomic.Int64
	// outOfContact says that no lease may be extended: a look has failed, and
	// what was recorded of that still stands.
	outOfContact atomic.Bool
	nextPoll     chan ackCursor
	orders       chan order
}

// ackCursor is the last end that an incarnation may be told to forget. Each
// numbers its ends from 1.
type ackCursor struct {
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
	resolvedAt  time.Time
	stopping    bool
	stopSentAt  time.Time
	startedAt   time.Time
	percent     int
	percentAt   time.Time
	pacePercent int
}

// order is a call to make, with what handles its result.
type order struct {
	// carriesLease says that the order carries a lease.
	carriesLease bool
	send         func(ctx context.Context, at instance.Registration, lease time.Duration) error
	done         func(error)
}

func (u *Unit) newSession(reg instance.Registration, listed bool) *session {
	sess := &session{
		unit: u, reg: reg, listed: listed, runs: map[job.TaskID]*run{},
		nextPoll: make(chan ackCursor, 1), orders: make(chan order, orderBuffer),
	}
	sess.idleSince, sess.knownSince = time.Now(), time.Now()
	sess.ctx, sess.cancel = context.WithCancel(u.ctx)
	sess.target.Store(&reg)
	// A former owner may have extended the lease for as long as it trusted its
	// tenure.
	sess.leaseExpiry.Store(int64(u.takenOverAt + ownership.Grace + u.leaseUpperBound()))
	if loss, known := u.contactLosses[reg.ID]; known {
		sess.applyLoss(loss)
	}
	u.agents[reg.ID] = sess
	if listed {
		sess.start()
	}
	return sess
}

func (s *session) start() {
	s.nextPoll <- ackCursor{}
	go s.pollLoop()
	for range orderSenders {
		go s.sendOrders()
	}
}

// leaseTerm is how long a lease runs: long enough for a successor to take over
// and extend it, short enough that a crash isn't waited out for long.
func (u *Unit) leaseTerm() time.Duration { return min(u.Bounds.MaxLease, leaseTarget) }

// leaseUpperBound is after how long a lease granted now has surely lapsed.
func (u *Unit) leaseUpperBound() time.Duration {
	return time.Duration(float64(u.leaseTerm()) * leaseMargin)
}

// extendLease returns the instance's clock to extend leases to, or 0 while its clock
// isn't known, and notes what the extension means for a loss of contact.
func (s *session) extendLease() time.Duration {
	reading := s.clock.Load()
	if reading == nil {
		return 0
	}
	now := s.unit.Clock()
	s.leaseExpiry.Store(int64(now + s.unit.leaseUpperBound()))
	elapsed := time.Duration(float64(now-reading.at) * minClockRate)
	return reading.clock + elapsed + s.unit.leaseTerm()
}

// pollLoop extends the lease and reports what the instance lists, again and again.
func (s *session) pollLoop() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case next := <-s.nextPoll:
			s.pollOnce(next)
		}
	}
}

func (s *session) pollOnce(next ackCursor) {
	if !s.unit.holds() {
		pause.For(s.ctx, pollRetryDelay)
		s.enqueuePoll(next)
		return
	}
	sent := time.Now()
	poll := instance.Look{Fence: s.unit.tenure.Epoch}
	ackDue := next.incarnation == s.polledIncarnation && next.recorded > s.lastAcknowledged
	confirmIncarnation := ackDue && sent.Sub(s.polledAt) > ackMaxAge
	if ackDue && !confirmIncarnation {
		poll.Acknowledged = next.recorded
	}
	if !s.outOfContact.Load() {
		// A look that may go astray must not put off the time at which what runs
		// there has surely lapsed.
		poll.Lease = s.extendLease()
	}
	if poll.Lease > 0 && !confirmIncarnation {
		poll.Wait = pollWait
	}
	listing, err := s.unit.Instances.Look(s.ctx, *s.target.Load(), poll)
	if err != nil {
		s.outOfContact.Store(true)
		// It may have started anew meanwhile.
		s.polledAt = time.Time{}
	}
	if err == nil {
		s.recordAnswer(listing.Incarnation, poll.Acknowledged)
		s.clock.Store(&clockReading{clock: listing.Clock, at: s.unit.Clock()})
	}
	s.unit.post(func() { s.unit.onPoll(s, listing, err, sent) })
	if err != nil {
		pause.For(s.ctx, pollRetryDelay)
		s.enqueuePoll(next)
		return
	}
	if poll.Wait == 0 && !confirmIncarnation {
		pause.For(s.ctx, pollRetryDelay)
	}
}

// recordAnswer remembers which incarnation has answered, and what it was told to
// forget.
func (s *session) recordAnswer(incarnation, acknowledged int64) {
	if incarnation != s.polledIncarnation {
		s.polledIncarnation, s.lastAcknowledged = incarnation, 0
	} else {
		s.lastAcknowledged = max(s.lastAcknowledged, acknowledged)
	}
	s.polledAt = time.Now()
}

// schedulePoll schedules the next look, with what is recorded now. The unit's
// goroutine calls it.
func (s *session) schedulePoll() {
	s.enqueuePoll(ackCursor{incarnation: s.incarnation, recorded: s.lastRecorded})
}

func (s *session) enqueuePoll(next ackCursor) {
	select {
	case s.nextPoll <- next:
	default:
	}
}

func (s *session) sendOrders() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case o := <-s.orders:
			s.sendOrder(o)
		}
	}
}

func (s *session) sendOrder(o order) {
	if reason := s.withholdReason(o); reason != "" {
		s.unit.post(func() { o.done(errors.Wrap(instance.ErrUnsent, reason)) })
		return
	}
	err := o.send(s.ctx, *s.target.Load(), s.extendLease())
	s.unit.post(func() { o.done(err) })
}

// withholdReason says why an order must not be sent now, if so.
func (s *session) withholdReason(o order) string {
	switch {
	case !s.unit.holds():
		return "the tenure isn't confirmed"
	case o.carriesLease && s.outOfContact.Load():
		return "the instance is out of contact"
	}
	return ""
}

// enqueue hands an order to the senders; a full queue refuses it unsent.
func (s *session) enqueue(o order) {
	select {
	case s.orders <- o:
	default:
		s.unit.Logger.Warn("orders.full", zap.String("instance", s.reg.ID))
		o.done(errors.Wrap(instance.ErrUnsent, "too many orders wait"))
	}
}

// usable says whether tasks may be started there.
func (s *session) usable(now time.Time) bool {
	return s.listed && s.reconciled && !s.reg.Draining && !s.unreachable && s.strays == 0 &&
		!s.cordoned(now) && now.Sub(s.lastContact) < contactTimeout
}

// used returns what recorded runs take there.
func (s *session) used() job.Resources {
	var sum job.Resources
	for _, r := range s.runs {
		sum = sum.Add(r.need)
	}
	return sum
}

// syncSessions follows the registry.
func (u *Unit) syncSessions(now time.Time) {
	listed := u.View.Instances()
	for id, reg := range listed {
		if u.UnitOf(reg.Pool) != u.tenure.Unit {
			continue
		}
		sess := u.agents[id]
		if sess == nil {
			u.newSession(reg, true)
			continue
		}
		u.updateSession(sess, reg)
	}
	for id, sess := range u.agents {
		reg, found := listed[id]
		if found && u.UnitOf(reg.Pool) == u.tenure.Unit {
			continue
		}
		if sess.listed {
			u.Logger.Info("instance.unlisted", zap.String("instance", id), zap.Int("runs", len(sess.runs)))
		}
		sess.listed = false
		if len(sess.runs) == 0 && now.Sub(sess.lastContact) > contactTimeout {
			u.dropSession(sess)
		}
	}
}

func (u *Unit) dropSession(sess *session) {
	sess.cancel()
	delete(u.agents, sess.reg.ID)
	if sess.lossRecorded {
		u.recordLoss(sess, nil)
	}
}

func (u *Unit) updateSession(sess *session, reg instance.Registration) {
	if reg.Draining != sess.reg.Draining {
		u.Logger.Info("instance.draining", zap.String("instance", reg.ID), zap.Bool("draining", reg.Draining), zap.Int("runs", len(sess.runs)))
	}
	firstListed := !sess.listed && sess.target.Load().Address == ""
	sess.reg, sess.listed = reg, true
	sess.target.Store(&reg)
	if firstListed {
		sess.start()
	}
}

// pollOverdue extends leases while ends wait to be recorded for long.
func (u *Unit) pollOverdue(now time.Time) {
	for _, sess := range u.agents {
		if sess.lastApplied > sess.lastRecorded && now.Sub(sess.lastContact) > pollWait {
			sess.schedulePoll()
		}
	}
}

// expireLeases takes the runs of unreachable instances for ended once their
// leases have surely lapsed.
func (u *Unit) expireLeases(now time.Time) {
	for _, sess := range u.agents {
		if len(sess.runs) == 0 || now.Sub(sess.lastContact) < contactTimeout || int64(u.Clock()) < sess.leaseExpiry.Load() {
			continue
		}
		u.Logger.Warn("instance.leases_lapsed", zap.String("instance", sess.reg.ID), zap.Int("runs", len(sess.runs)), zap.Duration("without_contact", sess.silentFor(now)))
		for id := range sess.runs {
			u.endRun(sess, id, job.EndLapsed, "", now)
		}
	}
}
