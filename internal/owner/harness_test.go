package owner

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/catalog"
	"github.com/beryltide/beryltide/internal/fleetview"
	"github.com/beryltide/beryltide/internal/instance"
	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/jobbudget"
	"github.com/beryltide/beryltide/internal/memstore"
	"github.com/beryltide/beryltide/internal/ownership"
	"github.com/beryltide/beryltide/internal/pause"
	"github.com/beryltide/beryltide/internal/queueunits"
	"github.com/beryltide/beryltide/internal/store"
)

const (
	testPool  = "proofing"
	testQueue = "previews"
	testTeam  = "vets"
	testUnit  = 1
	// otherPool and otherUnit are those of a second owner.
	otherPool = "engraving"
	otherUnit = 2
	maxLease  = 10 * time.Second

	cancelBound   = 3 * time.Second
	drainBound    = 2 * time.Second
	evacuateBound = 5 * time.Second
	// endsPerListing is how many ends a listing holds at most.
	endsPerListing = 500
	// confirmEvery is how often a daemon confirms that its view of the fleet is
	// current.
	confirmEvery = 400 * time.Millisecond
)

// cluster is a store, a few fake instances, and the owners that use them.
type cluster struct {
	t         *testing.T
	startedAt time.Time
	store     *memstore.Store
	mu        sync.Mutex
	instances map[string]*fakeInstance
	catalog   *catalog.Catalog
	limits    store.Limits
	// jobMemory makes the budget for jobs of each owner; nil is no limit.
	jobMemory func() *jobbudget.Budget
	// owners holds the newest owner of each unit.
	owners map[int]*daemon
	cancel context.CancelFunc
	ctx    context.Context
}

func newCluster(t *testing.T, instances int) *cluster {
	c := &cluster{t: t, startedAt: time.Now(), store: memstore.New(3), instances: map[string]*fakeInstance{}, owners: map[int]*daemon{}, limits: store.Limits{Record: 262_144, Append: 2_097_152}}
	c.store.Limits = c.limits
	c.ctx, c.cancel = context.WithCancel(context.Background())
	t.Cleanup(c.cancel)
	c.catalog = catalog.New(1)
	c.catalog.AddQueue(&catalog.Queue{Name: testQueue, Pool: testPool, MaxFailures: 3, Stretch: 2, TargetLatency: time.Second})
	c.catalog.Pools[testPool] = &catalog.Pool{Name: testPool}
	c.catalog.Pools[otherPool] = &catalog.Pool{Name: otherPool}
	c.catalog.AddTeam(&catalog.Team{Name: testTeam, Limit: job.Resources{CPU: 100_000}}, nil)
	for i := range instances {
		id := fmt.Sprintf("i-%d", i)
		c.instances[id] = newFakeInstance(id, c.startedAt)
	}
	return c
}

func (c *cluster) clock() time.Duration { return time.Since(c.startedAt) }

// daemon runs one owner. It implements the owner's ports to instances and
// advisor, and injects faults for this owner alone.
type daemon struct {
	cluster *cluster
	log     *memstore.Client
	unit    *Unit
	mu      sync.Mutex
	// held reports that the daemon's tenure is confirmed.
	held bool
	// storeUnreachable reports that the tenure was last confirmed some time ago.
	storeUnreachable bool
	unreachable      map[string]bool
	// view is the daemon's view of the fleet.
	view *fleetview.View
	// adviceQueries counts the instances named in requests for advice.
	adviceQueries int
	// refusedByPolicy makes the advisor allow no instance.
	refusedByPolicy bool
	pacePercents    []int
	transit         transit
	// suspension is how long the caller of the next check of the tenure is suspended once it
	// has the result.
	suspension time.Duration
}

// startOwner starts an owner of testUnit with an epoch.
func (c *cluster) startOwner(epoch int64) *daemon { return c.startOwnerOf(testUnit, epoch) }

func unitOf(pool string) int {
	if pool == otherPool {
		return otherUnit
	}
	return testUnit
}

