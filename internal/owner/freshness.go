package owner

import (
	"time"

	"go.uber.org/zap"
)

// startLatency is what a start takes from its decision to its instance: an append
// to a store that is slow (60 times 4 ms, twice), and the order.
const startLatency = 600 * time.Millisecond

// ShortestBound is the shortest bound on starts that can be kept: what it is
// about must be read, at most followWait ago, before the start is decided.
const ShortestBound = startLatency + followWait

// upToDate says whether all that could forbid a start has been read recently
// enough: a store may take appends while it doesn't serve reads.
func (u *Unit) upToDate() bool {
	stale := ""
	switch {
	case u.Clock()-u.caughtUpAt > u.Bounds.Cancel-startLatency:
		stale = "cancellations"
	case u.View.RegistryAge() > u.Bounds.Drain-startLatency:
		stale = "registry"
	case u.View.ConfigurationAge() > u.Bounds.Evacuate-startLatency:
		stale = "configuration"
	}
	if stale != u.staleSource {
		u.Logger.Info("unit.freshness", zap.String("stale", stale), zap.Duration("unit_age", u.Clock()-u.caughtUpAt),
			zap.Duration("registry_age", u.View.RegistryAge()), zap.Duration("configuration_age", u.View.ConfigurationAge()))
	}
	u.staleSource = stale
	return stale == ""
}
