// Package operator implements the commands of the operators' tool: it applies a
// configuration through the log, and queries the daemons for their status.
//
// It uses the log (platform.Log) and the daemons' operations port. It prints
// nothing and reads no files.
package operator

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/controlstate"
	"github.com/beryltide/beryltide/internal/pause"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/record"
	"github.com/beryltide/beryltide/internal/replay"
)

// ErrUnknown reports that the change could not be read back from the log: the context
// ended, or the log dropped the part that would show the outcome. The change may have
// been active, may still become so, or may be lost.
var ErrUnknown = errors.New("the outcome of the change is unknown")

// Timeouts and retry delays of a change.
const (
	appendTimeout     = 3 * time.Second
	readTimeout       = 5 * time.Second
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
)

// AnyBase as a change's base means the active revision, whichever it is.
const AnyBase = ^uint64(0)

// Change is a request to make a configuration active.
type Change struct {
	Document *configuration.Document
	// Base is the revision that the document was made from, or AnyBase.
	Base uint64
	// Operator is the name of the person or program that applies the change.
	Operator string
}

// Applied is the result of an accepted change.
type Applied struct {
	// Revision is the revision that holds the document.
	Revision uint64
	// Unchanged is set when the document was active already.
	Unchanged bool
	// State is the folded state that has the change applied.
	State *controlstate.Snapshot
}

// Apply appends the change to the log and reads back whether it was accepted.
// The error wraps configuration.ErrStale if another change was accepted first,
// and ErrUnknown if the outcome wasn't read.
func Apply(ctx context.Context, log platform.Log, c Change) (Applied, error) {
	state, err := replay.State(ctx, log)
	if err != nil {
		return Applied{}, err
	}
	snap := state.Snapshot()
	if c.Base != AnyBase && c.Base != snap.Revision {
		return Applied{}, errors.Wrapf(configuration.ErrStale, "revision %d is active, the change is based on revision %d", snap.Revision, c.Base)
	}
	delta := configuration.Diff(snap.Document, c.Document)
	if delta.IsZero() && snap.Revision > 0 {
		return Applied{Revision: snap.Revision, Unchanged: true, State: snap}, nil
	}
	a, err := newAttempt(log, state, c, delta)
	if err != nil {
		return Applied{}, err
	}
	return a.run(ctx)
}

// attempt is a change that is being appended to the log.
type attempt struct {
	log   platform.Log
	state *controlstate.State
	id    string
	base  uint64
	data  []byte
	// decided is set once the fold has accepted or rejected the record, or must
	// reject it; accepted is set if it was accepted.
	decided  bool
	accepted bool
	// dropped is set once the log has dropped the record that followed the base
	// revision, this one or another.
	dropped bool
}

func newAttempt(log platform.Log, state *controlstate.State, c Change, delta configuration.Delta) (*attempt, error) {
	encoded, err := delta.Encode()
	if err != nil {
		return nil, err
	}
	a := &attempt{log: log, state: state, id: uuid.NewString(), base: state.Snapshot().Revision}
	a.data, err = record.Encode(record.Envelope{ID: a.id, Body: record.Configure{
		Base:     a.base,
		Delta:    encoded,
		Digest:   c.Document.Digest(),
		Operator: c.Operator,
	}})
	return a, err
}

// run appends the same record until its outcome is known. A lost reply, a
// refused append and a duplicate append are all handled by reading the log.
func (a *attempt) run(ctx context.Context) (Applied, error) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = initialRetryDelay
	retry.MaxInterval = maxRetryDelay
	for {
		appendErr := a.append(ctx)
		readErr := a.read(ctx)
		switch {
		case a.accepted:
			return Applied{Revision: a.base + 1, State: a.state.Snapshot()}, nil
		case a.dropped:
			return Applied{}, errors.Wrapf(ErrUnknown, "the log has dropped revision %d", a.base+1)
		case a.decided:
			snap := a.state.Snapshot()
			return Applied{}, errors.Wrapf(configuration.ErrStale, "revision %d was accepted first", snap.Revision)
		}
		if !pause.For(ctx, retry.NextBackOff()) {
			return Applied{}, errors.Wrapf(ErrUnknown, "append: %v; read: %v", appendErr, readErr)
		}
	}
}

func (a *attempt) append(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return a.log.Append(ctx, platform.StreamControl, a.data)
}

// read folds the log's new records and decides the attempt if they allow it.
// Once another change has replaced the base revision, the record is stale at
// whatever offset it is appended.
func (a *attempt) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	err := replay.Advance(ctx, a.log, a.state, a.visit)
	if errors.Is(err, platform.ErrTrimmed) {
		err = a.restore(ctx)
	}
	if !a.decided && a.state.Snapshot().Revision > a.base {
		a.decided = true
	}
	return err
}

func (a *attempt) visit(_ record.Offset, e record.Envelope, out controlstate.Outcome) {
	if e.ID == a.id && !a.decided {
		a.decided = true
		a.accepted = out.Accepted
	}
}

// restore replaces the state by the newest checkpoint. The change may be part of
// that checkpoint.
func (a *attempt) restore(ctx context.Context) error {
	state, err := replay.Checkpoint(ctx, a.log)
	if err != nil {
		return err
	}
	a.state = state
	snap := state.Snapshot()
	switch {
	case snap.ConfiguredBy == a.id:
		a.decided, a.accepted = true, true
	case snap.Revision > a.base+1:
		a.dropped = true
	}
	return nil
}
