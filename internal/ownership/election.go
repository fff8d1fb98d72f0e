package ownership

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
)

const (
	// maxProbedOwners bounds how many stronger owners a weak daemon probes in an
	// election; one answer is enough for it to stay out.
	maxProbedOwners = 3
	// probeTimeout bounds these probes, well within joinInterval.
	probeTimeout = 250 * time.Millisecond
	// strongerFactor times a daemon's strength is what another one must exceed to
	// count as stronger.
	strongerFactor = 1.5
	// electionInterval is how often a daemon decides whether it should own units.
	electionInterval = 1500 * time.Millisecond
	// unknownOwnersLimit is how long a daemon that can't read the list of owners waits
	// before it joins all the same.
	unknownOwnersLimit = 4 * time.Second
)

// elect decides whether this daemon should own units. It reads the list of owners
// before the first join, so that a weak daemon stays out from its start; if the list
// can't be read, the daemon joins after unknownOwnersLimit. It reports whether the
// daemon has left the group.
func (m *Member) elect(ctx context.Context) bool {
	now := m.clock()
	if now-m.electedAt < electionInterval {
		return false
	}
	m.ownersMu.Lock()
	m.refreshOwners(ctx)
	stronger, known := m.stronger, m.ownersLoaded
	m.ownersMu.Unlock()
	if !known {
		m.standby = now-m.startedAt < unknownOwnersLimit
		return false
	}
	m.electedAt = now
	standby := m.anyAlive(ctx, stronger)
	if standby == m.standby {
		return false
	}
	m.standby = standby
	m.logger.Info("ownership.elected", zap.Bool("joins", !standby), zap.Int("stronger", len(stronger)), zap.Float64("strength", m.strength))
	if !standby || !m.isJoined() {
		return false
	}
	if err := m.Leave(ctx); err != nil {
		m.logger.Warn("ownership.leave_failed", zap.Error(err))
	}
	return true
}

// anyAlive probes up to maxProbedOwners of the owners, chosen at random, and
// reports whether one of them answers within probeTimeout.
func (m *Member) anyAlive(ctx context.Context, owners []string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	probes := min(len(owners), maxProbedOwners)
	answers := make(chan bool, probes)
	for _, n := range rand.Perm(len(owners))[:probes] {
		go func() { answers <- m.alive(ctx, owners[n]) }()
	}
	for range probes {
		select {
		case alive := <-answers:
			if alive {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}
