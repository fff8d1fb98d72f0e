package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/rebalance"
	"github.com/beryltide/beryltide/internal/schedule"
)

// demandOf returns the demand of a unit with full instances of 16 cores of which
// each has some CPU left, and one step of eight waiting tasks.
func demandOf(free, need int, allowance *job.Resources) rebalance.Demand {
	return demandOfResources(job.Resources{CPU: free}, job.Resources{CPU: need}, allowance)
}

// demandOfResources is demandOf with instances of 32 GB too, if need has memory.
func demandOfResources(free, need job.Resources, allowance *job.Resources) rebalance.Demand {
	u := peakUnit(4, 0, 0)
	for _, sess := range u.sessions {
		sess.usage.allocated.CPU = sess.reg.Capacity.CPU - free.CPU
		if need.Memory > 0 {
			sess.reg.Capacity.Memory = 32_000
			sess.usage.allocated.Memory = 32_000 - free.Memory
		}
	}
	u.measureInstances()
	step := job.Step{Count: 8, Need: need, Estimate: time.Second}
	e := newEntry(&job.Submission{ID: "w", Queue: testQueue, Pool: testPool, Steps: []job.Step{step}})
	u.addEntry(e)
	c := &schedule.Candidate{Job: "w", Step: &e.job.Submission.Steps[0], Class: schedule.InTime, Allowance: allowance}
	for index := range step.Count {
		c.Tasks = append(c.Tasks, schedule.Task{Index: index})
	}
	u.waiting = map[string][]*schedule.Candidate{testPool: {c}}
	return u.demand(testPool, time.Now())
}

// Machines run whole tasks: a pool of which each instance has less room left than
// a task needs has no room, and a machine of 16 cores takes three tasks of 4.5.
// Counted by cores alone, such a pool is sent too few machines at its peak.
func TestDemandCountsWholeTasks(t *testing.T) {
	is := is.New(t)
	d := demandOf(2500, 4500, nil)
	is.Equal(d.FreeCPU, 0)
	is.Equal(d.WaitingCPU, 8*(16000/3))
	is.Equal(fmt.Sprintf("%.1f", d.WaitingWork), "42.7")
	is.Equal(demandOf(5000, 4500, nil).FreeCPU, 4*4500)
}

// A machine is full when its memory is. Counted by cores alone, tasks that take much
// memory brought too few machines at a peak, and a pool whose memory was taken by
// long-running tasks seemed to have half of its machines free.
func TestDemandCountsTheResourceThatRunsOutFirst(t *testing.T) {
	is := is.New(t)
	d := demandOfResources(job.Resources{CPU: 14_000, Memory: 2000}, job.Resources{CPU: 1000, Memory: 12_000}, nil)
	is.Equal(d.WaitingCPU, 8*16_000/2) // two such tasks fill a machine
	is.Equal(d.FreeCPU, 0)
	is.Equal(fmt.Sprintf("%.1f", d.WaitingWork), "64.0")
	d = demandOfResources(job.Resources{CPU: 14_000, Memory: 16_000}, job.Resources{CPU: 1000, Memory: 2000}, nil)
	is.Equal(d.WaitingCPU, 8*16_000/16)
	is.Equal(d.FreeCPU, 4*8000)
}

// The forecast and the long-running tasks must count the same way.
func TestForecastAndLongRunningTasksCountMemory(t *testing.T) {
	is := is.New(t)
	u := peakUnit(1, 0, 0)
	sess := u.sessions["i-0"]
	sess.reg.Capacity.Memory = 32_000
	u.measureInstances()
	clear(sess.runs)
	sess.usage = usage{}
	sess.usage.count(&run{need: job.Resources{CPU: 1000, Memory: 24_000}, step: &job.Step{Lasting: true}}, 1)
	u.loaded = true
	step := job.Step{Count: 3, Need: job.Resources{CPU: 100, Memory: 16_000}, Estimate: time.Second}
	now := time.Now()
	for range 10 {
		u.observeArrival(newEntry(&job.Submission{ID: "w", Queue: testQueue, Pool: testPool, Steps: []job.Step{step}}), now)
	}
	is.Equal(u.demand(testPool, now).LastingCPU, 12_000)
	sess.cordonRenewedAt = now // it is being emptied: its task needs room elsewhere
	is.Equal(u.demand(testPool, now).LastingCPU, 12_000)
	is.Equal(u.demand(testPool, now).UsableCPU, 0)
	is.Equal(int(u.arrivals[testPool].cores(now.Add(time.Second), 0)), 240) // 30 halves of 16 cores
}

// Long-running tasks that wait are need of their own: they are no work that ends.
func TestWaitingLongRunningTasksAreNeed(t *testing.T) {
	is := is.New(t)
	u := peakUnit(1, 0, 0)
	u.measureInstances()
	e := newEntry(&job.Submission{ID: "w", Queue: testQueue, Pool: testPool, Steps: []job.Step{{Count: 2, Lasting: true, Need: job.Resources{CPU: 1000, Memory: 32_000}}}})
	u.addEntry(e)
	c := &schedule.Candidate{Job: "w", Step: &e.job.Submission.Steps[0], Class: schedule.LongRunning, Tasks: []schedule.Task{{Index: 0}, {Index: 1}}}
	u.waiting = map[string][]*schedule.Candidate{testPool: {c}}
	d := u.demand(testPool, time.Now())
	is.Equal(d.WaitingLastingCPU, 32_000)
	is.Equal(d.WaitingCPU, 32_000)
	is.Equal(d.WaitingWork, 0.0)
}

// No machine helps tasks that wait for their team's limit.
func TestDemandLeavesOutTasksBeyondTheTeamsLimit(t *testing.T) {
	is := is.New(t)
	is.Equal(demandOf(0, 4000, &job.Resources{CPU: 9000}).WaitingCPU, 2*4000)
	is.Equal(demandOf(0, 4000, &job.Resources{CPU: 3999}).WaitingCPU, 0)
}

// What the leader names as due for maintenance must reach the placing of tasks, and end
// with the order that no longer names it.
func TestPlacingKnowsWhatIsDueForMaintenance(t *testing.T) {
	is := is.New(t)
	u := peakUnit(2, 0, 0)
	due := func(ids ...string) (marked []string) {
		u.setGrants(GrantOrder{Pool: testPool, MaintenanceDue: ids})
		for _, n := range u.nodes(testPool, time.Now()) {
			if n.MaintenanceDue {
				marked = append(marked, n.ID)
			}
		}
		return marked
	}
	is.Equal(due("i-1"), []string{"i-1"})
	is.Equal(len(due()), 0)
}
