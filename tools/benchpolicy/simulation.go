package main

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/controlstate"
	"github.com/beryltide/beryltide/internal/dispatch"
	"github.com/beryltide/beryltide/internal/fleet"
	"github.com/beryltide/beryltide/internal/planner"
	"github.com/beryltide/beryltide/internal/record"
)

// policy selects the queues and the planner of a run.
type policy string

const (
	ours   policy = "ours"
	static policy = "static"
	greedy policy = "greedy"
)

var policies = []policy{ours, static, greedy}

const (
	exchangeInterval = 250 * time.Millisecond
	// foldDelay is the time after which a record of the log is applied by all
	// daemons.
	foldDelay    = 500 * time.Millisecond
	planInterval = 5 * time.Second
	// rebootTime is the duration of a reboot.
	rebootTime = 2 * time.Minute
	slots      = 8
)

// epoch is the virtual time at which a simulation starts.
var epoch = time.Unix(1_700_000_010, 0)

// event is a function to call at a time. seq orders events of the same time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulation is one run of a policy, as a discrete-event simulation.
type simulation struct {
	size     size
	policy   policy
	now      time.Time
	events   events
	eventSeq int
	rng      *rand.Rand
	state    *controlstate.State
	// latest is the newest snapshot; active is the one that the daemons have
	// applied, foldDelay later.
	latest     *controlstate.Snapshot
	active     *controlstate.Snapshot
	recordSeqs map[record.MemberID]uint64
	workers    map[string]*worker
	daemons    []*daemon
	planner    *planner.Planner
	stats      *stats
	// failing lists the workers that fail every task.
	failing []string
	// runningByTeam counts the running tasks of the whole fleet by team.
	runningByTeam map[string]int
	// demand is the work that arrived for each pool since the planner last
	// observed it.
	demand map[string]planner.Demand
}

// worker simulates one instance.
type worker struct {
	running int
	// failsAll makes the worker fail every task after 10 ms.
	failsAll bool
	// down is true while the worker has failed.
	down bool
	// rebootEnd is the end of the reboot in progress, zero if there is none.
	rebootEnd time.Time
}

func newSimulation(s size, p policy, seed uint64) *simulation {
	sim := &simulation{
		size: s, policy: p, now: epoch,
		rng:           rand.New(rand.NewPCG(seed, 2)),
		state:         controlstate.New(),
		recordSeqs:    map[record.MemberID]uint64{},
		workers:       map[string]*worker{},
		planner:       planner.New(),
		stats:         newStats(),
		runningByTeam: map[string]int{},
		demand:        map[string]planner.Demand{},
	}
	sim.configure(s.document(p))
	for i := range s.daemons {
		d := newDaemon(sim, i)
		sim.daemons = append(sim.daemons, d)
		sim.fold(d.id, record.Join{Instance: string(d.id), DataCentre: d.dataCentre})
	}
	sim.adoptAll()
	sim.publish()
	sim.run(foldDelay)
	sim.every(exchangeInterval, sim.exchangeLoads)
	sim.every(time.Second, sim.everySecond)
	sim.every(planInterval, sim.plan)
	return sim
}

func (sim *simulation) adoptAll() {
	pools := sim.size.poolNames(sim.policy)
	for i := range sim.size.instances {
		centre, indexInCentre := i%sim.size.centres, i/sim.size.centres
		name := fmt.Sprintf("i%04d", i)
		sim.fold(sim.daemons[0].id, record.Adopt{
			Instance: name, Pool: pools[(i+i/len(pools))%len(pools)], Slots: slots,
			DataCentre: fmt.Sprintf("dc%d", centre), Rack: fmt.Sprintf("r%d", indexInCentre/4),
			MaintainedAt: epoch.Unix(),
		})
		sim.workers[name] = &worker{}
	}
}

func (sim *simulation) at(t time.Time, do func()) {
	sim.eventSeq++
	heap.Push(&sim.events, event{at: t, seq: sim.eventSeq, do: do})
}

