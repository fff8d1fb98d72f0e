// Package checkpoint writes whole control states to the checkpoint stream and
// reads them back, so that the control stream's records may expire.
//
// All members hold the same state, so any of them may write it. When a checkpoint
// is due, the member that holds the current slot writes one, reads it back and
// announces it in the control stream. The announcement prevents the others from
// writing another one.
package checkpoint

import (
	"context"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/controlstate"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/record"
)

// ErrNone is returned if no checkpoint was ever written.
var ErrNone = errors.New("the log has no checkpoint")

// searchLimit is the number of checkpoints that Newest tries.
const searchLimit = 64

// Newest returns the state of the newest checkpoint that can be restored and
// whose next offset is at least from. It skips and logs damaged ones. It returns
// ErrNone, wrapped, if the stream has never held a checkpoint.
func Newest(ctx context.Context, log platform.Log, from record.Offset, logger *zap.Logger) (*controlstate.State, error) {
	bounds, err := streamBounds(ctx, log)
	if err != nil {
		return nil, err
	}
	if bounds.Head == 0 {
		return nil, errors.WithStack(ErrNone)
	}
	lowest := max(bounds.Oldest, bounds.Head-searchLimit)
	for at := bounds.Head - 1; at >= lowest; at-- {
		batch, err := log.Read(ctx, platform.StreamCheckpoint, at, 1, 0)
		if err != nil {
			return nil, err
		}
		if len(batch.Entries) == 0 {
			continue
		}
		state, err := controlstate.Restore(batch.Entries[0].Data)
		if err != nil {
			logger.Warn("checkpoint.damaged", zap.Int64("offset", int64(at)), zap.Error(err))
			continue
		}
		if state.Next() >= from {
			return state, nil
		}
	}
	return nil, errors.Errorf("no readable checkpoint reaches offset %d", from)
}

// streamBounds returns a batch with the oldest and head offsets of the checkpoint
// stream. A trimmed stream is no error.
func streamBounds(ctx context.Context, log platform.Log) (platform.Batch, error) {
	batch, err := log.Read(ctx, platform.StreamCheckpoint, 0, 1, 0)
	if errors.Is(err, platform.ErrTrimmed) {
		return batch, nil
	}
	return batch, err
}
