package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/beryltide/beryltide/internal/memstore"
	"github.com/beryltide/beryltide/internal/pause"
)

// fault is a disruption: begin starts it, effect reports whether it can be seen to have
// an effect, and end undoes it.
type fault struct {
	kind, name string
	begin      func()
	effect     func() bool
	end        func()
	// hidden reports whether another fault keeps it from having an effect; nil if none can.
	hidden func() bool
}

// drainingInstance is the index of the instance that drains for good; no other fault
// concerns it.
const drainingInstance = 0

// drainAfter is when it begins to drain.
const drainAfter = time.Second

const (
	// effectTimeout is how much longer a fault lasts that hasn't taken effect yet: no call
	// may have come by, or another fault has ended the process.
	effectTimeout  = 12 * time.Second
	effectInterval = 50 * time.Millisecond
)

// injectFaults draws faults until the context ends, undoes them all and returns the
// schedule. Faults may overlap. Beside them, the operator and some instances do what
// each seed needs once.
func (h *harness) injectFaults(ctx context.Context, random *rand.Rand) []string {
	start := time.Now()
	var schedule []string
	var wg sync.WaitGroup
	wg.Go(func() { h.changeOnce(ctx) })
	wg.Go(func() { h.cutWithManyEnds(ctx) })
	var rounds, deals, clocks, failing, outage []string
	wg.Go(func() { rounds = h.restartsInSeries(ctx) })
	wg.Go(func() { deals = h.dealAnewInSeries(ctx) })
	wg.Go(func() { failing = h.gangsFailInSeries(ctx) })
	wg.Go(func() { clocks = h.clocksApartBesideOthers(ctx) })
	if h.seed%seedsPerOutage == 0 {
		wg.Go(func() { outage = h.outageOfAll(ctx) })
	}
	for ctx.Err() == nil {
		f := h.drawFault(random)
		duration := time.Duration(300+random.IntN(4000)) * time.Millisecond
		schedule = append(schedule, fmt.Sprintf("%6.2f s  %s for %s", time.Since(start).Seconds(), f.name, duration))
		wg.Go(func() { h.inject(ctx, f, duration) })
		pause.For(ctx, time.Duration(200+random.IntN(2500))*time.Millisecond)
	}
	wg.Wait()
	return slices.Concat(schedule, rounds, deals, clocks, failing, outage, h.clocksApartAlone())
}

func (h *harness) inject(ctx context.Context, f fault, duration time.Duration) {
	h.checker.drew(f.kind)
	f.begin()
	pause.For(ctx, duration)
	for end := time.Now().Add(effectTimeout); !f.effect() && time.Now().Before(end); {
		if f.hidden != nil && f.hidden() {
			end = time.Now().Add(effectTimeout)
		}
		time.Sleep(effectInterval)
	}
	if f.effect() {
		h.checker.tookEffect(f.kind)
	}
	f.end()
}

// moveAfter is when the operator first sends a queue to another pool.
const moveAfter = 4 * time.Second

// changeOnce withdraws a key, drains an instance and sends a queue to another pool.
func (h *harness) changeOnce(ctx context.Context) {
	pause.For(ctx, withdrawAfter)
	h.operator.withdrawKey()
	pause.For(ctx, drainAfter-withdrawAfter)
	i := h.instances[drainingInstance]
	i.mu.Lock()
	i.drainingSince = time.Now()
	i.mu.Unlock()
	h.checker.beginDrain()
	h.list(i)
	pause.For(ctx, moveAfter-drainAfter)
	h.operator.moveQueue()
}

// cutKind is the kind of the fault of cutWithManyEnds.
const cutKind = "cut with many ends"

