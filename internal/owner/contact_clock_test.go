package owner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/memstore"
	"github.com/beryltide/beryltide/internal/ownership"
	"github.com/beryltide/beryltide/internal/store"
)

// recordedLoss returns the record of an instance's lost contact, nil if there is none.
func (c *cluster) recordedLoss(id string) []byte {
	page, err := c.store.Client().Newest(c.ctx, ownership.Topic, testUnit, "")
	if err != nil {
		c.t.Fatal(err)
	}
	for _, r := range page.Records {
		if r.Key == lossPrefix+id {
			return r.Value
		}
	}
	return nil
}

// shiftRecordedLoss changes the record of an instance's lost contact to that of a writer
// whose time of day is off by some time.
func (c *cluster) shiftRecordedLoss(id string, by time.Duration) {
	value := c.recordedLoss(id)
	if value == nil {
		return
	}
	fields := map[string]any{}
	if err := msgpack.Unmarshal(value, &fields); err != nil {
		c.t.Fatal(err)
	}
	lapsedBy, ok := fields["LapsedBy"].(int64)
	if !ok {
		c.t.Fatalf("no time of day: %v", fields)
	}
	fields["LapsedBy"] = lapsedBy + by.Milliseconds()
	value, err := msgpack.Marshal(fields)
	if err != nil {
		c.t.Fatal(err)
	}
	c.append(lossPrefix+id, value)
}

// Guards against a task that starts elsewhere before the lease of its run at an instance
// that is cut off has expired, because the owner that recorded the loss and the next one
// disagree about the time of day (review case 6).
func TestRecordedLossDoesntDependOnTheTimeOfDay(t *testing.T) {
	for _, apart := range []time.Duration{-time.Hour, -8 * time.Second, -4 * time.Second, 4 * time.Second, time.Hour} {
		t.Run(apart.String(), func(t *testing.T) {
			inVirtualTime(t, 2, func(c *cluster, is *is.I) {
				d, lease := c.cutOffWithARun(is)
				time.Sleep(2 * time.Second)
				d.unit.Stop()
				c.shiftRecordedLoss("i-0", apart)
				time.Sleep(300 * time.Millisecond)
				c.startOwner(128).setUnreachable("i-0", true)
				checkNoOverlap(c, is, 20*time.Second)
				isWithin(is, c.firstStart(jobA, "i-1").Sub(lease), boundLease, ownership.Grace)
			})
		})
	}
}

// cutOffWithARun starts an owner and a long task at i-0, which it then can't reach, and
// returns the owner and when it last extended the lease there.
func (c *cluster) cutOffWithARun(is *is.I) (*daemon, time.Time) {
	for _, i := range c.instances {
		i.duration = time.Hour
	}
	d := c.startOwner(64)
	d.setUnreachable("i-1", true)
	time.Sleep(ownership.Grace + time.Second) // leases that a former owner could have extended are over
	c.submit(jobA, longStep(1))
	time.Sleep(time.Second)
	is.Equal(c.startsAt("i-0"), 1)
	d.setUnreachable("i-0", true)
	d.setUnreachable("i-1", false)
	for c.recordedLoss("i-0") == nil {
		time.Sleep(50 * time.Millisecond)
	}
	return d, d.lastLease("i-0")
}

// Guards against takeovers in a row that put lapsed leases off by more than each one takes,
// and against ones that bring them forward: owners follow each other at random moments, some
// without a store between measuring and storing, at random differences of their times of day.
// In every other case an append of other changes is always under way.
func TestTakeoversInARowPutALapsedLeaseOffByTheirOwnTimeAtMost(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inVirtualTime(t, 2, func(c *cluster, is *is.I) {
				random := rand.New(rand.NewPCG(seed, 0))
				upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
				appendTime := time.Duration(0)
				if seed%2 == 1 {
					appendTime = 3 * tickInterval
					c.store.Latency = appendTime
				}
				d, lease := c.cutOffWithARun(is)
				if appendTime > 0 {
					go c.keepAppending()
				}
				var allowed time.Duration
				for epoch := int64(128); random.IntN(4) > 0; epoch += 64 {
					time.Sleep(200*time.Millisecond + upTo(2*time.Second))
					held := time.Duration(0)
					if random.IntN(3) == 0 {
						held = d.holdAppends(upTo(2 * time.Second))
					}
					d.unit.Stop()
					c.shiftRecordedLoss("i-0", upTo(time.Hour)-30*time.Minute)
					away := upTo(3 * time.Second)
					time.Sleep(away)
					d = c.startOwner(epoch)
					d.setUnreachable("i-0", true)
					allowed += held + away + lossRecordInterval + 2*tickInterval + 6*appendTime
				}
				checkNoOverlap(c, is, 30*time.Second)
				isWithin(is, c.firstStart(jobA, "i-1").Sub(lease), boundLease, allowed+placementDelay+2*appendTime)
			})
		})
	}
}

