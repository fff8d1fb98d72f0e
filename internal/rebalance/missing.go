package rebalance

import (
	"maps"
	"slices"

	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/machine"
)

// Missing is a number of instances that a pool lacks, whatever capacity it has. It is sent
// over net/rpc.
type Missing struct {
	// Labels are those that the instances must have.
	Labels []string
	// Need is what the largest task for them takes.
	Need      job.Resources
	Instances int
	// Behind marks instances that only tasks without value left need. Owners of earlier
	// versions ask for none.
	Behind bool
}

// suits reports whether an instance on the machine is one of the missing ones.
func (n Missing) suits(m machine.Machine) bool {
	for _, label := range n.Labels {
		if !slices.Contains(m.Labels, label) {
			return false
		}
	}
	return n.Need.Fits(m.Capacity)
}

// serveMissing moves available machines to the pools with missing instances, before any
// are divided by backlog: tasks that no present instance may run wait without end. It
// returns the machines that are left and, as shortages, the instances still missing.
func (s Snapshot) serveMissing(available []machine.Machine) (moves []Move, left []machine.Machine, unserved []shortage) {
	left = available
	for _, pool := range slices.Sorted(maps.Keys(s.Demand)) {
		arriving, lacking := s.Arriving[pool], 0
		for _, missing := range s.Demand[pool].Missing {
			if missing.Behind {
				continue
			}
			expected := min(arriving, missing.Instances)
			arriving -= expected
			for range missing.Instances - expected {
				i := slices.IndexFunc(left, func(m machine.Machine) bool { return m.Pool != pool && missing.suits(m) })
				if i >= 0 {
					moves = append(moves, Move{Machine: left[i].Name, From: left[i].Pool, To: pool, Instance: left[i].Instance})
					left = slices.Delete(slices.Clone(left), i, i+1)
				} else if len(missing.Labels) == 0 {
					lacking++
				}
			}
		}
		if lacking > 0 {
			// Without capacity its backlog is endless, so that busy machines serve it first.
			unserved = append(unserved, shortage{pool: pool, missing: lacking})
		}
	}
	return moves, left, unserved
}

// serveMissingBehind moves machines that are off, and that no pool lacks, to pools whose tasks
// without value left can start at no instance. Instances that are missing together, for a
// gang, come together or not at all, since a part of them would be returned unused.
func (s Snapshot) serveMissingBehind(available []machine.Machine) []Move {
	off := slices.DeleteFunc(slices.Clone(available), func(m machine.Machine) bool { return m.Pool != s.SparePool })
	var moves []Move
	for _, pool := range slices.Sorted(maps.Keys(s.Demand)) {
		arriving := s.Arriving[pool]
		for _, missing := range s.Demand[pool].Missing {
			expected := min(arriving, missing.Instances)
			arriving -= expected
			if !missing.Behind {
				continue
			}
			var suitable, others []machine.Machine
			for _, m := range off {
				if missing.suits(m) && len(suitable) < missing.Instances-expected {
					suitable = append(suitable, m)
				} else {
					others = append(others, m)
				}
			}
			if len(suitable) < missing.Instances-expected {
				continue
			}
			off = others
			for _, m := range suitable {
				moves = append(moves, Move{Machine: m.Name, From: m.Pool, To: pool, Instance: m.Instance})
			}
		}
	}
	return moves
}
