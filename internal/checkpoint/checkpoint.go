// Package checkpoint keeps whole states in the checkpoint stream, so that the
// control stream's records may expire.
//
// Every member holds the same state, so any of them may write it. A member
// that has the turn writes one when it is due, reads it back, and announces it
// in the control stream; the announcement tells all others that none is due.
package checkpoint

import (
	"context"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/controlstate"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/record"
)

// ErrNone reports that the stream has no checkpoint yet.
var ErrNone = errors.New("the log has no checkpoint")

// searchLimit is how many checkpoints are tried, from the newest back.
const searchLimit = 64

// Newest returns the state of the newest checkpoint that is whole and whose
// next offset is at least from. It passes over damaged ones. It returns
// ErrNone, wrapped, when the stream has never held one.
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
	return nil, errors.Errorf("no whole checkpoint reaches offset %d", from)
}

// streamBounds returns the oldest and head offsets of the checkpoint stream.
func streamBounds(ctx context.Context, log platform.Log) (platform.Batch, error) {
	batch, err := log.Read(ctx, platform.StreamCheckpoint, 0, 1, 0)
	if errors.Is(err, platform.ErrTrimmed) {
		return batch, nil
	}
	return batch, err
}
