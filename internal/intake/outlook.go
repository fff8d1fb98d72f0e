package intake

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/catalog"
	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/ownerrpc"
	"github.com/beryltide/beryltide/internal/schedule"
	"github.com/beryltide/beryltide/internal/shortage"
	"github.com/beryltide/beryltide/internal/unitmap"
)

const (
	// outlookInterval is the shortest time between two fetches of a pool's outlook.
	outlookInterval = 500 * time.Millisecond
	// calmOutlookInterval is the same while the pool isn't short: a shortage that lasts
	// for less isn't one.
	calmOutlookInterval = time.Second
	// maxOutlookAge is the age above which an outlook isn't used.
	maxOutlookAge = 2 * time.Second
	// fetchTimeout bounds a fetch, and the lookup of the owner before it.
	fetchTimeout = 500 * time.Millisecond
	// storedTimeout bounds the check whether a submission that is about to be refused may
	// be stored.
	storedTimeout = 300 * time.Millisecond
)

// NoCapacityError means that a submission was refused, and stored nowhere, because it
// would be completed too late to be of use. It wraps ErrNotRun.
type NoCapacityError struct {
	// Wait is the expected wait for the job's start.
	Wait time.Duration
	// RetryAfter is when a job like it is expected to be accepted.
	RetryAfter time.Duration
}

// Error implements error.
func (e *NoCapacityError) Error() string {
	return fmt.Sprintf("no capacity: the job would wait for some %d s, until its completion has no value; %v", int(e.Wait.Round(time.Second).Seconds()), ErrNotRun)
}

// Unwrap returns ErrNotRun.
func (e *NoCapacityError) Unwrap() error { return ErrNotRun }

// outlooks holds the last outlook of each pool that submissions came for.
type outlooks struct {
	// byPool holds a *poolOutlook for each pool.
	byPool sync.Map
	// lookups finds submissions that may be stored.
	lookups lookups
}

// poolOutlook is the cache of a pool's outlook.
type poolOutlook struct {
	fetching atomic.Bool
	// fetchedAt is when the last fetch began, in nanoseconds of the boot clock.
	fetchedAt atomic.Int64
	latest    atomic.Pointer[timedOutlook]
}

// timedOutlook is an outlook as of a time on the boot clock.
type timedOutlook struct {
	shortage.Outlook
	at time.Duration
}

// Admit returns a *NoCapacityError if a job would be completed too late to be of use. It
// accepts a job if in doubt: without an outlook, with an old one, and if the job may be
// stored already. It doesn't store the job.
func (s *Service) Admit(ctx context.Context, q *catalog.Queue, sub *job.Submission) error {
	if !refusable(q, sub) {
		return nil
	}
	o := s.outlook(q.Pool)
	if o == nil || !o.Short {
		return nil
	}
	r := requestOf(q, sub, &o.Outlook)
	e := o.Estimate(r)
	if !e.Refuse || s.mayBeStored(ctx, sub) {
		return nil
	}
	s.Logger.Info("job.refused_by_outlook", zap.String("job", sub.ID), zap.String("queue", q.Name), zap.String("team", sub.Team),
		zap.Duration("wait", e.Wait), zap.Duration("objective", r.Objective), zap.Duration("critical_path", r.CriticalPath), zap.Float64("cores", o.Cores),
		zap.Duration("backlog", o.Backlog), zap.Duration("outlook_age", s.Log.Clock()()-o.at))
	if s.OnNoCapacity != nil {
		s.OnNoCapacity(q.Name)
	}
	// The spread is as long as the wait itself, so that callers don't return together.
	return &NoCapacityError{Wait: e.Wait, RetryAfter: e.RetryAfter + rand.N(max(e.RetryAfter, minRetryAfter))}
}

