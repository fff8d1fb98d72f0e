package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/ownership"
)

const (
	// boundLease is how long a bound run is waited for, by the lease asked for (6 s) and
	// the margin for slow clocks.
	boundLease = 6240 * time.Millisecond
	// unboundLease is the same by the longest lease that an instance grants (10 s).
	unboundLease = 10400 * time.Millisecond
	// placementDelay is the longest time from when a lease has expired until the task has
	// started elsewhere: a tick, a round, its record and the start.
	placementDelay = 2*tickInterval + maxRoundInterval
)

// firstStart returns when a job's first start at an instance was carried out; the zero time
// if none was.
func (c *cluster) firstStart(id, at string) time.Time {
	i := c.instances[at]
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, s := range i.starts {
		if s.task.Job == id {
			return s.at
		}
	}
	return time.Time{}
}

func isWithin(is *is.I, got, from, span time.Duration) {
	is.Helper()
	is.True(got >= from)
	is.True(got <= from+span)
}

// Guards against tasks that wait for longer than the lease of their run can last, and
// against tasks that wait for less. The instance has restarted, and is cut off while a run
// of its next incarnation goes on.
func TestWaitAfterARestartAndACut(t *testing.T) {
	for _, test := range []struct {
		name string
		// tellsNone: instances tell no incarnation, so orders can't be bound.
		tellsNone bool
		want      time.Duration
	}{
		{"bound", false, boundLease},
		{"instances tell no incarnation", true, maxOrderTransit + unboundLease},
	} {
		t.Run(test.name, func(t *testing.T) {
			inVirtualTime(t, 2, func(c *cluster, is *is.I) {
				for _, i := range c.instances {
					i.duration = time.Hour
					if test.tellsNone {
						i.incarnation = 0
					}
				}
				d := c.startOwner(64)
				d.setUnreachable("i-1", true)
				time.Sleep(5 * time.Second)
				c.instances["i-0"].restart()
				d.view.ResetRegistry(c.registrations()) // it writes its new entry
				time.Sleep(restartSeenAfter)
				c.submit(jobA, longStep(1))
				time.Sleep(200 * time.Millisecond)
				is.Equal(c.startsAt("i-0"), 1)
				d.setUnreachable("i-0", true)
				d.setUnreachable("i-1", false)
				checkNoOverlap(c, is, 20*time.Second)
				isWithin(is, c.firstStart(jobA, "i-1").Sub(d.lastLease("i-0")), test.want, placementDelay)
			})
		})
	}
}

// Guards against a wait for a run that can't exist: the task is placed before the restart
// is noticed, and the instance is cut off or the owner replaced. The start was never sent,
// so the task starts elsewhere as soon as the other instance answers.
func TestNoWaitForAStartThatARestartKeptFromBeingSent(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		t.Run(fmt.Sprintf("owner replaced: %v", replaced), func(t *testing.T) {
			inVirtualTime(t, 2, func(c *cluster, is *is.I) {
				for _, i := range c.instances {
					i.duration = time.Hour
				}
				d := c.startOwner(64)
				d.setUnreachable("i-1", true)
				time.Sleep(10 * time.Second)
				c.instances["i-0"].restart()
				time.Sleep(100 * time.Millisecond)
				c.submit(jobA, longStep(1))
				d.awaitSent(startOrder, 1)
				time.Sleep(200 * time.Millisecond)
				is.Equal(c.startsAt("i-0"), 0)
				cut := time.Now()
				if replaced {
					d.setHeld(false)
					d = c.startOwner(128)
				}
				d.setUnreachable("i-0", true)
				d.setUnreachable("i-1", false)
				checkNoOverlap(c, is, 20*time.Second)
				is.Equal(c.startsAt("i-0"), 0)
				isWithin(is, c.firstStart(jobA, "i-1").Sub(cut), 0, unreachableTimeout+pollRetryDelay+placementDelay)
			})
		})
	}
}

// Guards against a successor that waits for the longest lease for runs that are bound, and
// against one that waits for less for the others.
func TestWaitAfterATakeover(t *testing.T) {
	for _, test := range []struct {
		name           string
		earlierVersion bool
		// reached: the instance answers the successor's first polls.
		reached bool
		want    time.Duration
	}{
		{"bound", false, false, ownership.Grace + boundLease},
		{"started by an earlier version", true, false, ownership.Grace + maxOrderTransit + unboundLease},
		{"started by an earlier version, and reached", true, true, unboundLease},
	} {
		t.Run(test.name, func(t *testing.T) {
			inVirtualTime(t, 2, func(c *cluster, is *is.I) {
				for _, i := range c.instances {
					i.duration = time.Hour
				}
				d := c.startOwner(64)
				d.setUnreachable("i-1", true)
				time.Sleep(time.Second)
				c.submit(jobA, longStep(1))
				time.Sleep(200 * time.Millisecond)
				is.Equal(c.startsAt("i-0"), 1)
				d.setHeld(false)
				if test.earlierVersion {
					c.storeAsEarlierVersion(jobA)
				}
				takenOver := time.Now()
				successor := c.startOwner(128)
				if test.reached {
					time.Sleep(time.Second)
				}
				successor.setUnreachable("i-0", true)
				checkNoOverlap(c, is, 20*time.Second)
				isWithin(is, c.firstStart(jobA, "i-1").Sub(takenOver), test.want, placementDelay)
			})
		})
	}
}

