package intake

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/ownerrpc"
	"github.com/beryltide/beryltide/internal/ownership"
	"github.com/beryltide/beryltide/internal/pause"
	"github.com/beryltide/beryltide/internal/store"
	"github.com/beryltide/beryltide/internal/unitmap"
)

const (
	// appendTimeout is well over a slow store's answer (60 times 4 ms, beside
	// other appends), and leaves a caller's time for the owner's try.
	appendTimeout = 800 * time.Millisecond
	// ownerFirstPeriod is how long peers store first once the store didn't answer here.
	ownerFirstPeriod = time.Second
)

// batch is what waits to be stored in one unit while an append is under way.
type batch struct {
	mu        sync.Mutex
	appending bool
	pending   []pendingRecord
}

type pendingRecord struct {
	record store.Record
	done   chan error
}

// appendWithRetry stores a record, again and again until the context ends. A refusal
// counts as such only if no earlier try may have had its effect.
func (s *Service) appendWithRetry(ctx context.Context, pool string, r store.Record) error {
	uncertain := false
	for {
		unit := s.UnitOf(pool)
		if unit == unitmap.None {
			return errors.Wrap(ErrNotRun, "the pool has no unit yet")
		}
		err := s.appendInBatch(ctx, unit, r)
		if err == nil {
			return nil
		}
		uncertain = uncertain || mayHaveTakenEffect(err)
		if outage := s.outage(unit); outage > 0 && !uncertain {
			return errors.Wrapf(ErrNotRun, "the store hasn't answered for %d ms", outage.Milliseconds())
		}
		if pause.For(ctx, storeRetryDelay) {
			continue
		}
		if uncertain {
			return errors.Wrap(ErrMayRun, err.Error())
		}
		return errors.Wrap(ErrNotRun, err.Error())
	}
}

// mayHaveTakenEffect says whether a failed append may have had its effect.
func mayHaveTakenEffect(err error) bool {
	return !errors.Is(err, store.ErrNotDone) && !errors.Is(err, store.ErrFull)
}

// appendInBatch stores a record in the next append to its unit. A partition
// takes one append at a time: when the store is slow, one for each record would
// queue up there.
func (s *Service) appendInBatch(ctx context.Context, unit int, r store.Record) error {
	w := pendingRecord{record: r, done: make(chan error, 1)}
	b := s.batch(unit)
	b.mu.Lock()
	b.pending = append(b.pending, w)
	if !b.appending {
		b.appending = true
		go s.flush(unit, b)
	}
	b.mu.Unlock()
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return errors.Wrap(store.ErrUnknown, ctx.Err().Error())
	}
}

func (s *Service) batch(unit int) *batch {
	b, _ := s.batches.LoadOrStore(unit, &batch{})
	return b.(*batch)
}

// flush stores what waits until nothing does.
func (s *Service) flush(unit int, b *batch) {
	for {
		b.mu.Lock()
		pending := b.pending
		b.pending = nil
		b.appending = len(pending) > 0
		b.mu.Unlock()
		if len(pending) == 0 {
			return
		}
		var records []store.Record
		for _, w := range pending {
			records = append(records, w.record)
		}
		err := s.appendOnce(unit, records)
		for _, w := range pending {
			w.done <- err
		}
	}
}

// appendOnce tries the store, then the unit's owner: the store may serve other
// daemons while it doesn't serve this one. The one that answered last goes first.
// A store that is known to be away isn't tried: a try without an answer would
// leave the caller without a refusal that it may act on.
func (s *Service) appendOnce(unit int, records []store.Record) error {
	routes := []func(int, []store.Record) error{s.appendDirect, s.appendViaOwner}
	switch {
	case s.Log.Away() > 0:
		routes = routes[1:]
	case s.unitOutage(unit) > 0:
		return errors.Wrap(store.ErrNotDone, "the unit's partition isn't served")
	case time.Now().UnixMilli() < s.ownerFirstUntil.Load():
		routes[0], routes[1] = routes[1], routes[0]
	}
	var failure error
	for _, route := range routes {
		err := route(unit, records)
		if err == nil {
			return nil
		}
		if failure == nil || mayHaveTakenEffect(err) {
			failure = err
		}
	}
	return failure
}

func (s *Service) appendDirect(unit int, records []store.Record) error {
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	err := s.Log.Append(ctx, ownership.Topic, unit, records, nil)
	s.observe(unit, err)
	if err != nil {
		s.Logger.Info("intake.store_failed", zap.Int("unit", unit), zap.Int("records", len(records)), zap.Error(err))
		s.ownerFirstUntil.Store(time.Now().Add(ownerFirstPeriod).UnixMilli())
	}
	return err
}

// appendViaOwner has the unit's owner store records, if that is another daemon.
func (s *Service) appendViaOwner(unit int, records []store.Record) error {
	if s.Units.Unit(unit) != nil {
		return errors.Wrap(store.ErrNotDone, "this daemon is the owner")
	}
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	address := s.Member.Locate(ctx, unit, false)
	if address == "" {
		return errors.Wrap(store.ErrNotDone, "no owner known")
	}
	reply, err := s.Peers.Store(ctx, address, ownerrpc.StoreRequest{Unit: unit, Records: records})
	if err == nil && reply.Code == ownerrpc.OK {
		s.observe(unit, nil)
		return nil
	}
	s.observe(unit, store.ErrUnknown)
	if errors.Is(err, ownerrpc.ErrUnsent) {
		return errors.Wrap(store.ErrNotDone, err.Error())
	}
	if err != nil {
		return errors.Wrap(store.ErrUnknown, err.Error())
	}
	return errors.Wrap(store.ErrNotDone, "the owner can't store either")
}
