package owner

import (
	"time"

	"go.uber.org/zap"
)

// startLatency is the time from the decision of a start to its arrival at the
// instance: two appends to a slow store (60 times 4 ms each), and the order.
const startLatency = 600 * time.Millisecond

// ShortestBound is the shortest of the bounds in Bounds (Cancel, Drain,
// Evacuate) that can be kept: a start is decided on data up to followWait old
// and takes startLatency.
const ShortestBound = startLatency + followWait

// upToDate reports whether everything that could forbid a start has been read
// recently enough. A store may accept appends while its reads fail.
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
