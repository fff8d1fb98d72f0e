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
	"github.com/beryltide/beryltide/internal/schedule"
)

// Timing of polls and orders, and limits on an instance's orders.
const (
	// pollWait is how long a poll waits for a task to end. It also bounds how long
	// a silent connection goes unnoticed, and the age of tail latencies.
	pollWait = time.Second
	// startupPollWait is the same while a long-running task there doesn't serve yet: the
	// next move of a task of its step may have to wait for it.
	startupPollWait = 200 * time.Millisecond
	// pollRetryDelay is the delay after a poll that failed or didn't wait.
	pollRetryDelay = 200 * time.Millisecond
	// contactTimeout without an answer keeps an instance from getting new tasks.
	contactTimeout = pollWait + 700*time.Millisecond
	// orderSenders is how many goroutines send one instance's orders.
	orderSenders = 2
	// orderBuffer is large enough for the orders of several rounds.
	orderBuffer = 512
	// maxStartAttempts bounds the attempts of an unanswered start; then it is stopped.
	maxStartAttempts = 3
	startRetryDelay  = 50 * time.Millisecond
	// maxStartWait is how long a start may wait to be sent, behind orders that get no answer:
	// well within a lease.
	maxStartWait = leaseTarget / 2
	// stopResendInterval is how often a stop is repeated until the end is listed.
	stopResendInterval = 400 * time.Millisecond
)

// session is the unit's state of one instance, with the goroutines that poll it
// and send its orders. Only the unit's goroutine uses fields that aren't
// atomic, unless a comment says otherwise.
type session struct {
	unit   *Unit
	reg    instance.Registration
	listed bool
	ctx    context.Context
	cancel context.CancelFunc

	incarnation int64
	// restartedAt is when an order last showed that this incarnation has ended.
	restartedAt time.Time
	// reconciled: the instance has seen this tenure's fence and listed its runs.
	reconciled   bool
	reconciledAt time.Time
	lastContact  time.Time
	// knownSince is when this tenure first learned of the instance.
	knownSince time.Time
	// unreachable is set by a failed poll or unsent start until a poll succeeds.
	unreachable bool
	// lossRecorded: the store holds a record of the lost contact, in which recordedLeft is
	// left.
	lossRecorded bool
	recordedLeft time.Duration
	// clearingLoss: the deletion of that record is under way.
	clearingLoss bool
	// lastApplied is the number of the last end applied, lastRecorded that of the
	// last end recorded in the store.
	lastApplied, lastRecorded int64
	// runs are the recorded runs, usage what they take. addRun and removeRun change
	// both.
	runs  map[job.TaskID]*run
	usage usage
	// reservation names the step that free capacity there is kept for.
	reservation schedule.StepKey
	// strays counts the listed runs that the unit has no record of.
	strays     int
	failStreak int
	failedAt   time.Time
	// cordonRenewedAt is when a release last named the instance. Nothing starts
	// there for CordonTTL after it.
	cordonRenewedAt, cordonedSince time.Time
	// idleSince is when the last run there ended, or when the session began.
	idleSince time.Time
	// belowTargetSince is when a serving task there last was at or above
	// resumeBelow of its latency target, or a backfill task's pace was raised.
	belowTargetSince time.Time

	// polledIncarnation is the incarnation that last answered a poll, at answeredAt, and
	// lastAcknowledged the number of the last end acknowledged to it. They belong to the
	// poll goroutine.
	polledIncarnation, lastAcknowledged int64
	answeredAt                          time.Time

	target atomic.Pointer[instance.Registration]
	clock  atomic.Pointer[clockReading]
	// leaseExpiry is when the leases of all bound runs there have expired at the latest, in
	// nanoseconds of the boot clock.
	leaseExpiry atomic.Int64
	// unboundExpiry is the same for runs that aren't bound: an order by the clock of a
	// former incarnation extends their lease to the longest that an instance grants.
	unboundExpiry atomic.Int64
	// extensions counts the orders that extended the lease since the last answer to a poll.
	extensions atomic.Int64
	// outOfContact forbids extending the lease: a poll has failed, or the store
	// still holds a record of lost contact.
	outOfContact atomic.Bool
	nextPoll     chan ackCursor
	orders       chan order
}

// ackCursor is the last end that may be acknowledged to an incarnation. Each
// incarnation numbers its ends from 1.
type ackCursor struct {
	incarnation int64
	recorded    int64
	// wait is how long the poll waits for a task to end.
	wait time.Duration
}

// clockReading is an incarnation's clock, read when the boot clock showed at.
type clockReading struct {
	clock       time.Duration
	at          time.Duration
	incarnation int64
}

// run is a start recorded for an instance.
type run struct {
	number int
	need   job.Resources
	step   *job.Step
	// noValue is set for a run whose job had no value left when it was started. It isn't
	// stored: after a takeover all runs count as having value.
	noValue bool
	// resolvedAt is when it became certain that no start order for the run is
	// still under way; zero before.
	resolvedAt time.Time
	// incarnation is the one that orders for the run are meant for; 0 for any.
	incarnation int64
	// bound: its starts were sent to that incarnation alone.
	bound      bool
	stopping   bool
	stopSentAt time.Time
	// stopUnderWay: a stop waits to be sent or for its answer.
	stopUnderWay bool
	startedAt    time.Time
	percent      int
	percentAt    time.Time
	pacePercent  int
	// dispatch is what has become of its newest start.
	dispatch atomic.Int32
}

