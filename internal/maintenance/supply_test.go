package maintenance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/machine"
	"github.com/beryltide/beryltide/internal/owner"
	"github.com/beryltide/beryltide/internal/rebalance"
)

// Jobs are refused only if no machine can come: each one that is idle elsewhere, or off,
// must be counted, and those on their way. Machines that are busy, down or ordered can't.
func TestSupplyCountsMachinesThatCanCome(t *testing.T) {
	is := is.New(t)
	s := rebalance.Snapshot{
		Machines: map[string]machine.Machine{}, SparePool: "spare", Busy: map[string]bool{"ordered": true}, OutOfService: map[string]bool{"out": true},
		Arriving: map[string]int{"short": 2}, Demand: map[string]rebalance.Demand{"short": {}, "other": {Instances: map[string]rebalance.Instance{}}},
	}
	add := func(name, pool, dataCentre string, state machine.State, runs int) {
		s.Machines[name] = machine.Machine{Name: name, Pool: pool, DataCentre: dataCentre, State: state, Instance: name, Capacity: job.Resources{CPU: 64_000}}
		if pool == "other" {
			s.Demand[pool].Instances[name] = rebalance.Instance{ID: name, Runs: runs, Usable: true}
		}
	}
	add("idle", "other", "", machine.Up, 0)
	add("working", "other", "", machine.Up, 1)
	add("off", "spare", "", machine.Up, 0)
	add("ordered", "spare", "", machine.Up, 0)
	add("down", "spare", "", machine.Maintenance, 0)
	add("out of service", "spare", "out", machine.Up, 0)
	supplies := suppliesOf(s)
	is.Equal(supplies["short"], owner.Supply{Known: true, ArrivingCPU: 128_000, Movable: 2})
	is.Equal(supplies["other"], owner.Supply{Known: true, Movable: 1}) // not its own
	s.SparePool = ""
	is.Equal(suppliesOf(s)["short"].Movable, 0) // no moves without a spare pool
}

// An owner must not be told that no machine can come by a leader that doesn't know.
func TestOldSupplyIsUnknown(t *testing.T) {
	is := is.New(t)
	c := &Controller{Machines: newFakeMachines(0)}
	is.Equal(c.supplyOf("p"), owner.Supply{}) // before the first list
	known := owner.Supply{Known: true, Movable: 3}
	c.supply = supply{byPool: map[string]owner.Supply{"p": known}, at: time.Now()}
	is.Equal(c.supplyOf("p"), known)
	is.Equal(c.supplyOf("another"), owner.Supply{})
	c.supply.at = time.Now().Add(-maxSupplyAge - time.Millisecond)
	is.Equal(c.supplyOf("p"), owner.Supply{})
	c.Machines = nil
	is.Equal(c.supplyOf("p"), owner.Supply{Known: true}) // nothing moves machines
}
