// Package owner runs one unit: it keeps the unit's jobs and instances, decides
// starts and stops, records them in the store before it sends them to
// instances, and applies the ends that instances list. One goroutine holds all
// control state of a unit; other goroutines make the calls and post their
// results back to it. The package depends on the store's log, the port to
// instances, the view of the fleet and the scheduler.
package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/bootclock"
	"github.com/beryltide/beryltide/internal/catalog"
	"github.com/beryltide/beryltide/internal/fairshare"
	"github.com/beryltide/beryltide/internal/fleetview"
	"github.com/beryltide/beryltide/internal/instance"
	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/jobbudget"
	"github.com/beryltide/beryltide/internal/ownership"
	"github.com/beryltide/beryltide/internal/pause"
	"github.com/beryltide/beryltide/internal/queueunits"
	"github.com/beryltide/beryltide/internal/schedule"
	"github.com/beryltide/beryltide/internal/store"
)

// Timing of the unit's loop, and its buffer.
const (
	// tickInterval is how often due times, leases and the registry are checked.
	tickInterval = 50 * time.Millisecond
	// minRoundInterval is the shortest time between two scheduling rounds, so that
	// changes that arrive together are recorded together.
	minRoundInterval = 8 * time.Millisecond
	// maxRoundInterval bounds the time between two rounds if rounds take long.
	maxRoundInterval = 50 * time.Millisecond
	// inverseRoundShare is the inverse of the share of time that rounds may take.
	inverseRoundShare = 6
	// eventBuffer is large enough for the events posted between two rounds.
	eventBuffer = 1024
	// retryDelay is the delay between two tries of a call to the store.
	retryDelay = 50 * time.Millisecond
	// followWait is how long a read of the unit's records waits for new ones. It
	// also bounds how long a silent connection goes unnoticed.
	followWait = time.Second
	// poolCheckInterval is how often an idle unit calls InUse.
	poolCheckInterval = 100 * time.Millisecond
	// finishedRetention is added to the time for which a finished job's state must
	// be shown.
	finishedRetention = 60 * time.Second
)

// Bounds are the platform's limits and times, from its settings.
type Bounds struct {
	// MaxLease is the longest lease that an instance grants.
	MaxLease time.Duration
	// StatusKept is how long a finished job's state is shown.
	StatusKept time.Duration
	// StopTimeout is the longest time that a stop takes.
	StopTimeout time.Duration
	// Move is the time from the order to move a machine to another pool until it
	// can be used there.
	Move time.Duration
	// Cancel, Drain and Evacuate are the times after which nothing may start of a
	// cancelled job, at a draining instance, and in a data centre taken out of
	// service.
	Cancel   time.Duration
	Drain    time.Duration
	Evacuate time.Duration
}

// Deps are the ports and views that a unit uses.
type Deps struct {
	Log       store.Log
	Instances instance.Client
	Advisor   Advisor
	Peers     Peers
	// QueueUnits holds the units that have taken jobs of each queue.
	QueueUnits *queueunits.Map
	View       *fleetview.View
	// Clock is a monotonic clock that also counts suspended time.
	Clock  bootclock.Clock
	Bounds Bounds
	// Limits are those of the store on the unit's records.
	Limits store.Limits
	// Jobs is the daemon's memory for the jobs that its units keep; nil is no limit.
	Jobs   *jobbudget.Budget
	Logger *zap.Logger
	Meter  *Meter
	// UnitOf returns the unit of a pool.
	UnitOf func(pool string) int
	// InUse reports whether a pool, or the management of the fleet's machines, is
	// assigned to a unit; other units are idle.
	InUse func(unit int) bool
	// Holds reports whether the daemon may still act under the tenure.
	Holds func(ownership.Tenure) bool
	// Sole reports that no other daemon can own the unit yet. It is stricter than
	// Holds: a daemon that can't reach the store holds its tenure for longer.
	Sole func(ownership.Tenure) bool
	// GiveUp gives the tenure up.
	GiveUp func(ownership.Tenure)
}