// cutWithManyEnds cuts off an instance while more tasks end there than it lists at
// once, for less than its lease.
func (h *harness) cutWithManyEnds(ctx context.Context) {
	h.checker.drew(cutKind)
	drawn, _ := ctx.Deadline()
	for time.Now().Before(drawn.Add(seriesTimeout)) {
		for n, i := range h.instances {
			if i.runsOf(manyEnds) <= endsPerListing {
				continue
			}
			// The cut lets no more tasks start.
			for runs := 0; runs < i.runsOf(manyEnds); time.Sleep(effectInterval) {
				runs = i.runsOf(manyEnds)
			}
			h.instanceProxies[n].set(silent)
			pause.For(context.Background(), manyEndsTime+500*time.Millisecond)
			i.mu.Lock()
			unlisted := len(i.unackedEnds) > endsPerListing
			i.mu.Unlock()
			h.instanceProxies[n].set(pass)
			if unlisted {
				h.checker.tookEffect(cutKind)
				return
			}
		}
		time.Sleep(pollInterval)
	}
}

// drawFault draws a fault. The order and number of the draws fix a seed's schedule.
func (h *harness) drawFault(random *rand.Rand) fault {
	d := h.daemons[random.IntN(len(h.daemons))]
	n := drainingInstance + 1 + random.IntN(len(h.instances)-drainingInstance-1)
	modes := []mode{slow, silent, oneWay, reset}
	m := modes[random.IntN(len(modes))]
	lost := random.Uint64()
	faults := []func() fault{
		func() fault { return h.signalFault(d, "killed", syscall.SIGKILL) },
		func() fault { return h.signalFault(d, "terminated", syscall.SIGTERM) },
		func() fault { return pauseFault(d) },
		h.killAllFault,
		func() fault { return linkFault("link to the store", d.name+"'s", m, d.storeProxy) },
		func() fault {
			var all []*proxy
			h.eachDaemon(func(d *process) { all = append(all, d.storeProxy) })
			return linkFault("links to the store", "all", m, all...)
		},
		func() fault { return linkFault("link of an instance", h.instances[n].id+"'s", m, h.instanceProxies[n]) },
		func() fault { return h.restartFault(n, false) },
		func() fault { return h.restartFault(len(h.instances)-1-n%2, true) },
		func() fault { return h.lateFault(h.instances[n].pool) },
		func() fault { return lostAnswersFault(d, lost) },
		h.compactFault,
		h.reassignFault,
		func() fault { return h.configurationFault("a queue moves", h.operator.moveQueue, func() {}) },
		h.removalFault,
	}
	return faults[random.IntN(len(faults))]()
}

func (h *harness) signalFault(d *process, what string, s syscall.Signal) fault {
	sent := false
	return fault{
		kind: "daemon " + what, name: d.name + " " + what,
		begin: func() { sent = d.signal(s) },
		// The process is waited for before it starts again.
		effect: func() bool {
			sent = sent || d.signal(s)
			return sent
		},
		end: func() { h.restartDaemon(d) },
	}
}

func pauseFault(d *process) fault {
	stopped := false
	effect := func() bool {
		if !stopped && d.signal(syscall.SIGSTOP) {
			time.Sleep(effectInterval)
			stopped = d.stopped()
		}
		return stopped
	}
	return fault{
		kind: "daemon paused", name: d.name + " paused",
		begin: func() { effect() }, effect: effect, end: func() { d.signal(syscall.SIGCONT) },
	}
}

func (h *harness) killAllFault() fault {
	killed := false
	effect := func() bool {
		if !killed {
			h.eachDaemon(func(d *process) { killed = d.signal(syscall.SIGKILL) || killed })
		}
		return killed
	}
	return fault{
		kind: "all daemons killed", name: "all daemons killed",
		begin: func() { effect() }, effect: effect, end: func() { h.eachDaemon(h.restartDaemon) },
	}
}

func linkFault(what, whose string, m mode, links ...*proxy) fault {
	before := 0
	affected := func() int {
		sum := 0
		for _, p := range links {
			sum += p.affectedBy(m)
		}
		return sum
	}
	each := func(do func(*proxy, mode)) {
		for _, p := range links {
			do(p, m)
		}
	}
	return fault{
		kind: what + " " + m.String(), name: whose + " " + what + " " + m.String(),
		begin: func() { before = affected(); each((*proxy).set) },
		effect: func() bool {
			// Another fault of the link may have ended this one.
			each((*proxy).setIfPassing)
			return affected() > before
		},
		end:    func() { each((*proxy).unset) },
		hidden: func() bool { return slices.ContainsFunc(links, (*proxy).cutOff) },
	}
}

