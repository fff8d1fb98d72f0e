// Package intake serves callers' requests at any daemon. It appends submissions
// and cancellations to the store, directly or through the unit's owner, and
// queries a job's owner for its state.
package intake

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/catalog"
	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/owner"
	"github.com/beryltide/beryltide/internal/ownerrpc"
	"github.com/beryltide/beryltide/internal/ownership"
	"github.com/beryltide/beryltide/internal/pause"
	"github.com/beryltide/beryltide/internal/store"
)

const (
	// storeRetryDelay is the pause before a failed append is retried.
	storeRetryDelay = 60 * time.Millisecond
	// ownerAttempts bounds the calls to a unit's owner for one request; each retry
	// looks the owner up again.
	ownerAttempts = 3
	// ownerRetryDelay is the pause between two of these attempts.
	ownerRetryDelay = 120 * time.Millisecond
	// cancelLookupTimeout bounds how long a cancellation checks whether the job
	// exists. Unless the owner reports that it doesn't, the cancellation is
	// stored.
	cancelLookupTimeout = 500 * time.Millisecond
)

var (
	// ErrNotRun means that the request had no effect and never will.
	ErrNotRun = errors.New("not accepted; it will not run")
	// ErrMayRun means that the request may have been accepted.
	ErrMayRun = errors.New("unknown whether it was accepted")
	// ErrTooLarge means that the store takes no record of the size. It wraps ErrNotRun.
	ErrTooLarge = errors.Wrap(ErrNotRun, "the job is too large to be stored")
	// ErrOwnerFull means that the unit's owner has no memory for a large job. It wraps
	// ErrNotRun.
	ErrOwnerFull = errors.Wrap(ErrNotRun, "the pool's owner has no memory for a large job")
	// ErrNoJob means that no such job exists.
	ErrNoJob = owner.ErrNoJob
	// ErrUnavailable means that the job's owner couldn't be queried.
	ErrUnavailable = errors.New("the job's owner can't be reached now")
)

// Service serves callers' requests. Its methods may be called concurrently.
type Service struct {
	Log    *store.Relayed
	Units  ownerrpc.Units
	Peers  *ownerrpc.Client
	Member *ownership.Member
	// UnitOf returns a pool's unit, or unitmap.None.
	UnitOf func(pool string) int
	// Limits are those of the store on callers' records.
	Limits store.Limits
	Logger *zap.Logger
	// OnNoCapacity is called with the queue of each job that Admit refuses; nil if nothing
	// counts them.
	OnNoCapacity func(queue string)

	// ownerFirstUntil is the Unix time in milliseconds until which appends go
	// through the unit's owner first.
	ownerFirstUntil atomic.Int64
	// unitHealths holds a *unitHealth for each unit.
	unitHealths sync.Map
	// routed takes this daemon's records, direct those that it appends itself, its own
	// and those of peers.
	routed, direct batcher
	outlooks       outlooks
}

// Bounds of RetryAfter, without its random part.
const (
	minRetryAfter = time.Second
	// maxRetryAfter keeps callers, which retry only a few times, from staying away
	// for much longer than the outage.
	maxRetryAfter = 3 * time.Second
)

// RetryAfter returns the delay after which a refused caller should retry. An
// outage of unknown length is as likely as not to last as long again as it has so
// far. During an outage the delays are spread over a second, so that callers
// don't all return at once.
func (s *Service) RetryAfter() time.Duration {
	outage := s.longestOutage()
	if outage == 0 {
		return minRetryAfter
	}
	return min(max(outage, minRetryAfter), maxRetryAfter) + rand.N(minRetryAfter)
}

// Submit stores a job. If it returns nil, the job is accepted and stays so.
// Otherwise the error wraps ErrNotRun or ErrMayRun.
func (s *Service) Submit(ctx context.Context, sub *job.Submission) error {
	data, err := job.EncodeSubmission(sub)
	if err != nil {
		return errors.Wrap(ErrNotRun, err.Error())
	}
	record := store.Record{Key: owner.SubmissionPrefix + sub.ID, Value: data}
	if record.Size() > s.Limits.Record {
		return ErrTooLarge
	}
	if record.Size() > largeRecord {
		if err := s.reserveMemory(ctx, sub); err != nil {
			return err
		}
	}
	return s.appendWithRetry(ctx, func() int { return s.UnitOf(sub.Pool) }, record)
}

// State returns a job's state. It returns ErrNoJob if the queue has no such job,
// and ErrUnavailable if the owner of a unit that may have it didn't answer.
func (s *Service) State(ctx context.Context, q *catalog.Queue, id string) (job.State, error) {
	state, _, err := s.find(ctx, q, id)
	return state, err
}

