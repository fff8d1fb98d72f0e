package owner

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/jobbudget"
)

// Guards against an owner whose memory is filled by accepted jobs, a successor that
// doesn't count the jobs that it takes over, jobs that count after their end, and a
// repeat that is refused although the job is stored.
func TestMemoryOfJobs(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		const limit, size = 200_000, 100_000
		c.jobMemory = func() *jobbudget.Budget { return jobbudget.New(limit) }
		large := smallStep(1)
		large.Image = strings.Repeat("x", size)
		d := c.startOwner(64)
		time.Sleep(time.Second)
		full := func() bool { return errors.Is(d.unit.Admit(c.ctx, "00000000000000cc", size), ErrFull) }
		is.True(!full())
		waiting := large
		waiting.Labels = []string{"nowhere"}
		c.submit(jobA, waiting)
		time.Sleep(20 * time.Second) // also past the time of the promise
		is.True(full())
		is.NoErr(d.unit.Admit(c.ctx, jobA, size)) // a repeat

		d.unit.Stop()
		d = c.startOwner(128)
		time.Sleep(20 * time.Second)
		is.True(full())

		c.append(CancelPrefix+jobA, []byte(testQueue))
		c.submit("00000000000000bb", large)
		time.Sleep(5 * time.Second)
		is.Equal(d.state("00000000000000bb"), job.Completed)
		is.True(!full())
		d.unit.Stop()
		<-d.unit.Done()
		kept, _ := d.unit.Jobs.Stats()
		is.Equal(kept, int64(0))
	})
}
