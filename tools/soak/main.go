// Command soak runs the real daemons as separate processes against a simulated
// store and simulated instances, injects faults drawn from a seed from outside the
// processes, and checks the system's promises by what callers and instances
// observe.
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/beryltide/beryltide/internal/memstore"
	"github.com/beryltide/beryltide/internal/pause"
)

const (
	callerCount = 5
	// startupTime is how long the daemons get to start before the first call.
	startupTime = 1500 * time.Millisecond
	// settleTimeout is how long accepted jobs may take after the last fault: leases
	// of 6 s, a tenure's grace period of 3 s, and time for the queued jobs.
	settleTimeout  = 25 * time.Second
	settleInterval = 200 * time.Millisecond
	// maxPrintedViolations bounds the broken promises that are printed for a seed.
	maxPrintedViolations = 20
)

func main() {
	seeds := flag.String("seeds", "1", "the seeds, as FROM-TO or a list")
	length := flag.Duration("length", 15*time.Second, "how long faults are injected")
	parallel := flag.Int("parallel", 3, "number of seeds that run at a time")
	dir := flag.String("dir", "", "directory for settings and logs; a temporary one by default")
	flag.Parse()
	os.Exit(runSeeds(parseSeeds(*seeds), *length, *parallel, *dir))
}

func parseSeeds(text string) []uint64 {
	var out []uint64
	for _, part := range strings.Split(text, ",") {
		from, to, isRange := strings.Cut(part, "-")
		if !isRange {
			to = from
		}
		first, err := strconv.ParseUint(from, 10, 64)
		last, err2 := strconv.ParseUint(to, 10, 64)
		if err != nil || err2 != nil {
			fmt.Fprintln(os.Stderr, "soak: invalid seeds:", text)
			os.Exit(2)
		}
		for s := first; s <= last; s++ {
			out = append(out, s)
		}
	}
	return out
}

// runSeeds runs the seeds, parallel at a time, and returns the exit code.
func runSeeds(seeds []uint64, length time.Duration, parallel int, dir string) int {
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "soak"); err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
			return 2
		}
	}
	binary := filepath.Join(dir, "beryltided")
	if out, err := exec.Command("go", "build", "-o", binary, "./cmd/beryltided").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "soak: build: %s\n", out)
		return 2
	}
	shutDownOnSignal()
	var wg sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	slots := make(chan struct{}, parallel)
	for _, seed := range seeds {
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			report, ok := runSeed(seed, length, filepath.Join(dir, fmt.Sprint(seed)), binary)
			mu.Lock()
			defer mu.Unlock()
			fmt.Print(report)
			if !ok {
				failed++
			}
		}()
	}
	wg.Wait()
	fmt.Printf("%d passed, %d failed\n", len(seeds)-failed, failed)
	if failed > 0 {
		return 1
	}
	return 0
}

// activeHarnesses holds the *harness of each running seed as a key.
var activeHarnesses sync.Map

// shutDownOnSignal ends all daemons when the soak receives SIGTERM or SIGINT.
func shutDownOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		activeHarnesses.Range(func(h, _ any) bool {
			h.(*harness).shutDown()
			return true
		})
		os.Exit(1)
	}()
}

// runSeed runs one seed and returns its report and whether all promises were kept.
func runSeed(seed uint64, length time.Duration, dir, binary string) (string, bool) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Sprintf("seed %d: %s\n", seed, err), false
	}
	random := rand.New(rand.NewPCG(seed, 0))
	h, err := newHarness(seed, dir, binary, time.Duration(100+random.IntN(500))*time.Millisecond)
	if err != nil {
		return fmt.Sprintf("seed %d: %s\n", seed, err), false
	}
	activeHarnesses.Store(h, true)
	defer func() {
		activeHarnesses.Delete(h)
		h.shutDown()
	}()
	time.Sleep(startupTime)
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var wg sync.WaitGroup
	var all []*caller
	for n := range callerCount {
		c := newCaller(h, seed, n)
		all = append(all, c)
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.run(ctx)
		}()
	}
	schedule := h.injectFaults(ctx, random)
	wg.Wait()
	h.settle(all)
	violations := h.checker.violationTexts()
	if unfinished := h.checker.unfinished(); len(unfinished) > 0 {
		// The stacks that SIGQUIT writes to the logs show whether a daemon is stuck.
		h.eachDaemon(func(d *process) { d.signal(syscall.SIGQUIT) })
		time.Sleep(settleInterval)
		violations = append(violations, fmt.Sprintf("%d accepted jobs didn't end, the first %s", len(unfinished), unfinished[0]))
	}
	line := fmt.Sprintf("seed %d: %d jobs, %d starts, %d faults injected: %d promises broken\n", seed, len(h.checker.jobs), h.checker.startCount, len(schedule), len(violations))
	if len(violations) == 0 {
		return line, true
	}
	return line + "  schedule:\n    " + strings.Join(schedule, "\n    ") + "\n  broken:\n    " + strings.Join(violations[:min(len(violations), maxPrintedViolations)], "\n    ") + "\n  logs: " + dir + "\n", false
}

