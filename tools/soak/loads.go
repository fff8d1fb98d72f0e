package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/pause"
)

// Kinds of load. They are counted as faults are: as drawn, and as seen to take effect.
const (
	surgeKind     = "surge of a team"
	slowTasksKind = "slow tasks"
	heldBackEvent = "event=team.held_back "
)

const (
	surgeCallers = 3
	// surgeBusyCPU is what the surging team keeps busy at its usual rate. At surgeFactor
	// times that rate it wants more than the 16 cores which its pool has left once an
	// instance drains.
	surgeBusyCPU = 4_000
	surgeFactor  = 7
	surgeTime    = 4 * time.Second
	// maxSurgeCPUTime is the work that the team may add in a surge, which is extended
	// until it takes effect; the pool has to complete it before settleTimeout.
	maxSurgeCPUTime = 128 * time.Second
	surgeInterval   = 20 * time.Millisecond
	// slowFactor is how many times as long as usual every slowEvery-th task runs.
	slowFactor = 7
	slowEvery  = 25
)

// loads is the load that a seed draws beside its ordinary callers.
type loads struct {
	surge, openBodies bool
	// surgeAfter and openAfter are when each begins.
	surgeAfter, openAfter time.Duration
}

// drawLoads draws a seed's loads from numbers of their own, so that they don't change its
// faults and jobs.
func drawLoads(seed uint64) loads {
	random := rand.New(rand.NewPCG(seed, 1000))
	l := loads{surge: random.IntN(2) == 0, openBodies: random.IntN(2) == 0}
	l.surgeAfter = time.Duration(2000+random.IntN(4000)) * time.Millisecond
	l.openAfter = time.Duration(1000+random.IntN(6000)) * time.Millisecond
	return l
}

// injectLoads plays the loads that the seed has drawn, until they have taken effect.
func (h *harness) injectLoads(ctx context.Context, wg *sync.WaitGroup) {
	play := func(after time.Duration, f fault, duration time.Duration) {
		wg.Go(func() {
			pause.For(ctx, after)
			h.inject(ctx, f, duration)
		})
	}
	if h.loads.surge {
		play(h.loads.surgeAfter, h.surgeFault(), surgeTime)
	}
	if h.loads.openBodies {
		play(h.loads.openAfter, h.openBodiesFault(), openBodiesTime)
	}
}

// surgeFault lets the surging team send surgeFactor times its usual rate. Its effect is
// that a pool's starts are divided and a team's share holds some back.
func (h *harness) surgeFault() fault {
	before := 0
	return fault{
		kind: surgeKind, name: surgeKind,
		begin: func() {
			before = h.logged(heldBackEvent)
			h.surging.Store(true)
		},
		effect: func() bool { return h.logged(heldBackEvent) > before },
		end:    func() { h.surging.Store(false) },
	}
}

// logged returns how often the daemons' logs contain a text.
func (h *harness) logged(text string) int {
	count := 0
	for _, d := range h.daemons {
		data, err := os.ReadFile(d.logFile.Name())
		if err != nil {
			h.checker.report("%s: %s", d.name, err)
		}
		count += bytes.Count(data, []byte(text))
	}
	return count
}

// newSurgeCaller returns a caller of the surging team.
func newSurgeCaller(h *harness, n int) *caller {
	c := newCaller(h, h.seed, callerCount+n)
	c.team, c.key = surgeTeam, surgeKey
	c.meanPause = surgeCallers * wideTasks * taskCPU / surgeBusyCPU * h.instances[0].runTime
	return c
}

// runSurging submits jobs to one pool until the context ends, surgeFactor times as many
// during the surge.
func (c *caller) runSurging(ctx context.Context) {
	jobTime := wideTasks * taskCPU / 1000 * c.harness.instances[0].runTime
	surgeJobs := int(maxSurgeCPUTime / surgeCallers / jobTime)
	for n := 0; ctx.Err() == nil; n++ {
		accepted := len(c.jobs)
		c.submit(ctx, drawPlan(c.random, fmt.Sprintf("%08x%08x", c.name+1, n), wide, c.harness.operator.queues[0]))
		if c.harness.surging.Load() {
			surgeJobs -= len(c.jobs) - accepted
		}
		if len(c.jobs) > 0 && c.random.IntN(4) == 0 {
			c.queryState(c.jobs[c.random.IntN(len(c.jobs))])
		}
		for wait := time.Duration(c.random.Float64() * 2 * float64(c.meanPause)); wait > 0 && ctx.Err() == nil; wait -= surgeInterval {
			pause.For(ctx, surgeInterval)
			if c.harness.surging.Load() && surgeJobs > 0 {
				wait -= (surgeFactor - 1) * surgeInterval
			}
		}
	}
	c.repeats.Wait()
}

// drawSlow reports whether a run that starts now is slow: every slowEvery-th of those
// that have no run time of their own.
func (c *checker) drawSlow(p *jobPlan, step int) bool {
	if p.runTime > 0 || p.steps[step].gang {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usualStarts++
	if c.usualStarts%slowEvery != 0 {
		return false
	}
	c.counts.drawn[slowTasksKind]++
	return true
}

// countSlow counts a slow run that has ended by itself. The caller holds c.mu.
func (c *checker) countSlow(r *taskRun, how job.End) {
	if r.slow && how == job.EndDone {
		c.counts.effective[slowTasksKind]++
	}
}
