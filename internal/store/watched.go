package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Watched is a log whose calls tell whether the store serves this daemon.
type Watched struct {
	log    Log
	health *Health
}

var _ Log = (*Watched)(nil)

// Watch observes a log's calls.
func Watch(log Log, clock func() time.Duration) *Watched {
	return &Watched{log: log, health: NewHealth(clock, outageFailures)}
}

// Away returns for how long the store hasn't served this daemon; 0 means that it
// does.
func (w *Watched) Away() time.Duration { return w.health.Away() }

// Bounds of probes of a store that is away.
const (
	// probeInterval is how late a return is noticed.
	probeInterval = 150 * time.Millisecond
	// probeTimeout is well over an answer of a slow store (60 times 4 ms).
	probeTimeout = 800 * time.Millisecond
)

// Probe calls the store again and again while it is away, until the context
// ends. A probe doesn't wait for the one before: calls that were sent during an
// outage may stay unanswered after it.
func (w *Watched) Probe(ctx context.Context, group string) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if w.Away() > 0 {
			go w.probeOnce(ctx, group)
		}
	}
}

func (w *Watched) probeOnce(ctx context.Context, group string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	// What became of it is noted by the health, and nothing else depends on it.
	_, _ = w.Owners(ctx, group)
}

// Clock returns the clock that outages are measured on.
func (w *Watched) Clock() func() time.Duration { return w.health.clock }

// observe notes a call's result. One that this daemon gave up by itself says
// nothing of the store.
func (w *Watched) observe(ctx context.Context, err error) {
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	w.health.Observe(Served(err))
}

// Served says whether the store answered for its contents.
func Served(err error) bool {
	var sequence *SequenceError
	switch {
	case err == nil, errors.As(err, &sequence):
		return true
	case errors.Is(err, ErrFenced), errors.Is(err, ErrExpired), errors.Is(err, ErrMoved), errors.Is(err, ErrFull):
		return true
	}
	return false
}

// Append implements Log.
func (w *Watched) Append(ctx context.Context, topic string, partition int, records []Record, seq *Sequence) error {
	err := w.log.Append(ctx, topic, partition, records, seq)
	w.observe(ctx, err)
	return err
}

// AppendAt implements Log.
func (w *Watched) AppendAt(ctx context.Context, topic string, partition int, records []Record, end int64) error {
	err := w.log.AppendAt(ctx, topic, partition, records, end)
	w.observe(ctx, err)
	return err
}

// Read implements Log. It fails when the store returns from an outage, so that
// readers begin anew at once.
func (w *Watched) Read(ctx context.Context, topic string, partition int, from int64, wait time.Duration) (Batch, error) {
	ctx, cancel := w.health.untilRecovery(ctx)
	defer cancel()
	batch, err := w.log.Read(ctx, topic, partition, from, wait)
	w.observe(ctx, err)
	return batch, err
}

// Newest implements Log.
func (w *Watched) Newest(ctx context.Context, topic string, partition int, after string) (Page, error) {
	page, err := w.log.Newest(ctx, topic, partition, after)
	w.observe(ctx, err)
	return page, err
}

// Join implements Log.
func (w *Watched) Join(ctx context.Context, join Join) (Membership, error) {
	m, err := w.log.Join(ctx, join)
	w.observe(ctx, err)
	return m, err
}

// Leave implements Log.
func (w *Watched) Leave(ctx context.Context, group, member string) error {
	err := w.log.Leave(ctx, group, member)
	w.observe(ctx, err)
	return err
}

// Owners implements Log.
func (w *Watched) Owners(ctx context.Context, group string) ([]Owner, error) {
	owners, err := w.log.Owners(ctx, group)
	w.observe(ctx, err)
	return owners, err
}
