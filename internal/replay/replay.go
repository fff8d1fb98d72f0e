// Package replay builds the control state from the log: from the newest
// checkpoint and the records that follow it.
//
// It reads once, up to the head, and doesn't follow the log. The rules of the
// fold are in controlstate.
package replay

import (
	"context"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/checkpoint"
	"github.com/beryltide/beryltide/internal/controlstate"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/record"
)

// recordLimit is the maximum number of records of one read.
const recordLimit = 1000

// State returns the control state at the head that the log had when the call
// began, or later.
func State(ctx context.Context, log platform.Log) (*controlstate.State, error) {
	state, err := Checkpoint(ctx, log)
	if err != nil {
		return nil, err
	}
	return state, Advance(ctx, log, state)
}

// Checkpoint returns the state of the newest checkpoint that can be restored, or
// the empty state if no checkpoint was ever written.
func Checkpoint(ctx context.Context, log platform.Log) (*controlstate.State, error) {
	state, err := checkpoint.Newest(ctx, log, 0, zap.NewNop())
	if errors.Is(err, checkpoint.ErrNone) {
		return controlstate.New(), nil
	}
	return state, errors.Wrap(err, "read the newest checkpoint")
}

// Visitor is called after each record that Advance folds.
type Visitor func(at record.Offset, e record.Envelope, out controlstate.Outcome)

// Advance folds records into the state until it has reached the log's head, and
// calls the visitors after each of them.
func Advance(ctx context.Context, log platform.Log, state *controlstate.State, visit ...Visitor) error {
	for {
		batch, err := log.Read(ctx, platform.StreamControl, state.Next(), recordLimit, 0)
		if err != nil {
			return errors.Wrapf(err, "read the control stream from offset %d", state.Next())
		}
		if err := fold(state, batch.Entries, visit); err != nil {
			return err
		}
		if state.Next() >= batch.Head {
			return nil
		}
		if len(batch.Entries) == 0 {
			return errors.Errorf("the log returned no records at offset %d, below its head %d", state.Next(), batch.Head)
		}
	}
}

func fold(state *controlstate.State, entries []platform.Entry, visit []Visitor) error {
	for _, entry := range entries {
		e, out, err := state.FoldData(entry.Offset, entry.Data)
		if err != nil {
			return err
		}
		for _, v := range visit {
			v(entry.Offset, e, out)
		}
	}
	return nil
}
