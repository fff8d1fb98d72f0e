package main

import (
	"time"

	"github.com/beryltide/beryltide/internal/job"
)

// started checks and records the start of a run at an instance, with the payload
// that the instance received.
func (c *checker) started(at *instance, id job.TaskID, run int, payload string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.starts++
	c.counts.exercised[judgeOneRun]++
	rec := c.jobs[id.Job]
	if rec == nil || id.Step >= len(rec.steps) || id.Index >= rec.steps[id.Step].count {
		c.violation("%v run %d at %s: no such task was submitted", id, run, at.id)
		return
	}
	c.checkJob(rec, at, id, run, payload)
	for other, observed := range c.runsOf[id] {
		c.violation("%v run %d at %s: run %d is still running at %s", id, run, at.id, observed.run, other)
	}
	step := &rec.steps[id.Step]
	c.checkStep(rec, step, at, id, run)
	if c.runsOf[id] == nil {
		c.runsOf[id] = map[string]*observedRun{}
	}
	c.runsOf[id][at.id] = &observedRun{run: run, step: step}
	c.teamCPU += step.cpu
	if used := at.usedCPU(); used > at.cpu {
		c.violation("%v run %d at %s: runs use %d of its %d CPU units", id, run, at.id, used, at.cpu)
	}
	c.counts.exercised[judgeCapacity]++
	if allowed := int(teamCPU*(1+teamOverage)) + taskCPU; c.teamCPU > allowed {
		c.violation("%v run %d at %s: the team uses %d CPU units, may use %d", id, run, at.id, c.teamCPU, allowed)
	}
	if c.teamCPU > teamCPU/2 {
		c.counts.exercised[judgeTeam]++
	}
}

// checkJob checks that a job may run. The caller holds c.mu.
func (c *checker) checkJob(rec *jobRecord, at *instance, id job.TaskID, run int, payload string) {
	switch {
	case rec.payload != payload:
		c.violation("%v run %d at %s: the payload differs from the submitted one", id, run, at.id)
	case !rec.mayRun:
		c.violation("%v run %d at %s: its caller got the answer that the job never runs", id, run, at.id)
	case !rec.cancelledAt.IsZero() && time.Since(rec.cancelledAt) > cancelTimeout:
		c.violation("%v run %d at %s: the job was cancelled %s earlier", id, run, at.id, time.Since(rec.cancelledAt))
	case !c.acknowledgedAt[id].IsZero():
		c.violation("%v run %d at %s: the task was done and its end acknowledged", id, run, at.id)
	}
	acknowledged := 0
	for _, known := range c.failedRuns[c.attemptKey(id)] {
		if known {
			acknowledged++
		}
	}
	if acknowledged >= rec.queue.maxAttempts {
		c.violation("%v run %d at %s: %d runs have failed and were acknowledged, of %d", id, run, at.id, acknowledged, rec.queue.maxAttempts)
	}
	if !c.sentTo(rec.queue, at.pool) {
		c.violation("%v run %d at %s: no version sent the queue %s to its pool", id, run, at.id, rec.queue.name)
	}
}

// checkStep checks that a task may run there and now. The caller holds c.mu.
func (c *checker) checkStep(rec *jobRecord, step *stepPlan, at *instance, id job.TaskID, run int) {
	if step.after {
		c.counts.exercised[judgeOrder]++
		if len(rec.doneTasks[[2]int{id.Occurrence, id.Step - 1}]) < rec.steps[id.Step-1].count {
			c.violation("%v run %d at %s: step %d isn't done", id, run, at.id, id.Step-1)
		}
	}
	if due := rec.due(id.Occurrence); !due.IsZero() {
		c.counts.exercised[judgeDue]++
		if early := time.Until(due); early > c.earlyAllowed() {
			c.violation("%v run %d at %s: due only in %s", id, run, at.id, early)
		}
	}
	if step.label != "" {
		c.counts.exercised[judgeLabel]++
		if step.label != at.label {
			c.violation("%v run %d at %s: needs the label %s", id, run, at.id, step.label)
		}
	}
	if step.perInstance > 0 {
		c.counts.exercised[judgePerServer]++
		others := 0
		for index := range step.count {
			other := id
			other.Index = index
			if index != id.Index && c.runsOf[other][at.id] != nil {
				others++
			}
		}
		if others >= step.perInstance {
			c.violation("%v run %d at %s: %d tasks of the step run there", id, run, at.id, others)
		}
	}
	if c.drainsLong() {
		c.counts.exercised[judgeDrain]++
	}
	if !at.drainingSince.IsZero() && time.Since(at.drainingSince) > drainTimeout {
		c.violation("%v run %d at %s: draining for %s", id, run, at.id, time.Since(at.drainingSince))
	}
}

// drainsLong reports whether an instance has been draining for so long that nothing may
// start there. The caller holds c.mu.
func (c *checker) drainsLong() bool {
	return !c.drainingSince.IsZero() && time.Since(c.drainingSince) > drainTimeout
}
