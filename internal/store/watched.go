package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Watched is a log that detects outages and slowness from its calls.
type Watched struct {
	log    Log
	health *Health
}

var _ Log = (*Watched)(nil)

// Watch wraps a log. Clock is a monotonic clock.
func Watch(log Log, clock func() time.Duration) *Watched {
	return &Watched{log: log, health: NewHealth(clock, outageFailures)}
}

// Away returns for how long the store has been unavailable to this daemon; 0 if it
// is available.
func (w *Watched) Away() time.Duration { return w.health.Away() }

// Serving reports whether the store served this daemon's last call; false before the
// first one.
func (w *Watched) Serving() bool { return w.health.Serving() }

// Slow reports whether the store has recently taken much longer than usual for a call
// of this daemon.
func (w *Watched) Slow() bool { return w.health.Slow() }

// Limits of the probes during an outage.
const (
	// probeInterval bounds the delay until a recovery is detected.
	probeInterval = 150 * time.Millisecond
	// probeTimeout is well over the latency of a slow store (60 times 4 ms).
	probeTimeout = 800 * time.Millisecond
)

// Probe calls the store at intervals during outages, until the context ends. A probe
// doesn't wait for the preceding one: calls that were sent during an outage may stay
// unanswered after it.
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
	// Owners records the result in the health; nothing else depends on it.
	_, _ = w.Owners(ctx, group)
}

// Clock returns the clock on which outages are measured.
func (w *Watched) Clock() func() time.Duration { return w.health.clock }

// observe records the result of a call and how long the store took for it, except for
// failures of calls that this daemon cancelled itself: they don't show whether the
// store is available.
func (w *Watched) observe(ctx context.Context, begin time.Duration, err error) {
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	w.health.ObserveLatency(w.health.clock() - begin)
	w.health.Observe(Served(err))
}

// Served reports whether a call's result shows that the store is available: it
// succeeded, or was refused because of the log's contents.
func Served(err error) bool {
	var sequence *SequenceError
	switch {
	case err == nil, errors.As(err, &sequence):
		return true
	case errors.Is(err, ErrFenced), errors.Is(err, ErrExpired), errors.Is(err, ErrMoved), errors.Is(err, ErrNotHeld), errors.Is(err, ErrFull):
		return true
	}
	return false
}

// slowAppendTimeout is how long an append may take while the store is slow: the 2 s for
// which a partition lets it wait behind others, and its own time.
const slowAppendTimeout = 3 * time.Second

// patient returns the context of an append. While the store is slow, one without a
// deadline gets a late one: the store carries out what it has taken, so an append that is
// repeated too early makes the queue longer. It ends when the store recovers from an
// outage, since what was sent during one may never be answered.
func (w *Watched) patient(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, bounded := ctx.Deadline(); bounded || !w.Slow() {
		return ctx, func() {}
	}
	recovery, cancelRecovery := w.health.untilRecovery(ctx)
	ctx, cancel := context.WithTimeout(recovery, slowAppendTimeout)
	return ctx, func() { cancel(); cancelRecovery() }
}

// Append implements Log.
func (w *Watched) Append(ctx context.Context, topic string, partition int, records []Record, seq *Sequence) error {
	ctx, cancel := w.patient(ctx)
	defer cancel()
	begin := w.health.clock()
	err := w.log.Append(ctx, topic, partition, records, seq)
	w.observe(ctx, begin, err)
	return err
}

// AppendAt implements Log.
func (w *Watched) AppendAt(ctx context.Context, topic string, partition int, records []Record, end int64) error {
	ctx, cancel := w.patient(ctx)
	defer cancel()
	begin := w.health.clock()
	err := w.log.AppendAt(ctx, topic, partition, records, end)
	w.observe(ctx, begin, err)
	return err
}

// Read implements Log. It fails when the store recovers from an outage, so that
// readers repeat it at once.
func (w *Watched) Read(ctx context.Context, topic string, partition int, from int64, wait time.Duration) (Batch, error) {
	ctx, cancel := w.health.untilRecovery(ctx)
	defer cancel()
	begin := w.health.clock()
	batch, err := w.log.Read(ctx, topic, partition, from, wait)
	if len(batch.Records) > 0 {
		// It isn't known for how long the store waited for records.
		begin = w.health.clock()
	}
	w.observe(ctx, begin+wait, err)
	return batch, err
}

// Newest implements Log.
func (w *Watched) Newest(ctx context.Context, topic string, partition int, after string) (Page, error) {
	begin := w.health.clock()
	page, err := w.log.Newest(ctx, topic, partition, after)
	w.observe(ctx, begin, err)
	return page, err
}

// Join implements Log.
func (w *Watched) Join(ctx context.Context, join Join) (Membership, error) {
	begin := w.health.clock()
	m, err := w.log.Join(ctx, join)
	w.observe(ctx, begin, err)
	return m, err
}

// Held implements Log.
func (w *Watched) Held(ctx context.Context, h Holding) error {
	begin := w.health.clock()
	err := w.log.Held(ctx, h)
	w.observe(ctx, begin, err)
	return err
}

// Leave implements Log.
func (w *Watched) Leave(ctx context.Context, group, member string) error {
	begin := w.health.clock()
	err := w.log.Leave(ctx, group, member)
	w.observe(ctx, begin, err)
	return err
}

// Owners implements Log.
func (w *Watched) Owners(ctx context.Context, group string) ([]Owner, error) {
	begin := w.health.clock()
	owners, err := w.log.Owners(ctx, group)
	w.observe(ctx, begin, err)
	return owners, err
}