// keepAppending submits and cancels jobs that no instance can run, so that an owner always
// has something to record.
func (c *cluster) keepAppending() {
	step := smallStep(1)
	step.Need.CPU = 64_000
	client := c.store.Client()
	for n := 0; c.ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%016x", 0xb00+n)
		data, err := job.EncodeSubmission(&job.Submission{ID: id, Queue: testQueue, Pool: testPool, Steps: []job.Step{step}, AcceptedAt: time.Now().UnixMilli()})
		if err != nil {
			panic(err) // its types can be encoded
		}
		// An append may fail as the test ends.
		_ = client.Append(c.ctx, ownership.Topic, testUnit, []store.Record{{Key: SubmissionPrefix + id, Value: data}, {Key: CancelPrefix + id, Value: []byte{1}}}, nil)
	}
}

// losesAppends loses appends before the store has them.
func losesAppends(call string) memstore.Fault {
	if call == "append" {
		return memstore.LoseCall
	}
	return memstore.None
}

// holdAppends keeps the owner's appends from the store for a time, and returns that time.
func (d *daemon) holdAppends(span time.Duration) time.Duration {
	d.log.SetFault(losesAppends)
	time.Sleep(span)
	d.log.SetFault(nil)
	time.Sleep(2 * retryDelay)
	return span + 2*retryDelay
}

// Guards against a lease that is extended while the store holds a record of lost contact,
// which says that none is: contact returns and is lost again while the store is slow to
// drop the record.
func TestNoLeaseIsExtendedWhileALossIsRecorded(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		d, _ := c.cutOffWithARun(is)
		random := rand.New(rand.NewPCG(1, 0))
		for range 80 {
			d.log.SetFault(nil)
			if random.IntN(2) == 0 {
				d.log.SetFault(losesAppends)
			}
			d.setUnreachable("i-0", random.IntN(2) == 0)
			for range 1 + random.IntN(40) {
				recorded, before := c.recordedLoss("i-0"), d.lastLease("i-0")
				time.Sleep(20 * time.Millisecond)
				if recorded != nil && c.recordedLoss("i-0") != nil {
					is.True(d.lastLease("i-0").Equal(before)) // extended while the record stands
				}
			}
		}
		d.log.SetFault(nil)
		d.setUnreachable("i-0", false)
		time.Sleep(3 * time.Second)
		is.True(c.recordedLoss("i-0") == nil)
		is.True(d.lastLease("i-0").After(time.Now().Add(-2 * time.Second))) // it extends again
	})
}

// Guards against a record that an owner of another version understands as leases that have
// lapsed: an earlier one reads a time of day alone and adds 3 s, and its own record says
// nothing that another clock could rely on.
func TestRecordsOfLostContactOfOtherVersions(t *testing.T) {
	is := is.New(t)
	value, err := msgpack.Marshal(newContactLoss(0))
	is.NoErr(err)
	var earlier struct{ LapsedBy int64 }
	is.NoErr(msgpack.Unmarshal(value, &earlier))
	left := time.Until(time.UnixMilli(earlier.LapsedBy)) + 3*time.Second
	is.True(left > 100*365*24*time.Hour && left < math.MaxInt64/2) // no shorter than its own wait

	for name, c := range map[string]struct {
		record any
		want   time.Duration
	}{
		"of an earlier version": {struct{ LapsedBy int64 }{time.Now().Add(-time.Minute).UnixMilli()}, unknownLeft},
		"of this one":           {newContactLoss(1500 * time.Millisecond), 1500 * time.Millisecond},
		"rounded up":            {newContactLoss(time.Microsecond), time.Millisecond},
		"lapsed":                {newContactLoss(-time.Second), 0},
		"damaged":               {map[string]any{"LeftMS": -7}, 0},
		"too long":              {map[string]any{"LeftMS": int64(math.MaxInt64)}, unknownLeft},
	} {
		value, err := msgpack.Marshal(c.record)
		is.NoErr(err)
		id, l, err := decodeLoss(store.Record{Key: lossPrefix + "i-0", Value: value})
		is.NoErr(err)
		is.Equal(id, "i-0")
		if got := l.left(); got != c.want {
			t.Errorf("%s: %v left, want %v", name, got, c.want)
		}
	}
}

// Guards against an owner that counts on a time of day in an earlier version's record. It
// waits as if nothing was recorded, extends no lease before the record is dropped, and
// records the time that is left in its place.
func TestRecordOfAnEarlierVersionBindsWithoutAClock(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		d, _ := c.cutOffWithARun(is)
		d.unit.Stop()
		value, err := msgpack.Marshal(struct{ LapsedBy int64 }{time.Now().Add(-time.Minute).UnixMilli()})
		is.NoErr(err)
		c.append(lossPrefix+"i-0", value)
		takenOver := time.Now()
		successor := c.startOwner(128)
		successor.setUnreachable("i-0", true)
		time.Sleep(time.Second)
		_, l, err := decodeLoss(store.Record{Key: lossPrefix + "i-0", Value: c.recordedLoss("i-0")})
		is.NoErr(err)
		is.True(l.left() > boundLease && l.left() < ownership.Grace+boundLease)
		checkNoOverlap(c, is, 20*time.Second)
		isWithin(is, c.firstStart(jobA, "i-1").Sub(takenOver), ownership.Grace+boundLease, placementDelay)
		is.True(successor.lastLease("i-0").IsZero())
	})
}
