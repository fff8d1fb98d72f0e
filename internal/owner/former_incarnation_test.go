package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/job"
)

// The tests below assume of an order that is meant for a former incarnation: its connection
// is opened after the restart and within the 400 ms that opening takes at most, the order
// is sent on it at once, and the former incarnation's connections are closed as it ends.

const jobB = "00000000000000bb"

// opening is how long a held order opens its connection.
const opening = 400 * time.Millisecond

// restart restarts an instance, whose end closes its connections.
func (c *cluster) restart(id string) {
	i := c.instances[id]
	i.closesConnections = true
	i.restart()
}

// endRunsAfter makes the present runs end after a time.
func (i *fakeInstance) endRunsAfter(left time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, r := range i.runs {
		r.endsAt = time.Now().Add(left)
	}
}

func (i *fakeInstance) setDuration(duration time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.duration = duration
}

// awaitSent waits until the daemon has sent a number of orders of a kind.
func (d *daemon) awaitSent(kind orderKind, number int) {
	for limit := time.Now().Add(time.Second); d.ordersSent(kind) < number; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			d.cluster.t.Fatalf("%d orders of kind %s were sent, want %d", d.ordersSent(kind), kind, number)
		}
	}
}

// Guards against a task that runs again although it was done: an acknowledgement for the
// former incarnation makes the next one discard its end of the same number. The
// acknowledgement opens a new connection, 20 ms before the instance restarts.
func TestAcknowledgementForAFormerIncarnationDiscardsNoEnd(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		i := c.instances["i-0"]
		d := c.startOwner(64)
		time.Sleep(500 * time.Millisecond)
		i.setDuration(100 * time.Millisecond)
		c.submit(jobB, smallStep(1))
		d.awaitSent(startOrder, 1)
		time.Sleep(10 * time.Millisecond)
		polls := d.ordersSent(pollOrder)
		d.holdNext(pollOrder, "i-0", opening)
		d.awaitSent(pollOrder, polls+1)
		is.Equal(d.state(jobB), job.Completed)
		time.Sleep(20 * time.Millisecond)
		c.restart("i-0")
		i.setDuration(50 * time.Millisecond)
		c.submit(jobA, smallStep(1))
		time.Sleep(time.Second)
		d.view.ResetRegistry(c.registrations()) // it writes its new entry
		time.Sleep(5 * time.Second)
		is.Equal(d.state(jobA), job.Completed)
		is.Equal(c.completions(jobA), 1)
	})
}

// Guards against a second run of a task by a repeated start that is on its way while the
// instance restarts: its run was listed by the former incarnation, is taken for lost with
// it and placed elsewhere, and then starts at the next one. The first try was carried out
// and got no answer.
func TestRepeatedStartForAFormerIncarnationRunsNowhere(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		i := c.instances["i-0"]
		i.duration = 950 * time.Millisecond
		d := c.startOwner(64)
		d.setUnreachable("i-1", true)
		time.Sleep(850 * time.Millisecond) // so that no poll is answered between the two tries
		c.submit(jobB, smallStep(1))       // its end makes the instance answer a poll
		d.awaitSent(startOrder, 1)
		time.Sleep(300 * time.Millisecond)
		i.setDuration(time.Hour)
		c.instances["i-1"].setDuration(time.Hour)
		i.mu.Lock()
		i.startDelay = time.Millisecond
		i.mu.Unlock()
		c.submit(jobA, longStep(1))
		d.awaitSent(startOrder, 2)
		d.setUnreachable("i-1", false)
		d.holdNext(startOrder, "i-0", opening)
		d.awaitSent(startOrder, 3)
		time.Sleep(130 * time.Millisecond)
		is.Equal(c.startsAt("i-0"), 2) // the first try was carried out
		is.Equal(d.state(jobB), job.Completed)
		c.restart("i-0")
		checkNoOverlap(c, is, 3*time.Second)
		is.Equal(c.startsAt("i-1"), 1)
		is.Equal(d.state(jobA), job.Running)
	})
}

// Guards against a second run of a task by a start of a former owner that is on its way
// while the instance restarts: the successor has raised the fence at the former
// incarnation, which didn't list the run, and has started the task elsewhere. The unit is
// handed over while the start opens its connection, the ends of other runs make the
// instance answer the successor's second poll, and then the successor loses contact.
func TestStartOfAFormerOwnerForAFormerIncarnationRunsNowhere(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		for _, i := range c.instances {
			i.duration = time.Hour
		}
		former := c.startOwner(64)
		former.setUnreachable("i-1", true)
		time.Sleep(500 * time.Millisecond)
		c.instances["i-0"].outcome = job.EndFailed // so that the successor prefers i-1
		c.submit(jobB, smallStep(2))
		former.awaitSent(startOrder, 2)
		time.Sleep(10 * time.Millisecond)
		former.holdNext(startOrder, "i-0", opening)
		c.submit(jobA, longStep(1))
		former.awaitSent(startOrder, 3)
		former.setHeld(false)
		former.unit.Stop()
		c.instances["i-0"].endRunsAfter(230 * time.Millisecond)
		successor := c.startOwner(128)
		successor.awaitSent(startOrder, 3)
		c.restart("i-0")
		successor.setUnreachable("i-0", true)
		checkNoOverlap(c, is, 20*time.Second)
		is.Equal(c.startsAt("i-0"), 2) // those of the other job
		is.Equal(len(c.startsOf(jobA)), 1)
	})
}

// Guards against a run of a cancelled job by a start that is on its way while the instance
// restarts: only the former incarnation has taken the stop.
func TestStoppedStartForAFormerIncarnationRunsNowhere(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		c.instances["i-0"].duration = time.Hour
		d := c.startOwner(64)
		time.Sleep(500 * time.Millisecond)
		d.holdNext(startOrder, "i-0", opening)
		c.submit(jobA, longStep(1))
		d.awaitSent(startOrder, 1)
		c.append(CancelPrefix+jobA, []byte{1})
		d.awaitSent(stopOrder, 1)
		time.Sleep(2 * time.Millisecond)
		c.restart("i-0")
		time.Sleep(3 * time.Second)
		is.Equal(c.startsAt("i-0"), 0)
		is.Equal(d.state(jobA), job.Cancelled)
	})
}
