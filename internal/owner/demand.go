package owner

import (
	"context"
	"time"

	"github.com/beryltide/beryltide/internal/rebalance"
	"github.com/beryltide/beryltide/internal/schedule"
)

// Demand returns a pool's waiting work, its capacity and the state of its
// instances.
func (u *Unit) Demand(ctx context.Context, pool string) (d rebalance.Demand, err error) {
	callErr := u.do(ctx, func() {
		if !u.holds() || !u.loaded {
			err = ErrNotReady
			return
		}
		d = u.demand(pool, time.Now())
	})
	if callErr != nil {
		return rebalance.Demand{}, callErr
	}
	return d, err
}

func (u *Unit) demand(pool string, now time.Time) rebalance.Demand {
	d := rebalance.Demand{Instances: map[string]rebalance.Instance{}}
	for id, sess := range u.sessions {
		if sess.reg.Pool == pool && sess.listed {
			d.Instances[id] = sess.describe(now)
		}
	}
	if a := u.arrivals[pool]; a != nil {
		d.ArrivingCPU = int(a.Cores(now, u.Bounds.Move) * 1000)
	}
	for _, n := range u.nodes(pool, now) {
		d.LastingCPU += n.LongRunningCPU
		d.FreeCPU += max(n.Free.CPU, 0)
		d.UsableCPU += n.Capacity.CPU
	}
	for _, c := range u.waiting[pool] {
		if c.Class > schedule.Late || c.Step.Fills {
			continue
		}
		e := u.jobs[c.Job]
		if e == nil {
			continue
		}
		d.WaitingCPU += c.Step.Need.CPU * len(c.Tasks)
		d.WaitingWork += coreSeconds(*c.Step, u.estimate(e.job.Submission, c.Step)) * float64(len(c.Tasks))
	}
	return d
}

func (s *session) describe(now time.Time) rebalance.Instance {
	i := rebalance.Instance{ID: s.reg.ID, Runs: len(s.runs), Lasting: s.usage.longRunning}
	if len(s.runs) == 0 && !s.idleSince.IsZero() {
		i.IdleFor = now.Sub(s.idleSince)
	}
	return i
}
