package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An instance that was out of reach before a takeover has been silent since the
// takeover as far as its owner knows, not since the beginning of time.
func TestSilenceCountsFromTheTakeover(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	a := &agent{knownSince: now.Add(-4 * time.Second)}
	is.Equal(a.silentFor(now), 4*time.Second)
	a.lastContact = now.Add(-time.Second)
	is.Equal(a.silentFor(now), time.Second)
}
