package owner

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/instance"
	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/ownership"
)

// Guards against orders that any incarnation takes: each names the one that it is meant
// for, but for the first poll, which asks for it. The orders are those of a backfill task
// that is slowed down, of a cancelled job, and of a run that the owner doesn't know.
func TestOrdersNameTheirIncarnation(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		i := c.instances["i-0"]
		i.duration = time.Hour
		d := c.startOwner(64)
		serving, backfill := longStep(1), longStep(1)
		serving.Lasting, serving.Target = true, 30*time.Millisecond
		backfill.Fills = true
		c.submit(jobA, serving)
		c.submit(jobB, backfill)
		i.setLoad(28)
		time.Sleep(3 * time.Second)
		c.append(CancelPrefix+jobA, []byte{1})
		time.Sleep(time.Second)
		is.Equal(d.ordersSent(stopOrder), 1)
		i.mu.Lock()
		i.runs[job.TaskID{Job: "00000000000000cc"}] = &fakeRun{run: 1, startedAt: time.Now(), endsAt: time.Now().Add(time.Hour)}
		i.mu.Unlock()
		time.Sleep(3 * time.Second)
		is.True(d.ordersSent(stopOrder) > 1)
		for _, kind := range []orderKind{startOrder, stopOrder, paceOrder} {
			is.True(d.ordersSent(kind) > 0)
			is.Equal(d.ordersFor(kind, i.incarnation), d.ordersSent(kind))
		}
		is.Equal(d.ordersFor(pollOrder, i.incarnation), d.ordersSent(pollOrder)-1)
	})
}

// Guards against a lease for one incarnation by the clock of another one: the order is
// meant for the former, and a poll has read the clock of the next.
func TestOrderWithTheClockOfAnotherIncarnationIsNotSent(t *testing.T) {
	is := is.New(t)
	u := peakUnit(1, 0, 0)
	u.Clock = func() time.Duration { return time.Minute }
	u.Holds = func(ownership.Tenure) bool { return true }
	u.events = make(chan func(), 1)
	u.ctx = context.Background()
	sess := u.sessions["i-0"]
	sess.ctx = u.ctx
	sess.target.Store(&sess.reg)
	sess.clock.Store(&clockReading{incarnation: 2})
	var result error
	sess.sendOrder(order{
		carriesLease: true, incarnation: 1,
		send: func(context.Context, instance.Registration, time.Duration) error { return nil },
		done: func(err error) { result = err },
	})
	(<-u.events)()
	is.True(errors.Is(result, instance.ErrRestarted))
	is.Equal(sess.leaseExpiry.Load(), int64(0)) // no lease was extended
}

// Guards against a task that waits for the stop of a run that can't exist: each try of its
// start was bound to an incarnation that has ended.
func TestRestartEndsARunWhoseFirstTryGotNoAnswer(t *testing.T) {
	for _, test := range []struct {
		name  string
		bound bool
		runs  int
	}{
		{"bound", true, 0},
		{"an earlier try may have reached the next incarnation", false, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			inVirtualTime(t, 1, func(c *cluster, is *is.I) {
				c.instances["i-0"].duration = time.Hour
				d := c.startOwner(64)
				c.submit(jobA, longStep(1))
				time.Sleep(500 * time.Millisecond)
				is.NoErr(d.unit.do(c.ctx, func() {
					sess := d.unit.sessions["i-0"]
					for id, r := range sess.runs {
						r.bound = test.bound
						d.unit.onStarted(sess, id, r, "", 1, instance.ErrRestarted)
					}
					is.Equal(len(sess.runs), test.runs)
					is.True(!sess.unreachable)
				}))
			})
		})
	}
}

