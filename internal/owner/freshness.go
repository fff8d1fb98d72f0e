package owner

import (
	"time"

	"go.uber.org/zap"
)

// startTime is what a start takes from its decision to its instance: an append
// to a store that is slow (60 times 4 ms, twice), and the order.
const startTime = 600 * time.Millisecond

// ShortestBound is the shortest bound on starts that can be kept: what it is
// about must be read, at most followWait ago, before the start is decided.
const ShortestBound = startTime + followWait

// upToDate says whether all that could forbid a start has been read recently
// enough: a store may take appends while it doesn't serve reads.
func (u *Unit) upToDate() bool {
	stale := ""
	switch {
	case u.Clock()-u.readAt > u.Bounds.Cancel-startTime:
		stale = "cancellations"
	case u.View.RegistryAge() > u.Bounds.Drain-startTime:
		stale = "registry"
	case u.View.ConfigurationAge() > u.Bounds.Evacuate-startTime:
		stale = "configuration"
	}
	if stale != u.stale {
		u.Logger.Info("unit.freshness", zap.String("stale", stale), zap.Duration("unit_age", u.Clock()-u.readAt),
			zap.Duration("registry_age", u.View.RegistryAge()), zap.Duration("configuration_age", u.View.ConfigurationAge()))
	}
	u.stale = stale
	return stale == ""
}