func (sim *simulation) after(d time.Duration, do func()) { sim.at(sim.now.Add(d), do) }

func (sim *simulation) every(d time.Duration, do func()) {
	sim.after(d, func() {
		do()
		sim.every(d, do)
	})
}

// run executes the events of the next d of virtual time.
func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.events) > 0 && !sim.events[0].at.After(end) {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.do()
	}
	sim.now = end
}

func (sim *simulation) fold(author record.MemberID, b record.Body) bool {
	sim.recordSeqs[author]++
	out, err := sim.state.Fold(sim.state.Next(), record.Envelope{Author: author, Seq: sim.recordSeqs[author], Body: b})
	if err != nil {
		panic(err)
	}
	return out.Accepted
}

func (sim *simulation) configure(doc *configuration.Document) {
	old := sim.state.Snapshot()
	delta, err := configuration.Diff(old.Document, doc).Encode()
	if err != nil {
		panic(err)
	}
	sim.fold("operator", record.Configure{Base: old.Revision, Delta: delta, Digest: doc.Digest()})
}

// setInService takes a data centre out of service or brings it back.
func (sim *simulation) setInService(name string, inService bool) {
	sim.configure(sim.state.Snapshot().Document.Apply(configuration.Delta{
		DataCentres: configuration.Changes[configuration.DataCentre]{
			Set: map[string]configuration.DataCentre{name: {InService: inService}},
		},
	}))
	sim.publish()
}

// publish makes the present state the latest one and, after foldDelay, applies
// it to all daemons.
func (sim *simulation) publish() {
	snap := sim.state.Snapshot()
	sim.latest = snap
	sim.after(foldDelay, func() {
		sim.active = snap
		for _, d := range sim.daemons {
			d.applySnapshot(snap)
		}
		sim.reportCleared(snap)
	})
}

// reportCleared folds a report of each daemon that lists the draining instances
// without running tasks.
func (sim *simulation) reportCleared(snap *controlstate.Snapshot) {
	var empty []string
	for _, name := range snap.Fleet.Draining() {
		if sim.workers[name].running == 0 {
			empty = append(empty, name)
		}
	}
	if len(empty) == 0 {
		return
	}
	for _, d := range sim.daemons {
		sim.fold(d.id, record.Report{Folded: snap.Next - 1, Cleared: empty})
	}
	sim.publish()
}

func (sim *simulation) everySecond() {
	sim.planner.Observe(sim.now, sim.demand)
	sim.demand = map[string]planner.Demand{}
	sim.stats.sample(sim)
	// An instance may only be reported as cleared after all daemons have applied
	// the state in which it drains.
	sim.reportCleared(sim.active)
}

// exchangeLoads expires waiting requests, sends the loads of every daemon to its
// peers, then dispatches on all daemons in random order.
func (sim *simulation) exchangeLoads() {
	for _, d := range sim.daemons {
		d.expire()
		loads, running := d.queue.loads(), d.runningByInstance()
		for _, to := range sim.daemons {
			if to != d {
				to.setPeerLoads(d, loads, running)
			}
		}
	}
	for _, i := range sim.rng.Perm(len(sim.daemons)) {
		sim.daemons[i].dispatchAll()
	}
}

func (sim *simulation) unhealthy() map[string]bool {
	out := map[string]bool{}
	for name, worker := range sim.workers {
		if worker.down {
			out[name] = true
		}
	}
	return out
}

func (sim *simulation) instance(name string) *fleet.Instance { return sim.latest.Fleet.Get(name) }

// job returns an identifier of the job of a request. Each request is a job of
// its own; only failed ones need an identifier.
func (sim *simulation) job(r *dispatch.Request, failed bool) string {
	if !failed {
		return ""
	}
	return fmt.Sprintf("%p", r)
}

func exponential(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(-math.Log(1-rng.Float64()) * float64(mean))
}