// Guards against a lease of a run that isn't bound, extended by a former owner at a new
// incarnation: it had no fence until it was polled.
func TestNewIncarnationMayHaveGrantedTheLongestLease(t *testing.T) {
	is := is.New(t)
	u := peakUnit(1, 0, 0)
	u.Clock = func() time.Duration { return time.Minute }
	u.Bounds.MaxLease = maxLease
	sess := u.sessions["i-0"]
	u.applyIncarnation(sess, instance.Listing{Incarnation: 1}, time.Now())
	is.Equal(sess.unboundExpiry.Load(), int64(0)) // the first contact is no restart
	u.applyIncarnation(sess, instance.Listing{Incarnation: 2}, time.Now())
	is.Equal(time.Duration(sess.unboundExpiry.Load()), time.Minute+unboundLease)
}

// Guards against a second run of a task whose instance tells no incarnation in one listing:
// that shows no restart, and the start may still arrive.
func TestListingWithoutAnIncarnationEndsNoRun(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		c.instances["i-0"].duration = time.Hour
		d := c.startOwner(64)
		time.Sleep(500 * time.Millisecond)
		d.holdNext(startOrder, "i-0", opening)
		c.submit(jobA, longStep(1))
		d.awaitSent(startOrder, 1)
		is.NoErr(d.unit.do(c.ctx, func() {
			d.unit.onPoll(d.unit.sessions["i-0"], instance.Listing{}, nil, time.Now())
		}))
		time.Sleep(3 * time.Second)
		is.Equal(c.startsAt("i-0"), 1)
		is.Equal(d.ordersSent(startOrder), 1)
	})
}

// Guards against an instance that is never used again: an order has found its incarnation
// gone, but polls show it or the next one.
func TestInstanceIsUsedAgainOnceAPollIsAnswered(t *testing.T) {
	for _, test := range []struct {
		name string
		// incarnation of the listing, relative to the one known.
		next int64
		// sent is when its poll was sent, relative to the order's result.
		sent time.Duration
		used bool
	}{
		{"of the same incarnation", 0, time.Millisecond, true},
		{"of the same incarnation, from before", 0, -time.Millisecond, false},
		{"of the next incarnation, sent before", 1, -time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			inVirtualTime(t, 1, func(c *cluster, is *is.I) {
				d := c.startOwner(64)
				time.Sleep(500 * time.Millisecond)
				is.NoErr(d.unit.do(c.ctx, func() {
					sess, now := d.unit.sessions["i-0"], time.Now()
					sess.onRestarted(sess.incarnation-1, now) // the result of an old order
					is.True(sess.usable(now))
					sess.onRestarted(sess.incarnation, now)
					is.True(!sess.usable(now))
					d.unit.onPoll(sess, instance.Listing{Incarnation: sess.incarnation + test.next}, nil, now.Add(test.sent))
					sess.reg.Incarnation = sess.incarnation // it writes its new entry
					is.Equal(sess.usable(now), test.used)
				}))
			})
		})
	}
}

// Guards against a run of an earlier version's owner that isn't stopped: a successor knows
// its incarnation from the listing alone.
func TestStopOfAnEarlierVersionsRunNamesItsIncarnation(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		i := c.instances["i-0"]
		i.duration = time.Hour
		d := c.startOwner(64)
		d.setUnbound()
		time.Sleep(100 * time.Millisecond)
		i.restart()
		c.submit(jobA, longStep(1)) // starts at the next incarnation
		time.Sleep(300 * time.Millisecond)
		is.Equal(c.startsAt("i-0"), 1)
		d.setHeld(false)
		c.storeAsEarlierVersion(jobA)
		successor := c.startOwner(128)
		time.Sleep(time.Second)
		is.NoErr(successor.unit.do(c.ctx, func() {
			for _, r := range runsAt(successor.unit, "i-0") {
				is.Equal(r.incarnation, i.incarnation)
				is.True(!r.bound)
			}
		}))
		c.append(CancelPrefix+jobA, []byte{1})
		time.Sleep(time.Second)
		is.Equal(successor.ordersFor(stopOrder, i.incarnation), 1)
		is.Equal(successor.state(jobA), job.Cancelled)
		is.Equal(len(c.occupied()), 0)
	})
}

