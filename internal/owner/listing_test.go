package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/job"
)

// Guards against tasks that run again because their ends don't fit into one
// listing: an instance that was out of reach has more ends than it lists at once.
func TestRunsWhoseEndsAreNotListedYetAreNotLost(t *testing.T) {
	const tasks = endsPerListing + 120
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		c.instances["i-0"].duration = 2 * time.Second
		d := c.startOwner(64)
		c.submit(jobA, job.Step{Count: tasks, Need: job.Resources{CPU: 1, Memory: 1}, Estimate: time.Second})
		time.Sleep(1500 * time.Millisecond)
		is.Equal(len(c.startsOf(jobA)), tasks)
		d.setUnreachable("i-0", true)
		time.Sleep(3 * time.Second) // less than the lease
		d.setUnreachable("i-0", false)
		time.Sleep(5 * time.Second)
		is.Equal(d.state(jobA), job.Completed)
		is.Equal(len(c.startsOf(jobA)), tasks) // none ran again
	})
}
