// Package follower reads a stream of the log in order and hands the records
// to the goroutine that folds them.
//
// It knows offsets and outages, and nothing of what the records mean.
package follower

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/record"
)

// Bounds of one read.
const (
	readLimit   = 1000
	longPoll    = time.Second
	readTimeout = 3 * time.Second
)

// Bounds of the pause after a failed read.
const (
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = time.Second
)

// Event is what a read brought.
type Event struct {
	// Batch is set after a successful read. It may be empty.
	Batch platform.Batch
	// Err is set after a failed one; platform.ErrTrimmed when the offset is
	// no longer kept.
	Err error
	// At is the time at which the read was sent: what the batch doesn't hold
	// was not in the log before.
	At time.Time
}

// Follower reads one stream. Its methods are for one goroutine each.
type Follower struct {
	log    platform.Log
	stream platform.Stream
	events chan Event
}

// New returns a follower of a stream.
func New(log platform.Log, stream platform.Stream) *Follower {
	return &Follower{log: log, stream: stream, events: make(chan Event)}
}

// Events returns the channel on which reads arrive.
func (f *Follower) Events() <-chan Event { return f.events }

// Run reads from an offset on until ctx ends or the offset is no longer kept.
// It never skips a record.
func (f *Follower) Run(ctx context.Context, from record.Offset) {
	retry := newBackoff()
	for ctx.Err() == nil {
		ev := f.read(ctx, from)
		if !f.send(ctx, ev) {
			return
		}
		if errors.Is(ev.Err, platform.ErrTrimmed) {
			return
		}
		if ev.Err != nil {
			sleep(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
		from += record.Offset(len(ev.Batch.Entries))
	}
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialRetryDelay
	b.MaxInterval = maxRetryDelay
	return b
}

func (f *Follower) read(ctx context.Context, from record.Offset) Event {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sentAt := time.Now()
	batch, err := f.log.Read(ctx, f.stream, from, readLimit, longPoll)
	return Event{Batch: batch, Err: err, At: sentAt}
}

func (f *Follower) send(ctx context.Context, ev Event) bool {
	select {
	case f.events <- ev:
		return true
	case <-ctx.Done():
		return false
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