// refusable reports whether a job may be refused for lack of capacity: its completion has a
// target time, and the run times of its tasks are known.
func refusable(q *catalog.Queue, sub *job.Submission) bool {
	if q.Stretch <= 0 && q.TargetLatency <= 0 || q.Advised || sub.Occurrences > 0 {
		return false
	}
	for i := range sub.Steps {
		if step := &sub.Steps[i]; step.Lasting || step.Fills || step.Estimate <= 0 {
			return false
		}
	}
	return true
}

// requestOf returns a job's request. Its objective counts tasks as long as the queue's
// longest: callers' estimates may be too short.
func requestOf(q *catalog.Queue, sub *job.Submission, o *shortage.Outlook) shortage.Request {
	known := o.Queues[q.Name]
	path := sub.CriticalPath(func(step *job.Step) time.Duration { return step.Estimate })
	longest := sub.CriticalPath(func(step *job.Step) time.Duration { return max(step.Estimate, known.LongestTask) })
	work := sub.Work()
	r := shortage.Request{Team: sub.Team, CriticalPath: path, Objective: time.Duration(q.Stretch*float64(longest)) + q.TargetLatency}
	for i := range sub.Steps {
		r.Needs = append(r.Needs, sub.Steps[i].Allocation())
	}
	r.InTime, r.Late = schedule.LastRanks(schedule.RankInput{
		Accepted: time.UnixMilli(sub.AcceptedAt), Objective: r.Objective, CriticalPath: path, Priority: q.Priority,
		RemainingWork: work, FullWork: work, TotalWork: work, MeanWork: known.MeanWork, Backlog: o.Backlog,
	})
	return r
}

// outlook returns the last outlook of a pool, or nil without one that is recent. If it is
// time for the next one, it is fetched in the background: no request waits for it.
func (s *Service) outlook(pool string) *timedOutlook {
	entry, known := s.outlooks.byPool.Load(pool)
	if !known {
		entry, _ = s.outlooks.byPool.LoadOrStore(pool, &poolOutlook{})
	}
	p := entry.(*poolOutlook)
	now := s.Log.Clock()()
	latest := p.latest.Load()
	interval := outlookInterval
	if latest != nil && !latest.Short {
		interval = calmOutlookInterval
	}
	if begun := p.fetchedAt.Load(); (begun == 0 || now-time.Duration(begun) >= interval) && p.fetching.CompareAndSwap(false, true) {
		p.fetchedAt.Store(max(int64(now), 1))
		go s.fetchOutlook(pool, p)
	}
	if latest == nil || now-latest.at > maxOutlookAge {
		return nil
	}
	return latest
}

func (s *Service) fetchOutlook(pool string, p *poolOutlook) {
	defer p.fetching.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	req := ownerrpc.OutlookRequest{Unit: s.UnitOf(pool), Pool: pool}
	if req.Unit == unitmap.None {
		return
	}
	begin := s.Log.Clock()()
	var reply ownerrpc.OutlookReply
	code, err := s.callOwnerOnce(ctx, req.Unit, p.latest.Load() == nil, func(address string) (ownerrpc.Code, error) {
		var err error
		if address == "" {
			reply = ownerrpc.Outlook(s.Units, req)
		} else {
			reply, err = s.Peers.Outlook(ctx, address, req)
		}
		return reply.Code, err
	})
	if err != nil || code != ownerrpc.OK {
		s.Logger.Debug("outlook.not_fetched", zap.String("pool", pool), zap.Int("code", int(code)), zap.Error(err))
		return
	}
	p.latest.Store(&timedOutlook{Outlook: reply.Outlook, at: begin - reply.Age})
}

// OutlookAges returns the age of the outlook in use of each pool.
func (s *Service) OutlookAges() map[string]time.Duration {
	ages := map[string]time.Duration{}
	now := s.Log.Clock()()
	s.outlooks.byPool.Range(func(pool, p any) bool {
		if latest := p.(*poolOutlook).latest.Load(); latest != nil {
			ages[pool.(string)] = now - latest.at
		}
		return true
	})
	return ages
}
