package owner

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/instance"
	"github.com/beryltide/beryltide/internal/job"
)

// longQueue returns a step with so many tasks that most of their starts wait to be sent.
func longQueue() job.Step {
	step := longStep(40)
	step.Need = job.Resources{CPU: 50, Memory: 50}
	return step
}

// Guards against a run of a cancelled job by a start that waited to be sent: the instance
// leaves the orders before it unanswered.
func TestStartOfACancelledJobIsStillSent(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		const startDelay = 100 * time.Millisecond
		i := c.instances["i-0"]
		i.duration, i.startDelay = time.Hour, startDelay
		d := c.startOwner(64)
		c.submit(jobA, longQueue())
		time.Sleep(time.Second)
		c.append(CancelPrefix+jobA, []byte{1})
		time.Sleep(100*time.Millisecond + unansweredTimeout) // one order may have been under way
		sent := d.ordersSent(startOrder)
		time.Sleep(10 * time.Second)
		is.Equal(d.ordersSent(startOrder), sent)
		is.Equal(d.state(jobA), job.Cancelled)
		is.Equal(len(c.occupied()), 0)
	})
}

// Guards against a second run of a task by a start that waited to be sent while contact was
// lost for longer than a lease: its run has been given up and placed elsewhere.
func TestStartOfARunThatWasGivenUpIsStillSent(t *testing.T) {
	const blocked = 12 * time.Second
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		for _, i := range c.instances {
			i.duration = time.Hour
		}
		d := c.startOwner(64)
		d.setUnreachable("i-1", true)
		time.Sleep(500 * time.Millisecond)
		is.NoErr(d.unit.do(c.ctx, func() {
			for range orderSenders {
				d.unit.sessions["i-0"].enqueue(order{
					send: func(context.Context, instance.Registration, time.Duration) error {
						time.Sleep(blocked)
						return nil
					},
					done: func(error) {},
				})
			}
		}))
		c.submit(jobA, longStep(1))
		time.Sleep(time.Second)
		d.setUnreachable("i-0", true)
		d.setUnreachable("i-1", false)
		time.Sleep(9 * time.Second)
		is.Equal(c.startsAt("i-1"), 1)
		d.setUnreachable("i-0", false)
		checkNoOverlap(c, is, 5*time.Second)
		is.Equal(c.startsAt("i-0"), 0)
	})
}

// Guards against tasks that wait at an instance whose orders are held up.
func TestStartWaitsForLongToBeSent(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		c.instances["i-0"].startDelay = 100 * time.Millisecond
		d := c.startOwner(64)
		d.setUnreachable("i-1", true)
		time.Sleep(500 * time.Millisecond)
		step := longQueue()
		step.Estimate = 300 * time.Millisecond
		c.submit(jobA, step)
		time.Sleep(500 * time.Millisecond)
		d.setUnreachable("i-1", false)
		time.Sleep(5 * time.Second)
		is.Equal(d.state(jobA), job.Completed)
	})
}
