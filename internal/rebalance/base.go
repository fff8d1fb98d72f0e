package rebalance

import (
	"math"

	"github.com/beryltide/beryltide/internal/machine"
)

// BaseSizes returns how many machines each pool with known demand keeps when no work
// waits, at least one: those for its long-running tasks, and an even part of what is
// left of a share of all machines for the first seconds of a peak. Divided evenly as a
// whole, the share left nothing for peaks in a pool whose long-running tasks need much.
func BaseSizes(machines map[string]machine.Machine, demand map[string]Demand, share float64) map[string]int {
	base := map[string]int{}
	machineCPU := max(Snapshot{Machines: machines}.meanMachineCPU(), 1)
	lasting := map[string]float64{}
	left := share * float64(len(machines))
	for pool, d := range demand {
		lasting[pool] = float64(d.LastingCPU+d.WaitingLastingCPU) / float64(machineCPU)
		left -= lasting[pool]
	}
	for pool := range demand {
		base[pool] = max(int(math.Round(lasting[pool]+max(left, 0)/float64(len(demand)))), 1)
	}
	return base
}
