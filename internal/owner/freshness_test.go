package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/memstore"
)

// Guards against starts of a cancelled job while the store accepts appends but
// serves no reads, so that the owner can't read the cancellation. Starts resume
// once reads work.
func TestNothingStartsWhileReadsFail(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		c.instances["i-0"].duration = time.Second
		d := c.startOwner(64)
		c.submit(jobA, longStep(40)) // four at once, in ten rounds
		time.Sleep(500 * time.Millisecond)
		d.log.SetFault(func(call string) memstore.Fault {
			if call == "read" {
				return memstore.Refuse
			}
			return memstore.None
		})
		time.Sleep(50 * time.Millisecond) // lets a read in flight end
		c.append(CancelPrefix+jobA, []byte{1})
		cancelled := time.Now()
		time.Sleep(7 * time.Second)
		for _, s := range c.startsOf(jobA) {
			is.True(s.at.Sub(cancelled) < cancelBound)
		}
		d.log.SetFault(nil)
		c.submit("00000000000000bb", smallStep(1))
		time.Sleep(2 * time.Second)
		is.Equal(d.state(jobA), job.Cancelled)
		is.Equal(d.state("00000000000000bb"), job.Completed)
	})
}
