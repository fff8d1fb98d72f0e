// Package rebalance decides which machines change their pool. A snapshot goes
// in, moves come out; it does no I/O and keeps nothing.
//
// The load it answers: pools ask by turns for several times their room for some
// seconds. A machine that is off costs nothing, so the spare pool lends to
// whichever pool has work waiting, and gets back what stands idle.
package rebalance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/beryltide/beryltide/internal/machine"
)

// Bounds of lending.
const (
	// minBacklog is how long a pool's waiting work must keep all its room busy
	// for a move to pay: a machine arrives after 1.5 s.
	minBacklog = 200 * time.Millisecond
	// idleBeforeReturn is for how long a machine must have nothing to do before it
	// is switched off: a move costs what a machine in a pool costs in a second.
	idleBeforeReturn = 800 * time.Millisecond
	// idleBeforeMove is for how long a machine must have nothing to do before
	// another pool gets it, so that a gap between two jobs isn't taken for idleness.
	idleBeforeMove = 300 * time.Millisecond
)

// Instance is what an owner tells of one of its instances.
type Instance struct {
	ID string
	// Runs counts recorded runs, Lasting those of lasting tasks.
	Runs    int
	Lasting int
	// IdleFor is for how long it has had no run.
	IdleFor time.Duration
}

// Demand is what an owner tells of a pool.
type Demand struct {
	// WaitingCPU is what tasks whose turn has come would take now, in
	// thousandths of a core; WaitingWork what they need, in core-seconds.
	WaitingCPU  int
	WaitingWork float64
	// ArrivingCPU is what work still to come is expected to keep busy when a machine
	// that is sent now has arrived; LastingCPU is what lasting tasks take.
	ArrivingCPU int
	LastingCPU  int
	// FreeCPU is what usable instances have free, UsableCPU all that they have.
	FreeCPU   int
	UsableCPU int
	Instances map[string]Instance
}

// Snapshot is what moves are decided from.
type Snapshot struct {
	Machines map[string]machine.Machine
	// Busy machines are in a wave, or have had an order shortly before.
	Busy   map[string]bool
	Demand map[string]Demand
	// Spare is the pool that lends; "" if there is none.
	Spare string
	// Base is how many machines each pool keeps.
	Base map[string]int
	// Arriving counts the machines on their way into each pool.
	Arriving map[string]int
	// Out are data centres that take no work.
	Out map[string]bool
}

// Move sends a machine to a pool.
type Move struct {
	Machine string
	From    string
	To      string
	// Instance is what it carries; empty for machines that are off.
	Instance string
}

// Plan returns the moves to make now.
func Plan(s Snapshot) []Move {
	if s.Spare == "" {
		return nil
	}
	moves := s.assignMachines()
	if len(moves) > 0 {
		return moves
	}
	return s.returnIdle()
}

// assignMachines sends spare machines, then idle ones of calm pools, to the pools whose
// work waits longest.
func (s Snapshot) assignMachines() []Move {
	shortages := s.shortages()
	if len(shortages) == 0 {
		return nil
	}
	var moves []Move
	for _, m := range s.available() {
		if len(shortages) == 0 {
			break
		}
		moves = append(moves, Move{Machine: m.Name, From: m.Pool, To: shortages[0].pool, Instance: m.Instance})
		shortages[0].missing--
		if shortages[0].missing <= 0 {
			shortages = shortages[1:]
		}
	}
	return moves
}

// available returns the machines that may go to another pool, those that are off
// first.
func (s Snapshot) available() []machine.Machine {
	var off []machine.Machine
	for _, m := range s.byName() {
		if m.Pool == s.Spare && m.State == machine.Up && !s.Busy[m.Name] && !s.Out[m.DataCentre] {
			off = append(off, m)
		}
	}
	return append(off, s.idle(idleBeforeMove, func(m machine.Machine) bool { return !s.Out[m.DataCentre] })...)
}

