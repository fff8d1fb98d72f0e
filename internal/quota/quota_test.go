package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/beryltide/beryltide/internal/job"
)

const team = "vets"

func limits(cpu int) map[string]job.Resources {
	return map[string]job.Resources{team: {CPU: cpu}}
}

func use(held, running, waiting int) map[string]Use {
	return map[string]Use{team: {Held: job.Resources{CPU: held}, Running: job.Resources{CPU: running}, Waiting: job.Resources{CPU: waiting}}}
}

func TestWaitingPoolGetsCapacityThatOthersLeaveFree(t *testing.T) {
	is := is.New(t)
	pools := []string{"a", "b"}
	l := NewLedger()
	l.Confirm("a", 1, use(0, 0, 90))
	l.Confirm("b", 1, use(50, 10, 0))
	is.Equal(l.Grants("a", limits(100), pools)[team].CPU, 50) // b may still use its grant
	b := l.Grants("b", limits(100), pools)[team].CPU
	is.True(b < 50)
	l.Confirm("b", 1, use(b, 10, 0))
	is.True(l.Grants("a", limits(100), pools)[team].CPU >= 85)
}

// Guards against a pool that waits for little and gets less than a task, while a claim
// many times as large in another pool isn't used.
func TestSmallClaimsAreMetBesideLargeOnes(t *testing.T) {
	is := is.New(t)
	pools := []string{"a", "b", "c"}
	l := NewLedger()
	l.Confirm("a", 1, use(0, 0, 3200))
	l.Confirm("b", 1, use(0, 0, 20))
	l.Confirm("c", 1, use(0, 0, 5000))
	is.Equal(l.Grants("b", limits(100), pools)[team].CPU, 20)
	is.Equal(l.Grants("a", limits(100), pools)[team].CPU, 40)
	is.Equal(l.Grants("c", limits(100), pools)[team].CPU, 40)
	for _, c := range []struct{ total, claim, want int }{{100, 0, 0}, {100, 33, 33}, {100, 40, 33}, {0, 40, 0}, {1, 40, 0}} {
		is.Equal(fairShare(c.total, c.claim, []int{50, 60, c.claim}), c.want)
	}
}

// What no pool claims goes in part to where a team's work is: a pool whose demand grew had
// 0.37 of its team's limit, and half of the limit was unused in pools without work, for
// the 1.6 s in which no leader could move it.
func TestSpareLimitFollowsUse(t *testing.T) {
	is := is.New(t)
	pools := []string{"a", "b", "c", "d"}
	l := NewLedger()
	for _, p := range pools {
		l.Confirm(p, 1, use(0, 0, 0))
	}
	is.Equal(l.Grants("a", limits(100), pools)[team].CPU, 25)
	l.Confirm("a", 1, use(0, 30, 10))
	is.Equal(l.Grants("a", limits(100), pools)[team].CPU, 40+30+7)
	is.Equal(l.Grants("b", limits(100), pools)[team].CPU, 7) // enough to begin
}

// cores returns an amount of CPU.
func cores(n int) job.Resources { return job.Resources{CPU: n} }

// settled returns the grants of pools once the owners have confirmed the leader's, with
// constant reports.
func settled(limit int, pools []string, uses map[string]Use) map[string]int {
	l := NewLedger()
	held := map[string]int{}
	for range 5 {
		for _, p := range pools {
			u := uses[p]
			u.Held = cores(held[p])
			l.Confirm(p, 1, map[string]Use{team: u})
			held[p] = l.Grants(p, limits(limit), pools)[team].CPU
		}
	}
	return held
}

// Guards against work without value left that gets no part of a limit that nobody uses, and
// against such work that gets one ahead of work in time.
func TestWorkBehindGetsWhatWorkInTimeLeaves(t *testing.T) {
	behind := func(unit, all int) Use {
		return Use{Behind: cores(all), OldestBehind: Oldest{Need: cores(unit), Waited: time.Hour}}
	}
	waiting := func(unit, all int) Use {
		return Use{Waiting: cores(all), Oldest: Oldest{Need: cores(unit), Waited: time.Second}}
	}
	pools := []string{"a", "b", "c", "d"}
	for _, c := range []struct {
		name string
		uses map[string]Use
		a, b int // at least
	}{
		{"nothing else", map[string]Use{"a": behind(6, 6)}, 6, 0},
		{"more than half of the limit", map[string]Use{"a": behind(10, 10)}, 10, 0},
		{"a gang in two pools", map[string]Use{"a": behind(10, 10), "b": behind(10, 10)}, 10, 0},
		{"work in time takes all", map[string]Use{"a": behind(6, 100), "b": waiting(1, 16)}, 0, 16},
		{"work in time takes more", map[string]Use{"a": behind(6, 100), "b": waiting(1, 100)}, 0, 16},
		{"work in time leaves some", map[string]Use{"a": behind(6, 100), "b": waiting(1, 10)}, 6, 10},
		{"work in time leaves too little", map[string]Use{"a": behind(6, 100), "b": waiting(1, 12)}, 0, 12},
		{"a large task in time", map[string]Use{"a": behind(1, 100), "b": waiting(12, 12)}, 0, 12},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			grants := settled(16, pools, c.uses)
			is.True(grants["a"] >= c.a)
			is.True(grants["b"] >= c.b)
		})
	}
}

