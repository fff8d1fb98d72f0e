package maintenance

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/catalog"
	"github.com/beryltide/beryltide/internal/machine"
	"github.com/beryltide/beryltide/internal/rebalance"
)

// moveTimeout is the time after an order to move from which the machine no longer
// counts as on its way, whatever the list shows.
const moveTimeout = 3 * time.Second

// movement is the target pool and time of an order to move a machine.
type movement struct {
	to string
	at time.Time
}

// rebalance moves machines to pools with unmet demand, and back to the spare
// pool.
func (c *Controller) rebalance(ctx context.Context, configuration *catalog.Catalog) {
	snapshot := c.moveSnapshot(configuration)
	releasedAt := time.Now()
	moves := c.executableMoves(ctx, append(c.drainingMoves(), rebalance.Plan(snapshot)...))
	orders := make([]order, len(moves))
	for n, m := range moves {
		orders[n] = order{machine: m.Machine, kind: moveOrder, call: func(ctx context.Context, by machine.Holder) error {
			return c.Machines.Move(ctx, by, m.Machine, m.To)
		}}
	}
	for n, err := range c.send(ctx, orders, releasedAt) {
		c.handleMoveResult(moves[n], err)
	}
	c.supply = supply{byPool: suppliesOf(c.moveSnapshot(configuration)), at: time.Now()}
}

// executableMoves drains the instances of the machines to be moved, and returns
// the moves of the machines that are empty or have no instance.
func (c *Controller) executableMoves(ctx context.Context, moves []rebalance.Move) []rebalance.Move {
	var ready, occupied []rebalance.Move
	var toRelease []machine.Machine
	for _, m := range moves {
		if m.Instance == "" {
			ready = append(ready, m)
			continue
		}
		occupied = append(occupied, m)
		toRelease = append(toRelease, machine.Machine{Name: m.Machine, Pool: m.From, Instance: m.Instance})
	}
	empty := map[string]bool{}
	for _, m := range c.release(ctx, toRelease) {
		empty[m.Name] = true
	}
	for _, m := range occupied {
		if empty[m.Machine] {
			delete(c.draining, m.Machine)
			ready = append(ready, m)
			continue
		}
		if _, known := c.draining[m.Machine]; m.Busy && !known {
			c.draining[m.Machine] = movement{to: m.To, at: time.Now()}
		}
	}
	return ready
}

// drainTimeout is how long a machine may take to drain for another pool. It ends
// before the owner would stop the machine's tasks, whose work would be lost.
const drainTimeout = 3500 * time.Millisecond

// drainingMoves returns the moves of the machines that are draining, and forgets
// those that can't move any more.
func (c *Controller) drainingMoves() []rebalance.Move {
	var moves []rebalance.Move
	for name, to := range c.draining {
		m := c.listed[name]
		if m.State != machine.Up || m.Pool == to.to || m.Instance == "" || time.Since(to.at) > drainTimeout {
			delete(c.draining, name)
			continue
		}
		moves = append(moves, rebalance.Move{Machine: name, From: m.Pool, To: to.to, Instance: m.Instance, Busy: true})
	}
	return moves
}

// arrived reports whether a machine is usable in the pool that it was ordered to. In
// the spare pool it needs only to be up.
func (c *Controller) arrived(name string, to movement) bool {
	m := c.listed[name]
	if m.Pool != to.to || m.State != machine.Up || c.listedAt.Before(to.at) {
		return false
	}
	d, known := c.demand[to.to]
	return !known || d.Instances[m.Instance].Usable
}

// moveSnapshot returns the input of rebalance.Plan. It drops the moves that have
// ended, and those older than moveTimeout.
func (c *Controller) moveSnapshot(configuration *catalog.Catalog) rebalance.Snapshot {
	s := rebalance.Snapshot{
		Machines: c.listed, Busy: map[string]bool{}, Demand: c.demand, Arriving: map[string]int{},
		OutOfService: c.View.OperatorState().OutOfService,
	}
	for name, pool := range configuration.Pools {
		if pool.Spare {
			s.SparePool = name
		}
	}
	for name, m := range c.moving {
		if c.arrived(name, m) || time.Since(m.at) > moveTimeout {
			delete(c.moving, name)
			continue
		}
		s.Busy[name] = true
		s.Arriving[m.to]++
	}
	for name, m := range c.draining {
		s.Busy[name] = true
		s.Arriving[m.to]++
	}
	for name := range c.formerOrders {
		s.Busy[name] = s.Busy[name] || c.reserved(name)
	}
	for number := range c.View.OperatorState().Waves {
		if p := c.waves[number]; p != nil {
			for name, stage := range p.stages {
				s.Busy[name] = s.Busy[name] || stage == Draining || stage == Down
			}
		}
	}
	s.BaseSizes = c.baseSizes()
	return s
}

// baseShare is the fraction of the listed machines that all pools together keep
// when no work waits; the rest may be off in the spare pool.
const baseShare = 0.4

// baseSizes divides the base share evenly among the pools with known demand. A
// pool keeps at least one machine.
func (c *Controller) baseSizes() map[string]int {
	base := map[string]int{}
	if len(c.demand) == 0 {
		return base
	}
	perPool := int(baseShare * float64(len(c.listed)) / float64(len(c.demand)))
	for pool := range c.demand {
		base[pool] = max(perPool, 1)
	}
	return base
}

// handleMoveResult logs an order to move. Unless the platform refused it, the
// machine counts as moving.
func (c *Controller) handleMoveResult(m rebalance.Move, err error) {
	d := c.demand[m.To]
	c.Logger.Info("machine.move", zap.String("machine", m.Machine), zap.String("instance", m.Instance), zap.String("from", m.From), zap.String("to", m.To),
		zap.Int("waiting_cpu", d.WaitingCPU), zap.Int("free_cpu", d.FreeCPU), zap.Float64("waiting_work", d.WaitingWork), zap.Error(err))
	if err == nil || errors.Is(err, machine.ErrUnknown) {
		c.moving[m.Machine] = movement{to: m.To, at: time.Now()}
		// The list shows the order only when it is read again.
		listed := c.listed[m.Machine]
		listed.Pool, listed.State, listed.Instance = m.To, machine.Moving, ""
		c.listed[m.Machine] = listed
	}
}
