package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A job that failed, succeeded and fails again must be kept as long as any other. Its
// name stayed in the order of failed jobs after its success, so that the next job beyond
// the bound dropped the newest record instead of the oldest.
func TestJobThatFailsAgainIsKept(t *testing.T) {
	is := is.New(t)
	j, now := newFailedJobs(), time.Now()
	j.recordFailure("again", "a", 1, now)
	j.recordSuccess("again")
	j.recordFailure("first", "a", 1, now)
	j.recordFailure("again", "a", 1, now)
	for n := range maxFailedJobs - 2 {
		j.recordFailure(fmt.Sprint(n), "a", 1, now)
	}
	is.Equal(len(j.byName), maxFailedJobs) // none is dropped yet
	j.recordFailure("one more", "a", 1, now)
	is.True(j.byName["again"] != nil)
	is.True(j.byName["first"] == nil) // the oldest
	is.Equal(len(j.order), len(j.byName))
	j.recordSuccess("unknown") // changes nothing
	is.Equal(len(j.order), maxFailedJobs)
}
