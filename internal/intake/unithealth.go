package intake

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/ownerrpc"
	"github.com/beryltide/beryltide/internal/ownership"
	"github.com/beryltide/beryltide/internal/pause"
	"github.com/beryltide/beryltide/internal/store"
)

const (
	// unitProbeInterval bounds the delay until the recovery of a unit's partition is
	// detected; the probes of all daemons add to the store's writes.
	unitProbeInterval = 500 * time.Millisecond
	// recoveryCheckInterval is how often a probe that waits checks whether the store
	// serves this daemon again.
	recoveryCheckInterval = 25 * time.Millisecond
	// unitFailureThreshold is the number of failed appends in a row after which a
	// partition counts as unavailable: one direct and one through the owner.
	unitFailureThreshold = 2
	// unreachableOffset is an offset at which no partition ends: the store answers
	// a conditional append there without ever carrying it out.
	unreachableOffset = math.MaxInt64 >> 1
)

// unitHealth tracks whether the store takes appends to a unit's partition. The
// store may serve only some of its partitions.
type unitHealth struct {
	*store.Health
	probing atomic.Bool
}

func (s *Service) health(unit int) *unitHealth {
	h, known := s.unitHealths.Load(unit)
	if !known {
		h, _ = s.unitHealths.LoadOrStore(unit, &unitHealth{Health: store.NewHealth(s.Log.Clock(), unitFailureThreshold)})
	}
	return h.(*unitHealth)
}

// outage returns for how long submissions to a unit couldn't be stored; 0 means
// that they can.
func (s *Service) outage(unit int) time.Duration {
	return max(s.Log.Away(), s.unitOutage(unit))
}

// unitOutage returns for how long the unit's partition hasn't taken appends, and
// starts a probe of it if it doesn't.
func (s *Service) unitOutage(unit int) time.Duration {
	h := s.health(unit)
	outage := h.Away()
	if outage > 0 && h.probing.CompareAndSwap(false, true) {
		go s.probe(unit, h)
	}
	return outage
}

// longestOutage returns the longest current outage of the store or of a unit.
func (s *Service) longestOutage() time.Duration {
	longest := s.Log.Away()
	s.unitHealths.Range(func(_, h any) bool {
		longest = max(longest, h.(*unitHealth).Away())
		return true
	})
	return longest
}

// observe records the outcome of an append to a unit.
func (s *Service) observe(unit int, err error) { s.health(unit).Observe(store.Served(err)) }

// probe tries to append to an unavailable partition until it takes appends again,
// without risking a caller's request. An attempt doesn't wait for the one before.
func (s *Service) probe(unit int, h *unitHealth) {
	defer h.probing.Store(false)
	for h.Away() > 0 {
		go s.probeOnce(unit, h)
		s.pauseBetweenProbes()
	}
}

// pauseBetweenProbes waits for unitProbeInterval, but not longer than until the store
// serves this daemon again after an outage, when the partition is likely to be served
// too.
func (s *Service) pauseBetweenProbes() {
	outage := s.Log.Away() > 0
	for end := time.Now().Add(unitProbeInterval); time.Now().Before(end); pause.For(context.Background(), recoveryCheckInterval) {
		if outage && s.Log.Away() == 0 {
			return
		}
		outage = outage || s.Log.Away() > 0
	}
}

// probeOnce has the unit's owner probe for all daemons, since the probes of each would
// fill a partition that is slow; directly, it probes only if no owner answers.
func (s *Service) probeOnce(unit int, h *unitHealth) {
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	if s.Units.Unit(unit) == nil {
		if address := s.Member.Locate(ctx, unit, false); address != "" {
			reply, err := s.Peers.Store(ctx, address, ownerrpc.StoreRequest{Unit: unit, Timeout: ownerTimeout})
			if err == nil {
				h.Observe(reply.Code == ownerrpc.OK)
				return
			}
		}
	}
	h.Observe(s.direct.append(ctx, unit, nil, s.Limits.Append, s.appendNow) == nil)
}

// probeDirectly tries an append that can have no effect, and returns nil if the store
// answers that.
func (s *Service) probeDirectly(ctx context.Context, unit int) error {
	err := s.Log.AppendAt(ctx, ownership.Topic, unit, []store.Record{{Key: "probe"}}, unreachableOffset)
	if store.Served(err) {
		return nil
	}
	return errors.Wrap(store.ErrNotDone, err.Error())
}
