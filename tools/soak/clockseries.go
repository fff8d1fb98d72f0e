package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/beryltide/beryltide/internal/pause"
)

const (
	// clocksKind is the kind of the fault of clocksApartInSeries.
	clocksKind = "owners restart beside a cut while clocks are apart"
	// maxLastClockRounds is how many rounds a seed plays after all other faults, until one
	// has taken effect.
	maxLastClockRounds = 3
	// stepsAfter is how long after the cut the clocks are stepped.
	stepsAfter = 200 * time.Millisecond
	// smallestStep and largestStep are by how many seconds a clock is off. The platform lets
	// a timed task start up to steppedEarly before its time then.
	smallestStep, largestStep = 2, 4
	steppedEarly              = 5 * time.Second
)

// clockRound is one round of a series: an instance is cut off from all daemons, the clock of
// its owner is set one way and those of all others the other way, and the owner is killed,
// and its successors in turn, until the leases at the instance have expired.
type clockRound struct {
	pool string
	// instance is the index of the one that is cut off.
	instance int
	// own and others are by how many seconds the clocks are off.
	own, others int
	// kills are when the present owner is killed, after the cut.
	kills []time.Duration
	began time.Time
	// killed names the daemons that were.
	killed []string
	shown  string
}

// describe returns the round as a line of the schedule.
func (r *clockRound) describe(h *harness, when string) string {
	return fmt.Sprintf("%6.2f s  %s: i-%d of %s is cut off for %s; the clock of its owner is off by %d s, those of the others by %d s; owners %s are killed after %v: %s",
		r.began.Sub(h.checker.startedAt).Seconds(), when, r.instance, r.pool, pastLeaseCut, r.own, r.others, strings.Join(r.killed, ", "), r.kills, r.shown)
}

// drawClockRound draws round n of a seed. The owner's clock is behind in the first one, so
// that a time of day that it has stored looks past to the others. The order and number of the
// draws fix a seed's rounds.
func drawClockRound(random *rand.Rand, n int, instances []*instance) *clockRound {
	step := func() int { return smallestStep + random.IntN(largestStep-smallestStep+1) }
	r := &clockRound{instance: drainingInstance + 1 + random.IntN(len(instances)-drainingInstance-1), own: -step(), others: step()}
	r.pool = instances[r.instance].pool
	if backwards := random.IntN(3) == 0; n > 0 && backwards {
		r.own, r.others = -r.own, -r.others
	}
	at := time.Duration(0)
	for range 1 + random.IntN(3) {
		at += between(random, 1800*time.Millisecond, 3*time.Second)
		r.kills = append(r.kills, at)
	}
	return r
}

// clocksApartBesideOthers plays a round beside the other faults and returns its schedule.
func (h *harness) clocksApartBesideOthers(ctx context.Context) []string {
	random := rand.New(rand.NewPCG(h.seed, 5))
	pause.For(ctx, seriesAfter)
	r := drawClockRound(random, 1, h.instances)
	h.playClocks(r)
	return []string{r.describe(h, "beside others")}
}

// clocksApartAlone plays rounds after all other faults, in which a run that is given up early
// starts elsewhere at once, and returns their schedule.
func (h *harness) clocksApartAlone() []string {
	random := rand.New(rand.NewPCG(h.seed, 6))
	h.checker.drew(clocksKind)
	var schedule []string
	for n := 0; n < maxLastClockRounds && !h.checker.seenEffect(clocksKind); n++ {
		r := drawClockRound(random, n, h.instances)
		if h.playClocks(r) {
			h.checker.tookEffect(clocksKind)
		}
		schedule = append(schedule, r.describe(h, "alone"))
	}
	return schedule
}

// playClocks plays one round, unless nothing runs at the instance. It reports whether runs that
// were under way ended with their lease after an owner was killed.
func (h *harness) playClocks(r *clockRound) bool {
	i, link := h.instances[r.instance], h.instanceProxies[r.instance]
	submitting, stop := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	h.submitLongJobs(submitting, &callers, []string{r.pool}, []int{r.instance})
	defer callers.Wait()
	defer stop()
	since := time.Now()
	pause.For(submitting, longJobsLead+noticeTime)

	r.began = time.Now()
	underWay := i.runsSince(since)
	if len(underWay) == 0 {
		r.shown = "nothing ran there"
		return false
	}
	link.isolate(true)
	pause.For(submitting, stepsAfter)
	h.checker.clocksStepped(true)
	owner := h.ownerOf(r.pool)
	h.eachDaemon(func(d *process) { d.setClock(r.others) })
	owner.setClock(r.own)
	var restarts sync.WaitGroup
	for _, at := range r.kills {
		pause.For(submitting, time.Until(r.began.Add(at)))
		d := h.ownerOf(r.pool)
		if d.signal(syscall.SIGKILL) {
			r.killed = append(r.killed, d.name)
		}
		restarts.Go(func() {
			time.Sleep(500 * time.Millisecond)
			h.restartDaemon(d)
		})
	}
	pause.For(submitting, time.Until(r.began.Add(pastLeaseCut)))
	stop()
	link.isolate(false)
	h.eachDaemon(func(d *process) { d.setClock(0) })
	h.checker.clocksStepped(false)
	restarts.Wait()

	lapsed := i.lapsed(underWay)
	for range lapsed {
		h.checker.exercise(judgeClocks)
	}
	r.shown = fmt.Sprintf("%d runs, %d lapsed", len(underWay), lapsed)
	return lapsed > 0 && len(r.killed) > 0
}

// clocksStepped records that daemons' clocks are off now, or right again.
func (c *checker) clocksStepped(off bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clocksOff, c.clocksChangedAt = off, time.Now()
}

// earlyAllowed returns by how much a timed task may start before its time. A start that was
// sent while clocks were off may be executed for leeway after that. The caller holds c.mu.
func (c *checker) earlyAllowed() time.Duration {
	if c.clocksOff || !c.clocksChangedAt.IsZero() && time.Since(c.clocksChangedAt) < lateStartTime {
		return earlyStart + steppedEarly
	}
	return earlyStart
}

// lateStartTime is how long after it was decided a start may be executed: its calls' time-outs
// and the delay of an instance that executes starts late.
const lateStartTime = 5 * time.Second