// startOwnerOf starts an owner of a unit with an epoch.
func (c *cluster) startOwnerOf(unit int, epoch int64) *daemon {
	d := &daemon{cluster: c, log: c.store.Client(), held: true, unreachable: map[string]bool{}, view: c.view()}
	deps := Deps{
		Log: d.log, Instances: d, Advisor: d, View: d.view, Clock: c.clock,
		Bounds: Bounds{MaxLease: maxLease, StatusKept: time.Minute, Cancel: cancelBound, Drain: drainBound, Evacuate: evacuateBound},
		Limits: c.limits,
		Logger: zap.NewNop(), Meter: NewMeter(tally.NoopScope),
		Peers: d, QueueUnits: queueunits.New(d.log, c.clock), UnitOf: unitOf, InUse: func(int) bool { return true },
		Holds:  func(ownership.Tenure) bool { return d.holds() },
		Sole:   func(ownership.Tenure) bool { return d.sole() },
		GiveUp: func(ownership.Tenure) { d.setHeld(false) },
	}
	if c.jobMemory != nil {
		deps.Jobs = c.jobMemory()
	}
	d.unit = New(c.ctx, deps, ownership.Tenure{Unit: unit, Epoch: epoch})
	c.mu.Lock()
	c.owners[unit] = d
	c.mu.Unlock()
	go d.confirmView()
	go d.unit.Run()
	return d
}

// confirmView confirms the daemon's view while the store serves reads.
func (d *daemon) confirmView() {
	for d.cluster.ctx.Err() == nil {
		if _, err := d.log.Read(d.cluster.ctx, "registry", 0, 0, 0); err == nil {
			d.view.ConfirmRegistry()
			d.view.ConfirmConfiguration()
		}
		pause.For(d.cluster.ctx, confirmEvery)
	}
}

func (d *daemon) holds() bool {
	d.mu.Lock()
	held, suspension := d.held, d.suspension
	d.suspension = 0
	d.mu.Unlock()
	time.Sleep(suspension)
	return held
}

// suspendNextCheck suspends the caller of the next check of the tenure.
func (d *daemon) suspendNextCheck(suspension time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspension = suspension
}

// sole reports whether the daemon's tenure was confirmed recently.
func (d *daemon) sole() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.held && !d.storeUnreachable
}

// setStoreUnreachable makes the daemon hold its tenure without a recent
// confirmation.
func (d *daemon) setStoreUnreachable() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeUnreachable = true
}

func (d *daemon) setHeld(held bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held = held
}

func (d *daemon) setUnreachable(id string, unreachable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unreachable[id] = unreachable
}

// grant gives the test team a CPU grant with ample memory and accelerators.
func (d *daemon) grant(cpu int) {
	ctx, cancel := context.WithTimeout(d.cluster.ctx, time.Second)
	defer cancel()
	_, _, err := d.unit.Grant(ctx, GrantOrder{Pool: testPool, Lead: 1, Number: time.Now().UnixNano(), Grants: map[string]job.Resources{testTeam: {CPU: cpu, Memory: 1 << 30, GPU: 8}}})
	if err != nil {
		d.cluster.t.Fatal(err)
	}
}

func (c *cluster) view() *fleetview.View {
	v := fleetview.New(fleetview.Decoders{
		Operator: func(string, []byte) (catalog.OperatorRecord, error) {
			return catalog.OperatorRecord{Catalog: c.catalog}, nil
		},
		Registration: func(_ string, value []byte) (instance.Registration, error) {
			var r instance.Registration
			err := json.Unmarshal(value, &r)
			return r, err
		},
	}, c.clock, zap.NewNop())
	v.ResetOperator([]store.Record{{Key: "config", Value: []byte{1}}})
	v.ResetRegistry(c.registrations())
	return v
}

func (c *cluster) registrations() []store.Record {
	var records []store.Record
	for id, i := range c.instances {
		value, err := json.Marshal(instance.Registration{
			ID: id, Pool: i.pool, Address: id, Draining: i.draining, Capacity: job.Resources{CPU: 4000, Memory: 8000}, Incarnation: i.incarnation,
		})
		if err != nil {
			c.t.Fatal(err)
		}
		records = append(records, store.Record{Key: id, Value: value})
	}
	return records
}

