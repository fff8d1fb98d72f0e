package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/job"
)

// Guards against a large job that stops its pool: its progress was over the store's
// limit of a record, and the append was repeated for ever.
func TestLargeJobRunsBesideOthers(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		c.limits.Record = 16_384
		c.store.Limits = c.limits
		d := c.startOwner(64)
		step := job.Step{Count: 1000, Need: job.Resources{CPU: 40, Memory: 1}, Estimate: 300 * time.Millisecond}
		second := step
		second.After = []int{0}
		c.submit(jobA, step, second)
		time.Sleep(500 * time.Millisecond)
		c.submit("00000000000000bb", smallStep(1))
		time.Sleep(3 * time.Second)
		is.Equal(d.state("00000000000000bb"), job.Completed)
		d.unit.Stop()
		d = c.startOwner(128)
		time.Sleep(30 * time.Second)
		is.Equal(d.state(jobA), job.Completed)
		is.Equal(len(c.startsOf(jobA)), 2000) // none ran again after the takeover
	})
}

// Many changes at once are stored in several appends.
func TestCommitOverTheLimitOfAnAppendIsSplit(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		c.limits.Append, c.limits.Record = 16_384, 16_384
		c.store.Limits = c.limits
		d := c.startOwner(64)
		step := job.Step{Count: 200, Need: job.Resources{CPU: 1, Memory: 1}}
		for n := range 8 {
			c.submit(fmt.Sprintf("%016x", 0xb00+n), step)
		}
		time.Sleep(5 * time.Second)
		for n := range 8 {
			is.Equal(d.state(fmt.Sprintf("%016x", 0xb00+n)), job.Completed)
		}
	})
}
