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

// backlog is the number of submissions that the owner has yet to read.
const backlog = 200

// fallBehind blocks the owner's reads and submits jobs.
func fallBehind(c *cluster, d *daemon) {
	d.log.SetFault(func(call string) memstore.Fault {
		if call == "read" {
			return memstore.Refuse
		}
		return memstore.None
	})
	time.Sleep(time.Second)
	for i := range backlog {
		c.submit(fmt.Sprintf("%016x", i+1), smallStep(1))
	}
}

// After an outage many callers query jobs that the owner hasn't read yet. One
// read must serve them all: a read per query takes the store's bandwidth from
// the owner's own reads, which then never catch up.
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
		// The read in flight, the one that all queries share, and the owner's own.
		is.True(c.store.RecordsRead()-recordsBefore <= 3*backlog)
	})
}

// The size of a read is limited: a job beyond the first read must be found too.
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
