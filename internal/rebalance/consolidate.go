package rebalance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/beryltide/beryltide/internal/machine"
)

const (
	// lendBacklog is the backlog of a pool from which the others lend it machines of
	// their base size: it then needs longer for its work than a machine needs to come
	// back.
	lendBacklog = 2 * time.Second
	// keptBaseShare is the part of its base size that a pool keeps while it lends.
	keptBaseShare = 0.5
	// fragmentation is the part of a pool's need that it keeps beyond it, since tasks
	// leave remainders of machines unused.
	fragmentation = 0.15
)

// overloaded reports whether a pool lacks machines and has more than lendBacklog of work.
func overloaded(shortages []shortage) bool {
	return slices.ContainsFunc(shortages, func(n shortage) bool { return n.missing > 0 && n.backlog() > lendBacklog })
}

// consolidate moves busy machines from pools that need fewer than they have to those
// that lack some. It serves the end of a pool's peak: its last tasks and those of jobs
// without value left are spread over many machines, of which few are idle, while the
// next pool's peak begins. The tasks that run end first, and new ones start on the
// machines that are kept.
func (s Snapshot) consolidate(shortages []shortage, taken map[string]bool) []Move {
	var moves []Move
	lend := overloaded(shortages)
	for _, pool := range slices.Sorted(maps.Keys(s.Demand)) {
		for _, m := range s.surplus(pool, taken, lend) {
			neediest := longestBacklog(shortages, pool)
			if neediest == nil {
				break
			}
			moves = append(moves, Move{Machine: m.Name, From: pool, To: neediest.pool, Instance: m.Instance, Busy: true})
			neediest.take(m)
		}
	}
	return moves
}

// surplus returns the machines that a pool doesn't need, the one with the fewest runs
// first: those beyond its long-running tasks and its running, waiting or forecast work.
// Machines with tasks that don't end by themselves stay.
func (s Snapshot) surplus(pool string, taken map[string]bool, lend bool) []machine.Machine {
	d := s.Demand[pool]
	if pool == s.SparePool || d.WaitingCPU > 0 {
		return nil
	}
	keep := max(s.minSizes(lend)[pool], s.neededMachines(d))
	size := 0
	var out []machine.Machine
	for _, m := range s.byName() {
		if m.Pool != pool || taken[m.Name] || s.Busy[m.Name] || m.State != machine.Up {
			continue
		}
		i, listed := d.Instances[m.Instance]
		if !listed || !i.Usable {
			continue
		}
		size++
		if i.Lasting == 0 && i.Backfill == 0 && !i.Awaited {
			out = append(out, m)
		}
	}
	slices.SortStableFunc(out, func(a, b machine.Machine) int {
		return cmp.Compare(d.Instances[a.Instance].Runs, d.Instances[b.Instance].Runs)
	})
	return out[:min(len(out), max(size-keep, 0))]
}

// neededMachines returns how many machines a pool needs for what it runs and for what is
// forecast.
func (s Snapshot) neededMachines(d Demand) int {
	need := float64(d.LastingCPU+max(d.ArrivingCPU, d.BusyCPU)) * (1 + fragmentation)
	machineCPU := max(s.meanMachineCPU(), 1)
	return (int(need) + machineCPU - 1) / machineCPU
}
