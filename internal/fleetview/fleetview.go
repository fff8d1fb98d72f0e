// Package fleetview holds this daemon's view of the configuration, the operators'
// active requests and the registered instances. It decodes the records of the
// operators' topic and of the registry, and readers get immutable snapshots.
package fleetview

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/bootclock"
	"github.com/beryltide/beryltide/internal/catalog"
	"github.com/beryltide/beryltide/internal/instance"
	"github.com/beryltide/beryltide/internal/store"
)

// Decoders convert the platform's records to the types of catalog and instance.
type Decoders struct {
	Operator     func(key string, value []byte) (catalog.OperatorRecord, error)
	Registration func(id string, value []byte) (instance.Registration, error)
}

// never is the initial time of the last confirmation: 24 hours before the boot
// clock's zero, so that the age of data that hasn't been read yet exceeds any
// bound.
const never = -24 * time.Hour

// Instances is a snapshot of the registry, by instance.
type Instances map[string]instance.Registration

// View holds the latest snapshots. Readers may call it concurrently with one
// goroutine that updates the operators' records and one that updates the
// registry.
type View struct {
	decode Decoders
	clock  bootclock.Clock
	logger *zap.Logger

	mu            sync.Mutex
	catalog       atomic.Pointer[catalog.Catalog]
	operatorState atomic.Pointer[catalog.OperatorState]
	instances     atomic.Pointer[Instances]
	// registryAt and configurationAt are when the data was last confirmed to be
	// current, on the boot clock: a change of the wall clock would falsify the
	// ages.
	registryAt      atomic.Int64
	configurationAt atomic.Int64
}

// New returns an empty view. The clock must be the boot clock.
func New(decode Decoders, clock bootclock.Clock, logger *zap.Logger) *View {
	v := &View{decode: decode, clock: clock, logger: logger}
	v.registryAt.Store(int64(never))
	v.configurationAt.Store(int64(never))
	v.operatorState.Store(&catalog.OperatorState{OutOfService: map[string]bool{}, Waves: map[int64]catalog.Wave{}})
	v.instances.Store(&Instances{})
	return v
}

// Catalog returns the active configuration, or nil if none has been read.
func (v *View) Catalog() *catalog.Catalog { return v.catalog.Load() }

// OperatorState returns the operators' active requests: data centres out of
// service and maintenance waves.
func (v *View) OperatorState() *catalog.OperatorState { return v.operatorState.Load() }

// Instances returns the registry's entries.
func (v *View) Instances() Instances { return *v.instances.Load() }

// ConfirmConfiguration records that the configuration is current now.
func (v *View) ConfirmConfiguration() { v.configurationAt.Store(int64(v.clock())) }

// ConfirmRegistry records that the registry is current now.
func (v *View) ConfirmRegistry() { v.registryAt.Store(int64(v.clock())) }

// ConfigurationAge returns how long ago the configuration was confirmed to be
// current.
func (v *View) ConfigurationAge() time.Duration { return v.age(&v.configurationAt) }

// RegistryAge returns how long ago the registry was confirmed to be current.
func (v *View) RegistryAge() time.Duration { return v.age(&v.registryAt) }

func (v *View) age(at *atomic.Int64) time.Duration { return v.clock() - time.Duration(at.Load()) }

// ResetOperator replaces the operators' requests by those of a full set of the
// latest records of their topic. An older configuration than the active one is
// ignored.
func (v *View) ResetOperator(records []store.Record) {
	v.applyOperator(records, &catalog.OperatorState{OutOfService: map[string]bool{}, Waves: map[int64]catalog.Wave{}})
}

// ApplyOperator applies newer records of the operators' topic.
func (v *View) ApplyOperator(records []store.Record) {
	old := v.OperatorState()
	next := &catalog.OperatorState{OutOfService: map[string]bool{}, Waves: map[int64]catalog.Wave{}}
	for name := range old.OutOfService {
		next.OutOfService[name] = true
	}
	for number, wave := range old.Waves {
		next.Waves[number] = wave
	}
	v.applyOperator(records, next)
}

func (v *View) applyOperator(records []store.Record, state *catalog.OperatorState) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range records {
		change, err := v.decode.Operator(r.Key, r.Value)
		if err != nil {
			v.logger.Warn("operator.record_unreadable", zap.String("key", r.Key), zap.Int64("offset", r.Offset), zap.Error(err))
			continue
		}
		v.applyChange(change, state)
	}
	v.operatorState.Store(state)
}

func (v *View) applyChange(r catalog.OperatorRecord, state *catalog.OperatorState) {
	switch {
	case r.Catalog != nil:
		old := v.Catalog()
		if old != nil && r.Catalog.Version < old.Version {
			v.logger.Warn("configuration.older_ignored", zap.Int64("version", r.Catalog.Version), zap.Int64("in_force", old.Version))
			return
		}
		v.catalog.Store(r.Catalog)
		v.logger.Info("configuration.in_force", zap.Int64("version", r.Catalog.Version), zap.Int("queues", len(r.Catalog.Queues)), zap.Int("teams", len(r.Catalog.Teams)))
	case r.DataCentre != "":
		if r.Withdrawn {
			delete(state.OutOfService, r.DataCentre)
		} else {
			state.OutOfService[r.DataCentre] = true
		}
		v.logger.Info("data_centre.changed", zap.String("data_centre", r.DataCentre), zap.Bool("out", !r.Withdrawn))
	case r.Wave != nil:
		if r.Withdrawn {
			delete(state.Waves, r.Wave.Number)
		} else {
			state.Waves[r.Wave.Number] = *r.Wave
		}
		v.logger.Info("wave.changed", zap.Int64("wave", r.Wave.Number), zap.Int("machines", len(r.Wave.Machines)), zap.Int("at_once", r.Wave.AtOnce), zap.Duration("duration", r.Wave.Duration), zap.Bool("withdrawn", r.Withdrawn))
	}
}

// ResetRegistry replaces the instances by a full set of the registry's latest
// records.
func (v *View) ResetRegistry(records []store.Record) {
	v.applyRegistry(records, Instances{})
}

// ApplyRegistry applies newer records of the registry. A record without a value, or
// with one that can't be read, removes its instance.
func (v *View) ApplyRegistry(records []store.Record) {
	old := v.Instances()
	next := make(Instances, len(old))
	for id, r := range old {
		next[id] = r
	}
	v.applyRegistry(records, next)
}

func (v *View) applyRegistry(records []store.Record, next Instances) {
	for _, r := range records {
		if len(r.Value) == 0 {
			delete(next, r.Key)
			continue
		}
		entry, err := v.decode.Registration(r.Key, r.Value)
		if err != nil {
			v.logger.Warn("registry.entry_unreadable", zap.String("instance", r.Key), zap.Error(err))
			delete(next, r.Key)
			continue
		}
		next[r.Key] = entry
	}
	v.instances.Store(&next)
}
