package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/beryltide/beryltide/internal/ownership"
	"github.com/beryltide/beryltide/internal/pause"
)

const (
	// seriesKind is the kind of the fault of restartsInSeries, and restartCutKind that of
	// a round in which a run at a restarted instance ended with its lease.
	seriesKind     = "restarts and cuts in series"
	restartCutKind = "restart and cut"
	// seriesAfter leaves the daemons time to take their units.
	seriesAfter = 2 * time.Second
	// minRounds is how many rounds a seed plays; it plays further ones, which begin within
	// seriesTimeout of the last other fault, until both kinds have taken effect.
	minRounds     = 4
	seriesTimeout = 3 * effectTimeout
	// noticeTime is longer than an owner takes to notice a restart in silence, before which
	// it starts nothing there. It is added in the further rounds, so that tasks run there.
	noticeTime = 2 * time.Second
	// pastLeaseCut is longer than any lease at an instance that is cut off.
	pastLeaseCut = maxLeaseMS*time.Millisecond + 500*time.Millisecond
	// takeoverLead is how long before a restart the owner is paused that continues after
	// it: long enough for a successor to take the unit.
	takeoverLead = 5 * time.Second
	// longCallerCount is how many callers submit long tasks in a round.
	longCallerCount = 3
	// longJobsLead is how long before the restart they begin.
	longJobsLead = time.Second
	// lateStarts is how long before a cut the instances begin to execute starts late.
	lateStarts = 500 * time.Millisecond
	// holdTimeout is how long a round waits for a hold call to arrive.
	holdTimeout = 1500 * time.Millisecond
	// pastLeaseTime is longer than an instance works without contact: the longest lease
	// after a start that was repeated once.
	pastLeaseTime = maxLeaseMS*time.Millisecond + 2*time.Second
)

// round is one round of a series: the instances of some pools in a data centre restart,
// and are cut off from all daemons while long tasks run there.
type round struct {
	dataCentre string
	pools      []string
	// restartedAt is when the instances restarted, and shown what the round has shown.
	restartedAt time.Time
	shown       string
	// refuses makes the instances refuse calls while they are down, instead of leaving
	// them without an answer.
	refuses bool
	// down is how long they can't be reached as they restart, run how long they can be
	// then, and cutFor how long they are cut off after that.
	down, run, cutFor time.Duration
	cutMode           mode
	// again, if not zero, is when in the cut they restart once more.
	again time.Duration
	// startDelay, if not zero, is that of the instances for the last part before they
	// restart, or with lateAtCut before they are cut off.
	startDelay time.Duration
	lateAtCut  bool
	// killed and paused tell whether the daemon with the first pool's unit is, for a time.
	// It is killed daemonAt after the instances can be reached again. It is paused then,
	// and continues daemonFor after the cut.
	killed, paused      bool
	daemonAt, daemonFor time.Duration
	// resumed tells whether that daemon is paused from takeoverLead before the restart
	// until the instances can be reached again: a former owner's orders reach instances
	// that know no fence.
	resumed bool
}

func (r *round) String() string {
	return fmt.Sprintf("instances of %v in %s restart in %s, are cut off (%s) %s later for %s; refuses=%t again=%s delay=%s at_cut=%t killed=%t paused=%t resumed=%t: %s",
		r.pools, r.dataCentre, r.down, r.cutMode, r.run, r.cutFor, r.refuses, r.again, r.startDelay, r.lateAtCut, r.killed, r.paused, r.resumed, r.shown)
}

// between draws a time.
func between(random *rand.Rand, from, to time.Duration) time.Duration {
	return (from + time.Duration(random.Int64N(int64(to-from)))).Truncate(time.Millisecond)
}

