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
	u := peakUnit(4, 0, 0)
	for _, sess := range u.sessions {
		sess.usage.allocated.CPU = sess.reg.Capacity.CPU - free
	}
	u.measureInstances()
	step := job.Step{Count: 8, Need: job.Resources{CPU: need}, Estimate: time.Second}
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

// No machine helps tasks that wait for their team's limit.
func TestDemandLeavesOutTasksBeyondTheTeamsLimit(t *testing.T) {
	is := is.New(t)
	is.Equal(demandOf(0, 4000, &job.Resources{CPU: 9000}).WaitingCPU, 2*4000)
	is.Equal(demandOf(0, 4000, &job.Resources{CPU: 3999}).WaitingCPU, 0)
}
