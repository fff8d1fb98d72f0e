package intake

import (
	"context"
	"sync"

	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/owner"
	"github.com/beryltide/beryltide/internal/ownerrpc"
	"github.com/beryltide/beryltide/internal/unitmap"
)

// mayBeStored reports whether a submission with the same ID may be stored by an earlier
// request, at this daemon or another: then a refusal could be followed by a start. While
// the store is slow or doesn't serve, an earlier request's append may still be under way.
func (s *Service) mayBeStored(ctx context.Context, sub *job.Submission) bool {
	unit := s.UnitOf(sub.Pool)
	if unit == unitmap.None || s.slow(unit) || s.outage(unit) > 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, storedTimeout)
	defer cancel()
	return s.outlooks.lookups.find(ctx, unit, owner.Submission{Route: sub.QueueRoute(), ID: sub.ID}, s.askStored)
}

// askStored asks a unit's owner which submissions may be stored. It returns nil if the
// owner doesn't answer.
func (s *Service) askStored(unit int, submissions []owner.Submission) []bool {
	ctx, cancel := context.WithTimeout(context.Background(), storedTimeout)
	defer cancel()
	req := ownerrpc.StoredRequest{Unit: unit, Submissions: submissions}
	var reply ownerrpc.StoredReply
	code, err := s.callOwnerOnce(ctx, unit, false, func(address string) (ownerrpc.Code, error) {
		var err error
		if address == "" {
			reply = ownerrpc.Stored(ctx, s.Units, req)
		} else {
			reply, err = s.Peers.Stored(ctx, address, req)
		}
		return reply.Code, err
	})
	if err != nil || code != ownerrpc.OK || len(reply.Stored) != len(submissions) {
		return nil
	}
	return reply.Stored
}

// lookups asks units' owners for submissions, with one call at a time for each unit: those
// that come meanwhile go with the next one. The zero value is ready to use.
type lookups struct {
	mu    sync.Mutex
	units map[int]*pendingLookups
}

type pendingLookups struct {
	asking  bool
	pending []pendingLookup
}

// pendingLookup is a submission whose request waits for the answer on done, which has a
// buffer of one.
type pendingLookup struct {
	submission owner.Submission
	done       chan bool
}

// find reports whether a submission may be stored. It returns true if there is no answer
// before the context ends.
func (l *lookups) find(ctx context.Context, unit int, submission owner.Submission, ask func(int, []owner.Submission) []bool) bool {
	p := pendingLookup{submission: submission, done: make(chan bool, 1)}
	l.mu.Lock()
	if l.units == nil {
		l.units = map[int]*pendingLookups{}
	}
	of := l.units[unit]
	if of == nil {
		of = &pendingLookups{}
		l.units[unit] = of
	}
	of.pending = append(of.pending, p)
	if !of.asking {
		of.asking = true
		go l.flush(unit, of, ask)
	}
	l.mu.Unlock()
	select {
	case stored := <-p.done:
		return stored
	case <-ctx.Done():
		return true
	}
}

// flush asks for the pending submissions until there are none.
func (l *lookups) flush(unit int, of *pendingLookups, ask func(int, []owner.Submission) []bool) {
	for {
		l.mu.Lock()
		pending := of.pending
		of.pending = nil
		of.asking = len(pending) > 0
		l.mu.Unlock()
		if len(pending) == 0 {
			return
		}
		submissions := make([]owner.Submission, len(pending))
		for n, p := range pending {
			submissions[n] = p.submission
		}
		stored := ask(unit, submissions)
		for n, p := range pending {
			p.done <- stored == nil || stored[n]
		}
	}
}
