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
func (u *Unit) Demand(ctx context.Context, pool string) (rebalance.Demand, error) {
	return ask(ctx, u, func() (rebalance.Demand, error) {
		if !u.holds() || !u.loaded {
			return rebalance.Demand{}, ErrNotReady
		}
		return u.demand(pool, time.Now()), nil
	})
}

func (u *Unit) demand(pool string, now time.Time) rebalance.Demand {
	d := rebalance.Demand{Instances: map[string]rebalance.Instance{}}
	outOfService := u.View.OperatorState().OutOfService
	var lasting, busy occupancy
	for id, sess := range u.sessions {
		if sess.reg.Pool != pool || !sess.listed {
			continue
		}
		d.Instances[id] = sess.describe(now, outOfService[sess.reg.DataCentre])
		if !sess.unreachable {
			lasting = lasting.add(allocated(sess.usage.longRunningAllocation, sess.reg.Capacity), 1)
			busy = busy.add(allocated(sess.usage.valuedAllocation(), sess.reg.Capacity), 1)
		}
	}
	if a := u.arrivals[pool]; a != nil {
		d.ArrivingCPU = int(a.cores(now, u.Bounds.Move) * 1000)
	}
	nodes := u.nodes(pool, now)
	smallest := u.addWaiting(&d, pool, nodes, now)
	for _, n := range nodes {
		d.UsableCPU += n.Capacity.CPU
		d.FreeCPU += freeCPU(n.Free, n.Capacity, smallest)
	}
	d.LastingCPU, d.BusyCPU = lasting.largest(), busy.largest()
	return d
}

// addWaiting adds the waiting tasks that more machines could run, and returns the
// smallest need of a valued one for each resource; 0 if there is none. Tasks without value
// left add no backlog, and so no machines beyond those without which they could never start.
func (u *Unit) addWaiting(d *rebalance.Demand, pool string, nodes []*schedule.Node, now time.Time) (smallest job.Resources) {
	size := u.meanInstance[pool]
	var waiting, lasting occupancy
	wanted := make([]schedule.Wanted, 0, len(u.waiting[pool]))
	var behind []schedule.Wanted
	allowances := map[*job.Resources]job.Resources{}
	for _, c := range u.waiting[pool] {
		e := u.jobs[c.Job]
		if e == nil || c.Class == schedule.Backfill && !c.Step.Lasting {
			continue
		}
		tasks := withinAllowance(c, allowances)
		if tasks == 0 {
			continue
		}
		if c.Class == schedule.NoValue {
			behind = append(behind, schedule.Wanted{Candidate: c, Count: tasks})
			continue
		}
		wanted = append(wanted, schedule.Wanted{Candidate: c, Count: tasks})
		if c.Step.Fills {
			continue
		}
		task := occupancyOf(c.Step.Need, size)
		waiting = waiting.add(task, tasks)
		switch {
		case c.Step.Lasting && c.Step.Need.Fits(size):
			lasting = lasting.add(task, tasks)
		case !c.Step.Lasting:
			d.WaitingWork += u.estimate(e.job.Submission, c.Step).Seconds() * float64(task.largest()*tasks) / 1000
		}
		smallest.CPU = smaller(smallest.CPU, c.Step.Need.CPU)
		smallest.Memory = smaller(smallest.Memory, c.Step.Need.Memory)
	}
	wanted = append(wanted, u.leavingTasks(pool, now)...)
	missing, awaited := schedule.MissingInstances(append(wanted, behind...), nodes, size)
	for _, m := range missing {
		d.Missing = append(d.Missing, rebalance.Missing(m))
	}
	for id := range awaited {
		i := d.Instances[id]
		i.Awaited = true
		d.Instances[id] = i
	}
	d.WaitingCPU, d.WaitingLastingCPU = waiting.largest(), lasting.largest()
	return smallest
}

// smaller returns the smaller of two needs; 0 stands for none.
func smaller(a, b int) int {
	if a <= 0 || b <= 0 {
		return max(a, b, 0)
	}
	return min(a, b)
}

// withinAllowance returns how many of a candidate's waiting tasks its team may still
// start, of a gang all or none. The map holds what remains of each allowance; the count is
// deducted from it.
func withinAllowance(c *schedule.Candidate, remaining map[*job.Resources]job.Resources) int {
	if c.Allowance == nil {
		return len(c.Tasks)
	}
	left, known := remaining[c.Allowance]
	if !known {
		left = *c.Allowance
	}
	tasks := 0
	if c.Step.Gang && !c.Unit().Fits(left) {
		return 0
	}
	for tasks < len(c.Tasks) && c.Step.Need.Fits(left) {
		left = left.Sub(c.Step.Need)
		tasks++
	}
	remaining[c.Allowance] = left
	return tasks
}

// measureInstances updates the mean capacity of the listed instances of each pool.
func (u *Unit) measureInstances() {
	sums, counts := map[string]job.Resources{}, map[string]int{}
	for _, sess := range u.sessions {
		if sess.listed {
			sums[sess.reg.Pool] = sums[sess.reg.Pool].Add(sess.reg.Capacity)
			counts[sess.reg.Pool]++
		}
	}
	for pool, count := range counts {
		sum := sums[pool]
		sums[pool] = job.Resources{CPU: sum.CPU / count, Memory: sum.Memory / count, GPU: sum.GPU / count}
	}
	u.meanInstance = sums
}

func (s *session) describe(now time.Time, outOfService bool) rebalance.Instance {
	i := rebalance.Instance{ID: s.reg.ID, Runs: len(s.runs), Lasting: s.usage.longRunning, Backfill: s.usage.backfill, Usable: s.usable(now) && !outOfService}
	if len(s.runs) == 0 && !s.idleSince.IsZero() {
		i.IdleFor = now.Sub(s.idleSince)
	}
	return i
}
