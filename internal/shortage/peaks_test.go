package shortage

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The replays must be of a shortage, and its lack of capacity the only cause of jobs
// without value: otherwise the other tests of this package would show nothing.
func TestPeaksAreShortOfCapacity(t *testing.T) {
	is := is.New(t)
	for _, l := range []load{firstPeak(), secondPeak()} {
		short := replaySeeds(l, formerOrder, 2)
		is.True(short.worthless > 0)
		is.True(short.late > 0)
		// A task that takes seven times as long makes its job's completion worthless on any
		// capacity.
		l.slowShare = 0
		instances := l.instances
		l.instances = func(at time.Duration) int { return 10 * instances(at) }
		is.Equal(replaySeeds(l, formerOrder, 2).worthless, 0)
	}
}
