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

// Guards against a lease past the end of the tenure that it was granted under: the process
// is suspended between a check of the tenure and what the check allowed. The owner is cut
// off from the store, its successor from the instance, and the successor counts on a lease
// that was granted within the former tenure.
func TestSuspendedOwnerExtendsNoLeasePastItsTenure(t *testing.T) {
	const suspended = 2500 * time.Millisecond
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		for _, i := range c.instances {
			i.duration = time.Hour
		}
		former := c.startOwner(64)
		former.setUnreachable("i-1", true)
		time.Sleep(500 * time.Millisecond)
		c.submit(jobA, longStep(1))
		time.Sleep(500 * time.Millisecond)
		is.Equal(c.startsAt("i-0"), 1)
		var sess *session
		is.NoErr(former.unit.do(c.ctx, func() { sess = former.unit.sessions["i-0"] }))
		incarnation := c.instances["i-0"].incarnation
		successor := c.startOwner(128)
		successor.setUnreachable("i-0", true)
		time.Sleep(ownership.Grace - 25*time.Millisecond) // between two checks by the owner itself
		former.suspendNextCheck(suspended)
		time.AfterFunc(25*time.Millisecond, func() { former.setHeld(false) })
		sess.sendOrder(order{
			carriesLease: true, incarnation: incarnation,
			send: func(ctx context.Context, at instance.Registration, lease time.Duration) error {
				return former.Start(ctx, at, instance.Start{Incarnation: incarnation, Task: job.TaskID{Job: jobA}, Run: 1, Fence: 64, Lease: lease})
			},
			done: func(error) {},
		})
		checkNoOverlap(c, is, 20*time.Second)
		is.Equal(c.startsAt("i-1"), 1)
	})
}

// Guards against a lease that is extended although a check fails after the clock was read:
// the tenure has ended, or contact is lost and the expiry may be recorded already.
func TestLeaseIsCheckedAfterItsClockIsRead(t *testing.T) {
	for _, test := range []struct {
		name string
		// happens while the clock is read.
		happens func(sess *session, held *bool)
		err     error
	}{
		{"nothing happens", func(*session, *bool) {}, nil},
		{"the tenure ends", func(_ *session, held *bool) { *held = false }, instance.ErrUnsent},
		{"contact is lost", func(sess *session, _ *bool) { sess.outOfContact.Store(true) }, instance.ErrUnsent},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			u := peakUnit(1, 0, 0)
			u.ctx = t.Context()
			sess, held := u.sessions["i-0"], true
			u.Holds = func(ownership.Tenure) bool { return held }
			u.Clock = func() time.Duration {
				test.happens(sess, &held)
				return time.Minute
			}
			sess.clock.Store(&clockReading{incarnation: 1})
			_, err := sess.extendLease(1)
			is.True(errors.Is(err, test.err))
		})
	}
}

// Guards against leases that are extended past the recorded expiry of a lost contact: the
// deletion of the former loss is confirmed between a failed poll and its handling, and
// allows extensions again.
func TestRecordedLossForbidsExtensions(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		c.instances["i-0"].duration = time.Hour
		d := c.startOwner(64)
		c.submit(jobA, longStep(1))
		time.Sleep(500 * time.Millisecond)
		is.NoErr(d.unit.do(c.ctx, func() {
			sess := d.unit.sessions["i-0"]
			sess.lossRecorded = true
			d.unit.regain(sess, time.Now())
			sess.outOfContact.Store(true) // by the goroutine whose poll fails
			for _, effect := range d.unit.commit.effects {
				effect()
			}
			d.unit.onPollFailed(sess, instance.ErrUnknown, time.Now())
			is.True(sess.lossRecorded)
			is.True(sess.outOfContact.Load())
		}))
	})
}

// Guards against an expiry that is put off by each order that is withheld while contact is
// lost: nothing extends the lease then.
func TestWithheldOrderMovesNoExpiry(t *testing.T) {
	is := is.New(t)
	u := peakUnit(1, 0, 0)
	u.ctx, u.events = t.Context(), make(chan func(), 1)
	u.Clock = func() time.Duration { return time.Minute }
	u.Holds = func(ownership.Tenure) bool { return true }
	sess := u.sessions["i-0"]
	sess.ctx = u.ctx
	sess.target.Store(&sess.reg)
	sess.clock.Store(&clockReading{incarnation: 1})
	sess.outOfContact.Store(true)
	var result error
	sess.sendOrder(order{
		carriesLease: true, incarnation: 1,
		send: func(context.Context, instance.Registration, time.Duration) error { return nil },
		done: func(err error) { result = err },
	})
	(<-u.events)()
	is.True(errors.Is(result, instance.ErrUnsent))
	is.Equal(sess.leaseExpiry.Load(), int64(0))
}

// Guards against a record of lost contact by which the leases of runs that aren't bound
// haven't expired: these count for longer than the others.
func TestRecordedLossCoversUnboundRuns(t *testing.T) {
	for _, bound := range []bool{true, false} {
		inVirtualTime(t, 1, func(c *cluster, is *is.I) {
			c.instances["i-0"].duration = time.Hour
			d := c.startOwner(64)
			c.submit(jobA, longStep(1))
			time.Sleep(500 * time.Millisecond)
			var recorded, want time.Duration
			is.NoErr(d.unit.do(c.ctx, func() {
				sess := d.unit.sessions["i-0"]
				for _, r := range sess.runs {
					r.bound = bound
				}
				want = boundLease
				if !bound {
					want = unboundLease
				}
				sess.leaseExpiry.Store(int64(c.clock() + boundLease))
				sess.unboundExpiry.Store(int64(c.clock() + unboundLease))
				d.unit.onPollFailed(sess, instance.ErrUnknown, time.Now())
				recorded = d.unit.contactLosses["i-0"].left()
			}))
			is.True(recorded > want-2*time.Millisecond)
			is.True(recorded <= want)
		})
	}
}