// Unit is one unit while this daemon owns it. Its fields belong to the
// goroutine of Run unless a comment says otherwise; exported methods are safe
// for concurrent use.
type Unit struct {
	Deps
	tenure ownership.Tenure
	ctx    context.Context
	cancel context.CancelFunc
	events chan func()
	done   chan struct{}

	jobs map[string]*entry
	// memory is the memory that the unit's jobs count for.
	memory int64
	// active holds the jobs whose tasks may still start, so that a round's time
	// doesn't grow with the finished jobs that are kept for their state. Jobs that
	// end are removed by the next round.
	active   map[string]*entry
	sessions map[string]*session
	// lossesDue: a tick has passed since the time left at instances out of contact was
	// measured.
	lossesDue bool
	// contactLosses are the instances that the store records as out of contact.
	contactLosses map[string]contactLoss
	// earlyCancels holds the IDs of jobs whose cancellation was read before their
	// submission.
	earlyCancels map[string]bool
	// succeedsUnbound: a former owner has started runs without binding them, as one of an
	// earlier version does.
	succeedsUnbound bool
	// unreadable holds the IDs of accepted jobs of which a record can't be read, and
	// whether tasks of them may have run.
	unreadable map[string]bool
	// checkingQueues holds the routes of queues whose other units are being asked.
	checkingQueues map[string]bool
	loaded         bool
	// mergedOffset is the offset up to which records have been merged.
	mergedOffset int64
	// caughtUpAt is when the unit was last known to be read to its end, on the
	// boot clock.
	caughtUpAt time.Duration
	// staleSource names the data that was too old for starts at the last check; ""
	// if none.
	staleSource string
	catchUp     catchUp
	takenOverAt time.Duration
	// recordsReadAt is when the unit's records had been read, on the boot clock.
	recordsReadAt time.Duration

	commit  commit
	planDue bool
	// waiting holds, by pool, the tasks that the last round couldn't place.
	waiting map[string][]*schedule.Candidate
	// backlog is how long the waiting work keeps each pool busy.
	backlog     map[string]time.Duration
	lastRoundAt time.Time
	// roundTook is how long the last round's decisions took.
	roundTook   time.Duration
	gaugesSetAt time.Time
	// advice holds the advice for steps whose queue has a policy.
	advice     map[StepID]*stepAdvice
	allowances allowances
	// roundTeams holds the teams with waiting tasks in the round being planned, divisions
	// the division of each pool with a long backlog.
	roundTeams map[teamPool]roundTeam
	divisions  map[string]*fairshare.Division
	// heldBack holds what is to be logged of teams whose share held starts back.
	heldBack map[teamPool]heldBack
	// waitingReported holds the teams whose waiting tasks the gauges show.
	waitingReported map[teamPool]bool
	// maintenanceDue holds, by pool, the instances that the leader's last order named.
	maintenanceDue map[string]map[string]bool
	// meanInstance is the mean capacity of each pool's listed instances.
	meanInstance map[string]job.Resources
	durations    durations
	arrivals     map[string]*arrivals
	workByQueue  map[string]*queueWork
	// supplies is what the leader last knew of the machines for each pool.
	supplies map[string]knownSupply
	outlooks outlooks
}

// entry is a job with the unit's own data about it.
type entry struct {
	job *job.Job
	// unadmitted jobs may be held by another unit and don't start yet.
	unadmitted bool
	// cancelRequested is set if such a job was cancelled meanwhile.
	cancelRequested bool
	// recordedState is the state in the store, the only one that callers see.
	recordedState job.State
	// startRecorded reports that a start of the job was recorded.
	startRecorded bool
	// waitLoggedAt is when the reason why the job waits was last logged.
	waitLoggedAt time.Time
	// longRunningLogged is when a wait of its long-running tasks was last logged.
	longRunningLogged time.Time
	// putBehind is the reason last logged for which the job starts after others.
	putBehind  string
	finishedAt time.Time
	// memory is what the job counts for in the budget for jobs.
	memory int64
	// nextDue is when the job's next occurrence is due.
	nextDue time.Time
	// totalWork is the estimated work of one occurrence, in core-seconds.
	totalWork float64
	// timed jobs have due times.
	timed bool
	// longRunning jobs have a long-running step.
	longRunning bool
}

