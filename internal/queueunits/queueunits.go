// Package queueunits records which units have taken jobs of each queue. A queue
// that operators send to another pool has jobs in the units of both pools, and
// whoever looks for one of them must ask both. A unit is added before the first job
// of the queue starts there, and is never removed. The package depends on package
// store.
package queueunits

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/bootclock"
	"github.com/beryltide/beryltide/internal/store"
)

const (
	// topic is the store's topic of units by queue.
	topic = "keyed.queue-units"
	// keyBytes is how many bytes of a hash of the route form a record's key: the store
	// takes keys of up to 255 bytes, and routes may be longer.
	keyBytes = 16
	// addAttempts bounds the attempts of Add while other daemons add units too.
	addAttempts = 5
)

// Map holds the units of queues as last read from the store. Queues are named by
// their routes. It is safe for concurrent use.
type Map struct {
	log   store.Log
	clock bootclock.Clock

	// reading holds an entry during a read of Refresh. A caller that waits for it may
	// give up, which it couldn't with a mutex.
	reading chan struct{}

	mu sync.Mutex
	// units holds sorted units by record key.
	units map[string][]int
	// readAt is when the last read began, on the boot clock; negative before the first.
	readAt time.Duration
}

// New returns an empty map. The clock must be the boot clock.
func New(log store.Log, clock bootclock.Clock) *Map {
	return &Map{log: log, clock: clock, reading: make(chan struct{}, 1), units: map[string][]int{}, readAt: -1}
}

// Units returns the known units of a queue, sorted.
func (m *Map) Units(route string) []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.units[keyOf(route)])
}

// Learn adds a unit that another daemon has added to the store.
func (m *Map) Learn(route string, unit int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.merge(keyOf(route), []int{unit})
}

// Refresh reads all units from the store, unless a read has begun since a time on the
// boot clock. Concurrent calls share reads.
func (m *Map) Refresh(ctx context.Context, since time.Duration) error {
	select {
	case m.reading <- struct{}{}:
		defer func() { <-m.reading }()
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "read the units of queues")
	}
	m.mu.Lock()
	fresh := m.readAt >= 0 && m.readAt >= since
	m.mu.Unlock()
	if fresh {
		return nil
	}
	_, err := m.read(ctx)
	return err
}

// Add adds a unit to a queue in the store, unless it is known to be there. After it,
// Units includes all units that were added before this one.
func (m *Map) Add(ctx context.Context, route string, unit int) error {
	var err error
	for range addAttempts {
		if slices.Contains(m.Units(route), unit) {
			return nil
		}
		if err = m.addOnce(ctx, route, unit); !errors.Is(err, store.ErrMoved) {
			return err
		}
	}
	return err
}

func (m *Map) addOnce(ctx context.Context, route string, unit int) error {
	end, err := m.read(ctx)
	if err != nil {
		return err
	}
	units := m.Units(route)
	if slices.Contains(units, unit) {
		return nil
	}
	record := store.Record{Key: keyOf(route), Value: encode(append(units, unit))}
	if err := m.log.AppendAt(ctx, topic, 0, []store.Record{record}, end); err != nil {
		return errors.Wrap(err, "add a unit to a queue")
	}
	m.Learn(route, unit)
	return nil
}

// read merges all records of the store and returns the topic's end.
func (m *Map) read(ctx context.Context) (int64, error) {
	begun := m.clock()
	records, end, err := store.ReadNewest(ctx, m.log, topic, 0)
	if err != nil {
		return 0, errors.Wrap(err, "read the units of queues")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.readAt = max(m.readAt, begun)
	for _, r := range records {
		m.merge(r.Key, decode(r.Value))
	}
	return end, nil
}

func (m *Map) merge(key string, units []int) {
	merged := append(slices.Clone(m.units[key]), units...)
	slices.Sort(merged)
	m.units[key] = slices.Compact(merged)
}

func keyOf(route string) string {
	sum := sha256.Sum256([]byte(route))
	return hex.EncodeToString(sum[:keyBytes])
}

func encode(units []int) []byte {
	var texts []string
	for _, unit := range units {
		texts = append(texts, strconv.Itoa(unit))
	}
	return []byte(strings.Join(texts, ","))
}

// decode leaves out what isn't the number of a unit.
func decode(value []byte) []int {
	var units []int
	for text := range strings.SplitSeq(string(value), ",") {
		if unit, err := strconv.Atoi(text); err == nil && unit >= 0 {
			units = append(units, unit)
		}
	}
	return units
}
