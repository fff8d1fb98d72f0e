// Package maintenance carries out maintenance waves: it decides which machines go
// down when, within the wave's bound and without taking too much of a pool's
// capacity. It also moves machines between pools and assigns the teams' grants.
//
// Plan decides as a pure function. Controller, run by the leader (the daemon that
// holds the fleet's unit), carries it out and fences earlier holders by its
// epoch. It depends on the store's log, the platform's machine client and the
// pools' owners.
package maintenance

import (
	"cmp"
	"maps"
	"slices"

	"github.com/beryltide/beryltide/internal/catalog"
	"github.com/beryltide/beryltide/internal/machine"
)

// poolShare is the fraction of a pool's machines that may be out for maintenance
// at once: a wave of half the fleet then proceeds in batches, and the pool keeps
// most of its capacity.
const poolShare = 0.25

// Stage is a machine's progress in a wave.
type Stage uint8

// The stages of a machine, in order.
const (
	// Due machines haven't been started on.
	Due Stage = iota
	// Draining machines get no new tasks while their running ones end.
	Draining
	// Down machines have been ordered down and aren't back yet.
	Down
	// Finished machines are back, or have left the fleet.
	Finished
)

// Snapshot is the input of Plan. Its maps are keyed by the names of machines or
// pools, Load and LongRunning by instance.
type Snapshot struct {
	Wave catalog.Wave
	// Stages holds the wave's machines, Machines all listed ones.
	Stages   map[string]Stage
	Machines map[string]machine.Machine
	// PoolSizes counts the machines of each pool.
	PoolSizes map[string]int
	// SparePools marks the pools whose machines are off.
	SparePools map[string]bool
	// Load is the number of runs on each instance; absent if unknown.
	Load map[string]int
	// LongRunning is the number of runs of long-running tasks on each instance.
	LongRunning map[string]int
	// DownByFormerHolder counts the wave's machines that are down for maintenance,
	// or may be, by a former holder's orders.
	DownByFormerHolder int
	// Reserved marks machines that can't be sent an order yet, since one of a
	// former holder may still be in flight.
	Reserved map[string]bool
	// Waiting marks pools with waiting work.
	Waiting map[string]bool
	// Out counts the machines of each pool that are out for other reasons, such as
	// other waves and moves.
	Out map[string]int
}

// selection is the machines that Plan has chosen so far.
type selection struct {
	Snapshot
	// chosen holds their names in order.
	chosen []string
	// inProgress counts the wave's machines that are out, longRunning those of them
	// that have long-running tasks, and out those that are out by pool.
	inProgress, longRunning int
	out                     map[string]int
}

// Plan returns the names of the machines to start draining now, in order. Machines
// with long-running tasks come first, up to half of the wave's bound: disruption
// budgets let their tasks move only one after another, which takes most of a wave's
// time. In pools with waiting work they come in the order of the others.
func Plan(s Snapshot) []string {
	sel := selection{Snapshot: s, inProgress: s.DownByFormerHolder, out: maps.Clone(s.Out)}
	for name, stage := range s.Stages {
		if stage == Draining || stage == Down {
			sel.count(name)
		}
	}
	var others []string
	for _, name := range s.candidates() {
		if s.hasLongRunning(name) && !s.Waiting[s.Machines[name].Pool] && sel.longRunning < max(s.Wave.AtOnce/2, 1) && sel.choose(name) {
			continue
		}
		others = append(others, name)
	}
	for _, name := range others {
		sel.choose(name)
	}
	return sel.chosen
}

// choose adds a machine if the bounds of the wave and of its pool allow it.
func (sel *selection) choose(name string) bool {
	pool := sel.Machines[name].Pool
	if sel.inProgress >= sel.Wave.AtOnce || sel.load(name) > 0 && sel.out[pool] >= poolBound(sel.PoolSizes[pool]) {
		return false
	}
	sel.chosen = append(sel.chosen, name)
	sel.count(name)
	return true
}

func (sel *selection) count(name string) {
	sel.inProgress++
	sel.out[sel.Machines[name].Pool]++
	if sel.hasLongRunning(name) {
		sel.longRunning++
	}
}

// hasLongRunning reports whether long-running tasks run on a machine.
func (s Snapshot) hasLongRunning(name string) bool {
	return s.LongRunning[s.Machines[name].Instance] > 0
}

// poolBound returns how many of a pool's machines may be out at once; at least 1.
func poolBound(size int) int { return max(int(poolShare*float64(size)), 1) }

// candidates returns the machines that may start, the least loaded first, then by
// name.
func (s Snapshot) candidates() []string {
	var due []string
	for name, stage := range s.Stages {
		m, known := s.Machines[name]
		if stage == Due && known && m.State == machine.Up && !s.Reserved[name] {
			due = append(due, name)
		}
	}
	slices.SortFunc(due, func(a, b string) int {
		if d := cmp.Compare(s.load(a), s.load(b)); d != 0 {
			return d
		}
		return cmp.Compare(a, b)
	})
	return due
}

// unknownLoad is assumed for instances that no owner has reported.
const unknownLoad = 1

// load returns the runs on a machine, -1 for one that is off. An idle machine
// counts as loaded while its pool has waiting work; the machines whose load is 0
// or less may all go down at once.
func (s Snapshot) load(name string) int {
	m := s.Machines[name]
	if s.SparePools[m.Pool] {
		return -1
	}
	load, known := s.Load[m.Instance]
	if !known || load == 0 && s.Waiting[m.Pool] {
		return unknownLoad
	}
	return load
}