// New returns a unit for a tenure. Run must be called to operate it.
func New(ctx context.Context, deps Deps, tenure ownership.Tenure) *Unit {
	u := &Unit{
		Deps: deps, tenure: tenure,
		events: make(chan func(), eventBuffer), done: make(chan struct{}),
		jobs: map[string]*entry{}, active: map[string]*entry{}, sessions: map[string]*session{}, earlyCancels: map[string]bool{}, unreadable: map[string]bool{}, checkingQueues: map[string]bool{}, contactLosses: map[string]contactLoss{}, advice: map[StepID]*stepAdvice{},
		allowances: newAllowances(), durations: durations{}, arrivals: map[string]*arrivals{}, workByQueue: map[string]*queueWork{},
		maintenanceDue: map[string]map[string]bool{}, heldBack: map[teamPool]heldBack{}, waitingReported: map[teamPool]bool{}, supplies: map[string]knownSupply{},
	}
	u.ctx, u.cancel = context.WithCancel(ctx)
	u.commit.init()
	u.Logger = deps.Logger.With(zap.Int("unit", tenure.Unit), zap.Int64("epoch", tenure.Epoch))
	return u
}

// Tenure returns the tenure that the unit was created for.
func (u *Unit) Tenure() ownership.Tenure { return u.tenure }

// Stop ends the unit. It doesn't wait for the end.
func (u *Unit) Stop() { u.cancel() }

// Done is closed once the unit has ended.
func (u *Unit) Done() <-chan struct{} { return u.done }

// Run takes the unit over and operates it until it is stopped or lost.
func (u *Unit) Run() {
	defer close(u.done)
	defer u.cancel()
	defer u.clearGauges()
	defer u.dropAll()
	for !u.InUse(u.tenure.Unit) {
		if !pause.For(u.ctx, poolCheckInterval) {
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

// drainEvents handles the events that are already queued, so that one round
// serves them all.
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

// post hands an event to the unit's goroutine. It drops the event once the unit
// has ended.
func (u *Unit) post(event func()) {
	select {
	case u.events <- event:
	case <-u.ctx.Done():
	}
}

// holds reports whether the unit may still act.
func (u *Unit) holds() bool { return u.ctx.Err() == nil && u.Holds(u.tenure) }

// lose gives the unit up when there is evidence of a newer owner.
func (u *Unit) lose(reason string) {
	u.Logger.Warn("unit.lost", zap.String("reason", reason))
	u.GiveUp(u.tenure)
	u.cancel()
}

func (u *Unit) onTick() {
	now := time.Now()
	u.syncSessions(now)
	u.expireLeases(now)
	u.lossesDue = true
	u.pollOverdue(now)
	u.evacuateDraining(now)
	u.resendStops(now)
	u.dropFinished(now)
	u.updateGauges(now)
	u.planDue = true
}

// maxFailures returns the number of failed runs of a task at which a job fails, as it
// was when the job was accepted; 0 if there is none.
func (u *Unit) maxFailures(s *job.Submission) int {
	switch {
	case s.MaxFailures > 0:
		return s.MaxFailures
	case s.MaxFailures == job.NoMaxFailures:
		return 0
	}
	return u.queue(s.Queue).MaxFailures
}

// advised reports whether a job's tasks start only with a ticket: as configured, or as
// it was when the job was accepted if its queue was removed.
func (u *Unit) advised(s *job.Submission) bool {
	if c := u.View.Catalog(); c != nil {
		if q := c.Queues[s.Queue]; q != nil {
			return q.Advised
		}
	}
	return s.Advised
}

// queue returns a job's queue as configured now. For a removed queue it returns
// defaults, for the jobs that it has accepted.
func (u *Unit) queue(name string) *catalog.Queue {
	if c := u.View.Catalog(); c != nil {
		if q := c.Queues[name]; q != nil {
			return q
		}
	}
	return &catalog.Queue{Name: name, MaxFailures: defaultMaxFailures, Stretch: 1, Priority: 1}
}

// defaultMaxFailures bounds the attempts of jobs whose queue was removed and that an
// earlier version stored.
const defaultMaxFailures = 4
