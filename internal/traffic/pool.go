package traffic

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beryltide/beryltide/internal/control"
	"github.com/beryltide/beryltide/internal/departures"
	"github.com/beryltide/beryltide/internal/dispatch"
	"github.com/beryltide/beryltide/internal/fleet"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/verdict"
)

// fullBackoff is how long an instance gets no work after it refused a task. Its
// slots are shared with other daemons, whose tasks end in the meantime.
const fullBackoff = 50 * time.Millisecond

// failedStatus is the lowest HTTP status of an answer that counts as a failure
// of the instance or of the job.
const failedStatus = 500

// pool holds the instances of one pool with their load and health.
type pool struct {
	*dispatch.Pool
	health  *dispatch.Health
	leaving *departures.Set
	// open holds for each instance whether it accepts work according to the
	// view.
	open map[string]bool
	// fullUntil is until when each full instance gets no work.
	fullUntil map[string]time.Time
}

func newPool(dataCentre string, leaving *departures.Set) *pool {
	return &pool{
		Pool:    dispatch.NewPool(dataCentre),
		health:  dispatch.NewHealth(),
		leaving: leaving,
		open:    map[string]bool{},

		fullUntil: map[string]time.Time{},
	}
}

func (p *pool) put(inst *fleet.Instance, open bool, now time.Time) {
	p.open[inst.Name] = open
	p.health.SetSize(len(p.open))
	p.Put(dispatch.Instance{
		Name:        inst.Name,
		DataCentre:  inst.DataCentre,
		Rack:        inst.Rack,
		Slots:       inst.Slots,
		Connections: maxConnections,
		Admission:   p.admission(inst.Name, now),
	})
}

func (p *pool) remove(name string) {
	delete(p.open, name)
	p.health.SetSize(len(p.open))
	p.health.Remove(name)
	p.Remove(name)
}

func (p *pool) admission(name string, now time.Time) dispatch.Admission {
	if !p.open[name] || p.leaving.Has(name, now) {
		return dispatch.Closed
	}
	return p.health.Admission(name, now)
}

// ejected returns the instances that get no work because of their health.
func (p *pool) ejected(now time.Time) []string {
	var names []string
	for name := range p.open {
		if p.health.Admission(name, now) == dispatch.Closed {
			names = append(names, name)
		}
	}
	return names
}

// updateAdmissions applies the ejections, probations and departures that began
// or ended as time passed.
func (p *pool) updateAdmissions(now time.Time) {
	for name := range p.open {
		p.Admit(name, p.admission(name, now))
	}
}

// jobName returns a name that is the same for repeated submissions of a task.
func jobName(r Request) string {
	return r.Team + "/" + r.Queue + "/" + strconv.FormatUint(xxhash.Sum64(r.Body), 16)
}

func (b *Broker) mayRun(j *job) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.pools[j.queue.Pool]
	return !ok || p.health.Runnable(j.name, time.Now())
}

// MarkLeaving closes an instance to new work after it reported that it is about
// to leave.
func (b *Broker) MarkLeaving(instance string, now time.Time) {
	b.opts.Departures.RecordAnswer(instance, true, now)
	b.updateAdmission(instance, now)
}

func (b *Broker) updateAdmission(instance string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p, ok := b.pools[b.poolByInstance[instance]]; ok {
		p.Admit(instance, p.admission(instance, now))
	}
}

// recordOutcome updates the health of the instance and the job with the result
// of an attempt.
func (b *Broker) recordOutcome(j *job, pl placement, answer platform.Answer, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch verdict.CodeOf(err) {
	case verdict.CodeCancelled, verdict.CodeDeadline:
		return
	case verdict.CodeBackendRefused:
		b.markFull(pl)
		return
	}
	now := time.Now()
	pl.pool.health.Observe(dispatch.Outcome{
		Instance: pl.instance,
		Team:     j.Team,
		Job:      j.name,
		Failed:   err != nil || answer.Status >= failedStatus,
	}, now)
	pl.pool.Admit(pl.instance, pl.pool.admission(pl.instance, now))
}

// markFull withholds work from an instance for fullBackoff, because its slots
// are taken by other daemons. The caller holds mu.
func (b *Broker) markFull(pl placement) {
	inst := b.appliedView.Fleet.Get(pl.instance)
	if inst == nil {
		return
	}
	pl.pool.SetPeerLoad(pl.instance, inst.Slots, 0)
	pl.pool.fullUntil[pl.instance] = time.Now().Add(fullBackoff)
	time.AfterFunc(fullBackoff, func() {
		b.mu.Lock()
		until, full := pl.pool.fullUntil[pl.instance]
		ended := full && !time.Now().Before(until) // else it was found full again since
		if ended {
			delete(pl.pool.fullUntil, pl.instance)
			pl.pool.SetPeerLoad(pl.instance, 0, 0)
		}
		b.mu.Unlock()
		if ended {
			b.Dispatch()
		}
	})
}

// applyView updates the queue and the pools to a view. The caller holds mu.
func (b *Broker) applyView(v *control.View) {
	old := b.appliedView
	b.appliedView = v
	reconfigured := old == nil || old.Revision != v.Revision
	if !reconfigured && old.Fleet.Generation() == v.Fleet.Generation() {
		return
	}
	slots := 0
	capacity := map[string]int{}
	now := time.Now()
	v.Fleet.Each(func(inst *fleet.Instance) {
		slots += inst.Slots
		if acceptsWork(v, inst) {
			capacity[inst.Pool] += inst.Slots
		}
		if reconfigured || old.Fleet.Get(inst.Name) != inst {
			b.putInstance(v, inst, now)
		}
	})
	for name := range b.pools {
		b.queue.SetCapacity(name, capacity[name])
	}
	for name, pool := range b.poolByInstance {
		if v.Fleet.Get(name) == nil {
			b.pools[pool].remove(name)
			delete(b.poolByInstance, name)
		}
	}
	shares := make(map[string]float64, len(v.Document.Teams))
	for name, t := range v.Document.Teams {
		shares[name] = t.Share
	}
	b.queue.SetTeams(shares, slots)
}

func (b *Broker) putInstance(v *control.View, inst *fleet.Instance, now time.Time) {
	if before, ok := b.poolByInstance[inst.Name]; ok && before != inst.Pool {
		b.pools[before].remove(inst.Name)
	}
	p, ok := b.pools[inst.Pool]
	if !ok {
		p = newPool(b.opts.DataCentre, b.opts.Departures)
		b.pools[inst.Pool] = p
	}
	b.poolByInstance[inst.Name] = inst.Pool
	p.put(inst, acceptsWork(v, inst), now)
}

// acceptsWork reports whether new work may go to an instance.
func acceptsWork(v *control.View, inst *fleet.Instance) bool {
	return inst != nil && inst.Phase == fleet.Serving && v.Centres.InService(inst.DataCentre)
}
