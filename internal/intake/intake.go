// Package intake serves callers at any daemon: it stores submissions and
// cancellations itself, and asks a job's owner for its state.
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
	// storeRetryDelay lies between two tries of an append that wasn't done.
	storeRetryDelay = 60 * time.Millisecond
	// ownerAttempts is how often a job's owner is looked up anew.
	ownerAttempts = 3
	// ownerRetryDelay lies between two of these tries.
	ownerRetryDelay = 120 * time.Millisecond
	// cancelLookupTimeout bounds how long a cancellation waits to learn whether the job
	// exists; it is stored in either case.
	cancelLookupTimeout = 500 * time.Millisecond
)

var (
	// ErrNotRun says that the request had no effect and never will.
	ErrNotRun = errors.New("not accepted; it will not run")
	// ErrMayRun says that the request may have been accepted.
	ErrMayRun = errors.New("unknown whether it was accepted")
	// ErrNoJob says that no such job exists.
	ErrNoJob = owner.ErrNoJob
	// ErrUnavailable says that the job's owner can't be asked now.
	ErrUnavailable = errors.New("the job's owner can't be reached now")
)

// Service serves callers.
type Service struct {
	Log    *store.Watched
	Units  ownerrpc.Units
	Peers  *ownerrpc.Client
	Member *ownership.Member
	UnitOf func(pool string) int
	Logger *zap.Logger

	// ownerFirstUntil is the Unix millisecond until which peers store first.
	ownerFirstUntil atomic.Int64
	// unitHealths holds a *unitHealth for each unit.
	unitHealths sync.Map
	// batches holds a *batch for each unit.
	batches sync.Map
}

// Bounds of when refused callers are told to come back.
const (
	minRetryAfter = time.Second
	// maxRetryAfter keeps callers, who try a few times only, from being away for
	// much longer than the outage.
	maxRetryAfter = 3 * time.Second
)

// RetryAfter returns when a refused caller should come back. An outage of unknown
// length is as likely as not to last as long again as it has so far. Its callers
// are spread over a second, so that they don't return as a wave.
func (s *Service) RetryAfter() time.Duration {
	outage := s.longestOutage()
	if outage == 0 {
		return minRetryAfter
	}
	return min(max(outage, minRetryAfter), maxRetryAfter) + rand.N(minRetryAfter)
}

// Submit stores a job. Without an error it is accepted and stays so.
func (s *Service) Submit(ctx context.Context, sub *job.Submission) error {
	data, err := job.EncodeSubmission(sub)
	if err != nil {
		return errors.Wrap(ErrNotRun, err.Error())
	}
	return s.appendWithRetry(ctx, sub.Pool, store.Record{Key: owner.SubmissionPrefix + sub.ID, Value: data})
}

// State returns a job's state.
func (s *Service) State(ctx context.Context, q *catalog.Queue, id string) (job.State, error) {
	unit := s.UnitOf(q.Pool)
	var reply ownerrpc.JobReply
	err := s.callOwner(ctx, unit, func(address string) (ownerrpc.Code, error) {
		var err error
		if address == "" {
			reply = ownerrpc.Job(ctx, s.Units, ownerrpc.JobRequest{Unit: unit, ID: id})
		} else {
			reply, err = s.Peers.Job(ctx, address, ownerrpc.JobRequest{Unit: unit, ID: id})
		}
		return reply.Code, err
	})
	if err != nil {
		return "", err
	}
	if reply.Queue != q.Name {
		return "", ErrNoJob
	}
	return reply.State, nil
}

// Waiting returns how many accepted jobs of a queue haven't started.
func (s *Service) Waiting(ctx context.Context, q *catalog.Queue) (int, error) {
	unit := s.UnitOf(q.Pool)
	var reply ownerrpc.QueueReply
	err := s.callOwner(ctx, unit, func(address string) (ownerrpc.Code, error) {
		var err error
		if address == "" {
			reply = ownerrpc.Queue(ctx, s.Units, ownerrpc.QueueRequest{Unit: unit, Queue: q.Name})
		} else {
			reply, err = s.Peers.Queue(ctx, address, ownerrpc.QueueRequest{Unit: unit, Queue: q.Name})
		}
		return reply.Code, err
	})
	return reply.Waiting, err
}

// Cancel cancels a job. ErrNoJob is returned only on its owner's word.
func (s *Service) Cancel(ctx context.Context, q *catalog.Queue, id string) error {
	lookup, cancel := context.WithTimeout(ctx, cancelLookupTimeout)
	_, err := s.State(lookup, q, id)
	cancel()
	if errors.Is(err, ErrNoJob) {
		return err
	}
	return s.appendWithRetry(ctx, q.Pool, store.Record{Key: owner.CancelPrefix + id, Value: []byte{1}})
}

// callOwner asks a unit's owner, wherever it is now; this daemon is address "".
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
