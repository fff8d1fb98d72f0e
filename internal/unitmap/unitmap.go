// Package unitmap deals pools over units once and for good. The store keeps
// which unit a pool has: its jobs lie in that unit's partition, whatever pools
// are added later. Consecutive units go to different daemons, so new pools get
// the lowest numbers that are free.
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
	// topic keeps the unit of each pool.
	topic = "keyed.units"
	// Fleet is the entry of the unit whose owner looks after the machines.
	Fleet = "fleet of all pools"
	// checkInterval is how often pools without a unit are looked for.
	checkInterval = 100 * time.Millisecond
	// None is the unit of a pool that has none yet.
	None = -1
)

// Map knows the units of pools.
type Map struct {
	log       store.Log
	unitCount int
	logger    *zap.Logger

	mu    sync.RWMutex
	units map[string]int
	used  map[int]bool
}

// New returns a map over a number of units that knows no pool.
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

// Used says whether a unit has a pool.
func (m *Map) Used(unit int) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.used[unit]
}

// Complete says whether all of some pools have a unit.
func (m *Map) Complete(pools []string) bool { return len(m.missing(pools)) == 0 }

// Run gives each pool a unit until the context ends. Pools names those that the
// configuration in force has.
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

// Ensure reads the map and adds what it lacks. Of several daemons that add at
// the same time one succeeds, and the others read again.
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
		return errors.Wrap(err, "add pools")
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
			return errors.Errorf("unit %q of pool %s", r.Value, r.Key)
		}
		m.units[r.Key] = unit
		m.used[unit] = true
	}
	return nil
}

// assign gives each pool the unit that has the fewest, the lowest first.
func (m *Map) assign(pools []string) []store.Record {
	m.mu.RLock()
	defer m.mu.RUnlock()
	poolsPerUnit := make([]int, m.unitCount)
	for _, unit := range m.units {
		poolsPerUnit[unit]++
	}
	slices.Sort(pools)
	var out []store.Record
	for _, pool := range pools {
		unit := slices.Index(poolsPerUnit, slices.Min(poolsPerUnit))
		poolsPerUnit[unit]++
		out = append(out, store.Record{Key: pool, Value: []byte(strconv.Itoa(unit))})
	}
	return out
}