// settle queries the unfinished accepted jobs until they have ended, for at most
// settleTimeout.
func (h *harness) settle(all []*caller) {
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); time.Sleep(settleInterval) {
		unfinished := map[string]bool{}
		for _, id := range h.checker.unfinished() {
			unfinished[id] = true
		}
		if len(unfinished) == 0 {
			return
		}
		var wg sync.WaitGroup
		for _, c := range all {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.queryAll(unfinished)
			}()
		}
		wg.Wait()
	}
}

// injectFaults draws faults until the context ends, undoes them all and returns the
// schedule. Faults may overlap.
func (h *harness) injectFaults(ctx context.Context, random *rand.Rand) []string {
	start := time.Now()
	var schedule []string
	var wg sync.WaitGroup
	for ctx.Err() == nil {
		f := h.drawFault(random)
		duration := time.Duration(300+random.IntN(4000)) * time.Millisecond
		schedule = append(schedule, fmt.Sprintf("%6.2f s  %s for %s", time.Since(start).Seconds(), f.name, duration))
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.begin()
			pause.For(ctx, duration)
			f.end()
		}()
		pause.For(ctx, time.Duration(200+random.IntN(2500))*time.Millisecond)
	}
	wg.Wait()
	return schedule
}

// fault is a disruption: begin starts it and end undoes it.
type fault struct {
	name       string
	begin, end func()
}

// drawFault draws a fault. The order and number of the draws fix a seed's schedule.
func (h *harness) drawFault(random *rand.Rand) fault {
	d := h.daemons[random.IntN(len(h.daemons))]
	n := random.IntN(len(h.instances))
	i, instanceProxy := h.instances[n], h.instanceProxies[n]
	modes := []mode{slow, silent, oneWay, reset}
	m := modes[random.IntN(len(modes))]
	names := map[mode]string{slow: "slow", silent: "silent", oneWay: "cut one way", reset: "reset"}
	faults := []fault{
		{d.name + " killed", func() { d.signal(syscall.SIGKILL) }, func() { h.restartDaemon(d) }},
		{d.name + " terminated", func() { d.signal(syscall.SIGTERM) }, func() { h.restartDaemon(d) }},
		{d.name + " paused", func() { d.signal(syscall.SIGSTOP) }, func() { d.signal(syscall.SIGCONT) }},
		{"all daemons killed", func() { h.eachDaemon(func(d *process) { d.signal(syscall.SIGKILL) }) }, func() { h.eachDaemon(h.restartDaemon) }},
		{d.name + "'s link to the store " + names[m], func() { d.storeProxy.set(m) }, func() { d.storeProxy.set(pass) }},
		{"all links to the store " + names[m], func() { h.eachDaemon(func(d *process) { d.storeProxy.set(m) }) }, func() { h.eachDaemon(func(d *process) { d.storeProxy.set(pass) }) }},
		{i.id + "'s link " + names[m], func() { instanceProxy.set(m) }, func() { instanceProxy.set(pass) }},
		{i.id + " restarts", func() { instanceProxy.set(reset); i.restart() }, func() { instanceProxy.set(pass) }},
		{i.id + " executes starts late", func() { i.setStartDelay(1500 * time.Millisecond) }, func() { i.setStartDelay(0) }},
		{"the store loses answers to " + d.name, func() { d.storeClient.SetFault(loseAppendAnswers(random.Uint64())) }, func() { d.storeClient.SetFault(nil) }},
		{"the store compacts its topics", h.store.Compact, func() {}},
		{"the store reassigns the units", func() { h.store.Reassign("owners") }, func() {}},
	}
	return faults[random.IntN(len(faults))]
}

func (h *harness) eachDaemon(do func(*process)) {
	for _, d := range h.daemons {
		do(d)
	}
}

// restartDaemon ends a daemon, if it still runs, and starts it again. Concurrent
// faults restart it one after the other.
func (h *harness) restartDaemon(d *process) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.signal(syscall.SIGCONT)
	d.signal(syscall.SIGTERM)
	if err := d.restart(h.binary); err != nil {
		fmt.Fprintln(os.Stderr, d.name, err)
	}
}

func (i *instance) setStartDelay(d time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.startDelay = d
}

// loseAppendAnswers returns a fault function that loses a quarter of the answers to
// appends, drawn from the seed.
func loseAppendAnswers(seed uint64) func(string) memstore.Fault {
	random := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	return func(call string) memstore.Fault {
		mu.Lock()
		defer mu.Unlock()
		if call == "append" && random.IntN(4) == 0 {
			return memstore.LoseAnswer
		}
		return memstore.None
	}
}
