// Package control runs the single goroutine that owns the control state.
//
// The loop folds the records that the follower reads, publishes immutable
// views, and appends the daemon's own records: its join, its reports and the
// controllers' proposals. Request handling reads the views and never blocks on
// the loop.
package control

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/beryltide/beryltide/internal/checkpoint"
	"github.com/beryltide/beryltide/internal/controlstate"
	"github.com/beryltide/beryltide/internal/follower"
	"github.com/beryltide/beryltide/internal/outbox"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/record"
	"github.com/beryltide/beryltide/internal/relay"
)

// Participant contributes to the member's reports. Its methods are called by
// the control goroutine and must not block.
type Participant interface {
	// Publish is called with each new view, after View returns it.
	Publish(v *View)
	// Report adds the participant's changes to r. It returns true if they should
	// be sent before the next heartbeat. If no participant returns true and no
	// heartbeat is due, r is discarded: a change that must reach the log, such as
	// a yield, is added only together with returning true.
	Report(now time.Time, r *record.Report) bool
}

// Controller proposes records from a view.
type Controller interface {
	// Name returns the controller's name in logs.
	Name() string
	// Propose returns records to append. The fold ignores those that are stale
	// by the time they are folded.
	Propose(now time.Time, v *View) []record.Body
}

// Source produces records of the member's own, such as its request counts.
type Source interface {
	// Next returns a record to append, or nil. It is called by the control
	// goroutine and must not block; last is true on the final call, before the
	// member leaves.
	Next(now time.Time, v *View, last bool) record.Body
}

// Options configure a loop.
type Options struct {
	// Identity is the join record of this daemon.
	Identity record.Join
	Log      platform.Log
	// Tick is the interval at which the loop submits what is due.
	Tick time.Duration
	// Heartbeat is the minimum interval of reports without changes. A large fleet
	// uses a longer one.
	Heartbeat    time.Duration
	Participants []Participant
	Controllers  []Controller
	Sources      []Source
	// ControlInterval is the minimum time between two runs of the controllers.
	ControlInterval time.Duration
	// Peers reads records from other daemons while the log can't be read. If it
	// is nil, peers aren't polled.
	Peers relay.Peers
	// ListedPeers returns the peer addresses of the daemons that the directory
	// lists. It is called concurrently and may be nil.
	ListedPeers func() []string
	Logger      *zap.Logger
}

// Limits on the reports that all members together append to the control stream,
// whatever their number: every member reads every report.
const (
	// reportsPerSecond is the sustained rate of urgent reports of all members.
	reportsPerSecond = 30
	// reportBurst is the number of urgent reports that one member may send in a
	// burst.
	reportBurst = 10
	// heartbeatsPerSecond is the rate of reports without changes, of all members.
	heartbeatsPerSecond = 5
)

// Loop owns the control state. Run is called by one goroutine; the other
// exported methods are safe for concurrent use. Unexported methods that change
// the state belong to Run's goroutine.
type Loop struct {
	opts       Options
	state      *controlstate.State
	self       record.MemberID
	outbox     *outbox.Outbox
	stopOutbox context.CancelFunc

	view      atomic.Pointer[View]
	freshness *freshness
	// recent holds the newest records, for peers.
	recent relay.Buffer
	// oldestKept is the lowest offset that the log retains.
	oldestKept atomic.Int64
	// lastConfirmed is when the newest accepted record of this daemon was created.
	// It is set once the record has been read back.
	lastConfirmed atomic.Pointer[time.Time]
	// caughtUp is set once the state has reached the log's head.
	caughtUp atomic.Bool
	leaving  atomic.Bool
	// departed is closed once the leave record has been read back.
	departed chan struct{}
	wake     chan struct{}
	// submit receives records from other goroutines, restored the states that
	// restore reads.
	submit   chan record.Body
	restored chan *controlstate.State

	// wakePending is set while a Wake has not been handled.
	wakePending       bool
	reportLimiter     *rate.Limiter
	heartbeatInterval time.Duration
	lastReport        time.Time
	lastControl       time.Time
}

