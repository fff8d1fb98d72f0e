// Package fleetview keeps what this daemon knows of the configuration, of the
// operators' standing requests and of the instances. Readers get whole
// snapshots that never change.
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

// Decoders turn the platform's records into the product's types.
type Decoders struct {
	Operator     func(key string, value []byte) (catalog.OperatorRecord, error)
	Registration func(id string, value []byte) (instance.Registration, error)
}

// never is when what hasn't been read yet was found current.
const never = -24 * time.Hour

// Instances is a snapshot of the registry.
type Instances map[string]instance.Registration

// View holds the newest snapshots.
type View struct {
	decode Decoders
	clock  bootclock.Clock
	logger *zap.Logger

	mu        sync.Mutex
	catalog   atomic.Pointer[catalog.Catalog]
	duties    atomic.Pointer[catalog.Duties]
	instances atomic.Pointer[Instances]
	// registryAt and configurationAt are when they were last found current, on
	// the boot clock: a time of day that is set would falsify their ages.
	registryAt      atomic.Int64
	configurationAt atomic.Int64
}

// New returns a view that knows nothing.
func New(decode Decoders, clock bootclock.Clock, logger *zap.Logger) *View {
	v := &View{decode: decode, clock: clock, logger: logger}
	v.registryAt.Store(int64(never))
	v.configurationAt.Store(int64(never))
	v.duties.Store(&catalog.Duties{Out: map[string]bool{}, Waves: map[int64]catalog.Wave{}})
	v.instances.Store(&Instances{})
	return v
}

// Catalog returns the configuration in force, or nil before the first.
func (v *View) Catalog() *catalog.Catalog { return v.catalog.Load() }

// Duties returns the operators' standing requests.
func (v *View) Duties() *catalog.Duties { return v.duties.Load() }

// Instances returns the registry's entries.
func (v *View) Instances() Instances { return *v.instances.Load() }

// ConfirmConfiguration notes that the configuration is current.
func (v *View) ConfirmConfiguration() { v.configurationAt.Store(int64(v.clock())) }

// ConfirmRegistry notes that the registry is current.
func (v *View) ConfirmRegistry() { v.registryAt.Store(int64(v.clock())) }

// ConfigurationAge tells how long ago the configuration was found current.
func (v *View) ConfigurationAge() time.Duration { return v.age(&v.configurationAt) }

// RegistryAge tells how long ago the registry was found current.
func (v *View) RegistryAge() time.Duration { return v.age(&v.registryAt) }

func (v *View) age(at *atomic.Int64) time.Duration { return v.clock() - time.Duration(at.Load()) }

// ResetOperator takes all newest records of the operators' topic.
func (v *View) ResetOperator(records []store.Record) {
	v.applyOperator(records, &catalog.Duties{Out: map[string]bool{}, Waves: map[int64]catalog.Wave{}})
}

// ApplyOperator takes newer records of the operators' topic.
func (v *View) ApplyOperator(records []store.Record) {
	old := v.Duties()
	next := &catalog.Duties{Out: map[string]bool{}, Waves: map[int64]catalog.Wave{}}
	for name := range old.Out {
		next.Out[name] = true
	}
	for number, wave := range old.Waves {
		next.Waves[number] = wave
	}
	v.applyOperator(records, next)
}

func (v *View) applyOperator(records []store.Record, duties *catalog.Duties) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range records {
		change, err := v.decode.Operator(r.Key, r.Value)
		if err != nil {
			v.logger.Warn("operator.record_unreadable", zap.String("key", r.Key), zap.Int64("offset", r.Offset), zap.Error(err))
			continue
		}
		v.applyChange(change, duties)
	}
	v.duties.Store(duties)
}

func (v *View) applyChange(r catalog.OperatorRecord, duties *catalog.Duties) {
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
			delete(duties.Out, r.DataCentre)
		} else {
			duties.Out[r.DataCentre] = true
		}
		v.logger.Info("data_centre.changed", zap.String("data_centre", r.DataCentre), zap.Bool("out", !r.Withdrawn))
	case r.Wave != nil:
		if r.Withdrawn {
			delete(duties.Waves, r.Wave.Number)
		} else {
			duties.Waves[r.Wave.Number] = *r.Wave
		}
		v.logger.Info("wave.changed", zap.Int64("wave", r.Wave.Number), zap.Int("machines", len(r.Wave.Machines)), zap.Int("at_once", r.Wave.AtOnce), zap.Duration("duration", r.Wave.Duration), zap.Bool("withdrawn", r.Withdrawn))
	}
}

// ResetRegistry takes all newest records of the registry.
func (v *View) ResetRegistry(records []store.Record) {
	v.applyRegistry(records, Instances{})
}

// ApplyRegistry takes newer records of the registry.
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
			continue
		}
		next[r.Key] = entry
	}
	v.instances.Store(&next)
}
