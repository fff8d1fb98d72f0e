package owner

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/beryltide/beryltide/internal/job"
)

// Meter holds the metrics of all units of a daemon.
type Meter struct {
	takeovers tally.Counter
	started   tally.Counter
	commit    tally.Histogram
	ends      map[job.End]tally.Counter
	states    map[job.State]tally.Counter
	// pollFailed counts polls that failed, and so extended no lease.
	pollFailed tally.Counter
	// restarts counts instances that were found restarted under their ID.
	restarts tally.Counter
	// misdirected counts runs at another incarnation than their start was meant for.
	misdirected tally.Counter
	// lossRecords counts records of lost contact.
	lossRecords tally.Counter
	scope       tally.Scope
}

// poolGauges are a unit's gauges of one of its pools.
type poolGauges struct {
	waiting, runs, instances, usable int
	// longRunningWaiting counts the waiting long-running tasks.
	longRunningWaiting int
	// expectedCores is how many cores the forecast work is expected to keep busy.
	expectedCores float64
}

func (m *Meter) setPoolGauges(pool string, g poolGauges) {
	s := m.scope.Tagged(map[string]string{"pool": pool})
	s.Gauge("pool_waiting_tasks").Update(float64(g.waiting))
	s.Gauge("pool_waiting_long_running_tasks").Update(float64(g.longRunningWaiting))
	s.Gauge("pool_runs").Update(float64(g.runs))
	s.Gauge("pool_instances").Update(float64(g.instances))
	s.Gauge("pool_usable_instances").Update(float64(g.usable))
	s.Gauge("pool_expected_cores").Update(g.expectedCores)
}

func (m *Meter) setQueueGauge(queue string, waiting int) {
	m.scope.Tagged(map[string]string{"queue": queue}).Gauge("queue_waiting_jobs").Update(float64(waiting))
}

func (m *Meter) setTeamGauges(pool, team string, running, granted job.Resources) {
	s := m.scope.Tagged(map[string]string{"pool": pool, "team": team})
	s.Gauge("team_running_cpu").Update(float64(running.CPU))
	s.Gauge("team_granted_cpu").Update(float64(granted.CPU))
}

// setWaitingGauge sets what a team's waiting tasks need in a pool.
func (m *Meter) setWaitingGauge(s teamPool, cpu int) {
	m.scope.Tagged(map[string]string{"pool": s.pool, "team": s.team}).Gauge("team_waiting_cpu").Update(float64(cpu))
}

// countHeldBack counts a round in which a team's share held a start back.
func (m *Meter) countHeldBack(s teamPool) {
	m.scope.Tagged(map[string]string{"pool": s.pool, "team": s.team}).Counter("team_rounds_held_back").Inc(1)
}

// NewMeter returns a Meter that reports to a scope.
func NewMeter(scope tally.Scope) *Meter {
	m := &Meter{
		takeovers: scope.Counter("unit_takeovers"),
		started:   scope.Counter("runs_started"),
		commit:    scope.Histogram("commit_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)),
		ends:      map[job.End]tally.Counter{},
		states:    map[job.State]tally.Counter{},

		pollFailed:  scope.Counter("looks_failed"),
		restarts:    scope.Counter("instance_restarts"),
		misdirected: scope.Counter("misdirected_runs"),
		lossRecords: scope.Counter("loss_records"),
		scope:       scope,
	}
	for _, how := range []job.End{job.EndDone, job.EndFailed, job.EndStopped, job.EndLapsed, job.EndBroken, job.EndAlone, job.EndLost} {
		m.ends[how] = scope.Tagged(map[string]string{"how": string(how)}).Counter("runs_ended")
	}
	for _, state := range []job.State{job.Queued, job.Running, job.Completed, job.Failed, job.Cancelled} {
		m.states[state] = scope.Tagged(map[string]string{"state": string(state)}).Counter("jobs_state")
	}
	return m
}

// gaugeInterval is how often a unit updates its gauges.
const gaugeInterval = time.Second

// updateGauges updates the gauges of the unit's pools, queues and teams.
func (u *Unit) updateGauges(now time.Time) {
	if now.Sub(u.gaugesSetAt) < gaugeInterval {
		return
	}
	u.gaugesSetAt = now
	pools := map[string]poolGauges{}
	for _, sess := range u.sessions {
		g := pools[sess.reg.Pool]
		g.runs += len(sess.runs)
		g.instances++
		if sess.usable(now) {
			g.usable++
		}
		pools[sess.reg.Pool] = g
	}
	for pool, candidates := range u.waiting {
		g := pools[pool]
		for _, c := range candidates {
			g.waiting += len(c.Tasks)
			if c.Step.Lasting {
				g.longRunningWaiting += len(c.Tasks)
			}
		}
		pools[pool] = g
	}
	for pool, history := range u.arrivals {
		g := pools[pool]
		g.expectedCores = history.cores(now, u.Bounds.Move)
		pools[pool] = g
	}
	for pool, g := range pools {
		u.Meter.setPoolGauges(pool, g)
	}
	u.updateQueueGauges()
	for s, running := range u.allowances.running {
		u.Meter.setTeamGauges(s.pool, s.team, running, u.allowances.grants[s])
	}
	u.updateWaitingGauges()
}

// updateQueueGauges reports, by queue, how many accepted jobs haven't started.
func (u *Unit) updateQueueGauges() {
	waiting := map[string]int{}
	for _, e := range u.jobs {
		queue := e.job.Submission.Queue
		if !e.startRecorded && e.job.Active() {
			waiting[queue]++
		} else if _, known := waiting[queue]; !known {
			waiting[queue] = 0
		}
	}
	for queue, jobs := range waiting {
		u.Meter.setQueueGauge(queue, jobs)
	}
}

// clearGauges sets the unit's gauges to 0 when this daemon no longer owns it,
// since its successor reports them from then on.
func (u *Unit) clearGauges() {
	for _, sess := range u.sessions {
		u.Meter.setPoolGauges(sess.reg.Pool, poolGauges{})
	}
	for s := range u.allowances.running {
		u.Meter.setTeamGauges(s.pool, s.team, job.Resources{}, job.Resources{})
	}
	for s := range u.waitingReported {
		u.Meter.setWaitingGauge(s, 0)
	}
	for _, e := range u.jobs {
		u.Meter.setQueueGauge(e.job.Submission.Queue, 0)
	}
}
