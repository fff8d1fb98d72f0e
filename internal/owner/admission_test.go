package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/job"
)

// inTwoPools runs a test with one instance in each of two pools: i-0 in testPool,
// i-1 in otherPool.
func inTwoPools(t *testing.T, test func(c *cluster, is *is.I)) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		c.instances["i-1"].pool = otherPool
		for _, i := range c.instances {
			i.duration = 2 * time.Second
		}
		test(c, is)
	})
}

// Guards against jobs that run twice, and aren't found, after operators have sent
// their queue to another pool: a repeated submission goes to that pool's unit.
func TestJobOfAMovedQueueStaysOneJob(t *testing.T) {
	inTwoPools(t, func(c *cluster, is *is.I) {
		former := c.startOwner(64)
		c.submit(jobA, smallStep(2))
		time.Sleep(500 * time.Millisecond)
		is.Equal(former.state(jobA), job.Running)
		next := c.startOwnerOf(otherUnit, 64)
		time.Sleep(200 * time.Millisecond)
		status, err := next.unit.State(c.ctx, jobA, testQueue)
		is.True(errors.Is(err, ErrNoJob))
		is.Equal(status.Others, []int{testUnit}) // before it has had a job of the queue
		c.submitTo(otherPool, jobA, smallStep(2))
		time.Sleep(500 * time.Millisecond)
		is.Equal(len(c.startsOf(jobA)), 2)
		next.unit.Stop()
		next = c.startOwnerOf(otherUnit, 128) // a successor knows of it too
		c.submitTo(otherPool, jobA, smallStep(2))
		time.Sleep(5 * time.Second)
		is.Equal(former.state(jobA), job.Completed)
		is.Equal(len(c.startsOf(jobA)), 2)
		status, err = next.unit.State(c.ctx, jobA, testQueue)
		is.True(errors.Is(err, ErrNoJob))
		is.Equal(status.Others, []int{testUnit})
		c.submitTo(otherPool, "00000000000000bb", smallStep(2)) // a new job
		time.Sleep(4 * time.Second)
		is.Equal(next.state("00000000000000bb"), job.Completed)
	})
}

// A job that reaches both units at once runs in one of them.
func TestJobInTwoUnitsAtOnceRunsInOne(t *testing.T) {
	inTwoPools(t, func(c *cluster, is *is.I) {
		owners := []*daemon{c.startOwner(64), c.startOwnerOf(otherUnit, 64)}
		c.submit("00000000000000b0", smallStep(1))
		c.submitTo(otherPool, "00000000000000b1", smallStep(1))
		time.Sleep(time.Second)
		c.submit(jobA, smallStep(2))
		c.submitTo(otherPool, jobA, smallStep(2))
		time.Sleep(4 * time.Second)
		is.Equal(len(c.startsOf(jobA)), 2)
		is.Equal(owners[0].state(jobA), job.Completed)
		is.Equal(owners[1].state(jobA), job.State(ErrNoJob.Error()))
	})
}

// While the other unit has no owner that answers, nobody knows whether it has the job.
func TestJobWaitsForAnAnswerOfTheOtherUnit(t *testing.T) {
	inTwoPools(t, func(c *cluster, is *is.I) {
		c.startOwner(64)
		c.submit("00000000000000b0", smallStep(1))
		time.Sleep(time.Second)
		next := c.startOwnerOf(otherUnit, 64)
		next.setUnreachable("1", true)
		c.submitTo(otherPool, jobA, smallStep(1))
		time.Sleep(2 * time.Second)
		is.Equal(len(c.startsOf(jobA)), 0)
		is.Equal(next.state(jobA), job.Queued)
		next.setUnreachable("1", false)
		time.Sleep(4 * time.Second)
		is.Equal(next.state(jobA), job.Completed)
	})
}

// A cancellation that reaches the unit of the queue's present pool ends the job in the
// unit that has it, also if that job was submitted to both.
func TestCancellationReachesTheUnitThatHasTheJob(t *testing.T) {
	inTwoPools(t, func(c *cluster, is *is.I) {
		former := c.startOwner(64)
		next := c.startOwnerOf(otherUnit, 64)
		c.submit(jobA, smallStep(2))
		c.submit("00000000000000b0", smallStep(2))
		time.Sleep(500 * time.Millisecond)
		c.appendTo(otherUnit, CancelPrefix+jobA, []byte(testQueue))
		next.setUnreachable("1", true)
		c.submitTo(otherPool, "00000000000000b0", smallStep(2))
		c.appendTo(otherUnit, CancelPrefix+"00000000000000b0", []byte(testQueue))
		time.Sleep(200 * time.Millisecond)
		next.setUnreachable("1", false)
		time.Sleep(500 * time.Millisecond)
		is.Equal(former.state(jobA), job.Cancelled)
		is.Equal(former.state("00000000000000b0"), job.Cancelled)
		is.Equal(c.completions(jobA), 0)
	})
}

// Waiting jobs of a queue are counted in all units that have some.
func TestWaitingNamesTheOtherUnits(t *testing.T) {
	inTwoPools(t, func(c *cluster, is *is.I) {
		c.startOwner(64)
		next := c.startOwnerOf(otherUnit, 64)
		c.submit(jobA, smallStep(2))
		time.Sleep(queueUnitsAge + 500*time.Millisecond)
		waiting, others, err := next.unit.Waiting(c.ctx, testQueue, testQueue)
		is.NoErr(err)
		is.Equal(waiting, 0)
		is.Equal(others, []int{testUnit})
	})
}
