package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a second run of a task whose lease was extended beside a record of lost
// contact: a tenure that missed a generation goes on without having read the record. The
// owner that wrote it has lost the unit again, and the next one counts on it.
func TestRecordedLossBindsAnEarlierTenure(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		for _, i := range c.instances {
			i.duration = time.Hour
		}
		first := c.startOwner(64)
		first.setUnreachable("i-1", true)
		time.Sleep(500 * time.Millisecond)
		c.submit(jobA, longStep(1))
		time.Sleep(500 * time.Millisecond)
		is.Equal(c.startsAt("i-0"), 1)
		between := c.startOwner(128)
		between.setUnreachable("i-0", true)
		between.setUnreachable("i-1", true)
		time.Sleep(1500 * time.Millisecond) // within the ttl of a member
		between.setHeld(false)
		between.unit.Stop()
		time.Sleep(20 * time.Second)
		is.Equal(c.startsAt("i-1"), 0)
		first.setHeld(false)
		c.startOwner(192).setUnreachable("i-0", true)
		checkNoOverlap(c, is, 20*time.Second)
		is.Equal(c.startsAt("i-1"), 1)
	})
}
