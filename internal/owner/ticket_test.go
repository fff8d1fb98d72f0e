package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/job"
)

// ticket returns the advisor's ticket for the instance, which is valid for the present
// incarnation alone.
func (i *fakeInstance) ticket() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.ticketNow()
}

// ticketNow is ticket for callers that hold the mutex.
func (i *fakeInstance) ticketNow() string { return fmt.Sprint("ticket for ", i.incarnation) }

// Guards against starts that a restarted instance refuses, one after the other, since their
// ticket is for its former incarnation.
func TestTicketsForAFormerIncarnationAreNotUsed(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		c.catalog.Queues[testQueue].Advised = true
		i := c.instances["i-0"]
		i.duration = 700 * time.Millisecond
		d := c.startOwner(64)
		c.submit(jobA, smallStep(2))
		time.Sleep(500 * time.Millisecond)
		is.Equal(c.startsAt("i-0"), 2)
		i.closesConnections = true
		i.restart()
		d.view.ResetRegistry(c.registrations())
		time.Sleep(5 * time.Second)
		is.Equal(d.state(jobA), job.Completed)
		i.mu.Lock()
		defer i.mu.Unlock()
		is.Equal(i.invalidTickets, 0)
	})
}

// Guards against a task that waits for ever although its policy allows an instance: it was
// refused for the former incarnation, which was of another kind, and isn't asked about again.
func TestPolicyIsAskedAgainAboutANewIncarnation(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		c.catalog.Queues[testQueue].Advised = true
		d := c.startOwner(64)
		d.mu.Lock()
		d.refusedByPolicy = true
		d.mu.Unlock()
		c.submit(jobA, smallStep(1))
		time.Sleep(3 * time.Second)
		d.mu.Lock()
		is.Equal(d.adviceQueries, 1)
		d.refusedByPolicy = false // of the next incarnation
		d.mu.Unlock()
		c.restart("i-0")
		d.view.ResetRegistry(c.registrations())
		time.Sleep(5 * time.Second)
		is.Equal(d.state(jobA), job.Completed)
		d.mu.Lock()
		defer d.mu.Unlock()
		is.Equal(d.adviceQueries, 2)
	})
}
