package fleetd

import (
	"context"
	"sync"

	"github.com/beryltide/beryltide/internal/owner"
	"github.com/beryltide/beryltide/internal/ownership"
)

// units runs the units that this daemon owns.
type units struct {
	ctx  context.Context
	deps owner.Deps

	// runController looks after the machines for the fleet's unit until its context ends.
	runController func(context.Context, ownership.Tenure)

	mu    sync.Mutex
	owned map[int]*owner.Unit
	// stopController ends what this daemon does for the machines, by unit.
	stopController map[int]context.CancelFunc
}

func newUnits(ctx context.Context, deps owner.Deps, runController func(context.Context, ownership.Tenure)) *units {
	return &units{ctx: ctx, deps: deps, runController: runController, owned: map[int]*owner.Unit{}, stopController: map[int]context.CancelFunc{}}
}

// Unit returns a unit that this daemon owns, or nil.
func (u *units) Unit(number int) *owner.Unit {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.owned[number]
}

// anyUsed says whether this daemon owns units that have a pool.
func (u *units) anyUsed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for number := range u.owned {
		if u.deps.Used(number) {
			return true
		}
	}
	return false
}

// run works a unit, and forgets it once it has ended: one that was found fenced
// isn't this daemon's to answer for any more, whatever the next join says.
func (u *units) run(number int, unit *owner.Unit) {
	unit.Run()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.owned[number] == unit {
		delete(u.owned, number)
		u.stopController[number]()
	}
}

// set begins new tenures and ends those that are over.
func (u *units) set(tenures []ownership.Tenure) {
	u.mu.Lock()
	defer u.mu.Unlock()
	current := map[int]ownership.Tenure{}
	for _, t := range tenures {
		current[t.Unit] = t
	}
	for number, unit := range u.owned {
		if t, held := current[number]; !held || t != unit.Tenure() {
			unit.Stop()
			delete(u.owned, number)
			u.stopController[number]()
		}
	}
	for number, t := range current {
		if u.owned[number] != nil {
			continue
		}
		unit := owner.New(u.ctx, u.deps, t)
		u.owned[number] = unit
		go u.run(number, unit)
		ctx, cancel := context.WithCancel(u.ctx)
		u.stopController[number] = cancel
		go u.runController(ctx, t)
	}
}
