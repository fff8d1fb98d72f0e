// Package follower reads a stream of the log in order and sends the records to
// the goroutine that folds them.
//
// It handles offsets, retries and trimmed records, and doesn't decode records.
package follower

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/pause"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/record"
)

// Limits of one read: its number of records, how long the log holds it open while
// there are none, and its timeout.
const (
	readLimit   = 1000
	longPoll    = time.Second
	readTimeout = 3 * time.Second
)

// Bounds of the delay after a failed read.
const (
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = time.Second
)

// Event is the result of one read.
type Event struct {
	// Batch is set after a successful read. It may be empty. If Err is
	// platform.ErrTrimmed, its Oldest is set.
	Batch platform.Batch
	// Err is set after a failed read. It is platform.ErrTrimmed if the log no
	// longer retains the offset.
	Err error
	// SentAt is the time at which the read was sent. A read that reaches the head
	// returns every record that was in the log at that time.
	SentAt time.Time
}

// Follower reads one stream. Run is called by one goroutine.
type Follower struct {
	log    platform.Log
	stream platform.Stream
	events chan Event
}

// New returns a follower of a stream.
func New(log platform.Log, stream platform.Stream) *Follower {
	return &Follower{log: log, stream: stream, events: make(chan Event)}
}

// Events returns the channel to which Run sends the results of reads. It is
// unbuffered and never closed.
func (f *Follower) Events() <-chan Event { return f.events }

// Run reads from an offset on until ctx ends or the log no longer retains the
// next offset. It never skips a record.
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
			pause.For(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
		from += record.Offset(len(ev.Batch.Entries))
	}
}

// newBackoff returns the delays between failed reads.
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
	return Event{Batch: batch, Err: err, SentAt: sentAt}
}

// send returns false if ctx ends before the event is received.
func (f *Follower) send(ctx context.Context, ev Event) bool {
	select {
	case f.events <- ev:
		return true
	case <-ctx.Done():
		return false
	}
}
