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
	// storeRetry lies between two tries of an append that wasn't done.
	storeRetry = 60 * time.Millisecond
	// ownerTries is how often a job's owner is looked up anew.
	ownerTries = 3
	// ownerRetry lies between two of these tries.
	ownerRetry = 120 * time.Millisecond
	// cancelLookup bounds how long a cancellation waits to learn whether the job
	// exists; it is stored in either case.
	cancelLookup = 500 * time.Millisecond
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

	// avoidStore is the Unix millisecond until which peers store first.
	avoidStore atomic.Int64
	// unitHealths holds a *unitHealth for each unit.
	unitHealths sync.Map
	// batches holds a *batch for each unit.
	batches sync.Map
}

// Bounds of when refused callers are told to come back.
const (
	earliestRetry = time.Second
	// latestRetry keeps callers, who try a few times only, from being away for
	// much longer than the outage.
	latestRetry = 3 * time.Second
)

// RetryAfter returns when a refused caller should come back. An outage of unknown
// length is as likely as not to last as long again as it has so far. Its callers
// are spread over a second, so that they don't return as a wave.
func (s *Service) RetryAfter() time.Duration {
	away := s.longestAway()
	if away == 0 {
		return earliestRetry
	}
	return min(max(away, earliestRetry), latestRetry) + rand.N(earliestRetry)
}

// Submit stores a job. Without an error it is accepted and stays so.
func (s *Service) Submit(ctx context.Context, sub *job.Submission) error {
	data, err := job.EncodeSubmission(sub)
	if err != nil {
		return errors.Wrap(ErrNotRun, err.Error())
	}
	return s.append(ctx, sub.Pool, store.Record{Key: owner.SubmissionPrefix + sub.ID, Value: data})
}

// State returns a job's state.
func (s *Service) State(ctx context.Context, q *catalog.Queue, id string) (job.State, error) {
	unit := s.UnitOf(q.Pool)
	var reply ownerrpc.JobReply
	err := s.askOwner(ctx, unit, func(address string) (ownerrpc.Code, error) {
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
	err := s.askOwner(ctx, unit, func(address string) (ownerrpc.Code, error) {
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
	lookup, cancel := context.WithTimeout(ctx, cancelLookup)
	_, err := s.State(lookup, q, id)
	cancel()
	if errors.Is(err, ErrNoJob) {
		return err
	}
	return s.append(ctx, q.Pool, store.Record{Key: owner.CancelPrefix + id, Value: []byte{1}})
}

// askOwner asks a unit's owner, wherever it is now; this daemon is address "".
func (s *Service) askOwner(ctx context.Context, unit int, ask func(address string) (ownerrpc.Code, error)) error {
	for try := range ownerTries {
		code, err := s.askOnce(ctx, unit, try > 0, ask)
		switch {
		case err != nil:
			s.Logger.Debug("owner.unreachable", zap.Int("unit", unit), zap.Error(err))
		case code == ownerrpc.OK:
			return nil
		case code == ownerrpc.NoJob:
			return ErrNoJob
		}
		if !pause.For(ctx, ownerRetry) {
			break
		}
	}
	return ErrUnavailable
}

func (s *Service) askOnce(ctx context.Context, unit int, refresh bool, ask func(address string) (ownerrpc.Code, error)) (ownerrpc.Code, error) {
	if s.Units.Unit(unit) != nil {
		return ask("")
	}
	address := s.Member.Locate(ctx, unit, refresh)
	if address == "" {
		return ownerrpc.NotOwner, nil
	}
	return ask(address)
}