// New returns a loop with the empty state.
func New(opts Options) *Loop {
	l := &Loop{
		opts:              opts,
		state:             controlstate.New(),
		freshness:         newFreshness(),
		departed:          make(chan struct{}),
		wake:              make(chan struct{}, 1),
		submit:            make(chan record.Body),
		restored:          make(chan *controlstate.State),
		reportLimiter:     rate.NewLimiter(reportsPerSecond, reportBurst),
		heartbeatInterval: opts.Heartbeat,
	}
	l.lastConfirmed.Store(&time.Time{})
	l.view.Store(newView(l.state.Snapshot(), "", nil))
	return l
}

// View returns the newest view.
func (l *Loop) View() *View { return l.view.Load() }

// Joined reports whether this daemon has read the log up to its head and is a
// member.
func (l *Loop) Joined() bool {
	v := l.view.Load()
	return l.caughtUp.Load() && v.Self != "" && v.Members.Get(v.Self) != nil
}

// Wake requests a report before the next tick, for example when a request is
// queued for a credit.
func (l *Loop) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// LogContact returns when the last read that reached the log's head was sent, or
// the zero time.
func (l *Loop) LogContact() time.Time { return l.freshness.logContact() }

// Contact returns the latest time at which this daemon's state held every record
// of the log, as confirmed by the log or by a peer, or QuorumContact's time if
// that is later. It is the zero time before the first contact.
func (l *Loop) Contact() time.Time { return l.freshness.contact() }

// QuorumContact returns the latest time since which more than half of the members,
// this daemon included, have answered without any of them being ahead. It is the
// zero time if that has never been so.
func (l *Loop) QuorumContact() time.Time { return l.freshness.quorumContact() }

// LastConfirmed returns when this daemon created the newest of its records that it
// has read back and that the fold accepted, or the zero time.
func (l *Loop) LastConfirmed() time.Time { return *l.lastConfirmed.Load() }

// Run folds records and sends reports until ctx ends. It always returns nil.
func (l *Loop) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.restore(ctx, 0)
	go checkpoint.NewWriter(l.opts.Log, l.checkpointProgress, l.submitter(ctx), l.opts.Logger).Run(ctx)
	rounds := l.pollPeers(ctx)
	var events <-chan follower.Event
	tick := time.NewTicker(l.opts.Tick)
	defer tick.Stop()
	for {
		select {
		case state := <-l.restored:
			l.installState(ctx, state)
			f := follower.New(l.opts.Log, platform.StreamControl)
			events = f.Events()
			go f.Run(ctx, l.state.Next())
		case ev := <-events:
			l.handleRead(ctx, ev)
			l.handleWake(time.Now())
		case round := <-rounds:
			l.handleRound(ctx, round)
		case b := <-l.submit:
			l.send(b)
		case now := <-tick.C:
			l.sendDue(now)
		case <-l.wake:
			l.wakePending = true
			l.handleWake(time.Now())
		case <-ctx.Done():
			return nil
		}
	}
}

// Leave ends this daemon's membership, which frees all its grants, and waits
// until the record of that is read back. It returns an error if ctx ends first.
// No request may be in progress.
func (l *Loop) Leave(ctx context.Context) error {
	l.leaving.Store(true)
	select {
	case <-l.departed:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "leave")
	}
}

// startMembership takes a new member ID and appends the join record, through an
// outbox of its own.
func (l *Loop) startMembership(ctx context.Context) {
	if l.stopOutbox != nil {
		l.stopOutbox()
	}
	l.self = record.MemberID(l.opts.Identity.Instance + "/" + uuid.NewString())
	l.outbox = outbox.New(l.opts.Log, platform.StreamControl, l.self, l.opts.Logger)
	outboxCtx, stop := context.WithCancel(ctx)
	l.stopOutbox = stop
	go l.outbox.Run(outboxCtx)
	l.outbox.Submit(l.opts.Identity)
	l.lastReport = time.Now()
}

