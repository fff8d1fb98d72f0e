// Package listing keeps the newest list of the platform's directory.
//
// The list lags and may be wrong; its users decide what follows from it.
package listing

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/platform"
)

// Times for reading the directory.
const (
	readInterval = time.Second
	listTimeout  = 3 * time.Second
)

// List is one answer of the directory. It is immutable.
type List struct {
	// At is when the list was requested; the zero time before the first answer.
	At        time.Time
	Instances []platform.Listing

	byName map[string]platform.Listing
}

// NewList returns the list of instances of a request made at the given time.
func NewList(at time.Time, instances []platform.Listing) *List {
	l := &List{At: at, Instances: instances, byName: make(map[string]platform.Listing, len(instances))}
	for _, i := range instances {
		l.byName[i.Instance] = i
	}
	return l
}

// Get returns the listing of an instance, and false when it isn't listed.
func (l *List) Get(name string) (platform.Listing, bool) {
	i, ok := l.byName[name]
	return i, ok
}

// A list is implausible if it lacks more than maxAbsentShare of the known
// instances, and more than maxAbsentCount.
const (
	maxAbsentShare = 0.1
	maxAbsentCount = 8
)

// Implausible reports whether a list that lacks this many of the known instances
// may be wrong.
func Implausible(absent, known int) bool {
	return float64(absent) > max(maxAbsentCount, maxAbsentShare*float64(known))
}

// Watcher reads the directory periodically. It is safe for concurrent use.
type Watcher struct {
	directory platform.Directory
	logger    *zap.Logger
	onList    func(*List)
	newest    atomic.Pointer[List]
}

// NewWatcher returns a watcher that hasn't read a list yet. It calls onList
// with each list that it reads.
func NewWatcher(d platform.Directory, onList func(*List), logger *zap.Logger) *Watcher {
	w := &Watcher{directory: d, onList: onList, logger: logger}
	w.newest.Store(NewList(time.Time{}, nil))
	return w
}

// Newest returns the newest list.
func (w *Watcher) Newest() *List { return w.newest.Load() }

// Run reads until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	tick := time.NewTicker(readInterval)
	defer tick.Stop()
	for {
		w.read(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (w *Watcher) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	at := time.Now()
	list, err := w.directory.List(ctx)
	if err != nil {
		w.logger.Warn("directory.read_failed", zap.Error(err))
		return
	}
	newest := NewList(at, list)
	w.newest.Store(newest)
	w.onList(newest)
}
