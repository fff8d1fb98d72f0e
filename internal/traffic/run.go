package traffic

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/control"
	"github.com/beryltide/beryltide/internal/memberlease"
	"github.com/beryltide/beryltide/internal/platform"
	"github.com/beryltide/beryltide/internal/verdict"
)

// run sends one attempt to the placement's instance. The conditions for a start
// are checked again right before.
func (b *Broker) run(ctx context.Context, w *waiter, j *job, pl placement) (platform.Answer, error) {
	until, err := b.checkStart(j, pl)
	if err != nil {
		b.releasePlacement(w, pl, 0)
		return platform.Answer{}, err
	}
	task := platform.Task{
		ID:          uuid.NewString(),
		Queue:       j.Queue,
		Team:        j.Team,
		StartBefore: earlier(until, j.Deadline),
		Lease:       j.queue.RunTime.D(),
		ContentType: j.ContentType,
		Body:        j.Body,
	}
	start := time.Now()
	answer, err := b.opts.Backends.Run(ctx, pl.addr, task)
	if answer.Leaving {
		b.MarkLeaving(pl.instance, time.Now())
	}
	b.recordOutcome(j, pl, answer, err)
	if err != nil && verdict.Of(err) != verdict.NotRun {
		b.holdUntilEnded(w, pl, task)
		return answer, err
	}
	runTime := time.Since(start)
	if err != nil {
		runTime = 0
	}
	b.releasePlacement(w, pl, runTime)
	return answer, err
}

// checkStart returns the time until which the attempt may start, or an error
// when it must not start.
func (b *Broker) checkStart(j *job, pl placement) (time.Time, error) {
	until, ok := b.opts.MayStart()
	if !ok {
		return until, verdict.New(verdict.NotRun, verdict.CodeNotReady, "this daemon may not start work now")
	}
	view := b.opts.View()
	if !acceptsWork(view, view.Fleet.Get(pl.instance)) || b.opts.Departures.Has(pl.instance, time.Now()) {
		return until, verdict.New(verdict.NotRun, verdict.CodeNoInstance, "instance %s accepts no work", pl.instance)
	}
	return until, Authorized(view, j.Request)
}

// Authorized returns an error when a request's key is no longer valid for its
// team, or when its queue was removed or is no longer open.
func Authorized(view *control.View, r Request) error {
	team, err := view.Index.Authorize(r.Queue, r.Key)
	switch {
	case errors.Is(err, configuration.ErrUnknownQueue):
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeUnknownQueue, "no such queue")
	case err != nil:
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeUnauthorized, "the key is not valid")
	case team != r.Team:
		return verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "the key now belongs to another team")
	default:
		return nil
	}
}

// holdUntilEnded keeps the credit and the slot of an attempt of unknown state
// until the task is known to have ended: the backend server confirms it, or the
// task's lease expires.
func (b *Broker) holdUntilEnded(w *waiter, pl placement, task platform.Task) {
	until := task.StartBefore.Add(task.Lease + memberlease.ClockSkew)
	pl.credit.HoldUntil(until)
	go b.stopTask(w, pl, task, until)
}

// stopTask requests the stop of a task until the backend server confirms that
// the task has ended, or the lease has expired.
func (b *Broker) stopTask(w *waiter, pl placement, task platform.Task, until time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	retry := time.NewTicker(stopRetryInterval)
	defer retry.Stop()
	for {
		ended, err := b.opts.Backends.Stop(ctx, pl.addr, task.ID)
		if err == nil && ended {
			pl.credit.Release()
			break
		}
		select {
		case <-retry.C:
			continue
		case <-ctx.Done():
		}
		break
	}
	b.freeSlot(w, pl, 0)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
