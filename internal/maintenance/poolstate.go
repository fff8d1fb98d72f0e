package maintenance

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/machine"
)

// poolStateInterval is the time between two lines about each pool: single moves are
// left out of the logs at a peak, these lines are not.
const poolStateInterval = time.Second

// logPoolStates logs, for each pool whose owner answered, what it holds and lacks,
// as the moves of this round are decided on it.
func (c *Controller) logPoolStates() {
	if time.Since(c.poolStatesLoggedAt) < poolStateInterval {
		return
	}
	c.poolStatesLoggedAt = time.Now()
	machines, arriving := map[string]int{}, map[string]int{}
	for _, m := range c.listed {
		if m.State == machine.Up {
			machines[m.Pool]++
		}
	}
	for _, m := range c.moving {
		arriving[m.to]++
	}
	for _, pool := range slices.Sorted(maps.Keys(c.demand)) {
		d := c.demand[pool]
		usable, idle, lastingOnly := 0, 0, 0
		for _, i := range d.Instances {
			switch {
			case !i.Usable:
				continue
			case i.Runs == 0:
				idle++
			case i.Runs == i.Lasting:
				lastingOnly++
			}
			usable++
		}
		missing := 0
		for _, m := range d.Missing {
			missing += m.Instances
		}
		c.Logger.Info("pool.state", zap.String("pool", pool), zap.Int("machines", machines[pool]), zap.Int("arriving", arriving[pool]),
			zap.Int("usable", usable), zap.Int("idle", idle), zap.Int("lasting_only", lastingOnly), zap.Int("usable_cpu", d.UsableCPU), zap.Int("free_cpu", d.FreeCPU),
			zap.Int("lasting_cpu", d.LastingCPU), zap.Int("missing", missing), zap.Int("waiting_cpu", d.WaitingCPU), zap.Float64("waiting_work", d.WaitingWork), zap.Int("arriving_cpu", d.ArrivingCPU))
	}
}
