package owner

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/ownership"
	"github.com/beryltide/beryltide/internal/shortage"
)

// shortUnit is a unit with 16 full cores and jobs of 40 core-seconds waiting, that took
// over a while ago.
func shortUnit(supply Supply) *Unit {
	u := peakUnit(1, 0, 20)
	u.Clock = func() time.Duration { return time.Hour }
	u.Holds = func(ownership.Tenure) bool { return true }
	u.sessions["i-0"].usage.allocated.CPU = 16_000
	u.measureInstances()
	u.setGrants(GrantOrder{Pool: testPool, Supply: supply})
	u.plan(time.Now()) // the backlog is that of the round before
	u.outlooks.updated = time.Time{}
	u.plan(time.Now())
	return u
}

// Guards against refusals where the pool may have capacity, or the owner doesn't know:
// only a known shortage without machines that could come makes an outlook short.
func TestOutlookIsShortOnlyIfNoMachineCanCome(t *testing.T) {
	for _, c := range []struct {
		name   string
		supply Supply
		short  bool
	}{
		{"no machines", Supply{Known: true}, true},
		{"arriving machines", Supply{Known: true, ArrivingCPU: 16_000}, true},
		{"idle machines", Supply{Known: true, Movable: 1}, false},
		{"unknown, as from an earlier version", Supply{}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u := shortUnit(c.supply)
			o, age, err := u.Outlook(testPool)
			is.NoErr(err)
			is.Equal(age, time.Duration(0))
			is.Equal(o.Short, c.short)
			if c.short {
				is.Equal(o.Cores, 16+float64(c.supply.ArrivingCPU)/1000)
				is.True(o.Backlog >= shortage.Backlog)
				is.True(len(o.Levels) > 0)
				is.True(o.Free.CPU <= 0)
				is.Equal(o.Queues[testQueue].MeanWork, u.workByQueue[testQueue].mean)
			}
			other, _, err := u.Outlook("other")
			is.NoErr(err)
			is.True(!other.Short)
		})
	}
}

// A leader that has fallen silent may have machines: after maxSupplyAge the pool isn't
// short for admission.
func TestOutlookOfSilentLeaderIsNotShort(t *testing.T) {
	is := is.New(t)
	u := shortUnit(Supply{Known: true})
	u.Clock = func() time.Duration { return time.Hour + maxSupplyAge + 1 }
	u.outlooks.updated = time.Time{}
	u.plan(time.Now())
	o, _, err := u.Outlook(testPool)
	is.NoErr(err)
	is.True(!o.Short)
}

// After a takeover instances that haven't answered yet seem to be missing: until then, and
// once the tenure is lost, there is no outlook.
func TestNoOutlookAroundATakeover(t *testing.T) {
	is := is.New(t)
	u := shortUnit(Supply{Known: true})
	u.outlooks.latest.Store(nil)
	u.takenOverAt = u.Clock() - outlookDelay + 1
	u.outlooks.updated = time.Time{}
	u.plan(time.Now())
	_, _, err := u.Outlook(testPool)
	is.Equal(err, ErrNotReady)
	u.takenOverAt--
	u.outlooks.updated = time.Time{}
	u.plan(time.Now())
	_, _, err = u.Outlook(testPool)
	is.NoErr(err)
	u.Holds = func(ownership.Tenure) bool { return false }
	_, _, err = u.Outlook(testPool)
	is.Equal(err, ErrNotReady)
}

// A pool whose callers send several times what it can run becomes short for admission, also again
// under a successor, once that knows the instances. In between nobody is told so.
func TestOutlookFollowsTheOwner(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		leader := int64(0)
		overload := func(d *daemon, id int) {
			for range 10 {
				for range 20 {
					id++
					c.submit(fmt.Sprintf("%016x", id), smallStep(4))
				}
				leader++
				_, _, err := d.unit.Grant(c.ctx, GrantOrder{Pool: testPool, Lead: leader, Supply: Supply{Known: true}})
				is.True(err == nil || leader == 1) // it may not have loaded its unit yet
				time.Sleep(400 * time.Millisecond)
			}
		}
		first := c.startOwner(64)
		_, _, err := first.unit.Outlook(testPool)
		is.Equal(err, ErrNotReady)
		overload(first, 0)
		o, age, err := first.unit.Outlook(testPool)
		is.NoErr(err)
		is.True(o.Short)
		is.True(age <= outlookInterval+tickInterval)

		first.setHeld(false)
		first.unit.Stop()
		second := c.startOwner(128)
		_, _, err = first.unit.Outlook(testPool)
		is.Equal(err, ErrNotReady)
		time.Sleep(outlookDelay / 2)
		_, _, err = second.unit.Outlook(testPool)
		is.Equal(err, ErrNotReady)
		overload(second, 1000)
		o, _, err = second.unit.Outlook(testPool)
		is.NoErr(err)
		is.True(o.Short)
	})
}

// A refusal says that the job never runs, so the owner must know of every submission that
// was stored before: also of one that it hasn't read yet, and of a queue that other units
// have jobs of.
func TestStoredSubmissionsAreKnown(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		d := c.startOwner(64)
		time.Sleep(100 * time.Millisecond)
		c.submit(fmt.Sprintf("%016x", 1), smallStep(1))
		time.Sleep(100 * time.Millisecond)
		fallBehind(c, d)
		d.log.SetFault(nil)
		ask := func(route string, id int) bool {
			stored, err := d.unit.Stored(context.Background(), []Submission{{Route: route, ID: fmt.Sprintf("%016x", id)}})
			is.NoErr(err)
			return stored[0]
		}
		route := c.catalog.Queues[testQueue].Route()
		if route == "" {
			route = testQueue
		}
		is.True(ask(route, 1))
		is.True(ask(route, backlog))
		is.True(!ask(route, 0xff_ffff))
		is.True(ask("another queue", 0xff_ffff)) // other units may have jobs of it
		d.unit.QueueUnits.Learn(route, otherUnit)
		is.True(ask(route, 0xff_ffff))
		synctest.Wait()
	})
}

// The outlook of a whole pool must cost little beside the rounds.
func BenchmarkOutlook(b *testing.B) {
	u := peakUnit(700, 3000, 250)
	u.Clock = func() time.Duration { return time.Hour }
	u.setGrants(GrantOrder{Pool: testPool, Supply: Supply{Known: true}})
	u.measureInstances()
	now := time.Now()
	u.plan(now)
	u.backlog[testPool] = 10 * time.Second
	for b.Loop() {
		u.outlooks.updated = time.Time{}
		u.updateOutlooks(u.View.Catalog(), now)
	}
}
