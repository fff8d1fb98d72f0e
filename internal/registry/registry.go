// Package registry follows a keyed topic of the store and hands its records to
// callbacks. It depends on package store.
package registry

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/pause"
	"github.com/beryltide/beryltide/internal/store"
)

// retryDelay is the time between two attempts after a failed read.
const retryDelay = 100 * time.Millisecond

// neededCheckInterval is how often Needed is called while it returns false.
const neededCheckInterval = 50 * time.Millisecond

// Follower follows partition 0 of a keyed topic. Its fields must be set before Run,
// which calls the functions from one goroutine.
type Follower struct {
	Log    store.Log
	Topic  string
	Logger *zap.Logger
	// Wait is how long a read waits for a record; 0 means not at all.
	Wait time.Duration
	// Pause is the time between the end of a successful read and the next one.
	Pause time.Duration
	// Needed is called before each read and reports whether the topic has to be
	// followed; nil means always. Once it returns false, nothing is read and Reset is
	// called without records. Once it returns true again, Reset is called with the
	// newest records, as at the start.
	Needed func() bool
	// Reset is called with the newest record of each key at the start, and after
	// records have expired unread.
	Reset func([]store.Record)
	// Apply is called with the records that were added since.
	Apply func([]store.Record)
	// Confirmed is called after each read up to the topic's end, once its records have
	// been handed over.
	Confirmed func()

	// down is whether the last read failed.
	down bool
}

// Run follows the topic until the context ends.
func (f *Follower) Run(ctx context.Context) {
	from := int64(-1)
	for ctx.Err() == nil {
		if f.Needed != nil && !f.Needed() {
			if from >= 0 {
				f.Reset(nil)
			}
			from = -1
			pause.For(ctx, neededCheckInterval)
			continue
		}
		next, err := f.step(ctx, from)
		switch {
		case errors.Is(err, store.ErrExpired):
			from = -1
			continue
		case err != nil:
			f.noteDown(ctx, err)
			pause.For(ctx, retryDelay)
			continue
		}
		f.noteUp()
		from = next
		pause.For(ctx, f.Pause)
	}
}

func (f *Follower) step(ctx context.Context, from int64) (int64, error) {
	if from < 0 {
		records, next, err := store.ReadNewest(ctx, f.Log, f.Topic, 0)
		if err != nil {
			return from, err
		}
		f.Reset(records)
		f.Confirmed()
		return next, nil
	}
	wait := f.Wait
	if f.down {
		// After an outage the topic is confirmed without waiting for a change.
		wait = 0
	}
	batch, err := f.Log.Read(ctx, f.Topic, 0, from, wait)
	if err != nil {
		return from, err
	}
	if len(batch.Records) > 0 {
		f.Apply(batch.Records)
	}
	if batch.Next >= batch.End {
		f.Confirmed()
	}
	return batch.Next, nil
}

func (f *Follower) noteDown(ctx context.Context, err error) {
	if !f.down && ctx.Err() == nil {
		f.Logger.Warn("dependency.lost", zap.String("topic", f.Topic), zap.Error(err))
	}
	f.down = true
}

func (f *Follower) noteUp() {
	if f.down {
		f.Logger.Info("dependency.regained", zap.String("topic", f.Topic))
	}
	f.down = false
}