// drawRound draws round n of a seed. The first one, and those after minRounds, have
// restarts and a cut alone, in which all leases end. The second one kills the owner
// between them. The order and number of the draws fix a seed's rounds.
func drawRound(random *rand.Rand, n int, dataCentre string) *round {
	r := &round{
		dataCentre: dataCentre,
		pools:      [][]string{{firstPool}, {secondPool}, {firstPool, secondPool}}[random.IntN(3)],
		down:       between(random, 300*time.Millisecond, 800*time.Millisecond),
		run:        between(random, 500*time.Millisecond, 3*time.Second),
		cutFor:     between(random, 7*time.Second, 10*time.Second),
		cutMode:    silent,
		killed:     n == 1,
	}
	// Starts reach the instances before the owner is lost.
	r.daemonAt = r.run/2 + between(random, 0, r.run/2)
	r.daemonFor = between(random, 300*time.Millisecond, 5*time.Second)
	if n >= minRounds {
		r.run += noticeTime
	}
	if n == 0 || n >= minRounds {
		r.cutFor = pastLeaseCut
		return r
	}
	if n == 1 {
		return r
	}
	if random.IntN(4) == 0 {
		r.cutMode = oneWay
	}
	if random.IntN(4) == 0 {
		r.again = between(random, 500*time.Millisecond, 6*time.Second)
	}
	if random.IntN(3) == 0 {
		r.startDelay, r.lateAtCut = between(random, 200*time.Millisecond, 900*time.Millisecond), random.IntN(2) == 0
	}
	daemon := random.IntN(4)
	r.refuses, r.killed, r.paused, r.resumed = random.IntN(4) == 0, daemon == 1, daemon == 2, daemon == 3
	return r
}

// restartsInSeries plays rounds at the data centres by turns, each while the former one's
// instances are still cut off, and returns their schedule. It goes on until runs have been
// seen to start before their owner noticed the restart or to lapse behind a cut, and one
// that started after a restart to lapse.
func (h *harness) restartsInSeries(ctx context.Context) []string {
	random := rand.New(rand.NewPCG(h.seed, 2))
	first := random.IntN(len(dataCentres))
	var rounds []*round
	drawn, _ := ctx.Deadline()
	var wg sync.WaitGroup
	h.checker.drew(restartCutKind)
	pause.For(ctx, seriesAfter)
	for n := 0; n < minRounds || time.Now().Before(drawn.Add(seriesTimeout)); n++ {
		if n >= minRounds && h.checker.seenEffect(seriesKind) && h.checker.seenEffect(restartCutKind) {
			break
		}
		r := drawRound(random, n, dataCentres[(first+n)%len(dataCentres)])
		rounds = append(rounds, r)
		h.checker.drew(seriesKind)
		wg.Go(func() { h.play(r) })
		pause.For(context.Background(), r.lead()+r.down+r.run+between(random, 3*time.Second, 6*time.Second))
	}
	wg.Wait()
	var schedule []string
	for n, r := range rounds {
		schedule = append(schedule, fmt.Sprintf("%6.2f s  round %d: %s", r.restartedAt.Sub(h.checker.startedAt).Seconds(), n, r))
	}
	return schedule
}

// lead returns how long before the restart a round begins.
func (r *round) lead() time.Duration {
	if r.resumed {
		return takeoverLead
	}
	return longJobsLead
}

// play plays one round.
func (h *harness) play(r *round) {
	var at []int
	for n, i := range h.instances {
		for _, pool := range r.pools {
			if n != drainingInstance && i.pool == pool && i.dataCentre == r.dataCentre {
				at = append(at, n)
			}
		}
	}
	each := func(do func(*instance, *proxy)) {
		for _, n := range at {
			do(h.instances[n], h.instanceProxies[n])
		}
	}
	submitting, stop := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	h.submitLongJobs(submitting, &callers, r.pools, at)
	defer callers.Wait()
	defer stop()

	resume := func() {}
	if r.resumed {
		d := h.ownerOf(r.pools[0])
		d.signal(syscall.SIGSTOP)
		resume = func() { d.signal(syscall.SIGCONT) }
	}
	pause.For(submitting, r.lead())
	if !r.lateAtCut {
		each(func(i *instance, _ *proxy) { i.setStartDelay(r.startDelay) })
	}
	h.instances[at[0]].awaitHold()
	early := 0
	each(func(i *instance, p *proxy) {
		early += i.earlyStarts()
		if r.refuses {
			p.cut(reset)
		} else {
			p.strand(r.down)
		}
		i.restart(i.kind(false))
		i.setStartDelay(0)
	})
	r.restartedAt = time.Now()
	pause.For(submitting, r.down)
	each(func(_ *instance, p *proxy) { p.cut(pass) })
	resume()
	var others sync.WaitGroup
	defer others.Wait()
	others.Go(func() { h.disturbOwner(r) })
	others.Go(func() { h.listLater(at) })
	late := min(r.run, lateStarts)
	pause.For(submitting, r.run-late)
	if r.lateAtCut {
		each(func(i *instance, _ *proxy) { i.setStartDelay(r.startDelay) })
	}
	pause.For(submitting, late)

	underWay := map[*instance][]*taskRun{}
	each(func(i *instance, p *proxy) {
		p.cut(r.cutMode)
		i.setStartDelay(0)
		underWay[i] = i.runsSince(r.restartedAt)
		early -= i.earlyStarts()
	})
	stop()
	if r.again > 0 {
		pause.For(context.Background(), r.again)
		each(func(i *instance, _ *proxy) { i.restart(i.kind(false)) })
		others.Go(func() { h.listLater(at) })
	}
	pause.For(context.Background(), r.cutFor-r.again)
	each(func(_ *instance, p *proxy) { p.cut(pass) })
	r.shown = h.countEffects(underWay, -early)
}

