// Package rebalance decides which machines move to another pool. Plan computes the
// moves from a snapshot; the package does no I/O, keeps no state between calls and
// depends on package machine only.
//
// It is designed for demand peaks: one pool after another needs several times its
// capacity for some seconds. A machine that is off costs nothing, so machines of
// the spare pool are assigned to whichever pool has work waiting, and returned when
// they are idle.
package rebalance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/beryltide/beryltide/internal/machine"
)

const (
	// minBacklog is the backlog from which a move pays: a machine arrives after
	// 1.5 s.
	minBacklog = 200 * time.Millisecond
	// lastingWork is the work for which a long-running task counts that waits: its
	// service is missing for as long as it does.
	lastingWork = 10 * time.Second
	// idleBeforeReturn is how long a machine must be idle before it is switched
	// off: a move costs as much as one second of a machine in a pool.
	idleBeforeReturn = 800 * time.Millisecond
	// idleBeforeMove is how long a machine must be idle before it can move to
	// another pool; shorter gaps occur between two jobs.
	idleBeforeMove = 300 * time.Millisecond
)

// Instance is an owner's report on one of its instances. It is sent over net/rpc.
type Instance struct {
	ID string
	// Runs is the number of recorded runs.
	Runs int
	// Lasting and Backfill are the numbers of recorded runs of long-running and of
	// backfill tasks.
	Lasting, Backfill int
	// Usable instances may be given tasks.
	Usable bool
	// Awaited instances have a place for a task that waits or has to move.
	Awaited bool
	// IdleFor is how long the instance has had no run; 0 while it has one.
	IdleFor time.Duration
}

// Demand is an owner's report on a pool. CPU is in thousandths of a core of machines,
// and stands for the resource that runs out first: half of a machine's memory counts
// as half of its cores. It is sent over net/rpc.
type Demand struct {
	// WaitingCPU is what the tasks that are ready to start occupy on machines, except
	// backfill tasks, those of jobs without value left, and those that their team's
	// limit holds back. It includes the capacity that is left unused beside them,
	// since a machine runs whole tasks.
	WaitingCPU int
	// WaitingLastingCPU is the part of WaitingCPU that long-running tasks need.
	WaitingLastingCPU int
	// WaitingWork is WaitingCPU times the tasks' run times, in core-seconds.
	WaitingWork float64
	// ArrivingCPU is what arriving work is forecast to occupy at the time at which a
	// machine ordered now would arrive.
	ArrivingCPU int
	// LastingCPU is the allocation of the long-running tasks on usable instances, and on
	// those that are being emptied: they need room elsewhere.
	LastingCPU int
	// BusyCPU is the allocation of the other running tasks, except those of jobs without
	// value left.
	BusyCPU int
	// FreeCPU is the free capacity of usable instances that waiting tasks fit in; all
	// of it if none waits.
	FreeCPU int
	// Missing holds the further instances for waiting tasks that could start at no usable
	// one if all short tasks there had ended, also of jobs without value left.
	Missing []Missing
	// UsableCPU is the whole capacity of usable instances.
	UsableCPU int
	// Instances holds the instances by ID.
	Instances map[string]Instance
}

// Snapshot is the input of Plan. Its maps are by machine name, pool or data centre.
type Snapshot struct {
	Machines map[string]machine.Machine
	// Busy holds the machines that are part of a wave, have a recent order, or drain
	// for another pool.
	Busy map[string]bool
	// Demand holds the owners' reports by pool; pools without a report give up no
	// machines and get none.
	Demand map[string]Demand
	// SparePool is the name of the spare pool, whose machines are off; "" if there is
	// none.
	SparePool string
	// BaseSizes holds the number of machines that each pool keeps when it is idle.
	BaseSizes map[string]int
	// Arriving is the number of machines on their way to each pool, or draining for
	// it.
	Arriving map[string]int
	// OutOfService holds the data centres that take no work.
	OutOfService map[string]bool
}

// Move orders a machine into a pool.
type Move struct {
	Machine string
	From    string
	To      string
	// Instance is the ID of the instance on the machine; empty for machines that
	// are off.
	Instance string
	// Busy machines still run tasks; they must drain before they move.
	Busy bool
}

// Plan returns the moves to order now. Idle machines that no pool lacks are switched
// off. Without a spare pool there are no moves.
func Plan(s Snapshot) []Move {
	if s.SparePool == "" {
		return nil
	}
	moves := s.assignMachines()
	taken := map[string]bool{}
	for _, m := range moves {
		taken[m.Machine] = true
	}
	return append(moves, s.returnIdle(taken)...)
}

