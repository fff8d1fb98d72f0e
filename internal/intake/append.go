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
	// appendTimeout is well above the time that a slow store takes (60 times 4 ms,
	// with other appends queued), and leaves a caller enough time for an attempt
	// through the owner.
	appendTimeout = 800 * time.Millisecond
	// ownerFirstPeriod is how long appends go through the units' owners first
	// after a direct append has failed.
	ownerFirstPeriod = time.Second
)

// batch holds the records to be stored in one unit's partition while an append is
// in flight.
type batch struct {
	mu        sync.Mutex
	appending bool
	pending   []pendingRecord
}

// pendingRecord is a record whose caller waits for the result on done, which has
// a buffer of one.
type pendingRecord struct {
	record store.Record
	done   chan error
}

// appendWithRetry stores a record, with retries until the context ends. It
// returns ErrNotRun only if no attempt may have taken effect, and ErrMayRun
// otherwise.
func (s *Service) appendWithRetry(ctx context.Context, pool string, r store.Record) error {
	uncertain := false
	for {
		unit := s.UnitOf(pool)
		if unit == unitmap.None {
			if uncertain {
				return errors.Wrap(ErrMayRun, "the pool has lost its unit")
			}
			return errors.Wrap(ErrNotRun, "no unit is assigned to the pool yet")
		}
		err := s.appendInBatch(ctx, unit, r)
		if err == nil {
			return nil
		}
		uncertain = uncertain || mayHaveTakenEffect(err)
		if outage := s.outage(unit); outage > 0 && !uncertain {
			return errors.Wrapf(ErrNotRun, "the store has been unavailable for %d ms", outage.Milliseconds())
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

// mayHaveTakenEffect reports whether a failed append may have been carried out.
func mayHaveTakenEffect(err error) bool {
	return !errors.Is(err, store.ErrNotDone) && !errors.Is(err, store.ErrFull)
}

// appendInBatch stores a record in the next append to its unit. A partition takes
// one append at a time: with one append per record, a slow store would let them
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

// flush appends the pending records, batch by batch, until there are none.
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

// appendOnce tries to append directly, then through the unit's owner, as the
// store may serve other daemons while it doesn't serve this one. After a direct
// append has failed, the owner goes first for ownerFirstPeriod. A store that is
// known to be unavailable isn't tried: after an attempt without an answer
// the outcome would be uncertain, whereas a refusal is certain.
func (s *Service) appendOnce(unit int, records []store.Record) error {
	routes := []func(int, []store.Record) error{s.appendDirect, s.appendViaOwner}
	switch {
	case s.Log.Away() > 0:
		routes = routes[1:]
	case s.unitOutage(unit) > 0:
		return errors.Wrap(store.ErrNotDone, "the store doesn't serve the unit's partition")
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

// appendDirect appends records from this daemon.
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

// appendViaOwner has the unit's owner append records, if it is another daemon.
func (s *Service) appendViaOwner(unit int, records []store.Record) error {
	if s.Units.Unit(unit) != nil {
		return errors.Wrap(store.ErrNotDone, "this daemon owns the unit")
	}
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	address := s.Member.Locate(ctx, unit, false)
	if address == "" {
		return errors.Wrap(store.ErrNotDone, "the unit's owner isn't known")
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
	return errors.Wrap(store.ErrNotDone, "the unit's owner couldn't store the records")
}
