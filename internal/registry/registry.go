// Package registry follows a keyed topic of the store and keeps the newest
// record of each key.
package registry

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/pause"
	"github.com/beryltide/beryltide/internal/store"
)

// retryInterval lies between two tries while the store doesn't answer.
const retryInterval = 100 * time.Millisecond

// neededCheckInterval is how late it is noticed that a topic is needed again.
const neededCheckInterval = 50 * time.Millisecond

// Follower follows partition 0 of a keyed topic.
type Follower struct {
	Log    store.Log
	Topic  string
	Logger *zap.Logger
	// Wait is how long a read waits for a record; 0 reads at once.
	Wait time.Duration
	// Pause lies between two reads.
	Pause time.Duration
	// Needed says whether the topic has to be followed now; nil says always. What
	// isn't needed is forgotten, and read anew once it is.
	Needed func() bool
	// Reset is called with all newest records at the start and whenever records
	// were missed.
	Reset func([]store.Record)
	// Apply is called with what came after.
	Apply func([]store.Record)
	// Confirmed is called after each read that found the topic followed.
	Confirmed func()

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
			pause.For(ctx, retryInterval)
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
		// Whether anything has changed during the outage shows at once.
		wait = 0
	}
	batch, err := f.Log.Read(ctx, f.Topic, 0, from, wait)
	if err != nil {
		return from, err
	}
	if len(batch.Records) > 0 {
		f.Apply(batch.Records)
	}
	f.Confirmed()
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
