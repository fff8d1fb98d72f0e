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

// ask runs a query on the unit's goroutine and returns its result. It returns ErrNotReady
// if the context or the unit ends first. The query may still run then, so it must not
// write to variables of its caller.
func ask[T any](ctx context.Context, u *Unit, query func() (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	var none T
	results := make(chan result, 1)
	select {
	case u.events <- func() { value, err := query(); results <- result{value, err} }:
	case <-ctx.Done():
		return none, ErrNotReady
	case <-u.ctx.Done():
		return none, ErrNotReady
	}
	select {
	case r := <-results:
		return r.value, r.err
	case <-ctx.Done():
		return none, ErrNotReady
	case <-u.ctx.Done():
		return none, ErrNotReady
	}
}

// do runs an event on the unit's goroutine and waits for it, as ask does.
func (u *Unit) do(ctx context.Context, event func()) error {
	_, err := ask(ctx, u, func() (struct{}, error) {
		event()
		return struct{}{}, nil
	})
	return err
}

// Status is what a unit knows of a job.
type Status struct {
	// State is the recorded state, Queue the queue's name when the job was accepted.
	State job.State
	Queue string
	// Others are the other units that may have the job, if this one doesn't have it or
	// holds it back until they have been asked.
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
func (u *Unit) lookUp(ctx context.Context, id, route string) (Status, error) {
	return ask(ctx, u, func() (Status, error) {
		if !u.holds() || !u.loaded {
			return Status{}, ErrNotReady
		}
		if e := u.jobs[id]; e != nil && (route == "" || e.job.Submission.QueueRoute() == route) {
			status := Status{State: e.recordedState, Queue: e.job.Submission.Queue}
			if e.unadmitted {
				status.Others = u.others(e.job.Submission.QueueRoute())
			}
			return status, nil
		}
		if _, unreadable := u.unreadable[id]; unreadable {
			return Status{}, ErrNotReady
		}
		return Status{}, ErrNoJob
	})
}

// Waiting returns how many of the accepted jobs of the queue with the given name or
// route have no recorded start, and the other units that may have such jobs.
func (u *Unit) Waiting(ctx context.Context, queue, route string) (waiting int, others []int, err error) {
	waiting, err = ask(ctx, u, func() (int, error) {
		if !u.holds() {
			return 0, ErrNotReady
		}
		count := 0
		for _, e := range u.active {
			sub := e.job.Submission
			if (sub.QueueRoute() == route || sub.Queue == queue) && !e.startRecorded && e.job.Active() {
				count++
			}
		}
		return count, nil
	})
	if err != nil {
		return 0, nil, err
	}
	// While the store doesn't answer, the units known so far are the best answer.
	if unread := u.learnOthers(ctx, route, u.Clock()-queueUnitsAge); unread != nil {
		u.Logger.Debug("queue.units_unread", zap.Error(unread))
	}
	return waiting, u.others(route), nil
}