// restartFault restarts an instance, as its own or the other kind. Its entry shows the
// new incarnation a little later than it can be reached. The last instance of each pool
// alone changes its kind: jobs may need either label.
func (h *harness) restartFault(n int, otherKind bool) fault {
	i, instanceProxy := h.instances[n], h.instanceProxies[n]
	what := "instance restarts"
	if otherKind {
		what = "instance restarts as another kind"
	}
	before := 0
	return fault{
		kind: what, name: i.id + ": " + what,
		begin: func() {
			instanceProxy.set(reset)
			i.mu.Lock()
			before = i.restarts
			i.mu.Unlock()
			i.restart(i.kind(otherKind))
		},
		effect: func() bool {
			i.mu.Lock()
			defer i.mu.Unlock()
			return i.restarts > before
		},
		end: func() {
			instanceProxy.set(pass)
			time.Sleep(entryDelay)
			h.list(i)
		},
	}
}

// lateFault lets all instances of a pool execute starts late.
func (h *harness) lateFault(pool string) fault {
	const late = 1500 * time.Millisecond
	set := func(d time.Duration) int {
		delayed := 0
		for _, i := range h.instances {
			i.mu.Lock()
			if i.pool == pool {
				i.startDelay = d
			}
			delayed += i.delayed
			i.mu.Unlock()
		}
		return delayed
	}
	before := 0
	return fault{
		kind: "starts executed late", name: "instances of " + pool + " execute starts late",
		begin: func() { before = set(late) }, effect: func() bool { return set(late) > before }, end: func() { set(0) },
	}
}

// lostAnswersFault loses a quarter of the answers to a daemon's appends, drawn from a
// seed.
func lostAnswersFault(d *process, seed uint64) fault {
	random := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	lost := 0
	lose := func(call string) memstore.Fault {
		mu.Lock()
		defer mu.Unlock()
		if call == "append" && random.IntN(4) == 0 {
			lost++
			return memstore.LoseAnswer
		}
		return memstore.None
	}
	return fault{
		kind: "answers of the store lost", name: "the store loses answers to " + d.name,
		begin: func() { d.storeClient.SetFault(lose) },
		effect: func() bool {
			mu.Lock()
			defer mu.Unlock()
			return lost > 0
		},
		end: func() { d.storeClient.SetFault(nil) },
	}
}

func (h *harness) compactFault() fault {
	dropped := 0
	return fault{
		kind: "store compacts", name: "the store compacts its topics",
		begin: func() { dropped = h.store.Compact() }, effect: func() bool { return dropped > 0 }, end: func() {},
	}
}

func (h *harness) reassignFault() fault {
	moved := false
	effect := func() bool {
		// A single member keeps all units.
		moved = moved || h.store.Reassign("owners")
		return moved
	}
	return fault{
		kind: "units reassigned", name: "the store reassigns the units",
		begin: func() { effect() }, effect: effect, end: func() {},
	}
}

// removalFault removes a queue until a submission to it has been refused.
func (h *harness) removalFault() fault {
	f := h.configurationFault("a queue is removed", func() { h.operator.setRemoved(true) }, func() { h.operator.setRemoved(false) })
	refused, begin := 0, f.begin
	f.begin = func() { refused = h.checker.judged(judgeRefused); begin() }
	f.effect = func() bool { return h.checker.judged(judgeRefused) > refused }
	return f
}

func (h *harness) configurationFault(kind string, begin, end func()) fault {
	before := 0
	version := func() int {
		h.operator.mu.Lock()
		defer h.operator.mu.Unlock()
		return h.operator.version
	}
	return fault{
		kind: kind, name: kind,
		begin: func() { before = version(); begin() }, effect: func() bool { return version() > before }, end: end,
	}
}