// send queues a record. It drops the record if this daemon has no outbox yet.
func (l *Loop) send(b record.Body) {
	if l.outbox != nil {
		l.outbox.Submit(b)
	}
}

// publish replaces the current view and passes it to the participants.
func (l *Loop) publish() {
	v := newView(l.state.Snapshot(), l.self, l.view.Load())
	l.view.Store(v)
	for _, p := range l.opts.Participants {
		p.Publish(v)
	}
}

// handleWake calls sendDue for a pending Wake once all records are read back and
// the report limiter permits. Otherwise the wake stays pending.
func (l *Loop) handleWake(now time.Time) {
	if !l.wakePending || l.outbox == nil || l.outbox.Pending() > 0 {
		return
	}
	if l.reportLimiter.TokensAt(now) < 1 {
		time.AfterFunc(l.opts.Tick, l.Wake)
		return
	}
	l.wakePending = false
	l.sendDue(now)
}

// sendDue submits what is due: a leave, a report, the sources' records or the
// controllers' proposals, in this order. It does nothing while a record has not
// been read back.
func (l *Loop) sendDue(now time.Time) {
	if !l.Joined() || l.outbox == nil || l.outbox.Pending() > 0 {
		return
	}
	if l.leaving.Load() {
		l.sendSources(now, true)
		l.outbox.Submit(record.Leave{})
		return
	}
	if l.sendReport(now) || l.sendSources(now, false) {
		return
	}
	l.runControllers(now)
}

// adjustRates divides the rates of reports and heartbeats by the number of
// members.
func (l *Loop) adjustRates(now time.Time) {
	members := max(1, l.view.Load().Members.Len())
	l.reportLimiter.SetLimitAt(now, rate.Limit(reportsPerSecond/float64(members)))
	l.heartbeatInterval = max(l.opts.Heartbeat, time.Duration(members)*time.Second/heartbeatsPerSecond)
}

// sendReport submits a report if a participant has an urgent change or the
// heartbeat is due, and reports whether it did.
func (l *Loop) sendReport(now time.Time) bool {
	due := now.Sub(l.lastReport) >= l.heartbeatInterval
	if !due && l.reportLimiter.TokensAt(now) < 1 {
		return false
	}
	r := record.Report{Folded: l.state.Next() - 1}
	urgent := false
	for _, p := range l.opts.Participants {
		if p.Report(now, &r) {
			urgent = true
		}
	}
	if !urgent && !due {
		return false
	}
	l.reportLimiter.AllowN(now, 1)
	l.lastReport = now
	l.outbox.Submit(r)
	return true
}

// sendSources submits the records of the sources and reports whether there were
// any.
func (l *Loop) sendSources(now time.Time, last bool) bool {
	sent := false
	for _, s := range l.opts.Sources {
		if b := s.Next(now, l.view.Load(), last); b != nil {
			l.outbox.Submit(b)
			sent = true
		}
	}
	return sent
}

// runControllers submits the controllers' proposals if this member holds the current
// slot.
func (l *Loop) runControllers(now time.Time) {
	if now.Sub(l.lastControl) < l.opts.ControlInterval {
		return
	}
	l.lastControl = now
	v := l.view.Load()
	if !holdsSlot(v.Members.IDs(), l.self, now, controlSlot) {
		return
	}
	for _, c := range l.opts.Controllers {
		for _, b := range c.Propose(now, v) {
			l.opts.Logger.Info("control.propose",
				zap.String("controller", c.Name()),
				zap.String("kind", string(b.Kind())),
				zap.String("record", fmt.Sprintf("%+v", b)))
			l.outbox.Submit(b)
		}
	}
}
