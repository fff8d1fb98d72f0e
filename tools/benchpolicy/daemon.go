package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/beryltide/beryltide/internal/controlstate"
	"github.com/beryltide/beryltide/internal/dispatch"
	"github.com/beryltide/beryltide/internal/fleet"
	"github.com/beryltide/beryltide/internal/record"
)

// taskRequest is a request with the run time of its task.
type taskRequest struct {
	dispatch.Request
	runTime time.Duration
}

// daemon simulates a daemon: it passes requests and loads to package dispatch
// and carries out its decisions.
type daemon struct {
	sim            *simulation
	id             record.MemberID
	dataCentre     string
	rng            *rand.Rand
	queue          requestQueue
	pools          map[string]*dispatch.Pool
	poolNames      []string
	poolByInstance map[string]string
	// ownRunning counts the tasks that this daemon runs, by instance.
	ownRunning map[string]int
	// peerRunning holds each peer's counts of tasks by instance. peersRunning is
	// the sum over all peers.
	peerRunning  map[record.MemberID]map[string]int
	peersRunning map[string]int
	health       map[string]*dispatch.Health
}

func newDaemon(sim *simulation, i int) *daemon {
	return &daemon{
		sim:        sim,
		id:         record.MemberID(fmt.Sprintf("d%03d", i)),
		dataCentre: fmt.Sprintf("dc%d", i%sim.size.centres),
		rng:        rand.New(rand.NewPCG(uint64(i), 3)),
		queue:      newRequestQueue(sim),
		pools:      map[string]*dispatch.Pool{}, poolByInstance: map[string]string{}, ownRunning: map[string]int{},
		peerRunning:  map[record.MemberID]map[string]int{},
		peersRunning: map[string]int{},
		health:       map[string]*dispatch.Health{},
	}
}

// applySnapshot updates pools, teams and capacities from a snapshot of the
// control state.
func (d *daemon) applySnapshot(snap *controlstate.Snapshot) {
	sizes := map[string]int{}
	for _, inst := range snap.Fleet.All() {
		if previous, ok := d.poolByInstance[inst.Name]; ok && previous != inst.Pool {
			d.pools[previous].Remove(inst.Name)
		}
		d.poolByInstance[inst.Name] = inst.Pool
		if snap.Centres.InService(inst.DataCentre) && inst.Phase == fleet.Serving {
			sizes[inst.Pool]++
		}
		d.poolOf(inst.Pool).Put(dispatch.Instance{
			Name: inst.Name, DataCentre: inst.DataCentre, Rack: inst.Rack,
			Slots: inst.Slots, Connections: slots, Admission: d.admission(snap, inst),
		})
	}
	for _, pool := range slices.Sorted(maps.Keys(sizes)) {
		d.health[pool].SetSize(sizes[pool])
	}
	shares := map[string]float64{}
	for name, t := range snap.Document.Teams {
		shares[name] = t.Share
	}
	d.queue.setTeams(shares, d.sim.size.instances*slots)
	for pool, n := range sizes {
		d.queue.setCapacity(pool, n*slots)
	}
}

func (d *daemon) poolOf(name string) *dispatch.Pool {
	p, ok := d.pools[name]
	if !ok {
		p = dispatch.NewPool(d.dataCentre)
		d.pools[name] = p
		d.health[name] = dispatch.NewHealth()
		d.poolNames = slices.Sorted(maps.Keys(d.pools))
	}
	return p
}

func (d *daemon) admission(snap *controlstate.Snapshot, inst *fleet.Instance) dispatch.Admission {
	if inst.Phase != fleet.Serving || !snap.Centres.InService(inst.DataCentre) || d.sim.workers[inst.Name].down {
		return dispatch.Closed
	}
	if d.sim.policy == static {
		return dispatch.Open
	}
	return d.health[inst.Pool].Admission(inst.Name, d.sim.now)
}

// setPeerLoads replaces the loads of a peer and its numbers of running tasks by
// instance.
func (d *daemon) setPeerLoads(from *daemon, loads []dispatch.Load, running map[string]int) {
	d.queue.setPeerLoads(string(from.id), loads)
	old := d.peerRunning[from.id]
	d.peerRunning[from.id] = running
	for _, name := range slices.Sorted(maps.Keys(running)) {
		d.addPeersRunning(name, running[name]-old[name])
	}
	for _, name := range slices.Sorted(maps.Keys(old)) {
		if _, ok := running[name]; !ok {
			d.addPeersRunning(name, -old[name])
		}
	}
}

