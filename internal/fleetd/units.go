package fleetd

import (
	"context"
	"sync"

	"github.com/beryltide/beryltide/internal/owner"
	"github.com/beryltide/beryltide/internal/ownership"
)

// units runs the units that this daemon owns. It is safe for concurrent use.
type units struct {
	ctx  context.Context
	deps owner.Deps

	// runController runs the maintenance controller, if the tenure is one of the
	// fleet's unit, until its context ends.
	runController func(context.Context, ownership.Tenure)

	mu    sync.Mutex
	owned map[int]*owner.Unit
	// stopController holds the functions that end runController, by unit.
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

// anyInUse reports whether this daemon owns a unit in use: one to which a pool, or
// the management of the fleet's machines, is assigned.
func (u *units) anyInUse() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for number := range u.owned {
		if u.deps.InUse(number) {
			return true
		}
	}
	return false
}

// run runs a unit and removes it once it has ended: a fenced unit belongs to
// another daemon, even if the next join still lists it here.
func (u *units) run(number int, unit *owner.Unit) {
	unit.Run()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.owned[number] == unit {
		delete(u.owned, number)
		u.stopController[number]()
	}
}

// stop stops the unit of a tenure that was given up, and its controller.
func (u *units) stop(t ownership.Tenure) {
	if unit := u.Unit(t.Unit); unit != nil && unit.Tenure() == t {
		unit.Stop()
	}
}

// set starts the units of new tenures and stops those whose tenure is over.
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
