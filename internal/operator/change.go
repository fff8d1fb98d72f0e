// Package operator does what the command-line tool offers: it applies a
// configuration through the log and asks the daemons what is in force.
//
// It knows the log's port and the daemons' operations port. It prints nothing
// and reads no files.
package operator

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/controlstate"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/record"
	"github.com/beryltide/beryltide/internal/replay"
)

// ErrUnknown reports that the time was up before the change was read back. It
// may come in force later, or not at all.
var ErrUnknown = errors.New("the outcome of the change is unknown")

// Times of appending.
const (
	appendTimeout  = 3 * time.Second
	readTimeout    = 5 * time.Second
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// AnyBase lets a change be based on whatever revision is in force.
const AnyBase = ^uint64(0)

// Change is a wanted configuration.
type Change struct {
	Document *configuration.Document
	// Base is the revision that the document was made from, or AnyBase.
	Base uint64
	// Operator names who applies the change.
	Operator string
}

// Applied tells what became of a change that was accepted.
type Applied struct {
	// Revision is the revision that holds the document.
	Revision uint64
	// Unchanged is set when it was in force before.
	Unchanged bool
	// State is the fold that accepted the change.
	State *controlstate.Snapshot
}

// Apply appends the change to the log and reads it back. It returns
// configuration.ErrStale, wrapped, when another change came first, and
// ErrUnknown, wrapped, when ctx ended before the outcome was read.
func Apply(ctx context.Context, log platform.Log, c Change) (Applied, error) {
	state, err := replay.State(ctx, log)
	if err != nil {
		return Applied{}, err
	}
	snap := state.Snapshot()
	if c.Base != AnyBase && c.Base != snap.Revision {
		return Applied{}, errors.Wrapf(configuration.ErrStale, "revision %d is in force, the change is based on %d", snap.Revision, c.Base)
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

// attempt is one change on its way through the log.
type attempt struct {
	log   platform.Log
	state *controlstate.State
	id    string
	base  uint64
	data  []byte
	// decided and accepted tell what the fold made of the record.
	decided  bool
	accepted bool
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

// run appends the same record until the fold has seen it. A lost reply, a
// refused append and a doubled one are the same case.
func (a *attempt) run(ctx context.Context) (Applied, error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = initialBackoff
	pause.MaxInterval = maxBackoff
	for {
		appendErr := a.append(ctx)
		readErr := a.read(ctx)
		switch {
		case a.accepted:
			return Applied{Revision: a.base + 1, State: a.state.Snapshot()}, nil
		case a.decided:
			snap := a.state.Snapshot()
			return Applied{}, errors.Wrapf(configuration.ErrStale, "revision %d came first", snap.Revision)
		}
		if err := sleep(ctx, pause.NextBackOff()); err != nil {
			return Applied{}, errors.Wrapf(ErrUnknown, "append: %v; read: %v", appendErr, readErr)
		}
	}
}

func (a *attempt) append(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return a.log.Append(ctx, platform.StreamControl, a.data)
}

// read advances the fold and decides the attempt where it can. Once another
// change has taken the base revision, the record is stale wherever it lands.
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

// restore goes on from the newest checkpoint, which may hold the change.
func (a *attempt) restore(ctx context.Context) error {
	state, err := replay.Checkpoint(ctx, a.log)
	if err != nil {
		return err
	}
	a.state = state
	if state.Snapshot().ConfiguredBy == a.id {
		a.decided, a.accepted = true, true
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