// Guards against a task that waits for the answer to its start although a listing shows
// that the start's incarnation has ended: the start is still on its way.
func TestUnansweredStartIsLostWithItsIncarnation(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		for _, i := range c.instances {
			i.duration = time.Hour
		}
		d := c.startOwner(64)
		d.setUnreachable("i-1", true)
		time.Sleep(500 * time.Millisecond)
		d.holdNext(startOrder, "i-0", maxHold)
		c.submit(jobA, longStep(1))
		d.awaitSent(startOrder, 1)
		sent := time.Now()
		c.restart("i-0")
		d.setUnreachable("i-1", false)
		checkNoOverlap(c, is, 3*time.Second)
		is.Equal(c.startsAt("i-0"), 0)
		is.True(c.firstStart(jobA, "i-1").Sub(sent) < maxHold)
	})
}

// Guards against starts that are recorded and refused over and over at an instance whose
// restart an order has shown and no listing has yet, since a poll is still waiting for its
// answer. A stop for the former incarnation must not keep a job from ending either.
func TestNothingStartsBetweenARestartAndItsListing(t *testing.T) {
	for _, test := range []struct {
		name   string
		first  orderKind
		starts int
	}{
		{"shown by a start", startOrder, 2},
		{"shown by a stop", stopOrder, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			inVirtualTime(t, 1, func(c *cluster, is *is.I) {
				i := c.instances["i-0"]
				i.duration = time.Hour
				d := c.startOwner(64)
				time.Sleep(500 * time.Millisecond)
				c.submit(jobB, longStep(1))
				time.Sleep(200 * time.Millisecond)
				is.Equal(c.startsAt("i-0"), 1)
				i.restart()
				i.setDuration(300 * time.Millisecond)
				if test.first == startOrder {
					c.submit(jobA, smallStep(1))
					d.awaitSent(startOrder, 2)
				}
				c.append(CancelPrefix+jobB, []byte{1})
				d.awaitSent(stopOrder, 1)
				if test.first == stopOrder {
					time.Sleep(10 * time.Millisecond)
					c.submit(jobA, smallStep(1))
				}
				time.Sleep(700 * time.Millisecond)
				is.Equal(d.ordersSent(startOrder), test.starts)
				time.Sleep(restartSeenAfter)
				d.view.ResetRegistry(c.registrations()) // it writes its new entry
				time.Sleep(time.Second)
				is.Equal(d.ordersSent(startOrder), test.starts+1)
				is.Equal(d.state(jobA), job.Completed)
				is.Equal(d.state(jobB), job.Cancelled)
				is.NoErr(d.unit.do(c.ctx, func() { is.Equal(len(runsAt(d.unit, "i-0")), 0) }))
			})
		})
	}
}

// Guards against the short lease for a run that its own owner has started and bound, at an
// incarnation whose lease an owner of an earlier version has extended by the clock of the
// former one: the lease is that of all runs there.
func TestLeaseExtendedByAnEarlierVersionHoldsForBoundRuns(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		for _, i := range c.instances {
			i.duration = time.Hour
		}
		former := c.startOwner(64)
		former.setUnbound()
		former.setUnreachable("i-1", true)
		time.Sleep(10 * time.Second)
		c.instances["i-0"].restart()
		c.submit(jobB, longStep(1))
		time.Sleep(200 * time.Millisecond)
		is.Equal(c.startsAt("i-0"), 1) // by the clock of the former incarnation
		former.setHeld(false)
		c.storeAsEarlierVersion(jobB)
		successor := c.startOwner(128)
		successor.setUnreachable("i-1", true)
		time.Sleep(300 * time.Millisecond)
		c.submit(jobA, longStep(1))
		time.Sleep(200 * time.Millisecond)
		is.Equal(c.startsAt("i-0"), 2)
		successor.setUnreachable("i-0", true)
		successor.setUnreachable("i-1", false)
		checkNoOverlap(c, is, 20*time.Second)
		is.Equal(len(c.startsOf(jobA)), 2)
	})
}
