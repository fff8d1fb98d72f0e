package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/instance"
	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/ownership"
)

// forBoundAndUnbound runs a test with an owner whose orders reach only the incarnation that
// they name, and with one whose orders name none, as those of earlier versions.
func forBoundAndUnbound(t *testing.T, instances int, test func(c *cluster, d *daemon, is *is.I)) {
	for _, unbound := range []bool{false, true} {
		name := "bound"
		if unbound {
			name = "unbound"
		}
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, instances, func(c *cluster, is *is.I) {
				d := c.startOwner(64)
				if unbound {
					d.setUnbound()
				}
				test(c, d, is)
			})
		})
	}
}

// storeAsEarlierVersion stores a job's progress as an owner of an earlier version does,
// which binds no start.
func (c *cluster) storeAsEarlierVersion(id string) {
	page, err := c.store.Client().Newest(c.ctx, ownership.Topic, testUnit, "")
	if err != nil {
		c.t.Fatal(err)
	}
	newest := map[string][]byte{}
	for _, r := range page.Records {
		newest[r.Key] = r.Value
	}
	submission, err := job.DecodeSubmission(newest[SubmissionPrefix+id])
	if err != nil {
		c.t.Fatal(err)
	}
	j := job.New(submission)
	if err := j.Restore(newest[progressPrefix+id], nil, time.Now()); err != nil {
		c.t.Fatal(err)
	}
	j.EachPlaced(func(_ job.TaskID, t *job.Task) { t.Placement.Bound = false })
	for _, r := range j.Records(c.limits.Record) {
		c.append(progressPrefix+id, r.Value)
	}
}

// restartSeenAfter is when a poll that a restart left without an answer is over and the
// next one has been answered.
const restartSeenAfter = pollWait + unansweredTimeout + pollRetryDelay + 600*time.Millisecond

// Guards against a second run of a task whose instance has restarted under its ID: an
// order meant for the former incarnation extends the lease of the new one by a clock that
// started anew, to the longest lease that an instance grants. Orders are unbound where
// instances tell no incarnation and where the owner is of an earlier version.
func TestLeaseExtendedByTheClockOfAFormerIncarnation(t *testing.T) {
	noIncarnations := func(c *cluster, _ *daemon) {
		for _, i := range c.instances {
			i.incarnation = 0
		}
	}
	earlierVersion := func(_ *cluster, d *daemon) { d.setUnbound() }
	for _, test := range []struct {
		name string
		// before happens before the owner has polled.
		before func(c *cluster, d *daemon)
		// then happens 200 ms after an order by the former clock has started a run.
		then func(c *cluster, d *daemon)
	}{
		{"cut off before the restart is noticed", noIncarnations, func(*cluster, *daemon) {}},
		{"cut off after the restart is noticed", noIncarnations, func(*cluster, *daemon) { time.Sleep(restartSeenAfter) }},
		{"the owner is replaced", earlierVersion, func(c *cluster, d *daemon) {
			d.setHeld(false)
			c.storeAsEarlierVersion(jobA)
			c.startOwner(128).setUnreachable("i-0", true)
		}},
		{"the owner is replaced after the restart is seen", earlierVersion, func(c *cluster, d *daemon) {
			time.Sleep(restartSeenAfter)
			d.setHeld(false)
			c.storeAsEarlierVersion(jobA)
			c.startOwner(128).setUnreachable("i-0", true)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			inVirtualTime(t, 2, func(c *cluster, is *is.I) {
				for _, i := range c.instances {
					i.duration = time.Hour
				}
				d := c.startOwner(64)
				test.before(c, d)
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
// listed its runs: the start was answered before that listing was applied. A bound start
// wasn't answered by that incarnation, so its run is gone.
func TestRunStartedAfterTheListingOfANewIncarnationIsKept(t *testing.T) {
	forBoundAndUnbound(t, 1, func(c *cluster, d *daemon, is *is.I) {
		c.instances["i-0"].duration = time.Hour
		time.Sleep(100 * time.Millisecond)
		c.submit(jobA, longStep(1))
		time.Sleep(100 * time.Millisecond)
		runs := make(chan int)
		d.unit.post(func() {
			sess := d.unit.sessions["i-0"]
			for _, r := range sess.runs {
				r.resolvedAt = time.Now()
				r.bound = !d.transit.unbound
			}
			listing := instance.Listing{Incarnation: sess.incarnation + 1}
			d.unit.onPoll(sess, listing, nil, time.Now().Add(-time.Millisecond))
			runs <- len(sess.runs)
		})
		if d.transit.unbound {
			is.Equal(<-runs, 1)
		} else {
			is.Equal(<-runs, 0)
		}
	})
}

// Guards against a repeat of a start without an answer that reaches the next incarnation,
// though the instance has listed the run: where instances tell no incarnation, the run
// there would be one that no listing has shown.
func TestListedRunIsNotStartedAgain(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		c.instances["i-0"].duration, c.instances["i-0"].incarnation = time.Hour, 0
		d := c.startOwner(64)
		time.Sleep(100 * time.Millisecond)
		c.submit(jobA, longStep(1))
		time.Sleep(2 * time.Second)
		d.unit.post(func() {
			sess := d.unit.sessions["i-0"]
			for id, r := range sess.runs {
				d.unit.sendStart(sess, id, r, "", 1)
			}
		})
		time.Sleep(time.Second)
		is.Equal(d.ordersSent(startOrder), 1)
	})
}