// countEffects counts what a round has shown, and returns it: the runs that were under
// way at the cut, how many of them ended with their lease, and how many early starts
// there were.
func (h *harness) countEffects(underWay map[*instance][]*taskRun, early int) string {
	runs, lapsed := 0, 0
	for i, at := range underWay {
		lapsed += i.lapsed(at)
		runs += len(at)
		for range at {
			h.checker.exercise(judgeRestarted)
		}
	}
	if lapsed > 0 {
		h.checker.tookEffect(restartCutKind)
	}
	if lapsed+early > 0 {
		h.checker.tookEffect(seriesKind)
	}
	return fmt.Sprintf("%d runs at %d instances, %d lapsed, %d early starts", runs, len(underWay), lapsed, early)
}

// listLater writes the entries of instances that have restarted.
func (h *harness) listLater(at []int) {
	time.Sleep(entryDelay)
	for _, n := range at {
		h.list(h.instances[n])
	}
}

// awaitHold waits for a hold call to arrive: the owner waits longest then before it
// notices a restart.
func (i *instance) awaitHold() {
	holds := i.holdCount()
	for end := time.Now().Add(holdTimeout); i.holdCount() == holds && time.Now().Before(end); {
		time.Sleep(pollInterval)
	}
}

// submitLongJobs lets callers submit jobs with long tasks, most of them with data at some
// instances, until the context ends.
func (h *harness) submitLongJobs(ctx context.Context, wg *sync.WaitGroup, pools []string, at []int) {
	for range longCallerCount {
		h.longCallersMu.Lock()
		c := newCaller(h, h.seed, callerCount+len(h.longCallers))
		h.longCallers = append(h.longCallers, c)
		h.longCallersMu.Unlock()
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				pool := pools[c.random.IntN(len(pools))]
				p := &jobPlan{id: fmt.Sprintf("%08x%08x", c.name+1, n), kind: pastLease, queue: h.operator.queueOf(pool), runTime: pastLeaseTime}
				p.payload = fmt.Sprint("payload of ", p.id)
				step := stepPlan{count: 1 + c.random.IntN(3), cpu: smallCPU}
				if i := h.instances[at[c.random.IntN(len(at))]]; i.pool == pool && c.random.IntN(4) > 0 {
					step.affinity = i.rack()
				}
				p.steps = []stepPlan{step}
				c.submit(ctx, p)
				pause.For(ctx, time.Duration(50+c.random.IntN(250))*time.Millisecond)
			}
			c.repeats.Wait()
		})
	}
}

// queueOf returns a queue that is always sent to a pool.
func (o *operator) queueOf(pool string) *queue {
	if pool == firstPool {
		return o.queues[0]
	}
	return o.queues[1]
}

// disturbOwner kills or pauses the daemon with the unit of a round's first pool, and
// starts or continues it later.
func (h *harness) disturbOwner(r *round) {
	if !r.killed && !r.paused {
		return
	}
	time.Sleep(r.daemonAt)
	d := h.ownerOf(r.pools[0])
	if r.killed {
		d.signal(syscall.SIGKILL)
		time.Sleep(min(r.daemonFor, time.Second))
		h.restartDaemon(d)
		return
	}
	d.signal(syscall.SIGSTOP)
	time.Sleep(r.run - r.daemonAt + r.daemonFor)
	d.signal(syscall.SIGCONT)
}

// ownerOf returns the daemon with a pool's unit, or any if the unit has none.
func (h *harness) ownerOf(pool string) *process {
	store := h.store.Client()
	units, _ := store.Newest(context.Background(), "keyed.units", 0, "") // a client without faults can't fail
	owners, _ := store.Owners(context.Background(), ownership.Group)
	for _, unit := range units.Records {
		for _, owner := range owners {
			if n, err := strconv.Atoi(string(unit.Value)); err != nil || unit.Key != pool || n != owner.Partition {
				continue
			}
			for _, d := range h.daemons {
				if d.isMember(owner.Member) {
					return d
				}
			}
		}
	}
	return h.daemons[0]
}