// submit stores a job as the daemon that accepts it does.
func (c *cluster) submit(id string, steps ...job.Step) {
	c.submitTo(testPool, id, steps...)
}

// submitTo stores a job in the unit of a pool.
func (c *cluster) submitTo(pool, id string, steps ...job.Step) {
	s := &job.Submission{ID: id, Queue: testQueue, Pool: pool, Steps: steps, AcceptedAt: time.Now().UnixMilli()}
	data, err := job.EncodeSubmission(s)
	if err != nil {
		c.t.Fatal(err)
	}
	c.appendTo(unitOf(pool), SubmissionPrefix+id, data)
}

func (c *cluster) append(key string, value []byte) { c.appendTo(testUnit, key, value) }

func (c *cluster) appendTo(unit int, key string, value []byte) {
	err := c.store.Client().Append(c.ctx, ownership.Topic, unit, []store.Record{{Key: key, Value: value}}, nil)
	if err != nil {
		c.t.Fatal(err)
	}
}

func (d *daemon) state(id string) job.State {
	ctx, cancel := context.WithTimeout(d.cluster.ctx, time.Second)
	defer cancel()
	status, err := d.unit.State(ctx, id, testQueue)
	if err != nil {
		return job.State(err.Error())
	}
	return status.State
}

// The daemon's calls to instances fail where it can't reach them.

func (d *daemon) reachable(id string) *fakeInstance {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unreachable[id] {
		return nil
	}
	d.cluster.mu.Lock()
	defer d.cluster.mu.Unlock()
	return d.cluster.instances[id]
}

// remove deletes an instance permanently.
func (c *cluster) remove(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.instances, id)
}

// lastAcknowledged returns the number of the last end acknowledged to the
// instance.
func (i *fakeInstance) lastAcknowledged() int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.acknowledged
}

const (
	unreachableTimeout = 400 * time.Millisecond
	// unansweredTimeout is how long an order is waited for that gets no answer.
	unansweredTimeout = 500 * time.Millisecond
)

// Standings asks the owner of a unit, unless that unit is unreachable.
func (d *daemon) Standings(ctx context.Context, unit int, q StandingQuery) (map[string]Standing, error) {
	d.mu.Lock()
	unreachable := d.unreachable[fmt.Sprint(unit)]
	d.mu.Unlock()
	d.cluster.mu.Lock()
	owner := d.cluster.owners[unit]
	d.cluster.mu.Unlock()
	time.Sleep(time.Millisecond)
	if unreachable || owner == nil {
		return nil, ErrNotReady
	}
	return owner.unit.Standings(ctx, q)
}

// Advise allows only i-0.
func (d *daemon) Advise(_ context.Context, _ StepID, instances []string) (Advice, error) {
	time.Sleep(20 * time.Millisecond)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.adviceQueries += len(instances)
	if d.refusedByPolicy {
		return Advice{Valid: 3 * time.Second}, nil
	}
	return Advice{Tickets: map[string]string{"i-0": d.cluster.instances["i-0"].ticket()}, Valid: 3 * time.Second}, nil
}

// paceOrders returns the percentages of the pace orders so far.
func (d *daemon) paceOrders() []int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]int(nil), d.pacePercents...)
}

