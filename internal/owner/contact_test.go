package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against counting the time without contact from the zero time: an
// instance that was unreachable before a takeover counts as silent from the
// takeover on.
func TestSilenceCountsFromTheTakeover(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	sess := &session{knownSince: now.Add(-4 * time.Second)}
	is.Equal(sess.silentFor(now), 4*time.Second)
	sess.lastContact = now.Add(-time.Second)
	is.Equal(sess.silentFor(now), time.Second)
}
