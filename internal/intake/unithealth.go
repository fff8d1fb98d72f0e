package intake

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/beryltide/beryltide/internal/ownership"
	"github.com/beryltide/beryltide/internal/pause"
	"github.com/beryltide/beryltide/internal/store"
)

const (
	// unitProbeInterval is how late the return of a unit's partition is noticed;
	// each daemon's probes count among the writes of all.
	unitProbeInterval = 500 * time.Millisecond
	// unitFailureThreshold in a row are a try here and one at the owner.
	unitFailureThreshold = 2
	// unreachableOffset is one at which no partition ends: an append there is answered and
	// never has an effect.
	unreachableOffset = math.MaxInt64 >> 1
)

// unitHealth tells whether the store takes appends to a unit's partition. The
// store may serve some partitions only.
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

// outage returns for how long a submission to a unit couldn't be stored; 0 means
// that it can.
func (s *Service) outage(unit int) time.Duration {
	return max(s.Log.Away(), s.unitOutage(unit))
}

// unitOutage returns for how long the unit's partition hasn't taken appends, and
// sees to it that its return is noticed.
func (s *Service) unitOutage(unit int) time.Duration {
	h := s.health(unit)
	outage := h.Away()
	if outage > 0 && h.probing.CompareAndSwap(false, true) {
		go s.probe(unit, h)
	}
	return outage
}

// longestOutage is the longest of all units.
func (s *Service) longestOutage() time.Duration {
	longest := s.Log.Away()
	s.unitHealths.Range(func(_, h any) bool {
		longest = max(longest, h.(*unitHealth).Away())
		return true
	})
	return longest
}

// observe notes what became of an append to a unit.
func (s *Service) observe(unit int, err error) { s.health(unit).Observe(store.Served(err)) }

// probe tries a partition that is away until it takes appends again. No caller's
// request is put at risk for it.
func (s *Service) probe(unit int, h *unitHealth) {
	defer h.probing.Store(false)
	for h.Away() > 0 {
		go s.probeOnce(unit, h)
		pause.For(context.Background(), unitProbeInterval)
	}
}

func (s *Service) probeOnce(unit int, h *unitHealth) {
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	err := s.Log.AppendAt(ctx, ownership.Topic, unit, []store.Record{{Key: "probe"}}, unreachableOffset)
	h.Observe(store.Served(err))
}
