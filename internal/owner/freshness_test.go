package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/memstore"
)

// A store that takes appends and doesn't serve reads hides cancellations: what
// was cancelled must not go on starting tasks, and runs again once it is read.
func TestNothingStartsWhileReadsFail(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		c.instances["i-0"].duration = time.Second
		d := c.startOwner(64)
		c.submit(jobA, long(40)) // four at once, ten rounds of them
		time.Sleep(500 * time.Millisecond)
		d.log.SetFault(func(call string) memstore.Fault {
			if call == "read" {
				return memstore.Refuse
			}
			return memstore.None
		})
		time.Sleep(50 * time.Millisecond) // lets a read under way end
		c.append(CancelPrefix+jobA, []byte{1})
		cancelled := time.Now()
		time.Sleep(7 * time.Second)
		for _, s := range c.startsOf(jobA) {
			is.True(s.at.Sub(cancelled) < cancelBound)
		}
		d.log.SetFault(nil)
		c.submit("00000000000000bb", small(1))
		time.Sleep(2 * time.Second)
		is.Equal(d.state(jobA), job.Cancelled)
		is.Equal(d.state("00000000000000bb"), job.Completed)
	})
}