// fakeInstance runs tasks as the platform's documentation describes: with a
// fence, a lease and run numbers, and with ends that are listed until they are
// acknowledged.
type fakeInstance struct {
	mu            sync.Mutex
	id            string
	pool          string
	clockStart    time.Time
	incarnation   int64
	fence         int64
	leaseUntil    time.Duration
	lastEndNumber int64
	runs          map[job.TaskID]*fakeRun
	lastRun       map[job.TaskID]int
	ended         []instance.EndedTask
	// startup is the time that long-running tasks take until they serve.
	startup time.Duration
	// duration is the run time of a task, outcome how it ends.
	duration time.Duration
	outcome  job.End
	// startDelay delays starts; the caller gets no answer to them.
	startDelay time.Duration
	// invalidTickets counts the starts refused for their ticket.
	invalidTickets int
	// starts lists all starts that were carried out.
	starts   []fakeStart
	draining bool
	// load is the load with which running tasks are listed.
	load float64
	// acknowledged is the number of the last end acknowledged.
	acknowledged int64
	// done counts completed runs by task.
	done map[job.TaskID]int
	// restarts counts the calls of restart.
	restarts int
	// closesConnections: a restart is noticed at once by polls that wait for an answer.
	// Otherwise they get none.
	closesConnections bool
}

type fakeRun struct {
	run       int
	startedAt time.Time
	endsAt    time.Time
	// startup is the time that a long-running task takes until it serves; 0 for
	// other tasks.
	startup time.Duration
}

func (r *fakeRun) percent() int {
	if r.startup > 0 {
		return int(min(100*time.Since(r.startedAt)/r.startup, 100))
	}
	return int(100 * time.Since(r.startedAt) / max(r.endsAt.Sub(r.startedAt), 1))
}

type fakeStart struct {
	task job.TaskID
	run  int
	at   time.Time
}

func newFakeInstance(id string, began time.Time) *fakeInstance {
	return &fakeInstance{
		id: id, pool: testPool, clockStart: began, incarnation: began.UnixMilli(), runs: map[job.TaskID]*fakeRun{}, lastRun: map[job.TaskID]int{}, done: map[job.TaskID]int{},
		duration: 300 * time.Millisecond, outcome: job.EndDone,
	}
}

func (i *fakeInstance) clock() time.Duration { return time.Since(i.clockStart) + time.Hour }

// restart loses all runs and state and starts a new incarnation, whose clock starts anew.
func (i *fakeInstance) restart() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.restarts++
	if i.incarnation != 0 { // 0: it tells none
		i.incarnation += time.Since(i.clockStart).Milliseconds() + 1
	}
	i.clockStart, i.leaseUntil, i.fence, i.lastEndNumber = time.Now(), 0, 0, 0
	i.runs, i.lastRun, i.ended = map[job.TaskID]*fakeRun{}, map[job.TaskID]int{}, nil
}

// restartCount returns the number of restarts so far.
func (i *fakeInstance) restartCount() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.restarts
}

// advance ends the runs whose lease or duration is over.
func (i *fakeInstance) advance() {
	for id, r := range i.runs {
		switch {
		case i.clock() > i.leaseUntil:
			i.end(id, r, job.EndLapsed)
		case !time.Now().Before(r.endsAt):
			i.end(id, r, i.outcome)
		}
	}
}

func (i *fakeInstance) end(id job.TaskID, r *fakeRun, how job.End) {
	delete(i.runs, id)
	if how == job.EndDone {
		i.done[id]++
	}
	i.lastEndNumber++
	i.ended = append(i.ended, instance.EndedTask{Number: i.lastEndNumber, Task: id, Run: r.run, How: how})
}

func (i *fakeInstance) start(s instance.Start) error {
	i.mu.Lock()
	delay := i.startDelay
	i.mu.Unlock()
	if delay > 0 {
		time.AfterFunc(delay, func() { _ = i.startNow(s) })
		time.Sleep(unansweredTimeout)
		return instance.ErrUnknown
	}
	return i.startNow(s)
}

func (i *fakeInstance) startNow(s instance.Start) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.advance()
	if err := i.otherIncarnation(s.Incarnation); err != nil {
		return err
	}
	if s.Fence < i.fence {
		return instance.ErrFenced
	}
	i.fence = s.Fence
	i.leaseUntil = max(i.leaseUntil, min(s.Lease, i.clock()+maxLease))
	if r := i.runs[s.Task]; r != nil && r.run == s.Run {
		return nil
	}
	if s.Run <= i.lastRun[s.Task] {
		return instance.ErrOldRun
	}
	if s.Lease <= i.clock() {
		return instance.ErrLate
	}
	if s.Ticket != "" && s.Ticket != i.ticketNow() {
		i.invalidTickets++
		return instance.ErrTicket
	}
	i.lastRun[s.Task] = s.Run
	i.runs[s.Task] = &fakeRun{run: s.Run, startedAt: time.Now(), endsAt: time.Now().Add(i.duration), startup: i.startup}
	i.starts = append(i.starts, fakeStart{task: s.Task, run: s.Run, at: time.Now()})
	return nil
}

