// Package control runs the one goroutine that owns the control state.
//
// The loop folds the records that the follower reads, publishes views for
// traffic, and sends the daemon's own records: its join, its reports, and what
// controllers propose. Traffic never waits for it.
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

// Participant takes part in the member's reports. Its methods are called by
// the control goroutine and must not block.
type Participant interface {
	// Publish is given each new view, after traffic can see it.
	Publish(v *View)
	// Report adds what the participant has to say. It returns true when that
	// is worth a report of its own, before the next heartbeat. Whatever must
	// reach the log, such as a yield, is only added together with true.
	Report(now time.Time, r *record.Report) bool
}

// Controller proposes records from a view.
type Controller interface {
	// Name names the controller in logs.
	Name() string
	// Propose returns records to append. The fold ignores those that a newer
	// state has made stale.
	Propose(now time.Time, v *View) []record.Body
}

// Source has records of the member's own to append, such as its counts.
type Source interface {
	// Next returns a record to append, or nil. It is called by the control
	// goroutine and must not block; last is set before the member leaves.
	Next(now time.Time, v *View, last bool) record.Body
}

// Options are what a loop is made of.
type Options struct {
	Identity     record.Join
	Log          platform.Log
	Tick         time.Duration
	Heartbeat    time.Duration
	Participants []Participant
	Controllers  []Controller
	Sources      []Source
	// ControlEvery is the least time between two turns of the controllers.
	ControlEvery time.Duration
	// Peers is used to read records from other daemons while the log can't
	// be read.
	Peers relay.Peers
	// Neighbours returns the peer addresses of the daemons that the directory
	// lists.
	Neighbours func() []string
	Logger     *zap.Logger
}

// Bounds of what all members together put on the control stream by their
// reports, whatever their number: a reader gets each of them.
const (
	// reportsPerSecond bounds urgent reports in the long run.
	reportsPerSecond = 30
	// reportBurst is how many urgent reports one member may send at once.
	reportBurst = 10
	// heartbeatsPerSecond bounds the reports that say nothing new.
	heartbeatsPerSecond = 5
)

// Loop owns the control state. Run is for one goroutine; the other methods
// are safe for concurrent use.
type Loop struct {
	opts       Options
	state      *controlstate.State
	self       record.MemberID
	outbox     *outbox.Outbox
	stopOutbox context.CancelFunc

	view      atomic.Pointer[View]
	freshness *freshness
	recent    relay.Buffer
	// oldestKept is the lowest offset that the log keeps.
	oldestKept atomic.Int64
	// lastConfirmed is when the last record was made that was read back.
	lastConfirmed atomic.Pointer[time.Time]
	caughtUp      atomic.Bool
	leaving       atomic.Bool
	departed      chan struct{}
	wake          chan struct{}
	// submit takes the records of other goroutines, restored the states that
	// restore finds.
	submit   chan record.Body
	restored chan *controlstate.State

	// wakePending is set while a turn that Wake asked for is due.
	wakePending       bool
	reportLimiter     *rate.Limiter
	heartbeatInterval time.Duration
	lastReport        time.Time
	lastControl       time.Time
}

// New returns a loop that has folded nothing.
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

// Joined tells whether this daemon has read the log up to its head and is a
// member.
func (l *Loop) Joined() bool {
	v := l.view.Load()
	return l.caughtUp.Load() && v.Self != "" && v.Members.Get(v.Self) != nil
}

// Wake asks for a report before the next tick, as when a request waits for a
// credit.
func (l *Loop) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// LogContact returns the time at which the last read of the log was sent that
// reached its head.
func (l *Loop) LogContact() time.Time { return l.freshness.logContact() }

// Contact returns the last time as of which this daemon held all that the log
// did, as the log or a peer told it, or was in agreement with more than half
// of the members while none of them could read the log.
func (l *Loop) Contact() time.Time { return l.freshness.contact() }

// Agreed returns the last time at which this daemon was in agreement with more
// than half of the members.
func (l *Loop) Agreed() time.Time { return l.freshness.quorumContact() }

// Proven returns when this daemon made the last record that it has read back
// as a member's.
func (l *Loop) Proven() time.Time { return *l.lastConfirmed.Load() }

// Run folds and reports until ctx ends.
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

// Leave gives up this daemon's membership and all its grants, and waits until
// that is read back or ctx ends. Traffic must have ended.
func (l *Loop) Leave(ctx context.Context) error {
	l.leaving.Store(true)
	select {
	case <-l.departed:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "leave")
	}
}

// startMembership begins a new life as a member.
func (l *Loop) startMembership(ctx context.Context) {
	if l.stopOutbox != nil {
		l.stopOutbox()
	}
	l.self = record.MemberID(l.opts.Identity.Instance + "/" + uuid.NewString())
	l.outbox = outbox.New(l.opts.Log, platform.StreamControl, l.self)
	outboxCtx, stop := context.WithCancel(ctx)
	l.stopOutbox = stop
	go l.outbox.Run(outboxCtx)
	l.outbox.Submit(l.opts.Identity)
	l.lastReport = time.Now()
}

// send queues a record, once this daemon has begun to write.
func (l *Loop) send(b record.Body) {
	if l.outbox != nil {
		l.outbox.Submit(b)
	}
}

func (l *Loop) publish() {
	v := newView(l.state.Snapshot(), l.self, l.view.Load())
	l.view.Store(v)
	for _, p := range l.opts.Participants {
		p.Publish(v)
	}
}

// handleWake takes the turn that Wake asked for once the last record is read back
// and the gap between reports is over.
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

// sendDue sends what there is to say, one record at a time.
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

// adjustRates fits the rate of reports to the number of members.
func (l *Loop) adjustRates(now time.Time) {
	members := max(1, l.view.Load().Members.Len())
	l.reportLimiter.SetLimitAt(now, rate.Limit(reportsPerSecond/float64(members)))
	l.heartbeatInterval = max(l.opts.Heartbeat, time.Duration(members)*time.Second/heartbeatsPerSecond)
}

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

// sendSources appends what the sources have, and tells whether they had anything.
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

func (l *Loop) runControllers(now time.Time) {
	if now.Sub(l.lastControl) < l.opts.ControlEvery {
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
