package owner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/machine"
	"github.com/beryltide/beryltide/internal/rebalance"
	"github.com/beryltide/beryltide/internal/schedule"
)

const sparePool = "spare"

// limitedUnit is a unit whose instances of 16 cores each run two tasks of a long-running
// step, as many as may run on one instance, and nothing else.
func limitedUnit(instances int) (*Unit, *entry) {
	u := peakUnit(instances, 0, 0)
	u.loaded = true
	step := job.Step{Count: 2 * instances, Lasting: true, Need: job.Resources{CPU: 1000, Memory: 1000}, PerInstance: 2, MayMiss: 1}
	e := newEntry(&job.Submission{ID: "service", Queue: testQueue, Pool: testPool, Steps: []job.Step{step}})
	u.addEntry(e)
	e.job.Advance(time.Now())
	for _, sess := range u.sessions {
		clear(sess.runs)
		sess.usage = usage{}
	}
	for index := range step.Count {
		u.startAt(e, index, fmt.Sprint("i-", index/2))
	}
	u.measureInstances()
	return u, e
}

func (u *Unit) startAt(e *entry, index int, at string) {
	id := job.TaskID{Job: e.job.ID(), Index: index}
	e.job.Place(id, 1, job.Placement{Instance: at})
	u.sessions[at].addRun(id, &run{number: 1, need: e.job.Step(id).Allocation(), step: e.job.Step(id), resolvedAt: time.Now(), percent: servingPercent})
}

// ordered returns how many machines of the spare pool the leader sends to the unit's pool.
func ordered(u *Unit, now time.Time) int {
	s := rebalance.Snapshot{
		Machines: map[string]machine.Machine{}, Demand: map[string]rebalance.Demand{testPool: u.demand(testPool, now)},
		SparePool: sparePool, BaseSizes: map[string]int{testPool: len(u.sessions)},
	}
	for id, sess := range u.sessions {
		s.Machines["m-"+id] = machine.Machine{Name: "m-" + id, Pool: testPool, State: machine.Up, Instance: id, Capacity: sess.reg.Capacity}
	}
	for n := range 4 {
		name := fmt.Sprint("m-spare-", n)
		s.Machines[name] = machine.Machine{Name: name, Pool: sparePool, State: machine.Up, Capacity: job.Resources{CPU: 16_000, Memory: 32_000}}
	}
	moves := 0
	for _, m := range rebalance.Plan(s) {
		if m.To == testPool {
			moves++
		}
	}
	return moves
}

// A long-running task was stopped to empty its instance, and the limit of tasks on one
// instance kept it from all others, which had free capacity: it had no run until the pool's
// next demand peak.
func TestLimitOnOneInstanceLeavesALongRunningTaskWithoutARun(t *testing.T) {
	is := is.New(t)
	u, e := limitedUnit(3)
	now := time.Now()
	is.Equal(ordered(u, now), 0)
	u.sessions["i-0"].cordonRenewedAt = now
	id := job.TaskID{Job: "service"}
	u.endRun(u.sessions["i-0"], id, job.EndStopped, "", now)
	u.plan(now)
	is.Equal(e.job.Task(id).Phase, job.Waiting)
	is.Equal(ordered(u, now), 1)
}

// Maintenance stopped a task that had no other place, though the disruption budget kept the
// next one there: the instance could not be emptied, and the task had no run meanwhile.
func TestTaskWithoutAnotherPlaceIsStoppedOnlyToEmptyItsInstance(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ mayMiss, stopped int }{{1, 0}, {2, 2}} {
		u, e := limitedUnit(3)
		e.job.Submission.Steps[0].MayMiss = c.mayMiss
		now := time.Now()
		sess := u.sessions["i-0"]
		is.True(!u.release(sess, u.nodes(testPool, now), now))
		is.True(!u.release(sess, u.nodes(testPool, now), now))
		stopped := 0
		for _, r := range sess.runs {
			if r.stopping {
				stopped++
			}
		}
		is.Equal(stopped, c.stopped)
		is.Equal(ordered(u, now) == 1, stopped == 0) // the tasks move once the machine is there
	}
	u, e := limitedUnit(3)
	now := time.Now()
	// Its two tasks there may be away at once, but not those of another job.
	other := newEntry(&job.Submission{ID: "other", Queue: testQueue, Pool: testPool, Steps: slices.Clone(e.job.Submission.Steps)})
	e.job.Submission.Steps[0].MayMiss = 2
	u.addEntry(other)
	other.job.Advance(now)
	for index := range other.job.Submission.Steps[0].Count {
		u.startAt(other, index, fmt.Sprint("i-", index/2))
	}
	u.release(u.sessions["i-0"], u.nodes(testPool, now), now)
	for _, r := range u.sessions["i-0"].runs {
		is.True(!r.stopping)
	}

	u, _ = limitedUnit(4)
	u.endRun(u.sessions["i-3"], job.TaskID{Job: "service", Index: 7}, job.EndDone, "", now)
	u.release(u.sessions["i-0"], u.nodes(testPool, now), now)
	is.Equal(ordered(u, now), 1) // one of its two tasks has a place
}

// Guards against a machine that is ordered only once the leases of a lost instance have
// expired: its long-running tasks then had no run for two seconds longer.
func TestLostInstanceIsReplacedBeforeItsLeasesExpire(t *testing.T) {
	is := is.New(t)
	u, _ := limitedUnit(3)
	now := time.Now()
	sess := u.sessions["i-0"]
	sess.unreachable, sess.lastContact = true, now.Add(-contactTimeout/2)
	is.Equal(ordered(u, now), 0)
	is.Equal(ordered(u, now.Add(contactTimeout)), 1)
}

// Guards against a wait that operators can't see: its reason was "room" beside free capacity,
// and was told once for each job.
func TestWaitOfALongRunningTaskIsLogged(t *testing.T) {
	is := is.New(t)
	u, _ := limitedUnit(2)
	core, logs := observer.New(zap.InfoLevel)
	u.Logger = zap.New(core)
	now := time.Now()
	u.endRun(u.sessions["i-0"], job.TaskID{Job: "service"}, job.EndStopped, "", now)
	for _, after := range []time.Duration{0, 1, 2, 3, 4} {
		u.sessions["i-0"].cordonRenewedAt = now.Add(after * time.Second)
		u.plan(now.Add(after * time.Second))
	}
	is.Equal(logs.FilterMessage("job.waits").Len(), 1)
	waits := logs.FilterMessage("long_running.waits").All()
	is.Equal(len(waits), 2) // at 2 and 4 s
	is.Equal(waits[0].ContextMap()["reason"], string(schedule.ByInstanceLimit))
}
