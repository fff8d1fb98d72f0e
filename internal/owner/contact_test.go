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
	sess := &session{knownSince: now.Add(-4 * time.Second)}
	is.Equal(sess.silentFor(now), 4*time.Second)
	sess.lastContact = now.Add(-time.Second)
	is.Equal(sess.silentFor(now), time.Second)
}