// assignMachines moves available machines, one at a time, to the pool with the longest
// backlog among those with a shortage. A pool's backlog shrinks with each machine that
// it is given, so that pools which peak together share the machines. What is still
// lacking then may come from busy machines. Missing instances come before all backlogs, those
// for tasks without value left after them.
func (s Snapshot) assignMachines() []Move {
	shortages := s.shortages()
	moves, available, unserved := s.serveMissing(s.available(overloaded(shortages)))
	for _, m := range moves {
		arrive(shortages, m.To, s.Machines[m.Machine])
	}
	var left []machine.Machine
	for _, m := range available {
		neediest := longestBacklog(shortages, m.Pool)
		if neediest == nil {
			left = append(left, m)
			continue
		}
		moves = append(moves, Move{Machine: m.Name, From: m.Pool, To: neediest.pool, Instance: m.Instance})
		neediest.take(m)
	}
	moves = append(moves, s.serveMissingBehind(left)...)
	taken := map[string]bool{}
	for _, m := range moves {
		taken[m.Machine] = true
	}
	shortages = append(shortages, unserved...)
	moves = append(moves, s.consolidate(shortages, taken)...)
	return append(moves, s.reclaim(shortages, moves)...)
}

// longestBacklog returns the shortage with the longest backlog, or nil if no pool
// other than the given one lacks machines.
func longestBacklog(shortages []shortage, except string) *shortage {
	var longest *shortage
	for i := range shortages {
		n := &shortages[i]
		if n.missing > 0 && n.pool != except && (longest == nil || n.backlog() > longest.backlog()) {
			longest = n
		}
	}
	return longest
}

// available returns the machines that may move to another pool: first those that would
// be switched off, which saves a second move, then those that are off, then those that
// have just become idle and may be needed again. With lend, pools give up machines of
// their base size too.
func (s Snapshot) available(lend bool) []machine.Machine {
	inService := func(m machine.Machine) bool { return !s.OutOfService[m.DataCentre] }
	idle := s.idle(idleBeforeMove, inService, nil, lend)
	returning := 0
	for returning < len(idle) && s.idleFor(idle[returning]) >= idleBeforeReturn {
		returning++
	}
	var off []machine.Machine
	for _, m := range s.byName() {
		if m.Pool == s.SparePool && m.State == machine.Up && !s.Busy[m.Name] && !s.OutOfService[m.DataCentre] {
			off = append(off, m)
		}
	}
	return slices.Concat(idle[:returning], off, idle[returning:])
}

// idleFor returns how long a machine's instance has been idle.
func (s Snapshot) idleFor(m machine.Machine) time.Duration {
	return s.Demand[m.Pool].Instances[m.Instance].IdleFor
}

// idle returns the eligible machines that have been idle for at least a time, the
// longest first, beyond those that their pools keep, and without those that are taken
// for other pools. Machines of a data centre that takes no work can't run tasks, so they
// aren't kept and don't count towards a pool's size.
func (s Snapshot) idle(atLeast time.Duration, eligible func(machine.Machine) bool, taken map[string]bool, lend bool) []machine.Machine {
	sizes := map[string]int{}
	for _, m := range s.Machines {
		if !s.OutOfService[m.DataCentre] && !taken[m.Name] {
			sizes[m.Pool]++
		}
	}
	minSizes := s.minSizes(lend)
	machines := s.byName()
	slices.SortStableFunc(machines, func(a, b machine.Machine) int { return cmp.Compare(s.idleFor(b), s.idleFor(a)) })
	var out []machine.Machine
	for _, m := range machines {
		d, known := s.Demand[m.Pool]
		if !known || m.Pool == s.SparePool || s.Busy[m.Name] || taken[m.Name] || m.State != machine.Up || !eligible(m) {
			continue
		}
		i, listed := d.Instances[m.Instance]
		if !listed || i.Runs > 0 || i.Awaited || i.IdleFor < atLeast {
			continue
		}
		if !s.OutOfService[m.DataCentre] {
			if d.WaitingCPU > 0 || sizes[m.Pool] <= minSizes[m.Pool] {
				continue
			}
			sizes[m.Pool]--
		}
		out = append(out, m)
	}
	return out
}

