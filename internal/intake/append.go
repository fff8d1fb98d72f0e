package intake

import (
	"context"
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
	// slowAppendTimeout is the same while the store is slow: for as long may the append
	// wait behind others (2 s at most), and be carried out.
	slowAppendTimeout = 2500 * time.Millisecond
	// ownerTimeout bounds an append through the unit's owner while the store isn't slow.
	ownerTimeout = 400 * time.Millisecond
	// ownerMargin is the time for finding the owner and for its answer.
	ownerMargin = 400 * time.Millisecond
	// ownerFirstPeriod is how long appends go through the units' owners first
	// after a direct append has failed.
	ownerFirstPeriod = time.Second
)

// appendWithRetry stores a record in the partition of a unit, which is looked up for
// each attempt, with retries until the context ends. It returns ErrNotRun only if no
// attempt may have taken effect, and ErrMayRun otherwise.
func (s *Service) appendWithRetry(ctx context.Context, unitOf func() int, r store.Record) error {
	uncertain := false
	for {
		unit := unitOf()
		if unit == unitmap.None {
			if uncertain {
				return errors.Wrap(ErrMayRun, "the pool has lost its unit")
			}
			return errors.Wrap(ErrNotRun, "no unit is assigned to the pool yet")
		}
		err := s.routed.append(ctx, unit, []store.Record{r}, s.Limits.Append, s.appendOnce)
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

// appendOnce tries to append directly, then through the unit's owner, as the
// store may serve other daemons while it doesn't serve this one. The owner goes first
// while the store is slow, and for ownerFirstPeriod after a direct append has failed.
// A store that is known to be unavailable isn't tried: after an attempt without an
// answer the outcome would be uncertain, whereas a refusal is certain.
func (s *Service) appendOnce(unit int, records []store.Record) error {
	slow := s.slow(unit)
	routes := []func(int, []store.Record) error{s.appendDirect, s.appendViaOwner}
	switch {
	case s.Log.Away() > 0:
		routes = routes[1:]
	case s.unitOutage(unit) > 0:
		return errors.Wrap(store.ErrNotDone, "the store doesn't serve the unit's partition")
	case slow || time.Now().UnixMilli() < s.ownerFirstUntil.Load():
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
		if slow && errors.Is(err, errOwnerCouldNot) {
			// The partition has too many appends waiting.
			return failure
		}
	}
	return failure
}

// slow reports whether the store, or the unit's partition, has recently taken long. An
// append from each daemon would then wait behind those of all others, and the owner's
// behind all of them; with the owner as the only writer there are two.
func (s *Service) slow(unit int) bool { return s.Log.Slow() || s.health(unit).Slow() }

// AppendForPeer implements ownerrpc.Appender.
func (s *Service) AppendForPeer(ctx context.Context, unit int, records []store.Record) error {
	return s.direct.append(ctx, unit, records, s.Limits.Append, s.appendNow)
}

// appendDirect appends records from this daemon, together with those of peers.
func (s *Service) appendDirect(unit int, records []store.Record) error {
	return s.direct.append(context.Background(), unit, records, s.Limits.Append, s.appendNow)
}

// appendNow appends records from this daemon. Without records it probes whether the
// store takes appends to the unit's partition. A partition that refuses may have too many
// appends waiting, so it counts as slow.
func (s *Service) appendNow(unit int, records []store.Record) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.appendTimeout(unit))
	defer cancel()
	if len(records) == 0 {
		return s.probeDirectly(ctx, unit)
	}
	begin := time.Now()
	err := s.Log.Append(ctx, ownership.Topic, unit, records, nil)
	s.observe(unit, err)
	s.health(unit).ObserveLatency(time.Since(begin))
	if errors.Is(err, store.ErrNotDone) {
		s.health(unit).MarkSlow()
	}
	if err != nil {
		s.Logger.Info("intake.store_failed", zap.Int("unit", unit), zap.Int("records", len(records)), zap.Error(err))
		s.ownerFirstUntil.Store(time.Now().Add(ownerFirstPeriod).UnixMilli())
	}
	return err
}

func (s *Service) appendTimeout(unit int) time.Duration {
	if s.slow(unit) {
		return slowAppendTimeout
	}
	return appendTimeout
}

// errOwnerCouldNot reports that the unit's owner couldn't store records.
var errOwnerCouldNot = errors.Wrap(store.ErrNotDone, "the unit's owner couldn't store the records")

// appendViaOwner has the unit's owner append records, if it is another daemon.
func (s *Service) appendViaOwner(unit int, records []store.Record) error {
	if s.Units.Unit(unit) != nil {
		return errors.Wrap(store.ErrNotDone, "this daemon owns the unit")
	}
	timeout := ownerTimeout
	if s.slow(unit) {
		timeout = slowAppendTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout+ownerMargin)
	defer cancel()
	address := s.Member.Locate(ctx, unit, false)
	if address == "" {
		return errors.Wrap(store.ErrNotDone, "the unit's owner isn't known")
	}
	begin := time.Now()
	reply, err := s.Peers.Store(ctx, address, ownerrpc.StoreRequest{Unit: unit, Records: records, Timeout: timeout})
	s.health(unit).ObserveLatency(time.Since(begin))
	if err == nil && reply.Code == ownerrpc.OK {
		s.observe(unit, nil)
		return nil
	}
	s.observe(unit, store.ErrUnknown)
	switch {
	case errors.Is(err, ownerrpc.ErrUnsent):
		return errors.Wrap(store.ErrNotDone, err.Error())
	case err != nil:
		return errors.Wrap(store.ErrUnknown, err.Error())
	}
	return errOwnerCouldNot
}