// Guards against the short lease for a run that another incarnation than the recorded one
// lists: a start that isn't bound has reached it.
func TestRunListedByAnotherIncarnationIsNotBound(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		i := c.instances["i-0"]
		i.duration = time.Hour
		d := c.startOwner(64)
		d.setUnbound()
		time.Sleep(100 * time.Millisecond)
		i.restart()
		c.submit(jobA, longStep(1))
		time.Sleep(restartSeenAfter)
		is.NoErr(d.unit.do(c.ctx, func() {
			runs := runsAt(d.unit, "i-0")
			is.Equal(len(runs), 1)
			for _, r := range runs {
				is.True(!r.bound)
			}
		}))
	})
}

// Guards against a lost contact that is found again late: a poll that acknowledges needs two
// answers on a new connection.
func TestPollWithoutContactAcknowledges(t *testing.T) {
	is := is.New(t)
	u := peakUnit(1, 0, 0)
	u.Clock = func() time.Duration { return time.Minute }
	u.Holds = func(ownership.Tenure) bool { return true }
	sess := u.sessions["i-0"]
	sess.polledIncarnation = 1
	sess.clock.Store(&clockReading{incarnation: 1})
	next := ackCursor{incarnation: 1, recorded: 7}
	is.Equal(sess.nextPollCall(next).Acknowledged, int64(7))
	sess.outOfContact.Store(true)
	is.Equal(sess.nextPollCall(next), instance.Poll{Incarnation: 1})
}

// Guards against a second run of a task whose instance tells no incarnation for a while: the
// repeated start isn't sent then, but the first try, which got no answer, is carried out
// later by the same process.
func TestAnswersWithoutAnIncarnationEndNoUnansweredRun(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		i := c.instances["i-0"]
		setIncarnation := func(incarnation int64) {
			i.mu.Lock()
			defer i.mu.Unlock()
			i.incarnation = incarnation
		}
		d := c.startOwner(64)
		d.setUnreachable("i-1", true)
		i.outcome = job.EndFailed // so that i-1 is preferred
		i.setDuration(50 * time.Millisecond)
		c.submit(jobB, smallStep(1))
		time.Sleep(time.Second)
		is.Equal(d.state(jobB), job.Failed)
		for _, other := range c.instances {
			other.setDuration(time.Hour)
		}
		i.mu.Lock()
		i.startDelay = 800 * time.Millisecond
		incarnation, starts := i.incarnation, d.ordersSent(startOrder)
		i.mu.Unlock()
		c.submit(jobA, longStep(1))
		d.awaitSent(startOrder, starts+1)
		d.setUnreachable("i-1", false)
		time.Sleep(100 * time.Millisecond)
		setIncarnation(0)
		time.AfterFunc(600*time.Millisecond, func() { setIncarnation(incarnation) })
		checkNoOverlap(c, is, 5*time.Second)
		is.Equal(d.state(jobA), job.Running)
		is.Equal(len(c.occupied()), 1) // where the first try runs, or elsewhere after its stop
	})
}

// Guards against ends that are never acknowledged, because more were to the former
// incarnation: polls that list them don't wait.
func TestEndsOfANewIncarnationAreAcknowledged(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		i := c.instances["i-0"]
		d := c.startOwner(64)
		c.submit(jobB, smallStep(4))
		time.Sleep(2 * time.Second)
		is.Equal(i.lastAcknowledged(), int64(4))
		i.restart()
		d.view.ResetRegistry(c.registrations())
		time.Sleep(restartSeenAfter)
		c.submit(jobA, smallStep(1))
		time.Sleep(2 * time.Second)
		is.Equal(d.state(jobA), job.Completed)
		i.mu.Lock()
		defer i.mu.Unlock()
		is.Equal(len(i.ended), 0)
	})
}
