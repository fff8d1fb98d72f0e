package ownership

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/store"
)

// missedGenerations reports whether the group has passed through generations that this
// daemon hasn't seen. A unit that another member has owned in between went there in one
// generation and came back in a later one. The caller holds the lock.
func (m *Member) missedGenerations(membership store.Membership) bool {
	return m.joined && membership.Generation > m.generation+1
}

// verifyHeld asks the store, after missed generations, which of the listed units this
// daemon has held without a break. Without an answer in time a unit counts as lost in
// between. While members start or stop, generations are missed all the time and hardly any
// unit is lost, so that taking units over anew would cost far more than the calls.
func (m *Member) verifyHeld(ctx context.Context, membership store.Membership) {
	m.mu.Lock()
	from := m.generation
	var units []int
	if m.missedGenerations(membership) {
		for _, c := range membership.Claims {
			if _, held := m.held[c.Partition]; held && (m.InUse == nil || m.InUse(c.Partition)) {
				units = append(units, c.Partition)
			}
		}
	}
	m.mu.Unlock()
	if len(units) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	errs := make([]error, len(units))
	var wg sync.WaitGroup
	for n, unit := range units {
		wg.Go(func() {
			errs[n] = m.log.Held(ctx, store.Holding{Group: Group, Member: m.name, Topic: Topic, Partition: unit, Generation: from})
		})
	}
	wg.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	var broken []int
	var reason error
	for n, unit := range units {
		if errs[n] == nil {
			m.verified[unit] = membership.Generation
		} else {
			broken, reason = append(broken, unit), errs[n]
		}
	}
	m.logger.Info("ownership.generations_missed", zap.Int64("from", from), zap.Int64("to", membership.Generation), zap.Ints("units", units), zap.Ints("broken", broken), zap.NamedError("reason", reason))
}