// find returns a job's state and the unit that has it: that of the queue's pool, or of
// a pool to which the queue was sent before.
func (s *Service) find(ctx context.Context, q *catalog.Queue, id string) (job.State, int, error) {
	unit := s.UnitOf(q.Pool)
	reply, err := s.job(ctx, ownerrpc.JobRequest{Unit: unit, Route: q.Route(), ID: id})
	if err != nil && !errors.Is(err, ErrNoJob) {
		return "", unit, err
	}
	for _, other := range reply.Others {
		otherReply, otherErr := s.job(ctx, ownerrpc.JobRequest{Unit: other, Route: q.Route(), ID: id})
		if otherErr == nil {
			return otherReply.State, other, nil
		}
		if !errors.Is(otherErr, ErrNoJob) {
			err = otherErr
		}
	}
	if err != nil {
		return "", unit, err
	}
	return reply.State, unit, nil
}

// job asks a unit's owner for a job.
func (s *Service) job(ctx context.Context, req ownerrpc.JobRequest) (reply ownerrpc.JobReply, err error) {
	err = s.callOwner(ctx, req.Unit, func(address string) (ownerrpc.Code, error) {
		var err error
		if address == "" {
			reply = ownerrpc.Job(ctx, s.Units, req)
		} else {
			reply, err = s.Peers.Job(ctx, address, req)
		}
		return reply.Code, err
	})
	return reply, err
}

// Waiting returns how many accepted jobs of a queue haven't started.
func (s *Service) Waiting(ctx context.Context, q *catalog.Queue) (int, error) {
	reply, err := s.queue(ctx, ownerrpc.QueueRequest{Unit: s.UnitOf(q.Pool), Queue: q.Name, Route: q.Route()})
	waiting := reply.Waiting
	for _, other := range reply.Others {
		if err != nil {
			break
		}
		reply, err = s.queue(ctx, ownerrpc.QueueRequest{Unit: other, Queue: q.Name, Route: q.Route()})
		waiting += reply.Waiting
	}
	return waiting, err
}

// queue asks a unit's owner for a queue.
func (s *Service) queue(ctx context.Context, req ownerrpc.QueueRequest) (reply ownerrpc.QueueReply, err error) {
	err = s.callOwner(ctx, req.Unit, func(address string) (ownerrpc.Code, error) {
		var err error
		if address == "" {
			reply = ownerrpc.Queue(ctx, s.Units, req)
		} else {
			reply, err = s.Peers.Queue(ctx, address, req)
		}
		return reply.Code, err
	})
	return reply, err
}

// Cancel cancels a job. It returns ErrNoJob only if the owners of all units that may
// have the job report that it doesn't exist. If an owner doesn't answer, the
// cancellation goes to the unit of the queue's pool, which passes it on.
func (s *Service) Cancel(ctx context.Context, q *catalog.Queue, id string) error {
	lookup, cancel := context.WithTimeout(ctx, cancelLookupTimeout)
	_, unit, err := s.find(lookup, q, id)
	cancel()
	if errors.Is(err, ErrNoJob) {
		return err
	}
	unitOf := func() int { return s.UnitOf(q.Pool) }
	if err == nil {
		unitOf = func() int { return unit }
	}
	return s.appendWithRetry(ctx, unitOf, store.Record{Key: owner.CancelPrefix + id, Value: []byte(q.Route())})
}

// callOwner calls a unit's current owner, with retries; call's address is "" if
// the owner is this daemon.
func (s *Service) callOwner(ctx context.Context, unit int, call func(address string) (ownerrpc.Code, error)) error {
	for attempt := range ownerAttempts {
		code, err := s.callOwnerOnce(ctx, unit, attempt > 0, call)
		switch {
		case err != nil:
			s.Logger.Debug("owner.unreachable", zap.Int("unit", unit), zap.Error(err))
		case code == ownerrpc.OK:
			return nil
		case code == ownerrpc.NoJob:
			return ErrNoJob
		}
		if !pause.For(ctx, ownerRetryDelay) {
			break
		}
	}
	return ErrUnavailable
}

func (s *Service) callOwnerOnce(ctx context.Context, unit int, refresh bool, call func(address string) (ownerrpc.Code, error)) (ownerrpc.Code, error) {
	if s.Units.Unit(unit) != nil {
		return call("")
	}
	address := s.Member.Locate(ctx, unit, refresh)
	if address == "" {
		return ownerrpc.NotOwner, nil
	}
	return call(address)
}
