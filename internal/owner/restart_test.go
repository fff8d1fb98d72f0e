package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/instance"
)

// Guards against a second run of a task whose instance has restarted under its ID: an
// order meant for the former incarnation extends the lease of the new one by a clock that
// started anew, to the longest lease that an instance grants.
func TestLeaseExtendedByTheClockOfAFormerIncarnation(t *testing.T) {
	for _, test := range []struct {
		name string
		// then happens 200 ms after an order by the former clock has started a run.
		then func(c *cluster, d *daemon)
	}{
		{"cut off before the restart is seen", func(*cluster, *daemon) {}},
		{"cut off after the restart is seen", func(*cluster, *daemon) { time.Sleep(2300 * time.Millisecond) }},
		{"the owner is replaced", func(c *cluster, d *daemon) {
			d.setHeld(false)
			c.startOwner(128).setUnreachable("i-0", true)
		}},
		{"the owner is replaced after the restart is seen", func(c *cluster, d *daemon) {
			time.Sleep(2300 * time.Millisecond)
			d.setHeld(false)
			c.startOwner(128).setUnreachable("i-0", true)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
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
				time.Sleep(200 * time.Millisecond)
				is.Equal(c.startsAt("i-0"), 1)
				test.then(c, d)
				d.setUnreachable("i-0", true)
				d.setUnreachable("i-1", false)
				checkNoOverlap(c, is, 20*time.Second)
				is.Equal(c.startsAt("i-1"), 1)
			})
		})
	}
}

// Guards against a second run of a task that a restarted instance has started after it
// listed its runs: the start was answered before that listing was applied.
func TestRunStartedAfterTheListingOfANewIncarnationIsKept(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		c.instances["i-0"].duration = time.Hour
		d := c.startOwner(64)
		time.Sleep(100 * time.Millisecond)
		c.submit(jobA, longStep(1))
		time.Sleep(100 * time.Millisecond)
		runs := make(chan int)
		d.unit.post(func() {
			sess := d.unit.sessions["i-0"]
			for _, r := range sess.runs {
				r.resolvedAt = time.Now()
			}
			listing := instance.Listing{Incarnation: sess.incarnation + 1}
			d.unit.onPoll(sess, listing, nil, time.Now().Add(-time.Millisecond))
			runs <- len(sess.runs)
		})
		is.Equal(<-runs, 1)
	})
}

// Guards against a repeat of a start without an answer that reaches the next incarnation,
// though the instance has listed the run: its lease there would not be waited out.
func TestListedRunIsNotStartedAgain(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		c.instances["i-0"].duration = time.Hour
		d := c.startOwner(64)
		time.Sleep(100 * time.Millisecond)
		c.submit(jobA, longStep(1))
		time.Sleep(2 * time.Second)
		repeated := make(chan bool, 1)
		d.unit.post(func() {
			sess := d.unit.sessions["i-0"]
			for id, r := range sess.runs {
				d.unit.sendStart(sess, id, r, "", 1)
				repeated <- r.starting
			}
		})
		is.Equal(<-repeated, false)
	})
}
