package owner

import (
	"context"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/job"
)

// ErrNotReady reports that the unit can't answer: it isn't loaded, or its
// tenure isn't confirmed.
var ErrNotReady = errors.New("the owner can't answer now")

// ErrNoJob reports that no such job was accepted, as of a read of the unit to
// its end.
var ErrNoJob = errors.New("no such job")

// do runs a query on the unit's goroutine and waits for it. It returns
// ErrNotReady if the context or the unit ends first.
func (u *Unit) do(ctx context.Context, query func()) error {
	done := make(chan struct{})
	select {
	case u.events <- func() { query(); close(done) }:
	case <-ctx.Done():
		return ErrNotReady
	case <-u.ctx.Done():
		return ErrNotReady
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ErrNotReady
	case <-u.ctx.Done():
		return ErrNotReady
	}
}

// State returns a job's recorded state and its queue. It returns ErrNoJob only
// after the unit has been read to the end that it had when the call came.
func (u *Unit) State(ctx context.Context, id string) (job.State, string, error) {
	state, queue, err := u.lookUp(ctx, id)
	if !errors.Is(err, ErrNoJob) {
		return state, queue, err
	}
	if err := u.readToEnd(ctx); err != nil {
		u.Logger.Debug("unit.not_read", zap.String("job", id), zap.Error(err))
		return "", "", ErrNotReady
	}
	return u.lookUp(ctx, id)
}

// lookUp returns a job's recorded state and queue from the records merged so
// far.
func (u *Unit) lookUp(ctx context.Context, id string) (state job.State, queue string, err error) {
	callErr := u.do(ctx, func() {
		if !u.holds() || !u.loaded {
			err = ErrNotReady
			return
		}
		if e := u.jobs[id]; e != nil {
			state, queue = e.recordedState, e.job.Submission.Queue
			return
		}
		if _, unreadable := u.unreadable[id]; unreadable {
			err = ErrNotReady
			return
		}
		err = ErrNoJob
	})
	if callErr != nil {
		return "", "", callErr
	}
	return state, queue, err
}

// Waiting returns how many of a queue's accepted jobs have no recorded start.
func (u *Unit) Waiting(ctx context.Context, queue string) (waiting int, err error) {
	callErr := u.do(ctx, func() {
		if !u.holds() {
			err = ErrNotReady
			return
		}
		for _, e := range u.active {
			if e.job.Submission.Queue == queue && !e.startRecorded && e.job.Active() {
				waiting++
			}
		}
	})
	if callErr != nil {
		return 0, callErr
	}
	return waiting, err
}
