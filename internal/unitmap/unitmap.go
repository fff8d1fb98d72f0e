// Package unitmap assigns a unit to each pool. An assignment is kept in the store
// and never changes, because the pool's jobs are stored in its unit's partition.
// New pools get every third number, from the highest down: the store gives a member
// that joins the lowest unit of each other member, so that a daemon that restarts
// mostly draws units without a pool. The package depends on package store.
package unitmap

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/pause"
	"github.com/beryltide/beryltide/internal/store"
)

const (
	// topic is the store's topic of units by pool.
	topic = "keyed.units"
	// Fleet is the key of the unit whose owner manages the machines.
	Fleet = "fleet of all pools"
	// checkInterval is how often Run searches for pools without a unit.
	checkInterval = 100 * time.Millisecond
	// stride is the distance between the units of pools that are added one after
	// another. Neighbours would gather at one daemon as members come and go.
	stride = 3
	// None is what Of returns for a pool without a unit.
	None = -1
)

// Map holds the units of pools. It is safe for concurrent use.
type Map struct {
	log       store.Log
	unitCount int
	logger    *zap.Logger

	mu    sync.RWMutex
	units map[string]int
	used  map[int]bool
}

// New returns an empty map for a number of units, of which the first is 0.
func New(log store.Log, unitCount int, logger *zap.Logger) *Map {
	return &Map{log: log, unitCount: unitCount, logger: logger, units: map[string]int{}, used: map[int]bool{}}
}

// Of returns a pool's unit, or None.
func (m *Map) Of(pool string) int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if unit, known := m.units[pool]; known {
		return unit
	}
	return None
}

// InUse reports whether a unit is assigned to a pool or to Fleet.
func (m *Map) InUse(unit int) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.used[unit]
}

// Complete reports whether all of the pools have a unit.
func (m *Map) Complete(pools []string) bool { return len(m.missing(pools)) == 0 }

// Run calls Ensure at intervals until the context ends. The function pools returns
// the names of the pools in the active configuration.
func (m *Map) Run(ctx context.Context, pools func() []string) {
	failed := false
	for ctx.Err() == nil {
		err := m.Ensure(ctx, pools())
		if err != nil && !failed {
			m.logger.Warn("units.unknown", zap.Error(err))
		}
		failed = err != nil
		pause.For(ctx, checkInterval)
	}
}

func (m *Map) missing(pools []string) []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []string
	for _, pool := range pools {
		if _, known := m.units[pool]; !known {
			out = append(out, pool)
		}
	}
	return out
}

// Ensure reads missing units from the store and assigns units to pools that have
// none, and to Fleet. If several daemons add units at the same time, one succeeds;
// the others return an error and read its units with their next call.
func (m *Map) Ensure(ctx context.Context, pools []string) error {
	if len(pools) == 0 {
		return nil
	}
	missing := m.missing(append(slices.Clone(pools), Fleet))
	if len(missing) == 0 {
		return nil
	}
	records, end, err := store.ReadNewest(ctx, m.log, topic, 0)
	if err != nil {
		return err
	}
	if err := m.apply(records); err != nil {
		return err
	}
	missing = m.missing(missing)
	if len(missing) == 0 {
		return nil
	}
	added := m.assign(missing)
	if err := m.log.AppendAt(ctx, topic, 0, added, end); err != nil {
		return errors.Wrap(err, "assign units to pools")
	}
	m.logger.Info("units.added", zap.Strings("pools", missing))
	return m.apply(added)
}

func (m *Map) apply(records []store.Record) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range records {
		unit, err := strconv.Atoi(string(r.Value))
		if err != nil || unit < 0 || unit >= m.unitCount {
			return errors.Errorf("invalid unit %q for pool %s", r.Value, r.Key)
		}
		m.units[r.Key] = unit
		m.used[unit] = true
	}
	return nil
}

// preferredUnits returns all units, in the order in which pools get them.
func preferredUnits(unitCount int) []int {
	var units []int
	for first := unitCount - 1; first >= max(unitCount-stride, 0); first-- {
		for unit := first; unit >= 0; unit -= stride {
			units = append(units, unit)
		}
	}
	return units
}

// assign returns records that give each pool the first of the preferred units that
// have the fewest pools.
func (m *Map) assign(pools []string) []store.Record {
	m.mu.RLock()
	defer m.mu.RUnlock()
	poolsPerUnit := make([]int, m.unitCount)
	for _, unit := range m.units {
		poolsPerUnit[unit]++
	}
	slices.Sort(pools)
	preferred := preferredUnits(m.unitCount)
	var out []store.Record
	for _, pool := range pools {
		unit := preferred[0]
		for _, candidate := range preferred[1:] {
			if poolsPerUnit[candidate] < poolsPerUnit[unit] {
				unit = candidate
			}
		}
		poolsPerUnit[unit]++
		out = append(out, store.Record{Key: pool, Value: []byte(strconv.Itoa(unit))})
	}
	return out
}
