package owner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/beryltide/beryltide/internal/catalog"
	"github.com/beryltide/beryltide/internal/shortage"
)

// Outlooks answer this load pattern: for seconds, callers submit more work than a pool
// can complete while it is of use, although machines are on their way. The daemons that
// take submissions refuse what would come too late, by an outlook of the pool's owner.

const (
	// outlookInterval is the shortest time between two outlooks of a unit.
	outlookInterval = 500 * time.Millisecond
	// outlookDelay is the time after a takeover from which a unit has outlooks: until
	// then instances that haven't answered yet seem to be missing.
	outlookDelay = 3 * time.Second
	// maxSupplyAge is the age above which what the leader knows of machines isn't used.
	maxSupplyAge = 2 * time.Second
	// growthWindow is the time over which a pool's growth is measured.
	growthWindow = 2 * time.Second
)

// Supply is what the leader knows of the machines that may come to a pool. It is sent
// between daemons under its field names.
type Supply struct {
	// Known is set if the leader knows the machines, or there is nothing that moves them.
	Known bool
	// ArrivingCPU is the capacity on its way to the pool, in thousandths of a core.
	ArrivingCPU int
	// Movable is the number of idle machines that could move to the pool.
	Movable int
}

type knownSupply struct {
	Supply
	at time.Duration
}

// outlooks are a unit's outlooks by pool, and the capacities that they are based on.
type outlooks struct {
	latest   atomic.Pointer[timedOutlooks]
	updated  time.Time
	measured map[string][]measuredCores
}

// timedOutlooks are outlooks at a time on the boot clock. Other pools aren't short.
type timedOutlooks struct {
	byPool map[string]shortage.Outlook
	at     time.Duration
}

type measuredCores struct {
	cores float64
	at    time.Time
}

// Outlook returns the last outlook of a pool and its age. It returns ErrNotReady if the
// unit has none.
func (u *Unit) Outlook(pool string) (shortage.Outlook, time.Duration, error) {
	latest := u.outlooks.latest.Load()
	if latest == nil || !u.holds() {
		return shortage.Outlook{}, 0, ErrNotReady
	}
	return latest.byPool[pool], u.Clock() - latest.at, nil
}

// Submission names a submission by the route of its queue and its ID.
type Submission struct{ Route, ID string }

// Stored reports which submissions may be stored: those that the unit has read, as of a
// read to its end, and those of queues of which other units may have jobs.
func (u *Unit) Stored(ctx context.Context, submissions []Submission) ([]bool, error) {
	if err := u.readToEnd(ctx); err != nil {
		return nil, ErrNotReady
	}
	return u.lookUpStored(ctx, submissions)
}

func (u *Unit) lookUpStored(ctx context.Context, submissions []Submission) ([]bool, error) {
	return ask(ctx, u, func() ([]bool, error) {
		if !u.holds() || !u.loaded {
			return nil, ErrNotReady
		}
		stored := make([]bool, len(submissions))
		for n, s := range submissions {
			units := u.QueueUnits.Units(s.Route)
			_, unreadable := u.unreadable[s.ID]
			stored[n] = u.jobs[s.ID] != nil || unreadable || u.earlyCancels[s.ID] || len(units) != 1 || units[0] != u.tenure.Unit
		}
		return stored, nil
	})
}

// updateOutlooks computes the outlooks of the pools with waiting work.
func (u *Unit) updateOutlooks(c *catalog.Catalog, now time.Time) {
	if now.Sub(u.outlooks.updated) < outlookInterval {
		return
	}
	u.outlooks.updated = now
	measured := map[string][]measuredCores{}
	byPool := map[string]shortage.Outlook{}
	for pool, cores := range u.outlookCores(now) {
		history := append(u.outlooks.measured[pool], measuredCores{cores: cores, at: now})
		for now.Sub(history[0].at) > growthWindow {
			history = history[1:]
		}
		measured[pool] = history
		if o := u.outlook(c, pool, shortage.ExpectedCores(cores+float64(u.supplies[pool].ArrivingCPU)/1000, growth(history)), now); o.Short {
			byPool[pool] = o
		}
	}
	u.outlooks.measured = measured
	if u.Clock()-u.takenOverAt >= outlookDelay {
		u.outlooks.latest.Store(&timedOutlooks{byPool: byPool, at: u.Clock()})
	}
}

// growth returns how many cores a pool got per second.
func growth(history []measuredCores) float64 {
	first, last := history[0], history[len(history)-1]
	if took := last.at.Sub(first.at); took > 0 {
		return (last.cores - first.cores) / took.Seconds()
	}
	return 0
}

// outlookCores returns the capacity of each pool's instances, without what long-running
// tasks take. Instances out of contact may come back, so they count.
func (u *Unit) outlookCores(now time.Time) map[string]float64 {
	outOfService := u.View.OperatorState().OutOfService
	cores := map[string]float64{}
	for _, sess := range u.sessions {
		if sess.listed && !sess.reg.Draining && !sess.cordoned(now) && !outOfService[sess.reg.DataCentre] {
			cores[sess.reg.Pool] += float64(sess.reg.Capacity.CPU-allocated(sess.usage.longRunningAllocation, sess.reg.Capacity).largest()) / 1000
		}
	}
	return cores
}
