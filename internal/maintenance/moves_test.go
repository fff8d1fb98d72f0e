package maintenance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/machine"
	"github.com/beryltide/beryltide/internal/rebalance"
)

// A machine counts as on its way until its new instance can take tasks, and no
// longer: a pool whose machines have arrived but still count twice gets too few at
// its peak.
func TestMachineIsOnItsWayUntilItsInstanceIsUsable(t *testing.T) {
	is := is.New(t)
	ordered := time.Now()
	c := &Controller{listedAt: ordered.Add(time.Second), demand: map[string]rebalance.Demand{"peak": {Instances: map[string]rebalance.Instance{}}}}
	show := func(pool string, state machine.State, usable bool) {
		c.listed = map[string]machine.Machine{"m": {Name: "m", Pool: pool, State: state, Instance: "i"}}
		c.demand["peak"].Instances["i"] = rebalance.Instance{ID: "i", Usable: usable}
	}
	to := movement{to: "peak", at: ordered}
	show("before", machine.Up, true)
	is.True(!c.arrived("m", to))
	show("peak", machine.Moving, true)
	is.True(!c.arrived("m", to))
	show("peak", machine.Up, false) // not polled by its new owner yet
	is.True(!c.arrived("m", to))
	show("peak", machine.Up, true)
	is.True(c.arrived("m", to))
	c.listedAt = ordered.Add(-time.Second)
	is.True(!c.arrived("m", to)) // the list is older than the order
	c.listedAt = ordered.Add(time.Second)
	show("off", machine.Up, false)
	is.True(c.arrived("m", movement{to: "off", at: ordered}))
}
