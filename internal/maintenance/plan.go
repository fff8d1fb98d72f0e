// Package maintenance carries out maintenance waves: which machines go down
// when, under the wave's bound and without taking a pool's room away. The
// decision is pure; the controller carries it out under one fence.
package maintenance

import (
	"cmp"
	"slices"

	"github.com/beryltide/beryltide/internal/catalog"
	"github.com/beryltide/beryltide/internal/machine"
)

// poolShare is the part of a pool that may be out for maintenance at once: a
// wave of half the fleet then takes its time in turns, and the pool keeps most
// of its room.
const poolShare = 0.25

// Stage is where a machine stands in a wave.
type Stage uint8

// The stages of a machine.
const (
	// Due machines haven't begun.
	Due Stage = iota
	// Draining machines get no new tasks and wait for theirs to end.
	Draining
	// Down machines have been ordered to go down and aren't back.
	Down
	// Finished machines are back, or have left the fleet.
	Finished
)

// Snapshot is what a plan is made from.
type Snapshot struct {
	Wave     catalog.Wave
	Stages   map[string]Stage
	Machines map[string]machine.Machine
	// PoolSizes counts the machines of each pool.
	PoolSizes map[string]int
	// SparePools holds the pools whose machines are off.
	SparePools map[string]bool
	// Load is how many runs an instance has; absent if unknown.
	Load map[string]int
	// DownByFormerHolder counts the wave's machines that are down for maintenance, or may
	// be, by a former holder's orders.
	DownByFormerHolder int
	// Reserved machines can't have an order yet, since a former holder's may be
	// under way.
	Reserved map[string]bool
	// Waiting says that a pool has work that waits.
	Waiting map[string]bool
	// Out counts the machines of each pool that other waves and moves keep out.
	Out map[string]int
}

// Plan returns the machines to begin with now, in order.
func Plan(s Snapshot) []string {
	inProgress := s.DownByFormerHolder
	out := map[string]int{}
	for pool, n := range s.Out {
		out[pool] = n
	}
	for name, stage := range s.Stages {
		if stage == Draining || stage == Down {
			inProgress++
			out[s.Machines[name].Pool]++
		}
	}
	var selected []string
	for _, name := range s.candidates() {
		m := s.Machines[name]
		if inProgress >= s.Wave.AtOnce {
			break
		}
		if s.load(name) > 0 && out[m.Pool] >= poolBound(s.PoolSizes[m.Pool]) {
			continue
		}
		selected = append(selected, name)
		inProgress++
		out[m.Pool]++
	}
	return selected
}

// poolBound is how many machines of a pool may be out at once.
func poolBound(size int) int { return max(int(poolShare*float64(size)), 1) }

// candidates returns the machines that may begin: idle ones first.
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

// unknownLoad stands for instances that no owner has told of.
const unknownLoad = 1

// load ranks machines by what they run. Those that are off, and those that a
// calm pool leaves idle, may all go at once.
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
