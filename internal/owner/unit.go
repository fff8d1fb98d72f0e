// Package owner runs one unit: it keeps the unit's jobs and instances, decides
// starts and stops, records them in the store before it sends them, and applies
// the ends that instances list. One goroutine holds all control state of a unit;
// others make the calls and hand their results back.
package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/bootclock"
	"github.com/beryltide/beryltide/internal/catalog"
	"github.com/beryltide/beryltide/internal/fleetview"
	"github.com/beryltide/beryltide/internal/forecast"
	"github.com/beryltide/beryltide/internal/instance"
	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/ownership"
	"github.com/beryltide/beryltide/internal/pause"
	"github.com/beryltide/beryltide/internal/schedule"
	"github.com/beryltide/beryltide/internal/store"
)

// Bounds of the unit's own rhythm.
const (
	// tickInterval is how often due times, leases and the registry are looked at.
	tickInterval = 50 * time.Millisecond
	// minRoundInterval lies between two rounds of decisions, so that what arrives
	// together is recorded together.
	minRoundInterval = 8 * time.Millisecond
	// eventBuffer holds what other goroutines hand in between two rounds.
	eventBuffer = 1024
	// retryDelay lies between two tries of a call to the store.
	retryDelay = 50 * time.Millisecond
	// followWait is how long a read of the unit's records waits. It also bounds
	// for how long a silent connection goes unnoticed.
	followWait = time.Second
	// unusedInterval is how often a unit without a pool looks whether it has one.
	unusedInterval = 100 * time.Millisecond
	// finishedRetention is added to the time for which a finished job must be shown.
	finishedRetention = 60 * time.Second
)

// Bounds are the platform's, by its settings.
type Bounds struct {
	// MaxLease is the longest lease that an instance grants.
	MaxLease time.Duration
	// StatusKept is how long a finished job's state is shown.
	StatusKept time.Duration
	// StopTimeout is how long a stop takes at most.
	StopTimeout time.Duration
	// Harm is how long a serving task may be over its target for what fills.
	Harm time.Duration
	// Notice is for how long a lasting task counts as away after it was.
	Notice time.Duration
	// Move is how long a machine takes from its order into another pool until it
	// can be used there.
	Move time.Duration
	// Cancel, Drain and Evacuate are after how long nothing may start of a job
	// that was cancelled, at an instance that leaves, in a data centre taken out.
	Cancel   time.Duration
	Drain    time.Duration
	Evacuate time.Duration
}

// Deps are the ports and views of a unit.
type Deps struct {
	Log       store.Log
	Instances instance.Client
	Advisor   Advisor
	View      *fleetview.View
	// Clock also counts suspended time.
	Clock  bootclock.Clock
	Bounds Bounds
	Logger *zap.Logger
	Meter  *Meter
	// UnitOf returns the unit of a pool.
	UnitOf func(pool string) int
	// Used says whether a unit has a pool; one without has nothing to do.
	Used func(unit int) bool
	// Holds says whether the tenure may be acted on.
	Holds func(ownership.Tenure) bool
	// Sole says whether no other daemon can own the unit already. A daemon that is
	// cut off from the store holds its tenure for longer.
	Sole func(ownership.Tenure) bool
	// Forget gives the tenure up.
	Forget func(ownership.Tenure)
}

// Unit is one unit while this daemon owns it.
type Unit struct {
	Deps
	tenure ownership.Tenure
	ctx    context.Context
	cancel context.CancelFunc
	events chan func()
	done   chan struct{}

	jobs   map[string]*entry
	agents map[string]*session
	// contactLosses are the instances that the store knows to be out of contact.
	contactLosses map[string]contactLoss
	// earlyCancels holds cancellations of jobs not yet read.
	earlyCancels map[string]bool
	loaded       bool
	// mergedOffset is the offset up to which records have been merged.
	mergedOffset int64
	// caughtUpAt is when the unit was last known to be read to its end, on the boot
	// clock.
	caughtUpAt time.Duration
	// staleSource names what was too old for starts when that was last looked at.
	staleSource string
	catchUp     catchUp
	takenOverAt time.Duration

	commit  commit
	planDue bool
	// waiting is what the last round found waiting and couldn't place, by pool.
	waiting map[string][]*schedule.Candidate
	// backlog is for how long that keeps each pool busy.
	backlog     map[string]time.Duration
	lastRoundAt time.Time
	gaugesSetAt time.Time
	// advice is what is known of steps whose queue has a policy.
	advice     map[StepID]*stepAdvice
	allowances allowances
	// remainingAllowance is what teams may still start in the round that is being planned.
	remainingAllowance map[teamPool]*job.Resources
	durations          durations
	arrivals           map[string]*forecast.Arrivals
	workByQueue        map[string]*queueWork
}