func (i *fakeInstance) stop(s instance.Stop) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.advance()
	if err := i.otherIncarnation(s.Incarnation); err != nil {
		return err
	}
	if s.Fence < i.fence {
		return instance.ErrFenced
	}
	i.fence = s.Fence
	i.lastRun[s.Task] = max(i.lastRun[s.Task], s.Run)
	if r := i.runs[s.Task]; r != nil && r.run == s.Run {
		i.end(s.Task, r, job.EndStopped)
	}
	return nil
}

func (i *fakeInstance) poll(ctx context.Context, p instance.Poll) (instance.Listing, error) {
	deadline := time.Now().Add(p.Wait)
	restarts := i.restartCount()
	for {
		time.Sleep(time.Millisecond)
		if i.restartCount() != restarts {
			if !i.closesConnections {
				time.Sleep(time.Until(deadline) + unansweredTimeout)
			}
			return instance.Listing{}, instance.ErrUnknown
		}
		listing, err := i.list(p)
		other := p.Incarnation != 0 && listing.Incarnation != p.Incarnation
		if err != nil || other || len(listing.Ended) > 0 || !time.Now().Before(deadline) || ctx.Err() != nil {
			return listing, err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (i *fakeInstance) list(p instance.Poll) (instance.Listing, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.advance()
	if i.otherIncarnation(p.Incarnation) != nil {
		p = instance.Poll{Fence: p.Fence}
	}
	if p.Fence < i.fence {
		return instance.Listing{}, instance.ErrFenced
	}
	i.fence = p.Fence
	i.acknowledged = max(i.acknowledged, p.Acknowledged)
	i.leaseUntil = max(i.leaseUntil, min(p.Lease, i.clock()+maxLease))
	var kept []instance.EndedTask
	for _, e := range i.ended {
		if e.Number > p.Acknowledged {
			kept = append(kept, e)
		}
	}
	i.ended = kept
	listing := instance.Listing{Clock: i.clock(), Incarnation: i.incarnation, Ended: append([]instance.EndedTask(nil), kept[:min(len(kept), endsPerListing)]...), MoreEnds: len(kept) >= endsPerListing}
	for id, r := range i.runs {
		listing.Running = append(listing.Running, instance.RunningTask{Task: id, Run: r.run, Percent: r.percent(), Load: i.load})
	}
	return listing, nil
}

// startsOf returns all starts of a job's tasks, at all instances.
func (c *cluster) startsOf(id string) []fakeStart {
	var all []fakeStart
	for _, i := range c.instances {
		i.mu.Lock()
		for _, s := range i.starts {
			if s.task.Job == id {
				all = append(all, s)
			}
		}
		i.mu.Unlock()
	}
	return all
}

// completions counts the completed runs of a job's tasks.
func (c *cluster) completions(id string) int {
	sum := 0
	for _, i := range c.instances {
		i.mu.Lock()
		for task, count := range i.done {
			if task.Job == id {
				sum += count
			}
		}
		i.mu.Unlock()
	}
	return sum
}

// occupied returns the instances that run tasks.
func (c *cluster) occupied() []string {
	var ids []string
	for id, i := range c.instances {
		i.mu.Lock()
		if len(i.runs) > 0 {
			ids = append(ids, id)
		}
		i.mu.Unlock()
	}
	return ids
}

func (c *cluster) startsAt(id string) int {
	i := c.instances[id]
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.starts)
}

func (i *fakeInstance) setLoad(load float64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.load = load
}