func (d *daemon) addPeersRunning(name string, change int) {
	d.peersRunning[name] += change
	n := d.peersRunning[name]
	d.pools[d.poolByInstance[name]].SetPeerLoad(name, n, dispatch.Cost(n)*dispatch.Slot)
}

func (d *daemon) runningByInstance() map[string]int { return maps.Clone(d.ownRunning) }

// submit queues a new request, or counts it as refused.
func (d *daemon) submit(t *taskRequest) {
	sim := d.sim
	demand := sim.demand[t.Pool]
	demand.Requests++
	demand.Work += t.runTime.Seconds()
	sim.demand[t.Pool] = demand
	sim.stats.recordArrival(t)
	if err := d.queue.push(&t.Request, sim.now); err != nil {
		sim.stats.recordRefusal(t)
		return
	}
	d.dispatchPool(t.Pool)
}

func (d *daemon) expire() {
	for _, r := range d.queue.expire(d.sim.now) {
		d.sim.stats.recordRefusal(r.Value.(*taskRequest))
	}
}

// dispatchAll updates the admission of the failing workers and dispatches in all
// pools.
func (d *daemon) dispatchAll() {
	for _, pool := range d.poolNames {
		for _, name := range d.sim.failing {
			if d.poolByInstance[name] == pool {
				d.pools[pool].Admit(name, d.admission(d.sim.active, d.sim.instance(name)))
			}
		}
		d.dispatchPool(pool)
	}
}

// dispatchPool starts as many waiting requests of a pool as its free slots and
// the teams' limits allow.
func (d *daemon) dispatchPool(pool string) {
	p := d.pools[pool]
	for p.Free() > 0 {
		r := d.queue.pop(pool, d.mayStart)
		if r == nil {
			return
		}
		if !d.place(p, r) {
			d.queue.requeue(r)
			return
		}
	}
}

// place starts a request on an instance and reports whether one was found. An
// instance that another daemon has filled since the last exchange of loads
// refuses the request, and the next candidate is tried.
func (d *daemon) place(p *dispatch.Pool, r *dispatch.Request) bool {
	for {
		name, ok := p.Place(d.rng)
		if !ok {
			return false
		}
		worker := d.sim.workers[name]
		if worker.running < slots && !worker.down {
			d.start(p, name, r)
			return true
		}
		p.SetPeerLoad(name, slots-d.ownRunning[name], dispatch.Cost(slots-d.ownRunning[name])*dispatch.Slot)
	}
}

func (d *daemon) start(p *dispatch.Pool, name string, r *dispatch.Request) {
	sim, t := d.sim, r.Value.(*taskRequest)
	worker := sim.workers[name]
	d.queue.started(r)
	p.Started(name, dispatch.Slot)
	d.ownRunning[name]++
	worker.running++
	sim.runningByTeam[r.Team]++
	sim.stats.recordStart(sim, t, name)
	runTime := t.runTime
	if worker.failsAll {
		runTime = 10 * time.Millisecond
	}
	sim.after(runTime, func() { d.end(name, r, runTime, worker.failsAll) })
}

func (d *daemon) end(name string, r *dispatch.Request, runTime time.Duration, failed bool) {
	sim := d.sim
	pool := d.poolByInstance[name]
	d.pools[pool].Ended(name, dispatch.Slot)
	if d.ownRunning[name]--; d.ownRunning[name] == 0 {
		delete(d.ownRunning, name)
	}
	sim.workers[name].running--
	sim.runningByTeam[r.Team]--
	if failed {
		sim.stats.failed++
		runTime = 0
	}
	d.queue.ended(r, runTime)
	h := d.health[pool]
	h.Observe(dispatch.Outcome{
		Instance: name, Team: r.Team, Job: sim.job(r, failed), Failed: failed,
	}, sim.now)
	d.pools[pool].Admit(name, d.admission(sim.active, sim.instance(name)))
	d.dispatchPool(pool)
}

// mayStart reports whether a team is below its limit. The limit applies to the
// whole fleet; its division into credits is not simulated. The static baseline
// divides it evenly among the daemons.
func (d *daemon) mayStart(team string) bool {
	limit := d.sim.latest.Document.Teams[team].Limit
	if d.sim.policy == static {
		return d.queue.running(team) < limit/len(d.sim.daemons)
	}
	return d.sim.runningByTeam[team] < limit
}
