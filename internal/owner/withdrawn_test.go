package owner

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/instance"
	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/ownership"
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

// Guards against a start that is sent for a run which was given up while its sender was
// suspended, after it had found the run wanted: here while it reads the clock.
func TestStartIsClaimedAfterItsLeaseIsExtended(t *testing.T) {
	for _, test := range []struct {
		name    string
		givenUp bool
		err     error
		sent    int
	}{{"the run is wanted", false, nil, 1}, {"the run is given up", true, errWithdrawn, 0}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			u := peakUnit(1, 0, 0)
			u.ctx, u.events = t.Context(), make(chan func(), 1)
			u.Holds = func(ownership.Tenure) bool { return true }
			sess, r := u.sessions["i-0"], &run{}
			u.Clock = func() time.Duration {
				if test.givenUp {
					r.withdraw()
				}
				return time.Minute
			}
			sess.ctx = u.ctx
			sess.target.Store(&sess.reg)
			sess.clock.Store(&clockReading{incarnation: 1})
			var result error
			sent := 0
			sess.sendOrder(order{
				carriesLease: true, incarnation: 1, starts: r, queuedAt: time.Now(),
				send: func(context.Context, instance.Registration, time.Duration) error { sent++; return nil },
				done: func(err error) { result = err },
			})
			(<-u.events)()
			is.Equal(result, test.err)
			is.Equal(sent, test.sent)
		})
	}
}

// Guards against a run that ends by an expiry which its start has just moved, and against
// one that ends while its start may still be sent.
func TestExpiryAndStartExcludeEachOther(t *testing.T) {
	for _, sent := range []bool{false, true} {
		inVirtualTime(t, 1, func(c *cluster, is *is.I) {
			d := c.startOwner(64)
			time.Sleep(500 * time.Millisecond)
			is.NoErr(d.unit.do(c.ctx, func() {
				sess := d.unit.sessions["i-0"]
				r := &run{step: &job.Step{}, incarnation: sess.incarnation, bound: true}
				sess.addRun(job.TaskID{Job: jobA}, r)
				sess.lastContact = time.Now().Add(-time.Minute)
				sess.leaseExpiry.Store(int64(c.clock()))
				is.True(!sent || r.claim())
				clock, reads := d.unit.Clock, 0
				d.unit.Clock = func() time.Duration {
					if reads++; reads == 2 {
						sess.leaseExpiry.Store(int64(clock() + time.Second)) // by the sender
					}
					return clock()
				}
				d.unit.expireLeases(time.Now())
				d.unit.Clock = clock
				if sent {
					is.Equal(len(sess.runs), 1)
					sess.removeRun(job.TaskID{Job: jobA})
				} else {
					is.Equal(len(sess.runs), 0)
					is.True(!r.claim())
				}
			}))
		})
	}
}
