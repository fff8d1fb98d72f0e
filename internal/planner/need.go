package planner

import "time"

// lowerInterval is how long a pool's need must stay below its floor before the
// floor drops by one instance, and the time between two such drops.
const lowerInterval = 5 * time.Minute

// needState is a pool's need and its floor, which rises at once and falls
// slowly.
type needState struct {
	// current is the number of instances that demand needs now; the pool gives
	// up none below floor.
	current, floor int
	// floorConfirmed is when the floor last fell, or was last needed.
	floorConfirmed time.Time
}

// updateNeeds updates the needs of all pools, and drops the state of pools that
// the configuration no longer has.
func (p *Planner) updateNeeds(fs *fleetSummary, now time.Time) {
	for name, ps := range fs.pools {
		if !ps.configured || ps.config.Spare {
			continue
		}
		m := p.modelOf(name)
		m.configure(ps.config, fs.serviceOf(ps), ps.meanSlots())
		p.needOf(name).update(fs.requiredSize(ps, m), now)
	}
	for name := range p.models {
		if ps, ok := fs.pools[name]; !ok || !ps.configured {
			delete(p.models, name)
			delete(p.needs, name)
		}
	}
}

// requiredSize is the number of instances that must be left after the loss of
// one failure domain. During the warm-up, the configured size is taken to be
// enough.
func (fs *fleetSummary) requiredSize(ps *poolSummary, m *demandModel) int {
	n, ok := m.need()
	if !ok {
		return max(0, ps.config.Size-fs.toleratedLoss(ps))
	}
	return n
}

// toleratedLoss is the number of members in the largest failure domain that the
// pool must be able to lose: a data centre or a rack. While one data centre is
// out of service, the loss of a second is not provided for.
func (fs *fleetSummary) toleratedLoss(ps *poolSummary) int {
	if fs.serviceOf(ps).SurviveDataCentre && len(fs.outOfService) == 0 {
		return largest(ps.byDataCentre)
	}
	return largest(ps.byRack)
}

// sizeAfterLoss is a pool's size after the loss of that failure domain.
func (fs *fleetSummary) sizeAfterLoss(ps *poolSummary) int { return ps.size() - fs.toleratedLoss(ps) }

func (ns *needState) update(need int, now time.Time) {
	ns.current = need
	if need >= ns.floor {
		ns.floor, ns.floorConfirmed = need, now
		return
	}
	if now.Sub(ns.floorConfirmed) >= lowerInterval {
		ns.floor--
		ns.floorConfirmed = now
	}
}

func (ps *poolSummary) meanSlots() float64 {
	if ps.instances == 0 {
		return 1
	}
	return float64(ps.slots) / float64(ps.instances)
}

func (p *Planner) modelOf(pool string) *demandModel {
	m, ok := p.models[pool]
	if !ok {
		m = &demandModel{}
		p.models[pool] = m
	}
	return m
}

func (p *Planner) needOf(pool string) *needState {
	ns, ok := p.needs[pool]
	if !ok {
		ns = &needState{}
		p.needs[pool] = ns
	}
	return ns
}
