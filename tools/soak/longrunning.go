package main

import (
	"context"
	"fmt"
	"time"

	"github.com/beryltide/beryltide/internal/job"
)

const (
	// longRunning jobs run until they are cancelled.
	longRunning jobKind = "long-running"
	// longRunningCaller is the name of its caller, beyond those of the others.
	longRunningCaller = 1000
	// longRunningTasks run on as many instances, of the four of a pool.
	longRunningTasks = 3
	// againTimeout is how long such a task may have no run once all faults have ended: the
	// platform allows 9 s in touch, which a daemon is 3 s after a fault.
	againTimeout = 12 * time.Second
)

// submitLongRunning submits a long-running job until one is accepted, at the queue that is
// never moved nor removed.
func (c *caller) submitLongRunning(ctx context.Context) {
	for n := 0; len(c.jobs) == 0 && ctx.Err() == nil; n++ {
		c.submit(ctx, &jobPlan{
			id: fmt.Sprintf("%08x%08x", c.name+1, n), kind: longRunning, queue: c.harness.operator.queues[0],
			payload: "a service", runTime: time.Hour,
			steps: []stepPlan{{count: longRunningTasks, cpu: taskCPU, perInstance: 1, longRunning: true, mayMiss: 1}},
		})
	}
}

// awaitLongRunning waits until all tasks of the long-running jobs run, and records those
// that don't in time.
func (h *harness) awaitLongRunning(jobs []*jobPlan) {
	for end := time.Now().Add(againTimeout); ; time.Sleep(settleInterval) {
		var waiting []job.TaskID
		for _, p := range jobs {
			waiting = append(waiting, h.checker.withoutRun(p)...)
		}
		if len(jobs) > 0 && len(waiting) == 0 {
			h.checker.exercise(judgeLongRunning)
			return
		}
		if time.Now().After(end) {
			for _, id := range waiting {
				h.checker.report("%v is long-running and has had no run for %s without faults", id, againTimeout)
			}
			return
		}
	}
}

// withoutRun returns the tasks of a job's first step that run nowhere.
func (c *checker) withoutRun(p *jobPlan) []job.TaskID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []job.TaskID
	for index := range p.steps[0].count {
		if id := (job.TaskID{Job: p.id, Index: index}); len(c.runsOf[id]) == 0 {
			out = append(out, id)
		}
	}
	return out
}
