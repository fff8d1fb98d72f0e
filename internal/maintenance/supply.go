package maintenance

import (
	"time"

	"github.com/beryltide/beryltide/internal/machine"
	"github.com/beryltide/beryltide/internal/owner"
	"github.com/beryltide/beryltide/internal/rebalance"
)

// maxSupplyAge is the age above which the supply of machines counts as unknown: some
// passes of the control loop.
const maxSupplyAge = time.Second

// supply is what may come to each pool, as of the last pass that knew all machines.
type supply struct {
	byPool map[string]owner.Supply
	at     time.Time
}

// supplyOf returns the supply of machines to a pool. Without a machine service none comes.
func (c *Controller) supplyOf(pool string) owner.Supply {
	if c.Machines == nil {
		return owner.Supply{Known: true}
	}
	if time.Since(c.supply.at) > maxSupplyAge {
		return owner.Supply{}
	}
	return c.supply.byPool[pool]
}

// suppliesOf returns the supply of machines to each pool that reports its demand.
func suppliesOf(s rebalance.Snapshot) map[string]owner.Supply {
	arriving, machineCPU := map[string]int{}, 0
	for _, m := range s.Machines {
		machineCPU += m.Capacity.CPU
	}
	machineCPU /= max(len(s.Machines), 1)
	movable, movableFrom := 0, map[string]int{}
	for _, m := range s.Machines {
		if s.SparePool != "" && m.State == machine.Up && !s.Busy[m.Name] && !s.OutOfService[m.DataCentre] && idle(s, m) {
			movable++
			movableFrom[m.Pool]++
		}
	}
	for pool, machines := range s.Arriving {
		arriving[pool] = machines * machineCPU
	}
	supplies := map[string]owner.Supply{}
	for pool := range s.Demand {
		supplies[pool] = owner.Supply{Known: true, ArrivingCPU: arriving[pool], Movable: movable - movableFrom[pool]}
	}
	return supplies
}

// idle reports whether nothing runs on a machine: it is off, or its pool has no run there.
func idle(s rebalance.Snapshot, m machine.Machine) bool {
	if m.Pool == s.SparePool {
		return true
	}
	i, listed := s.Demand[m.Pool].Instances[m.Instance]
	return listed && i.Usable && i.Runs == 0
}
