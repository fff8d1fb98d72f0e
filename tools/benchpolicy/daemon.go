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

// task is what a request carries through a daemon.
type task struct {
	dispatch.Request
	run time.Duration
}

// daemon is the fake around one daemon's decisions.
type daemon struct {
	world *world
	id    record.MemberID
	near  string
	rng   *rand.Rand
	queue order
	pools map[string]*dispatch.Pool
	names []string
	in    map[string]string
	// own counts this daemon's tasks by instance.
	own map[string]int
	// heard are the peers' counts by instance, by peer; peers is their sum.
	heard  map[record.MemberID]map[string]int
	peers  map[string]int
	health map[string]*dispatch.Health
}

func newDaemon(w *world, i int) *daemon {
	return &daemon{
		world: w,
		id:    record.MemberID(fmt.Sprintf("d%03d", i)),
		near:  fmt.Sprintf("dc%d", i%w.size.centres),
		rng:   rand.New(rand.NewPCG(uint64(i), 3)),
		queue: newOrder(w),
		pools: map[string]*dispatch.Pool{}, in: map[string]string{}, own: map[string]int{},
		heard:  map[record.MemberID]map[string]int{},
		peers:  map[string]int{},
		health: map[string]*dispatch.Health{},
	}
}

// sync follows a snapshot.
func (d *daemon) sync(snap *controlstate.Snapshot) {
	sizes := map[string]int{}
	for _, inst := range snap.Fleet.All() {
		if before, ok := d.in[inst.Name]; ok && before != inst.Pool {
			d.pools[before].Remove(inst.Name)
		}
		d.in[inst.Name] = inst.Pool
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
	d.queue.setTeams(shares, d.world.size.instances*slots)
	for pool, n := range sizes {
		d.queue.setCapacity(pool, n*slots)
	}
}

func (d *daemon) poolOf(name string) *dispatch.Pool {
	p, ok := d.pools[name]
	if !ok {
		p = dispatch.NewPool(d.near)
		d.pools[name] = p
		d.health[name] = dispatch.NewHealth()
		d.names = slices.Sorted(maps.Keys(d.pools))
	}
	return p
}

func (d *daemon) admission(snap *controlstate.Snapshot, inst *fleet.Instance) dispatch.Admission {
	if inst.Phase != fleet.Serving || !snap.Centres.InService(inst.DataCentre) || d.world.workers[inst.Name].away {
		return dispatch.Closed
	}
	if d.world.policy == static {
		return dispatch.Open
	}
	return d.health[inst.Pool].Admission(inst.Name, d.world.now)
}

// hear takes in what a peer runs.
func (d *daemon) hear(from *daemon, vector []dispatch.Load, running map[string]int) {
	d.queue.setPeer(string(from.id), vector)
	old := d.heard[from.id]
	d.heard[from.id] = running
	for _, name := range slices.Sorted(maps.Keys(running)) {
		d.recount(name, running[name]-old[name])
	}
	for _, name := range slices.Sorted(maps.Keys(old)) {
		if _, ok := running[name]; !ok {
			d.recount(name, -old[name])
		}
	}
}

func (d *daemon) recount(name string, change int) {
	d.peers[name] += change
	n := d.peers[name]
	d.pools[d.in[name]].SetPeerLoad(name, n, dispatch.Cost(n)*dispatch.Slot)
}

func (d *daemon) ownRunning() map[string]int { return maps.Clone(d.own) }

// submit takes a new request.
func (d *daemon) submit(t *task) {
	w := d.world
	demand := w.arrived[t.Pool]
	demand.Requests++
	demand.Work += t.run.Seconds()
	w.arrived[t.Pool] = demand
	w.stats.arrived(t)
	if err := d.queue.push(&t.Request, w.now); err != nil {
		w.stats.refused(t)
		return
	}
	d.fill(t.Pool)
}

func (d *daemon) expire() {
	for _, r := range d.queue.expire(d.world.now) {
		d.world.stats.refused(r.Value.(*task))
	}
}

func (d *daemon) fillAll() {
	for _, pool := range d.names {
		for _, name := range d.world.failing {
			if d.in[name] == pool {
				d.pools[pool].Admit(name, d.admission(d.world.inForce, d.world.instance(name)))
			}
		}
		d.fill(pool)
	}
}

// fill starts what it can in one pool.
func (d *daemon) fill(pool string) {
	p := d.pools[pool]
	for p.Free() > 0 {
		r := d.queue.next(pool, d.mayStart)
		if r == nil {
			return
		}
		if !d.place(p, r) {
			d.queue.unpop(r)
			return
		}
	}
}

// place starts a request at an instance. An instance that has filled up
// meanwhile refuses, and the next is tried.
func (d *daemon) place(p *dispatch.Pool, r *dispatch.Request) bool {
	for {
		name, ok := p.Place(d.rng)
		if !ok {
			return false
		}
		k := d.world.workers[name]
		if k.running < slots && !k.away {
			d.start(p, name, r)
			return true
		}
		p.SetPeerLoad(name, slots-d.own[name], dispatch.Cost(slots-d.own[name])*dispatch.Slot)
	}
}

func (d *daemon) start(p *dispatch.Pool, name string, r *dispatch.Request) {
	w, t := d.world, r.Value.(*task)
	k := w.workers[name]
	d.queue.started(r)
	p.Started(name, dispatch.Slot)
	d.own[name]++
	k.running++
	w.running[r.Team]++
	w.stats.started(w, t, name)
	run := t.run
	if k.failsAll {
		run = 10 * time.Millisecond
	}
	w.after(run, func() { d.end(name, r, run, k.failsAll) })
}

func (d *daemon) end(name string, r *dispatch.Request, run time.Duration, failed bool) {
	w := d.world
	pool := d.in[name]
	d.pools[pool].Ended(name, dispatch.Slot)
	if d.own[name]--; d.own[name] == 0 {
		delete(d.own, name)
	}
	w.workers[name].running--
	w.running[r.Team]--
	if failed {
		w.stats.failed++
		run = 0
	}
	d.queue.ended(r, run)
	h := d.health[pool]
	h.Observe(dispatch.Outcome{
		Instance: name, Team: r.Team, Job: w.job(r, failed), Failed: failed,
	}, w.now)
	d.pools[pool].Admit(name, d.admission(w.inForce, w.instance(name)))
	d.fill(pool)
}

// mayStart checks a team's upper limit. The credits that split it are not
// part of these measurements, except that the static baseline splits it
// evenly.
func (d *daemon) mayStart(team string) bool {
	limit := d.world.snap.Document.Teams[team].Limit
	if d.world.policy == static {
		return d.queue.running(team) < limit/len(d.world.daemons)
	}
	return d.world.running[team] < limit
}