// The values of run.dispatch. A sender and the unit's goroutine race for a start that waits.
const (
	startWaits int32 = iota
	startSent
	startWithdrawn
)

// errWithdrawn means that a start wasn't sent, since its run was given up or stopped or it
// had waited for too long.
var errWithdrawn = errors.New("the start was withdrawn")

// withdraw keeps the run's start from being sent. It returns false if it has been.
func (r *run) withdraw() bool {
	return r.dispatch.CompareAndSwap(startWaits, startWithdrawn) || r.dispatch.Load() == startWithdrawn
}

// claim reports whether the run's start may be sent.
func (r *run) claim() bool { return r.dispatch.CompareAndSwap(startWaits, startSent) }

// order is a start, stop or pace request to an instance. done handles its
// result on the unit's goroutine.
type order struct {
	carriesLease bool
	// incarnation is the one whose lease it carries; 0 if the instance tells none.
	incarnation int64
	// starts is the run that it starts, since queuedAt; nil for other orders.
	starts   *run
	queuedAt time.Time
	send     func(ctx context.Context, at instance.Registration, lease time.Duration) error
	done     func(error)
}

func (u *Unit) newSession(reg instance.Registration, listed bool) *session {
	sess := &session{
		unit: u, reg: reg, listed: listed,
		nextPoll: make(chan ackCursor, 1), orders: make(chan order, orderBuffer),
	}
	sess.idleSince, sess.knownSince = time.Now(), time.Now()
	sess.ctx, sess.cancel = context.WithCancel(u.ctx)
	sess.target.Store(&reg)
	// A former owner may have extended the lease until the end of its tenure; one of an
	// earlier version by the clock of a former incarnation.
	sess.leaseExpiry.Store(int64(u.takenOverAt + ownership.Grace + u.leaseUpperBound()))
	sess.unboundExpiry.Store(int64(u.takenOverAt + ownership.Grace + maxOrderTransit + u.longestLease()))
	if loss, known := u.contactLosses[reg.ID]; known {
		sess.applyLoss(loss)
	}
	u.sessions[reg.ID] = sess
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
	if o.starts != nil && time.Since(o.queuedAt) > maxStartWait {
		o.starts.withdraw()
	}
	if o.starts != nil && o.starts.dispatch.Load() == startWithdrawn {
		s.unit.post(func() { o.done(errWithdrawn) })
		return
	}
	if reason := s.withholdReason(o); reason != "" {
		s.unit.post(func() { o.done(errors.Wrap(instance.ErrUnsent, reason)) })
		return
	}
	var lease time.Duration
	if o.carriesLease {
		var err error
		if lease, err = s.extendLease(o.incarnation); err != nil {
			s.unit.post(func() { o.done(err) })
			return
		}
	}
	// The expiry has moved by now: whoever finds the start sent sees the later one.
	if o.starts != nil && !o.starts.claim() {
		s.unit.post(func() { o.done(errWithdrawn) })
		return
	}
	err := o.send(s.ctx, *s.target.Load(), lease)
	s.unit.post(func() { o.done(err) })
}

// withholdReason returns why an order must not be sent now, or "".
func (s *session) withholdReason(o order) string {
	if o.carriesLease {
		return s.extensionForbidden()
	}
	if !s.unit.holds() {
		return "the tenure isn't confirmed"
	}
	return ""
}

// enqueue hands an order to the senders. If the queue is full, it fails unsent.
func (s *session) enqueue(o order) {
	select {
	case s.orders <- o:
	default:
		s.unit.Logger.Warn("orders.full", zap.String("instance", s.reg.ID))
		o.done(errors.Wrap(instance.ErrUnsent, "the order queue is full"))
	}
}

func (s *session) usable(now time.Time) bool {
	return s.listed && s.reconciled && s.restartedAt.IsZero() && s.entryCurrent() && !s.reg.Draining && !s.unreachable && s.strays == 0 &&
		!s.cordoned(now) && now.Sub(s.lastContact) < contactTimeout
}

// entryCurrent reports whether the registry's entry is of the incarnation that answers:
// a restarted instance may have another capacity and other labels.
func (s *session) entryCurrent() bool {
	return s.reg.Incarnation == 0 || s.incarnation == 0 || s.reg.Incarnation == s.incarnation
}

// syncSessions creates, updates and removes sessions as the registry changes.
func (u *Unit) syncSessions(now time.Time) {
	listed := u.View.Instances()
	for id, reg := range listed {
		if u.UnitOf(reg.Pool) != u.tenure.Unit {
			continue
		}
		sess := u.sessions[id]
		if sess == nil {
			u.newSession(reg, true)
			continue
		}
		u.updateSession(sess, reg)
	}
	for id, sess := range u.sessions {
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
	u.measureInstances()
}

func (u *Unit) dropSession(sess *session) {
	sess.cancel()
	delete(u.sessions, sess.reg.ID)
	if sess.lossRecorded {
		u.dropLoss(sess)
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

// pollOverdue extends the leases of instances whose next poll has been waiting
// for their ends to be recorded for longer than pollWait.
func (u *Unit) pollOverdue(now time.Time) {
	for _, sess := range u.sessions {
		if sess.lastApplied > sess.lastRecorded && now.Sub(sess.lastContact) > pollWait {
			sess.schedulePoll()
		}
	}
}