// idle returns the machines that have had nothing to do for some time, beyond
// what their pools keep. Those of a data centre that is out don't count as kept.
func (s Snapshot) idle(atLeast time.Duration, eligible func(machine.Machine) bool) []machine.Machine {
	size := map[string]int{}
	for _, m := range s.Machines {
		if !s.Out[m.DataCentre] {
			size[m.Pool]++
		}
	}
	minSizes := s.minSizes()
	var out []machine.Machine
	for _, m := range s.byName() {
		d, known := s.Demand[m.Pool]
		if !known || m.Pool == s.Spare || s.Busy[m.Name] || m.State != machine.Up || !eligible(m) {
			continue
		}
		i, listed := d.Instances[m.Instance]
		if !listed || i.Runs > 0 || i.IdleFor < atLeast {
			continue
		}
		if !s.Out[m.DataCentre] {
			if d.WaitingCPU > 0 || size[m.Pool] <= minSizes[m.Pool] {
				continue
			}
			size[m.Pool]--
		}
		out = append(out, m)
	}
	return out
}

// minSizes is how many machines each pool keeps: its base, and those for the work
// that is expected.
func (s Snapshot) minSizes() map[string]int {
	minSizes := maps.Clone(s.Base)
	machineCPU := max(s.meanMachineCPU(), 1)
	for pool, d := range s.Demand {
		if d.ArrivingCPU > 0 {
			minSizes[pool] = max(minSizes[pool], (d.ArrivingCPU+d.LastingCPU+machineCPU-1)/machineCPU)
		}
	}
	return minSizes
}

func (s Snapshot) byName() []machine.Machine {
	return slices.SortedFunc(maps.Values(s.Machines), func(a, b machine.Machine) int { return cmp.Compare(a.Name, b.Name) })
}

type shortage struct {
	pool    string
	backlog time.Duration
	missing int
}

// shortages returns the pools that need more machines, the worst off first.
func (s Snapshot) shortages() []shortage {
	var out []shortage
	machineCPU := s.meanMachineCPU()
	for pool, d := range s.Demand {
		if pool == s.Spare || machineCPU == 0 {
			continue
		}
		backlog := d.backlog()
		missing := d.expectedShortfall() / machineCPU
		if backlog > minBacklog {
			missing = max(missing, (d.WaitingCPU-d.FreeCPU)/machineCPU, minMissing(d))
		}
		if missing -= s.Arriving[pool]; missing > 0 {
			out = append(out, shortage{pool: pool, backlog: backlog, missing: missing})
		}
	}
	slices.SortFunc(out, func(a, b shortage) int {
		if d := cmp.Compare(b.backlog, a.backlog); d != 0 {
			return d
		}
		return cmp.Compare(a.pool, b.pool)
	})
	return out
}

// backlog is for how long the waiting work keeps all usable instances busy.
func (d Demand) backlog() time.Duration {
	if d.WaitingCPU == 0 {
		return 0
	}
	if d.UsableCPU == 0 {
		return endlessBacklog
	}
	return time.Duration(d.WaitingWork / float64(d.UsableCPU) * 1000 * float64(time.Second))
}

// expectedShortfall is what a pool is expectedShortfall to lack, in thousandths of a core.
func (d Demand) expectedShortfall() int {
	if d.ArrivingCPU == 0 {
		return 0
	}
	return max(d.ArrivingCPU+d.LastingCPU-d.UsableCPU, 0)
}

// endlessBacklog stands for a backlog that nothing works off.
const endlessBacklog = time.Hour

// minMissing is one for a pool whose instances are all out of reach.
func minMissing(d Demand) int {
	if d.UsableCPU == 0 {
		return 1
	}
	return 0
}

// meanMachineCPU is the mean capacity of a machine.
func (s Snapshot) meanMachineCPU() int {
	total := 0
	for _, m := range s.Machines {
		total += m.Capacity.CPU
	}
	return total / max(len(s.Machines), 1)
}

// returnIdle switches off what stands idle.
func (s Snapshot) returnIdle() []Move {
	var moves []Move
	for _, m := range s.idle(idleBeforeReturn, func(machine.Machine) bool { return true }) {
		moves = append(moves, Move{Machine: m.Name, From: m.Pool, To: s.Spare, Instance: m.Instance})
	}
	return moves
}
