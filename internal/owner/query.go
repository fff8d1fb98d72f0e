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

// Status is what a unit knows of a job.
type Status struct {
	// State is the recorded state, Queue the queue's name when the job was accepted.
	State job.State
	Queue string
	// Others are the other units that may have the job, if this one doesn't.
	Others []int
}

// State returns a job's status, if it is a job of the queue with the given route; an
// empty route stands for any. It returns ErrNoJob only after the unit has been read to
// the end that it had when the call came.
func (u *Unit) State(ctx context.Context, id, route string) (Status, error) {
	status, err := u.lookUp(ctx, id, route)
	if !errors.Is(err, ErrNoJob) {
		return status, err
	}
	if err := u.readToEnd(ctx); err != nil {
		u.Logger.Debug("unit.not_read", zap.String("job", id), zap.Error(err))
		return Status{}, ErrNotReady
	}
	status, err = u.lookUp(ctx, id, route)
	if !errors.Is(err, ErrNoJob) {
		return status, err
	}
	if u.learnOthers(ctx, route, u.Clock()-queueUnitsAge) != nil {
		return Status{}, ErrNotReady
	}
	return Status{Others: u.others(route)}, err
}

// lookUp returns a job's status from the records merged so far.
func (u *Unit) lookUp(ctx context.Context, id, route string) (status Status, err error) {
	callErr := u.do(ctx, func() {
		if !u.holds() || !u.loaded {
			err = ErrNotReady
			return
		}
		if e := u.jobs[id]; e != nil && (route == "" || e.job.Submission.QueueRoute() == route) {
			status = Status{State: e.recordedState, Queue: e.job.Submission.Queue}
			return
		}
		if _, unreadable := u.unreadable[id]; unreadable {
			err = ErrNotReady
			return
		}
		err = ErrNoJob
	})
	if callErr != nil {
		return Status{}, callErr
	}
	return status, err
}

// Waiting returns how many of the accepted jobs of the queue with the given name or
// route have no recorded start, and the other units that may have such jobs.
func (u *Unit) Waiting(ctx context.Context, queue, route string) (waiting int, others []int, err error) {
	callErr := u.do(ctx, func() {
		if !u.holds() {
			err = ErrNotReady
			return
		}
		for _, e := range u.active {
			sub := e.job.Submission
			if (sub.QueueRoute() == route || sub.Queue == queue) && !e.startRecorded && e.job.Active() {
				waiting++
			}
		}
	})
	if callErr != nil {
		return 0, nil, callErr
	}
	// While the store doesn't answer, the units known so far are the best answer.
	if unread := u.learnOthers(ctx, route, u.Clock()-queueUnitsAge); unread != nil {
		u.Logger.Debug("queue.units_unread", zap.Error(unread))
	}
	return waiting, u.others(route), err
}
