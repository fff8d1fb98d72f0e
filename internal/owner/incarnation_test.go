package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/job"
)

// Guards against tasks for the former capacity and labels of an instance that came back
// under its ID as another kind, before its new entry was read.
func TestRestartedInstanceIsUsedOnceItsEntryIsRead(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		d := c.startOwner(64)
		c.submit(jobA, smallStep(1))
		time.Sleep(time.Second)
		is.Equal(d.state(jobA), job.Completed)
		i := c.instances["i-0"]
		i.mu.Lock()
		i.incarnation += 1000
		i.runs, i.lastRun, i.ended, i.lastEndNumber, i.fence = map[job.TaskID]*fakeRun{}, map[job.TaskID]int{}, nil, 0, 0
		i.mu.Unlock()
		time.Sleep(2 * time.Second)
		c.submit("00000000000000bb", smallStep(1))
		time.Sleep(2 * time.Second)
		is.Equal(len(c.startsOf("00000000000000bb")), 0)
		d.view.ResetRegistry(c.registrations())
		time.Sleep(2 * time.Second)
		is.Equal(d.state("00000000000000bb"), job.Completed)
	})
}
