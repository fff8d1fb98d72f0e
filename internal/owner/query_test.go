package owner

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/memstore"
)

// backlog is how many submissions the owner couldn't read for a while.
const backlog = 200

// fallBehind keeps the owner from reading what is submitted meanwhile.
func fallBehind(c *cluster, d *daemon) {
	d.log.SetFault(func(call string) memstore.Fault {
		if call == "read" {
			return memstore.Refuse
		}
		return memstore.None
	})
	time.Sleep(time.Second)
	for i := range backlog {
		c.submit(fmt.Sprintf("%016x", i+1), small(1))
	}
}

// After an outage many callers ask for jobs that the owner hasn't read yet. One
// read must serve them all: a read for each takes the store's bandwidth from
// the owner's own, which then never catches up.
func TestQueriesShareOneReadOfTheUnit(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		d := c.startOwner(64)
		time.Sleep(100 * time.Millisecond)
		fallBehind(c, d)
		recordsBefore := c.store.RecordsRead()
		d.log.SetFault(nil)
		var wg sync.WaitGroup
		for range 100 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				_ = d.state("00000000000000ff" + "ff")
			}()
		}
		wg.Wait()
		synctest.Wait()
		// The read under way, the one that all wait for, and the owner's own.
		is.True(c.store.RecordsRead()-recordsBefore <= 3*backlog)
	})
}

// A read returns only so much: a job behind it must not be denied.
func TestJobBeyondTheReadLimitIsFound(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		c.store.ReadLimit = 10
		d := c.startOwner(64)
		time.Sleep(100 * time.Millisecond)
		fallBehind(c, d)
		d.log.SetFault(nil)
		is.Equal(d.state(fmt.Sprintf("%016x", backlog)), job.Queued)
	})
}
