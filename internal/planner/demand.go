package planner

import (
	"math"
	"time"

	"github.com/beryltide/beryltide/internal/configuration"
)

// Demand is the work that arrived for one pool, fleet-wide, since the last
// observation.
type Demand struct {
	Requests float64
	// Work is the requests' total run time, in slot-seconds.
	Work float64
}

const (
	// halfLife is the half-life of an observation's weight.
	halfLife = 10 * time.Minute
	// warmUp is how long a pool is observed before its size follows its demand
	// instead of the configuration.
	warmUp = 2 * time.Minute
	// maxModelledSize is the largest pool size that is modelled.
	maxModelledSize = 512
	// errorBudgetFraction is the part of a service's error budget that late
	// starts may use.
	errorBudgetFraction = 0.5
	// minWaitFraction is the least part of the latency objective allowed for
	// queueing, even when run times use up nearly all of it.
	minWaitFraction = 0.25
	// maxWaitObjectives is the queueing time, as a multiple of the latency
	// objective, after which the model drops work.
	maxWaitObjectives = 4
	// maxGap is the longest time that one observation accounts for.
	maxGap = 10 * time.Second
)

// demandModel replays a pool's arrivals through one fluid queue for each size
// that the pool could have, and sums the work that would have started late.
// Demand peaks therefore count by their effect, not by their height: a peak of
// a few seconds that a queue absorbs in time needs no instances.
type demandModel struct {
	// backlog and late are in slot-seconds, indexed by the number of instances.
	backlog, late               []float64
	totalWork                   float64
	requests                    float64
	firstObserved, lastObserved time.Time
	// slots is the number of slots of one instance.
	slots float64
	// latency is the service's latency objective in seconds.
	latency float64
	// budget is the part of the work that may start late, from 0 to 1.
	budget float64
}

// Observe records the demand of all pools since the previous call. Pools that
// demand doesn't name had none.
func (p *Planner) Observe(now time.Time, demand map[string]Demand) {
	for pool, m := range p.models {
		m.observe(now, demand[pool])
	}
}

func (m *demandModel) observe(now time.Time, d Demand) {
	if m.lastObserved.IsZero() {
		m.firstObserved, m.lastObserved = now, now
		return
	}
	elapsed := min(now.Sub(m.lastObserved), maxGap).Seconds()
	m.lastObserved = now
	if elapsed <= 0 {
		return
	}
	decay := math.Exp2(-elapsed / halfLife.Seconds())
	m.totalWork = m.totalWork*decay + d.Work
	m.requests = m.requests*decay + d.Requests
	wait := m.allowedWait()
	for n := 1; n < len(m.backlog); n++ {
		capacity := float64(n) * m.slots
		m.backlog[n] = max(0, m.backlog[n]+d.Work-capacity*elapsed)
		m.backlog[n] = min(m.backlog[n], maxWaitObjectives*m.latency*capacity)
		m.late[n] *= decay
		if m.backlog[n] > wait*capacity {
			m.late[n] += d.Work
		}
	}
}

// allowedWait returns how long a request may queue and still be answered within
// the latency objective, in seconds.
func (m *demandModel) allowedWait() float64 {
	meanRunTime := 0.0
	if m.requests > 0 {
		meanRunTime = m.totalWork / m.requests
	}
	return max(m.latency-meanRunTime, minWaitFraction*m.latency)
}

// need returns the smallest size whose late work stays within the budget, and
// false during the warm-up.
func (m *demandModel) need() (int, bool) {
	if m.lastObserved.Sub(m.firstObserved) < warmUp {
		return 0, false
	}
	for n := 1; n < len(m.late); n++ {
		if m.late[n] <= m.budget*m.totalWork {
			return n, true
		}
	}
	return len(m.late) - 1, true
}

// lateAt returns the late work at a size, in slot-seconds weighted by age.
func (m *demandModel) lateAt(n int) float64 {
	n = min(max(n, 1), len(m.late)-1)
	return m.late[n]
}

// configure applies a pool's and its service's configuration. slots is the mean
// number of slots of an instance.
func (m *demandModel) configure(pool configuration.Pool, service configuration.Service, slots float64) {
	sizes := min(max(pool.MaxSize, pool.Size, 1), maxModelledSize) + 1
	for len(m.backlog) < sizes {
		m.backlog = append(m.backlog, 0)
		m.late = append(m.late, 0)
	}
	m.backlog, m.late = m.backlog[:sizes], m.late[:sizes]
	m.slots = slots
	m.latency = service.LatencyObjective.D().Seconds()
	m.budget = errorBudgetFraction * (1 - service.AvailabilityObjective)
}