// Guards against a task without value left that needs more than is spare, and keeps a part of
// it from the pools that could use it.
func TestWorkBehindThatCannotStartTakesNothing(t *testing.T) {
	is := is.New(t)
	pools := []string{"a", "b"}
	behind := Use{Behind: cores(12), OldestBehind: Oldest{Need: cores(12), Waited: time.Hour}}
	busy := Use{Running: cores(8)}
	is.Equal(settled(16, pools, map[string]Use{"a": behind, "b": busy})["b"], settled(16, pools, map[string]Use{"b": busy})["b"])
	// Nor does a valued one while half of the limit is in use.
	small := Use{Running: cores(8), Waiting: cores(50), Oldest: Oldest{Need: cores(1), Waited: time.Second}}
	large := Use{Waiting: cores(12), Oldest: Oldest{Need: cores(12), Waited: time.Hour}}
	is.Equal(settled(16, pools, map[string]Use{"a": large, "b": small})["b"], 8+4)
}

// Guards against shares of a limit that are too small for a task in each of several pools:
// none of them could ever start.
func TestSharesAreLargeEnoughForATask(t *testing.T) {
	is := is.New(t)
	pools := []string{"a", "b", "c"}
	one := func(unit int, waited time.Duration) Use {
		return Use{Waiting: cores(unit), Oldest: Oldest{Need: cores(unit), Waited: waited}}
	}
	grants := settled(16, pools, map[string]Use{"a": one(10, time.Second), "b": one(10, 2*time.Second)})
	is.True(grants["b"] >= 10) // the older one
	is.Equal(grants["a"], 6)

	// What one pool runs leaves too little, and goes on being used by small tasks.
	small := Use{Running: cores(7), Waiting: cores(50), Oldest: Oldest{Need: cores(1), Waited: 100 * time.Millisecond}}
	is.Equal(settled(16, pools, map[string]Use{"a": small, "b": one(10, time.Second)})["b"], 4)
	is.Equal(settled(16, pools, map[string]Use{"a": small, "b": one(10, 3*time.Second)})["b"], 9)
	small.Running = cores(6)
	is.Equal(settled(16, pools, map[string]Use{"a": small, "b": one(10, 3*time.Second)})["b"], 10)
}

func TestNoGrantRisesBeforeAllOwnersReported(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	is.Equal(l.Grants("a", limits(100), []string{"a", "b"}), nil) // the grant of a stays
	l.Confirm("a", 1, use(30, 0, 100))
	is.Equal(l.Grants("a", limits(100), []string{"a", "b"})[team].CPU, 30)
}

func TestTeamsWithoutALimitAreNotBounded(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.Confirm("a", 1, use(0, 0, 10))
	is.Equal(l.Grants("a", limits(0), []string{"a"})[team], Unlimited)
}

func TestReportOfAFormerOwnerIsIgnored(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	is.True(l.Confirm("a", 2, use(60, 60, 0)))
	is.True(!l.Confirm("a", 1, use(0, 0, 0)))
	l.Confirm("b", 1, use(0, 0, 100))
	is.Equal(l.Grants("b", limits(100), []string{"a", "b"})[team].CPU, 40)
}

// fakeOwner starts what its grant allows. Grants to it and its reports can be lost
// or delayed.
type fakeOwner struct {
	epoch  int64
	number int64
	grant  int
	use    int
}

// The runs of all owners together never exceed the limit, whichever grants and
// reports are lost or delayed, and whenever the leader or an owner changes.
func TestNeverOverTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 100
		pools := []string{"a", "b", "c"}
		owners := map[string]*fakeOwner{}
		for _, p := range pools {
			owners[p] = &fakeOwner{epoch: 1}
		}
		ledger, number := NewLedger(), int64(0)
		var delayed []func()
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			p := rapid.SampledFrom(pools).Draw(t, "pool")
			o := owners[p]
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0: // the leader changes; delayed grants of the former one are refused
				ledger, delayed = NewLedger(), nil
			case 1: // a new owner takes over the runs, without a grant
				owners[p] = &fakeOwner{epoch: o.epoch + 1, use: o.use}
			case 2: // work ends
				o.use = rapid.IntRange(0, o.use).Draw(t, "use")
			case 3: // a delayed grant arrives
				if len(delayed) > 0 {
					delayed[0]()
					delayed = delayed[1:]
				}
			default:
				number++
				poll(t, ledger, pools, p, o, number, limit, &delayed)
			}
			for _, o := range owners {
				if o.use < o.grant {
					o.use = rapid.IntRange(o.use, o.grant).Draw(t, "starts")
				}
			}
			sum := 0
			for _, o := range owners {
				sum += o.use
			}
			if sum > limit {
				t.Fatalf("%d run of %d: %s", sum, limit, fmt.Sprint(owners))
			}
		}
	})
}

func poll(t *rapid.T, ledger *Ledger, pools []string, p string, o *fakeOwner, number int64, limit int, delayed *[]func()) {
	grants := ledger.Grants(p, limits(limit), pools)
	deliver := func() {
		if number <= o.number {
			return
		}
		o.number = number
		if grants != nil {
			o.grant = grants[team].CPU
		}
	}
	switch rapid.IntRange(0, 3).Draw(t, "delivery") {
	case 0: // lost
	case 1: // delayed
		*delayed = append(*delayed, deliver)
	case 2: // the report is lost
		deliver()
	default:
		deliver()
		reported := use(o.grant, o.use, rapid.IntRange(0, 120).Draw(t, "waiting"))
		u := reported[team]
		u.Behind = cores(rapid.IntRange(0, 120).Draw(t, "behind"))
		u.Oldest = Oldest{Need: cores(rapid.IntRange(0, 120).Draw(t, "unit")), Waited: time.Duration(rapid.IntRange(0, 5).Draw(t, "waited")) * time.Second}
		u.OldestBehind = Oldest{Need: cores(rapid.IntRange(0, 120).Draw(t, "unit behind")), Waited: u.Oldest.Waited}
		reported[team] = u
		ledger.Confirm(p, o.epoch, reported)
	}
}
