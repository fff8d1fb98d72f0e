package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/beryltide/beryltide/internal/ownership"
	"github.com/beryltide/beryltide/internal/pause"
	"github.com/beryltide/beryltide/internal/unitmap"
)

const (
	// dealtAnewKind is the kind of the fault of dealAnewInSeries.
	dealtAnewKind = "units dealt anew beside a paused owner"
	// dealtAnewRounds is how often a seed plays it beside other faults.
	dealtAnewRounds = 3
	// shortestPause and longestPause are how long an owner is paused: within the 1.5 s for
	// which its membership lasts, and long enough for another daemon to act as its successor.
	shortestPause, longestPause = 700 * time.Millisecond, 1200 * time.Millisecond
)

// dealAnewInSeries pauses the leader or an owner in turn for less than its membership lasts,
// and deals all units anew meanwhile. The last round, of the leader, comes after the other
// faults, and a job after it that needs the leader's grants. It returns the schedule.
func (h *harness) dealAnewInSeries(ctx context.Context) []string {
	random := rand.New(rand.NewPCG(h.seed, 3))
	h.checker.drew(dealtAnewKind)
	pause.For(ctx, seriesAfter)
	var schedule []string
	for n := range dealtAnewRounds {
		schedule = append(schedule, h.dealAnew(random, []string{unitmap.Fleet, firstPool, secondPool}[n%3], random.IntN(3) == 0))
		pause.For(ctx, between(random, 2*time.Second, 4*time.Second))
	}
	<-ctx.Done()
	drawn, _ := ctx.Deadline()
	for {
		time.Sleep(seriesAfter)
		schedule = append(schedule, h.dealAnew(random, unitmap.Fleet, false))
		if h.checker.seenEffect(dealtAnewKind) || time.Now().After(drawn.Add(seriesTimeout)) {
			break
		}
	}
	h.submitWideGang(context.Background(), dealtAnewCaller)
	return schedule
}

// dealAnew plays one round at the owner of a pool's or the fleet's unit and describes it. In
// its pause it and another daemon, or all, get others' units, and at the end of it their
// former ones again.
func (h *harness) dealAnew(random *rand.Rand, unit string, all bool) string {
	length := between(random, shortestPause, longestPause)
	d := h.ownerOf(unit)
	deals, deal := 2, h.swapUnits(d)
	if all {
		// A deal of all gives each daemon the units of the next one.
		deals, deal = daemonCount, func() { h.store.Reassign(ownership.Group) }
	}
	begin := time.Now()
	d.signal(syscall.SIGSTOP)
	deal()
	time.Sleep(length)
	for range deals - 1 {
		deal()
	}
	again, took := h.ownerOf(unit) == d && d.stopped(), time.Since(begin)
	d.signal(syscall.SIGCONT)
	if again && took < longestPause+effectInterval {
		h.checker.tookEffect(dealtAnewKind)
	}
	return fmt.Sprintf("%6.2f s  %s, owner of the unit of %s, is paused for %s; units of all: %t, dealt anew %d times; that one is its own again: %t",
		begin.Sub(h.checker.startedAt).Seconds(), d.name, unit, took.Truncate(time.Millisecond), all, deals, again)
}

// swapUnits returns a function that gives a daemon and another one each other's units. The
// other one has no pool, if there is such a daemon: the pools' owners then meet both.
func (h *harness) swapUnits(d *process) func() {
	owners, _ := h.store.Client().Owners(context.Background(), ownership.Group) // a client without faults can't fail
	own, other := "", ""
	for _, o := range owners {
		switch hasPool := h.ownerOf(firstPool).isMember(o.Member) || h.ownerOf(secondPool).isMember(o.Member); {
		case d.isMember(o.Member):
			own = o.Member
		case other == "" || !hasPool:
			other = o.Member
		}
	}
	return func() { h.store.Swap(ownership.Group, own, other) }
}

// wideGang is a gang that needs more than its team's limit divided by the pools.
const wideGang jobKind = "gang of over half of the limit"

const (
	// maxGangTries bounds the submissions of submitWideGang.
	maxGangTries = 20
	// outageCaller and dealtAnewCaller are the names of its callers, beyond those of others.
	outageCaller, dealtAnewCaller = 2000, 3000
)

// submitWideGang submits such a gang until one is accepted, and reports whether one was.
func (h *harness) submitWideGang(ctx context.Context, caller int) bool {
	c := newCaller(h, h.seed, caller)
	for n := 0; len(c.jobs) == 0 && n < maxGangTries; n++ {
		c.submit(ctx, &jobPlan{
			id: fmt.Sprintf("%08x%08x", c.name+1, n), kind: wideGang, queue: h.operator.queueOf(secondPool),
			payload: "needs most of a limit", steps: []stepPlan{{count: gangMembers, cpu: teamCPU/2/gangMembers + taskCPU/2, gang: true}},
		})
	}
	h.longCallersMu.Lock()
	defer h.longCallersMu.Unlock()
	h.longCallers = append(h.longCallers, c)
	return len(c.jobs) > 0
}
