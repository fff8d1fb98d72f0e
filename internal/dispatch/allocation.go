package dispatch

import (
	"maps"
	"math"
	"slices"
)

// levelIterations is the number of bisection steps in levelOf.
const levelIterations = 40

// allocationWeight is the weight of new loads in a daemon's allocation.
// Smoothing keeps slots from moving back and forth between daemons as waiting
// requests come and go.
const allocationWeight = 0.2

// allocationSlack is how far a daemon may exceed its allocation, in slots.
const allocationSlack = 0.5

// teamDemand is one team's demand for the slots of a pool.
type teamDemand struct {
	share float64
	// elsewhere is the team's running work in other pools, in slots.
	elsewhere float64
	// demand is the number of its running and waiting requests in this pool at
	// all daemons.
	demand float64
	// own is the part of demand at this daemon.
	own float64
}

// allocation returns the number of slots of a pool that this daemon may use,
// which is infinite unless demand exceeds the capacity. Without this bound a
// daemon would start its own work in each slot that its own work frees, and a
// team whose requests come in through few daemons would never get near its
// share.
func (q *Queue) allocation(p *poolQueue) float64 {
	if p.allocationValid {
		return p.allocation
	}
	previous := p.allocation
	p.urgentFraction = 0
	p.allocationValid = true
	p.allocation = math.Inf(1)
	if p.capacity == 0 {
		return p.allocation
	}
	demands, total, urgent := q.demands(p)
	if total <= float64(p.capacity) {
		return p.allocation
	}
	p.urgentFraction = float64(urgent) / float64(p.capacity)
	level := levelOf(demands, float64(p.capacity))
	target := 0.0
	for _, d := range demands {
		target += d.slotsAt(level) * d.own / d.demand
	}
	if math.IsInf(previous, 1) {
		previous = target
	}
	p.allocation = previous + allocationWeight*(target-previous)
	return p.allocation
}

// limit returns the number of requests that this daemon may run in a pool: its
// allocation less the fraction that waiting urgent requests need, plus its own
// waiting urgent requests and allocationSlack.
func (q *Queue) limit(p *poolQueue) float64 {
	allocation := q.allocation(p)
	return allocation*(1-min(p.urgentFraction, 1)) + float64(p.urgentWaiting) + allocationSlack
}

// demands returns the teams' demands on a pool in the order of their indices,
// their sum, and the number of urgent requests that wait at all daemons.
func (q *Queue) demands(p *poolQueue) ([]teamDemand, float64, int) {
	byTeamIndex := map[int]*teamDemand{}
	urgent := p.urgentWaiting
	for _, tq := range p.ordered {
		d := q.demandOf(byTeamIndex, tq.team)
		d.add(tq.running, tq.waiting())
		d.own = d.demand
	}
	for _, loads := range p.peers {
		for _, l := range loads {
			q.demandOf(byTeamIndex, q.teams.indexOf(l.Team)).add(l.Running, l.Waiting)
			urgent += l.UrgentWaiting
		}
	}
	var demands []teamDemand
	sum := 0.0
	for _, team := range slices.Sorted(maps.Keys(byTeamIndex)) {
		if d := byTeamIndex[team]; d.demand > 0 {
			demands = append(demands, *d)
			sum += d.demand
		}
	}
	return demands, sum, urgent
}

// demandOf returns a team's demand. A new one has the team's running work in
// all pools as elsewhere; add subtracts the part in this pool.
func (q *Queue) demandOf(byTeam map[int]*teamDemand, team int) *teamDemand {
	d, ok := byTeam[team]
	if !ok {
		all := q.teams.own[team] + q.teams.peers[team]
		d = &teamDemand{share: q.teams.shares[team], elsewhere: float64(all) / float64(Slot)}
		byTeam[team] = d
	}
	return d
}

func (d *teamDemand) add(running, waiting int) {
	d.demand += float64(running + waiting)
	d.elsewhere = max(0, d.elsewhere-float64(running))
}

// slotsAt returns the slots that the team gets at a level of running over
// share.
func (d teamDemand) slotsAt(level float64) float64 {
	return min(max(level*d.share-d.elsewhere, 0), d.demand)
}

// levelOf returns the common level of running over share at which the demands
// together use the capacity (water-filling, solved by bisection).
func levelOf(demands []teamDemand, capacity float64) float64 {
	low, high := 0.0, 0.0
	for _, d := range demands {
		high = max(high, (d.elsewhere+d.demand)/d.share)
	}
	for range levelIterations {
		middle := (low + high) / 2
		sum := 0.0
		for _, d := range demands {
			sum += d.slotsAt(middle)
		}
		if sum < capacity {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}
