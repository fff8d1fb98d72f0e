package rebalance

import (
	"cmp"
	"slices"
	"time"

	"github.com/beryltide/beryltide/internal/machine"
)

const (
	// reclaimMargin is how much longer a pool's backlog must be than twice the donor's
	// before busy machines move to it: a machine does nothing for some three seconds,
	// while it drains and moves.
	reclaimMargin = 3 * time.Second
	// reclaimShare is the largest part of a pool's machines that may drain for other
	// pools at the same time.
	reclaimShare = 0.25
)

// donor is a pool with busy machines that may move to a pool with a longer backlog.
type donor struct {
	pool string
	// machines are those that may move, the one with the fewest runs first.
	machines []machine.Machine
	// spare is how many of them may be taken now.
	spare int
	// work and capacity are as in shortage.
	work     float64
	capacity int
}

// reclaim moves busy machines from the pool with the shortest backlog to the one
// with the longest, until their backlogs are near each other. It serves pools that
// peak while another one already holds all machines and keeps them busy: idle ones
// would not come free for as long as that pool's peak lasts. Machines with
// long-running tasks stay.
func (s Snapshot) reclaim(shortages []shortage, taken []Move) []Move {
	donors := s.donors(taken)
	var moves []Move
	for {
		neediest := longestBacklog(shortages, "")
		if neediest == nil {
			return moves
		}
		d := shortestBacklog(donors, neediest.pool)
		if d == nil || neediest.backlog() < 2*d.backlogWithout(d.machines[0])+reclaimMargin {
			return moves
		}
		m := d.machines[0]
		d.machines, d.spare = d.machines[1:], d.spare-1
		d.capacity -= m.Capacity.CPU
		neediest.take(m)
		moves = append(moves, Move{Machine: m.Name, From: m.Pool, To: neediest.pool, Instance: m.Instance, Busy: true})
	}
}

// backlogWithout returns the backlog that the pool has once a machine is gone.
func (d *donor) backlogWithout(m machine.Machine) time.Duration {
	left := shortage{work: d.work, capacity: d.capacity - m.Capacity.CPU}
	return left.backlog()
}

// shortestBacklog returns the donor with the shortest backlog, or nil.
func shortestBacklog(donors []donor, except string) *donor {
	var shortest *donor
	for i := range donors {
		d := &donors[i]
		if d.spare <= 0 || len(d.machines) == 0 || d.pool == except {
			continue
		}
		if shortest == nil || d.backlogWithout(d.machines[0]) < shortest.backlogWithout(shortest.machines[0]) {
			shortest = d
		}
	}
	return shortest
}

// donors returns the pools with busy machines, beyond the size that each keeps, without
// those that are taken.
func (s Snapshot) donors(taken []Move) []donor {
	sizes, leaving, isTaken := map[string]int{}, map[string]int{}, map[string]bool{}
	for _, m := range taken {
		isTaken[m.Machine] = true
	}
	byPool := map[string][]machine.Machine{}
	for _, m := range s.byName() {
		sizes[m.Pool]++
		if s.Busy[m.Name] || isTaken[m.Name] {
			leaving[m.Pool]++
			continue
		}
		i, listed := s.Demand[m.Pool].Instances[m.Instance]
		if listed && i.Runs > 0 && i.Lasting == 0 && m.State == machine.Up && !s.OutOfService[m.DataCentre] {
			byPool[m.Pool] = append(byPool[m.Pool], m)
		}
	}
	var out []donor
	for pool, machines := range byPool {
		d := s.Demand[pool]
		slices.SortStableFunc(machines, func(a, b machine.Machine) int {
			return cmp.Compare(d.Instances[a.Instance].Runs, d.Instances[b.Instance].Runs)
		})
		spare := min(sizes[pool]-leaving[pool]-s.BaseSizes[pool], int(reclaimShare*float64(sizes[pool]))-leaving[pool])
		out = append(out, donor{
			pool: pool, machines: machines, spare: spare,
			work: d.WaitingWork + float64(d.expectedShortfall())/1000, capacity: d.workingCPU(),
		})
	}
	slices.SortFunc(out, func(a, b donor) int { return cmp.Compare(a.pool, b.pool) })
	return out
}
