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
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	callerCount = 5
	// startupTime is how long the daemons get to start before the first call.
	startupTime = 1500 * time.Millisecond
	// settleTimeout is how long accepted jobs may take after the last fault: the longest
	// lease, a tenure's grace period of 3 s, a task that runs longer than a lease, and
	// time for the queued jobs.
	settleTimeout  = 40 * time.Second
	settleInterval = 200 * time.Millisecond
	// maxPrintedViolations bounds the broken promises that are printed for a seed.
	maxPrintedViolations = 20
)

func main() {
	seeds := flag.String("seeds", "1", "the seeds, as FROM-TO or a list")
	o := options{settle: settleTimeout}
	flag.DurationVar(&o.length, "length", 16*time.Second, "how long faults are injected")
	flag.IntVar(&o.parallel, "parallel", 3, "number of seeds that run at a time")
	flag.StringVar(&o.dir, "dir", "", "directory for settings and logs; a temporary one by default")
	flag.BoolVar(&o.allJudges, "all-judges", false, "fail if a judge has nothing to judge in all seeds together")
	flag.StringVar(&o.source, "source", ".", "the source tree whose daemon is built, to try an earlier version")
	largest := flag.String("largest", "", `a large job beside the others: "large", or "at the limit" of what the product accepts`)
	flag.Parse()
	o.largest = jobKind(*largest)
	os.Exit(runSeeds(o, parseSeeds(*seeds)))
}

// options are the command's flags.
type options struct {
	length   time.Duration
	parallel int
	dir      string
	// source is the tree whose daemon is built.
	source    string
	allJudges bool
	// settle is how long accepted jobs may take after the last fault.
	settle time.Duration
	// prepare changes a seed's harness before its daemons start; nil if it needn't.
	prepare func(*harness)
	// largest is the kind of a large job to submit beside the others; empty for none.
	largest jobKind
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

// runSeeds runs the seeds, some at a time, and returns the exit code.
func runSeeds(o options, seeds []uint64) int {
	if o.dir == "" {
		var err error
		if o.dir, err = os.MkdirTemp("", "soak"); err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
			return 2
		}
	}
	binary := filepath.Join(o.dir, "beryltided")
	if err := buildDaemon(o.source, binary); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return 2
	}
	shutDownOnSignal()
	var wg sync.WaitGroup
	var mu sync.Mutex
	failed, together := 0, counts{exercised: map[judge]int{}}
	slots := make(chan struct{}, o.parallel)
	for _, seed := range seeds {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			report, n, ok := runSeed(o, seed, filepath.Join(o.dir, fmt.Sprint(seed)), binary)
			mu.Lock()
			defer mu.Unlock()
			fmt.Print(report)
			if !ok {
				failed++
			}
			for j, count := range n.exercised {
				together.exercised[j] += count
			}
		})
	}
	wg.Wait()
	missing := together.notExercised()
	fmt.Printf("not exercised in any seed: %q\n%d passed, %d failed\n", missing, len(seeds)-failed, failed)
	if failed > 0 || o.allJudges && len(missing) > 0 {
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

// runSeed runs one seed and returns its report, its counts and whether all promises
// were kept.
func runSeed(o options, seed uint64, dir, binary string) (string, counts, bool) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Sprintf("seed=%d error=%q\n", seed, err), counts{}, false
	}
	random := rand.New(rand.NewPCG(seed, 0))
	h, err := newHarness(seed, dir, binary, time.Duration(100+random.IntN(500))*time.Millisecond, o.prepare)
	if h != nil {
		activeHarnesses.Store(h, true)
		defer func() {
			activeHarnesses.Delete(h)
			h.shutDown()
		}()
	}
	if err != nil {
		return fmt.Sprintf("seed=%d error=%q\n", seed, err), counts{}, false
	}
	time.Sleep(startupTime)
	schedule := h.disturb(o, random)
	if err := os.WriteFile(filepath.Join(dir, "schedule.txt"), []byte(strings.Join(schedule, "\n")+"\n"), 0o600); err != nil {
		h.checker.report("%s", err)
	}
	violations, n := h.checker.result()
	if unfinished := h.checker.unfinished(); len(unfinished) > 0 {
		// The stacks that SIGQUIT writes to the logs show whether a daemon is stuck.
		h.eachDaemon(func(d *process) { d.signal(syscall.SIGQUIT) })
		time.Sleep(settleInterval)
		violations = append([]string{fmt.Sprintf("%d accepted jobs didn't end, the first %s", len(unfinished), unfinished[0])}, violations...)
	}
	shortfalls := n.shortfalls()
	report := fmt.Sprintf("seed=%d %s broken=%d not_exercised=%q\n", seed, n.text(), len(violations), n.notExercised())
	if len(violations) == 0 && len(shortfalls) == 0 {
		return report, n, true
	}
	return report + "  schedule:\n    " + strings.Join(schedule, "\n    ") +
		"\n  too little work:\n    " + strings.Join(shortfalls, "\n    ") +
		"\n  broken:\n    " + strings.Join(violations[:min(len(violations), maxPrintedViolations)], "\n    ") + "\n  logs: " + dir + "\n", n, false
}

// disturb lets callers work while faults are injected and until these have taken effect,
// waits for the jobs to end and returns the schedule of the faults.
func (h *harness) disturb(o options, random *rand.Rand) []string {
	ctx, cancel := context.WithTimeout(context.Background(), o.length)
	defer cancel()
	working, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	var all []*caller
	for n := range callerCount {
		c := newCaller(h, h.seed, n)
		all = append(all, c)
		var first []jobKind
		for k := n; k < len(rareKinds); k += callerCount {
			first = append(first, rareKinds[k])
		}
		if n == callerCount-1 && o.largest != "" {
			first = append(first, o.largest)
		}
		wg.Go(func() { c.run(working, first) })
	}
	service := newCaller(h, h.seed, longRunningCaller)
	wg.Go(func() { service.submitLongRunning(working) })
	schedule := h.injectFaults(ctx, random)
	stop()
	wg.Wait()
	h.awaitLongRunning(service.jobs)
	h.settle(append(all, h.longCallers...), o.settle)
	all[0].checkWithdrawnKey()
	return schedule
}

// settle queries the unfinished accepted jobs until they have ended, for at most a
// time.
func (h *harness) settle(all []*caller, timeout time.Duration) {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(settleInterval) {
		unfinished := map[string]bool{}
		for _, id := range h.checker.unfinished() {
			unfinished[id] = true
		}
		if len(unfinished) == 0 {
			h.checker.exercise(judgeEnds)
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