// minSizes returns how many machines each pool keeps: its base size, or a part of it
// while it lends machines, or those for the forecast and the long-running tasks if they
// are more.
func (s Snapshot) minSizes(lend bool) map[string]int {
	minSizes := maps.Clone(s.BaseSizes)
	for pool, size := range minSizes {
		if lend {
			minSizes[pool] = max(int(keptBaseShare*float64(size)), 1)
		}
	}
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

// shortage is how many machines a pool lacks, beside those that are arriving.
type shortage struct {
	pool    string
	missing int
	// work is the waiting work and a second's work of the tasks that are forecast to
	// find no capacity, in core-seconds.
	work float64
	// capacity is that of the pool's usable and arriving machines without what
	// long-running tasks take, in thousandths of a core.
	capacity int
}

// take counts a machine that is on its way.
func (n *shortage) take(m machine.Machine) {
	n.missing--
	n.capacity += m.Capacity.CPU
}

// arrive counts a machine that is on its way to a pool.
func arrive(shortages []shortage, pool string, m machine.Machine) {
	if i := slices.IndexFunc(shortages, func(n shortage) bool { return n.pool == pool }); i >= 0 {
		shortages[i].take(m)
	}
}

// backlog returns how long the pool's capacity needs for the work.
func (n *shortage) backlog() time.Duration {
	if n.capacity <= 0 {
		return endlessBacklog
	}
	return time.Duration(n.work / float64(n.capacity) * 1000 * float64(time.Second))
}

// shortages returns the pools that need more machines, by name.
func (s Snapshot) shortages() []shortage {
	var out []shortage
	machineCPU := s.meanMachineCPU()
	for _, pool := range slices.Sorted(maps.Keys(s.Demand)) {
		d := s.Demand[pool]
		if pool == s.SparePool || machineCPU == 0 {
			continue
		}
		lacking := d.expectedShortfall()
		missing := lacking / machineCPU
		if d.backlog() > minBacklog {
			missing = max(missing, (d.WaitingCPU-d.FreeCPU)/machineCPU, minMissing(d))
		}
		if lasting := d.WaitingLastingCPU - d.FreeCPU; lasting > 0 && !d.hasIdle() {
			missing = max(missing, (lasting+machineCPU-1)/machineCPU)
		}
		if missing -= s.Arriving[pool]; missing > 0 {
			work := d.WaitingWork + float64(lacking)/1000 + lastingWork.Seconds()*float64(d.WaitingLastingCPU)/1000
			out = append(out, shortage{pool: pool, missing: missing, work: work, capacity: d.workingCPU() + s.Arriving[pool]*machineCPU})
		}
	}
	return out
}

// hasIdle reports whether some usable instance has been idle for a while: tasks that
// still wait don't fit it for another reason than its size, and may fit no other either.
func (d Demand) hasIdle() bool {
	for _, i := range d.Instances {
		if i.Usable && i.Runs == 0 && i.IdleFor >= idleBeforeMove {
			return true
		}
	}
	return false
}

// workingCPU returns the capacity that isn't held by long-running tasks.
func (d Demand) workingCPU() int { return max(d.UsableCPU-d.LastingCPU, 0) }

// backlog returns how long the usable instances need for the waiting work.
func (d Demand) backlog() time.Duration {
	if d.WaitingCPU == 0 {
		return 0
	}
	if d.workingCPU() == 0 {
		return endlessBacklog
	}
	return time.Duration(d.WaitingWork / float64(d.workingCPU()) * 1000 * float64(time.Second))
}

// expectedShortfall returns the CPU that the pool will lack according to the
// forecast, in thousandths of a core.
func (d Demand) expectedShortfall() int {
	if d.ArrivingCPU == 0 {
		return 0
	}
	return max(d.ArrivingCPU+d.LastingCPU-d.UsableCPU, 0)
}

// endlessBacklog is the backlog of a pool without capacity for the waiting work.
const endlessBacklog = time.Hour

// minMissing returns 1 for a pool without capacity for the waiting work, else 0.
func minMissing(d Demand) int {
	if d.workingCPU() == 0 {
		return 1
	}
	return 0
}

// meanMachineCPU returns the mean capacity of all machines, in thousandths of a
// core; 0 without machines.
func (s Snapshot) meanMachineCPU() int {
	total := 0
	for _, m := range s.Machines {
		total += m.Capacity.CPU
	}
	return total / max(len(s.Machines), 1)
}

// returnIdle moves idle machines that aren't taken for other pools back to the spare
// pool, which switches them off.
func (s Snapshot) returnIdle(taken map[string]bool) []Move {
	var moves []Move
	for _, m := range s.idle(idleBeforeReturn, func(machine.Machine) bool { return true }, taken, false) {
		moves = append(moves, Move{Machine: m.Name, From: m.Pool, To: s.SparePool, Instance: m.Instance})
	}
	return moves
}