// entry is a job with what the unit keeps beside it.
type entry struct {
	job *job.Job
	// recordedState is the recorded state, the only one that callers are shown.
	recordedState job.State
	// startRecorded says that a start of the job was recorded.
	startRecorded bool
	// waitLogged says that the log tells why the job waits.
	waitLogged  bool
	finishedAt  time.Time
	nextDue     time.Time
	totalWork   float64
	timed       bool
	longRunning bool
}

// New returns a unit for a tenure; Run works it.
func New(ctx context.Context, deps Deps, tenure ownership.Tenure) *Unit {
	u := &Unit{
		Deps: deps, tenure: tenure,
		events: make(chan func(), eventBuffer), done: make(chan struct{}),
		jobs: map[string]*entry{}, agents: map[string]*session{}, earlyCancels: map[string]bool{}, contactLosses: map[string]contactLoss{}, advice: map[StepID]*stepAdvice{},
		allowances: newAllowances(), durations: durations{}, arrivals: map[string]*forecast.Arrivals{}, workByQueue: map[string]*queueWork{},
	}
	u.ctx, u.cancel = context.WithCancel(ctx)
	u.commit.init()
	u.Logger = deps.Logger.With(zap.Int("unit", tenure.Unit), zap.Int64("epoch", tenure.Epoch))
	return u
}

// Tenure returns the tenure that the unit was made for.
func (u *Unit) Tenure() ownership.Tenure { return u.tenure }

// Stop ends the unit. It doesn't wait.
func (u *Unit) Stop() { u.cancel() }

// Done is closed once the unit has ended.
func (u *Unit) Done() <-chan struct{} { return u.done }

// Run takes the unit over and works it until it is stopped or lost.
func (u *Unit) Run() {
	defer close(u.done)
	defer u.cancel()
	defer u.clearGauges()
	for !u.Used(u.tenure.Unit) {
		if !pause.For(u.ctx, unusedInterval) {
			return
		}
	}
	u.takenOverAt = u.Clock()
	from, ok := u.takeOver()
	if !ok {
		return
	}
	go u.follow(from)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-u.ctx.Done():
			return
		case event := <-u.events:
			event()
			u.drainEvents()
		case <-ticker.C:
			u.onTick()
		}
		u.round()
	}
}

// drainEvents handles what has arrived meanwhile, so that one round serves it all.
func (u *Unit) drainEvents() {
	for range eventBuffer {
		select {
		case event := <-u.events:
			event()
		default:
			return
		}
	}
}

// post hands an event to the unit's goroutine.
func (u *Unit) post(event func()) {
	select {
	case u.events <- event:
	case <-u.ctx.Done():
	}
}

// holds says whether the unit may still act.
func (u *Unit) holds() bool { return u.ctx.Err() == nil && u.Holds(u.tenure) }

// lose gives the unit up after a successor has shown itself.
func (u *Unit) lose(reason string) {
	u.Logger.Warn("unit.lost", zap.String("reason", reason))
	u.Forget(u.tenure)
	u.cancel()
}

func (u *Unit) onTick() {
	now := time.Now()
	u.syncSessions(now)
	u.expireLeases(now)
	u.pollOverdue(now)
	u.evacuateDraining(now)
	u.resendStops(now)
	u.dropFinished(now)
	u.updateGauges(now)
	u.planDue = true
}

// queue returns a job's queue as configured now; a queue that was removed keeps
// bounds for the jobs that it has accepted.
func (u *Unit) queue(name string) *catalog.Queue {
	if c := u.View.Catalog(); c != nil {
		if q := c.Queues[name]; q != nil {
			return q
		}
	}
	return &catalog.Queue{Name: name, MaxFailures: defaultMaxFailures, Stretch: 1, Priority: 1}
}

// defaultMaxFailures bounds the attempts of jobs whose queue is gone.
const defaultMaxFailures = 4
