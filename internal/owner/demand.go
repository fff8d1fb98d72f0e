package owner

import (
	"context"
	"time"

	"github.com/beryltide/beryltide/internal/job"
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
	outOfService := u.View.OperatorState().OutOfService
	for id, sess := range u.sessions {
		if sess.reg.Pool == pool && sess.listed {
			d.Instances[id] = sess.describe(now, outOfService[sess.reg.DataCentre])
		}
	}
	if a := u.arrivals[pool]; a != nil {
		d.ArrivingCPU = int(a.Cores(now, u.Bounds.Move) * 1000)
	}
	smallest := u.addWaiting(&d, pool)
	for _, n := range u.nodes(pool, now) {
		d.LastingCPU += n.LongRunningCPU
		d.UsableCPU += n.Capacity.CPU
		free := max(n.Free.CPU, 0)
		if smallest > 0 {
			free -= free % smallest
		}
		d.FreeCPU += free
	}
	return d
}

// addWaiting adds the waiting tasks that more machines could run, and returns the
// smallest CPU need of one; 0 if there is none.
func (u *Unit) addWaiting(d *rebalance.Demand, pool string) (smallest int) {
	size := u.meanInstanceCPU[pool]
	allowances := map[*job.Resources]job.Resources{}
	for _, c := range u.waiting[pool] {
		e := u.jobs[c.Job]
		if e == nil || c.Class > schedule.Late || c.Step.Fills {
			continue
		}
		tasks := withinAllowance(c, allowances)
		if tasks == 0 {
			continue
		}
		need := c.Step.Need.CPU
		occupied := occupiedCPU(need, size)
		d.WaitingCPU += occupied * tasks
		d.WaitingWork += u.estimate(e.job.Submission, c.Step).Seconds() * float64(occupied*tasks) / 1000
		if need > 0 && (smallest == 0 || need < smallest) {
			smallest = need
		}
	}
	return smallest
}

// withinAllowance returns how many of a candidate's waiting tasks its team may still
// start. The map holds what remains of each allowance; the count is deducted from it.
func withinAllowance(c *schedule.Candidate, remaining map[*job.Resources]job.Resources) int {
	if c.Allowance == nil {
		return len(c.Tasks)
	}
	left, known := remaining[c.Allowance]
	if !known {
		left = *c.Allowance
	}
	tasks := 0
	for tasks < len(c.Tasks) && c.Step.Need.Fits(left) {
		left = left.Sub(c.Step.Need)
		tasks++
	}
	remaining[c.Allowance] = left
	return tasks
}

// occupiedCPU returns the share of an instance's CPU that a task takes if the
// instance runs as many of them as fit.
func occupiedCPU(need, size int) int {
	if need <= 0 || need > size {
		return need
	}
	return size / (size / need)
}

// measureInstances updates the mean CPU of the listed instances of each pool.
func (u *Unit) measureInstances() {
	sums, counts := map[string]int{}, map[string]int{}
	for _, sess := range u.sessions {
		if sess.listed {
			sums[sess.reg.Pool] += sess.reg.Capacity.CPU
			counts[sess.reg.Pool]++
		}
	}
	for pool, count := range counts {
		sums[pool] /= count
	}
	u.meanInstanceCPU = sums
}

func (s *session) describe(now time.Time, outOfService bool) rebalance.Instance {
	i := rebalance.Instance{ID: s.reg.ID, Runs: len(s.runs), Lasting: s.usage.longRunning, Usable: s.usable(now) && !outOfService}
	if len(s.runs) == 0 && !s.idleSince.IsZero() {
		i.IdleFor = now.Sub(s.idleSince)
	}
	return i
}
