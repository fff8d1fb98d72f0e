package planner

import (
	"math"
	"time"

	"github.com/beryltide/beryltide/internal/configuration"
)

// Demand is the work that arrived for one pool since the last observation,
// fleet-wide.
type Demand struct {
	Requests float64
	// Work is in slot-seconds.
	Work float64
}

const (
	// halfLife is the time after which an observation counts half.
	halfLife = 10 * time.Minute
	// warmUp is the time to observe before a pool's configured size gives
	// way to what its demand needs.
	warmUp = 2 * time.Minute
	// maxModelledSize bounds the sizes that are weighed for one pool.
	maxModelledSize = 512
	// errorBudgetFraction is the part of a service's error budget that a pool's
	// size may spend on late starts.
	errorBudgetFraction = 0.5
	// minWaitFraction is the least part of the latency objective left for waiting,
	// when run times alone nearly use it up.
	minWaitFraction = 0.25
	// maxWaitObjectives is when work that waits is given up, in latency objectives.
	maxWaitObjectives = 4
	// maxGap bounds the time that one observation stands for.
	maxGap = 10 * time.Second
)

// demandModel replays a pool's arrivals through one fluid queue for each size that
// the pool could have, and sums the work that would have started late. The
// swings of demand so count by what they do, not by their height: a peak of a
// few seconds that a queue absorbs in time needs no instances.
type demandModel struct {
	// backlog and late are in slot-seconds, by the number of instances.
	backlog, late               []float64
	totalWork                   float64
	requests                    float64
	firstObserved, lastObserved time.Time
	// slots is the number of slots of one instance.
	slots float64
	// latency is the service's latency objective in seconds.
	latency float64
	// budget is the part of the work that may start late.
	budget float64
}

// Observe takes in the demand of all pools up to now.
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

// allowedWait is how long a request may allowedWait and still be answered in time, in
// seconds.
func (m *demandModel) allowedWait() float64 {
	meanRunTime := 0.0
	if m.requests > 0 {
		meanRunTime = m.totalWork / m.requests
	}
	return max(m.latency-meanRunTime, minWaitFraction*m.latency)
}

// need returns the least size whose late work stays within the budget, and
// false before enough was observed.
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

// lateAt returns the late work at a size, in slot-seconds weighed by age.
func (m *demandModel) lateAt(n int) float64 {
	n = min(max(n, 1), len(m.late)-1)
	return m.late[n]
}

// configure follows a pool's configuration.
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
