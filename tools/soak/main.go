// Command soak runs the real daemons as processes of their own against
// stand-ins of the store and of instances, injects faults drawn from a seed from
// outside them, and judges the promises by what callers and instances see.
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
)

const (
	callers = 5
	// startTime is given to the daemons before the first call.
	startTime = 1500 * time.Millisecond
	// settleTime is how long accepted jobs may take after the last fault: leases
	// of 6 s, a tenure's grace of 3 s, and room for what waits.
	settleTime = 25 * time.Second
	settleStep = 200 * time.Millisecond
	// toldFaults bounds the broken promises that are told of a seed.
	toldFaults = 20
)

func main() {
	seeds := flag.String("seeds", "1", "the seeds, as FROM-TO or a list")
	length := flag.Duration("length", 15*time.Second, "for how long faults are injected")
	parallel := flag.Int("parallel", 3, "how many seeds run at a time")
	dir := flag.String("dir", "", "where logs are kept; a temporary directory by default")
	flag.Parse()
	os.Exit(soak(parseSeeds(*seeds), *length, *parallel, *dir))
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
			fmt.Fprintln(os.Stderr, "soak: seeds:", text)
			os.Exit(2)
		}
		for s := first; s <= last; s++ {
			out = append(out, s)
		}
	}
	return out
}

// soak runs the seeds and returns the exit code.
func soak(seeds []uint64, length time.Duration, parallel int, dir string) int {
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
	endOnSignal()
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

// worlds holds the *world of each seed that runs.
var worlds sync.Map

// endOnSignal ends all daemons when the soak is told to end.
func endOnSignal() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-told
		worlds.Range(func(w, _ any) bool {
			w.(*world).end()
			return true
		})
		os.Exit(1)
	}()
}

// runSeed plays one seed and returns what is to be told of it.
func runSeed(seed uint64, length time.Duration, dir, binary string) (string, bool) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Sprintf("seed %d: %s\n", seed, err), false
	}
	random := rand.New(rand.NewPCG(seed, 0))
	w, err := newWorld(seed, dir, binary, time.Duration(100+random.IntN(500))*time.Millisecond)
	if err != nil {
		return fmt.Sprintf("seed %d: %s\n", seed, err), false
	}
	worlds.Store(w, true)
	defer func() {
		worlds.Delete(w)
		w.end()
	}()
	time.Sleep(startTime)
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var wg sync.WaitGroup
	var all []*caller
	for n := range callers {
		c := newCaller(w, seed, n)
		all = append(all, c)
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.run(ctx)
		}()
	}
	schedule := w.injectFaults(ctx, random)
	wg.Wait()
	w.settle(all)
	faults := w.judge.faults()
	if left := w.judge.unfinished(); len(left) > 0 {
		// Their stacks, in the logs, show whether a daemon stands still.
		w.eachDaemon(func(d *process) { d.signal(syscall.SIGQUIT) })
		time.Sleep(settleStep)
		faults = append(faults, fmt.Sprintf("%d accepted jobs didn't end, the first %s", len(left), left[0]))
	}
	line := fmt.Sprintf("seed %d: %d jobs, %d starts, %d faults injected: %d promises broken\n", seed, len(w.judge.jobs), w.judge.starts, len(schedule), len(faults))
	if len(faults) == 0 {
		return line, true
	}
	return line + "  schedule:\n    " + strings.Join(schedule, "\n    ") + "\n  broken:\n    " + strings.Join(faults[:min(len(faults), toldFaults)], "\n    ") + "\n  logs: " + dir + "\n", false
}

// settle asks for all accepted jobs until they have ended.
func (w *world) settle(all []*caller) {
	for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(settleStep) {
		left := map[string]bool{}
		for _, id := range w.judge.unfinished() {
			left[id] = true
		}
		if len(left) == 0 {
			return
		}
		var wg sync.WaitGroup
		for _, c := range all {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.askAll(left)
			}()
		}
		wg.Wait()
	}
}

// injectFaults draws faults until the context ends, undoes them all, and returns
// the schedule. They overlap, and come in series.
func (w *world) injectFaults(ctx context.Context, random *rand.Rand) []string {
	began := time.Now()
	var schedule []string
	var wg sync.WaitGroup
	for ctx.Err() == nil {
		f := w.draw(random)
		lasts := time.Duration(300+random.IntN(4000)) * time.Millisecond
		schedule = append(schedule, fmt.Sprintf("%6.2f s  %s for %s", time.Since(began).Seconds(), f.name, lasts))
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.begin()
			sleepUntil(ctx, lasts)
			f.end()
		}()
		sleepUntil(ctx, time.Duration(200+random.IntN(2500))*time.Millisecond)
	}
	wg.Wait()
	return schedule
}

func sleepUntil(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// fault is one disruption, and how it is undone.
type fault struct {
	name       string
	begin, end func()
}

func (w *world) draw(random *rand.Rand) fault {
	d := w.daemons[random.IntN(len(w.daemons))]
	n := random.IntN(len(w.instances))
	i, link := w.instances[n], w.links[n]
	modes := []mode{slow, silent, oneWay, reset}
	m := modes[random.IntN(len(modes))]
	names := map[mode]string{slow: "slow", silent: "silent", oneWay: "cut one way", reset: "reset"}
	faults := []fault{
		{d.name + " killed", func() { d.signal(syscall.SIGKILL) }, func() { w.again(d) }},
		{d.name + " terminated", func() { d.signal(syscall.SIGTERM) }, func() { w.again(d) }},
		{d.name + " paused", func() { d.signal(syscall.SIGSTOP) }, func() { d.signal(syscall.SIGCONT) }},
		{"all daemons killed", func() { w.eachDaemon(func(d *process) { d.signal(syscall.SIGKILL) }) }, func() { w.eachDaemon(w.again) }},
		{d.name + "'s link to the store " + names[m], func() { d.link.set(m) }, func() { d.link.set(pass) }},
		{"all links to the store " + names[m], func() { w.eachDaemon(func(d *process) { d.link.set(m) }) }, func() { w.eachDaemon(func(d *process) { d.link.set(pass) }) }},
		{i.id + "'s link " + names[m], func() { link.set(m) }, func() { link.set(pass) }},
		{i.id + " ends and starts anew", func() { link.set(reset); i.rebirth() }, func() { link.set(pass) }},
		{i.id + " carries starts out late", func() { i.setLate(1500 * time.Millisecond) }, func() { i.setLate(0) }},
		{"the store loses answers to " + d.name, func() { d.log.SetFault(loseSome(random.Uint64())) }, func() { d.log.SetFault(nil) }},
		{"the store drops its history", w.store.Compact, func() {}},
		{"the store deals units anew", func() { w.store.Reassign("owners") }, func() {}},
	}
	return faults[random.IntN(len(faults))]
}

func (w *world) eachDaemon(do func(*process)) {
	for _, d := range w.daemons {
		do(d)
	}
}

// again starts a daemon that was ended, once.
func (w *world) again(d *process) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.signal(syscall.SIGCONT)
	d.signal(syscall.SIGTERM)
	if err := d.restart(w.binary); err != nil {
		fmt.Fprintln(os.Stderr, d.name, err)
	}
}

func (i *instance) setLate(d time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lateStarts = d
}

// loseSome loses a quarter of the answers to writes.
func loseSome(seed uint64) func(string) memstore.Fault {
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
