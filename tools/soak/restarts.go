package main

import (
	"encoding/json"
	"time"

	"github.com/beryltide/beryltide/internal/job"
)

const (
	// firstClockMS is where the clock of an instance's first incarnation starts, and
	// restartClockMS how much lower that of the next one does.
	firstClockMS, restartClockMS = 10_000_000, 60_000
	// entryDelay is how long a change at an instance takes until its entry shows it.
	entryDelay = 300 * time.Millisecond
)

// The kinds of instances: what they have, and the label that tasks may require. A
// restarted instance may be of another kind.
var (
	labels   = []string{"a", "b"}
	kindCPUs = []int{8000, 4000}
)

// restart loses all runs and state and starts a new incarnation of a kind under the
// same name.
func (i *instance) restart(kind int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, r := range i.runs {
		r.how = job.EndLost
		i.checker.ended(i, r, job.EndLost)
		i.gangs.left(r, job.EndLost)
	}
	i.cpu, i.label, i.drainingSince = kindCPUs[kind], labels[kind], time.Time{}
	i.startedAt, i.listed, i.fence, i.leaseUntil, i.lastEnd = time.Now(), false, 0, 0, 0
	i.runs, i.lastRun, i.unackedEnds = map[job.TaskID]*taskRun{}, map[job.TaskID]int{}, nil
	i.restarts++
}

// kind returns the current incarnation's kind, or the other one.
func (i *instance) kind(other bool) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	if (i.cpu == kindCPUs[0]) == other {
		return 1
	}
	return 0
}

func (i *instance) rack() string { return "rack-" + i.id }

// entry returns the instance's entry of the registry.
func (i *instance) entry() []byte {
	i.mu.Lock()
	defer i.mu.Unlock()
	state := "ready"
	if !i.drainingSince.IsZero() {
		state = "draining"
	}
	data, err := json.Marshal(map[string]any{
		"service": i.pool, "address": i.address, "zone": i.dataCentre, "state": state, "labels": []string{i.label, i.rack()},
		"capacity": map[string]int{"cpu": i.cpu, "mem_mb": 8000}, "born": i.startedAt.UnixMilli(),
	})
	if err != nil {
		panic(err) // strings and numbers can be encoded
	}
	return data
}

// clockMS returns the instance's monotonic clock in milliseconds. That of each incarnation
// starts lower, as after a long life of the former one.
func (i *instance) clockMS() int64 {
	return firstClockMS - int64(i.restarts)*restartClockMS + time.Since(i.startedAt).Milliseconds()
}

// runsSince returns the runs that have started since a time and are under way.
func (i *instance) runsSince(t time.Time) []*taskRun {
	i.mu.Lock()
	defer i.mu.Unlock()
	var out []*taskRun
	for _, r := range i.runs {
		if r.startedAt.After(t) {
			out = append(out, r)
		}
	}
	return out
}

// runsOf returns how many tasks of jobs of a kind run there.
func (i *instance) runsOf(kind jobKind) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := 0
	for _, r := range i.runs {
		if r.plan.kind == kind {
			n++
		}
	}
	return n
}

// lapsed returns how many of some runs have ended with their lease.
func (i *instance) lapsed(runs []*taskRun) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := 0
	for _, r := range runs {
		if r.how == job.EndLapsed {
			n++
		}
	}
	return n
}

// earlyStarts returns how many runs have started before their incarnation had answered a
// hold call.
func (i *instance) earlyStarts() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.early
}

func (i *instance) holdCount() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.holds
}

func (i *instance) setStartDelay(d time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.startDelay = d
}
