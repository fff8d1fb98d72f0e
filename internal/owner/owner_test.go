package owner

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/beryltide/beryltide/internal/instance"
	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/memstore"
)

const jobA = "00000000000000aa"

func smallStep(count int) job.Step {
	return job.Step{Count: count, Need: job.Resources{CPU: 1000, Memory: 100}, Estimate: 300 * time.Millisecond}
}

// longStep returns a step with an estimate of an hour. The fake instance sets the
// duration.
func longStep(count int) job.Step {
	step := smallStep(count)
	step.Estimate = time.Hour
	return step
}

// inVirtualTime runs a test with a fake clock that advances only while all
// goroutines are blocked.
func inVirtualTime(t *testing.T, instances int, test func(c *cluster, is *is.I)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, instances)
		defer func() {
			c.cancel()
			time.Sleep(time.Minute) // lets calls in flight end
			synctest.Wait()
		}()
		test(c, is.New(t))
	})
}

func TestJobRunsStepByStep(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		d := c.startOwner(64)
		second := smallStep(2)
		second.After = []int{0}
		c.submit(jobA, smallStep(3), second)
		time.Sleep(100 * time.Millisecond)
		is.Equal(d.state(jobA), job.Running)
		time.Sleep(time.Second)
		is.Equal(d.state(jobA), job.Completed)
		is.Equal(len(c.startsOf(jobA)), 5)
	})
}

func TestUnknownJobIsReportedOnlyAfterAFullRead(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		d := c.startOwner(64)
		time.Sleep(100 * time.Millisecond)
		is.Equal(d.state("00000000000000bb"), job.State(ErrNoJob.Error()))
		d.log.SetFault(func(string) memstore.Fault { return memstore.LoseCall })
		time.Sleep(3 * time.Second)
		is.Equal(d.state("00000000000000bb"), job.State(ErrNotReady.Error()))
	})
}

// A job must be known from its acceptance on, even if its owner reads it later.
func TestJobIsKnownOnceStored(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		d := c.startOwner(64)
		time.Sleep(100 * time.Millisecond)
		d.log.SetFault(func(call string) memstore.Fault {
			time.Sleep(300 * time.Millisecond) // delays the owner's reads
			return memstore.None
		})
		time.Sleep(500 * time.Millisecond)
		c.submit(jobA, smallStep(1))
		is.Equal(d.state(jobA), job.Queued)
	})
}

func TestSuccessorAdoptsRuns(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		for _, i := range c.instances {
			i.duration = 2 * time.Second
		}
		first := c.startOwner(64)
		c.submit(jobA, smallStep(4))
		time.Sleep(500 * time.Millisecond)
		first.unit.Stop()
		second := c.startOwner(128)
		time.Sleep(3 * time.Second)
		is.Equal(second.state(jobA), job.Completed)
		is.Equal(len(c.startsOf(jobA)), 4) // none ran again
	})
}

// A former owner that keeps sending orders after its unit was reassigned must
// neither start tasks nor acknowledge ends that its successor hasn't applied.
func TestFormerOwnerIsFenced(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		first := c.startOwner(64)
		c.submit(jobA, smallStep(2))
		time.Sleep(150 * time.Millisecond)
		second := c.startOwner(128)
		time.Sleep(100 * time.Millisecond)
		for n := range 20 {
			c.submit(fmt.Sprintf("%016x", 0xb00+n), smallStep(2))
		}
		time.Sleep(10 * time.Second)
		is.Equal(second.state(jobA), job.Completed)
		for n := range 20 {
			id := fmt.Sprintf("%016x", 0xb00+n)
			is.Equal(second.state(id), job.Completed)
			is.Equal(len(c.startsOf(id)), 2)
		}
		is.True(first.unit.ctx.Err() != nil) // it has detected the loss
	})
}

// An instance that only the former owner can reach may still run that owner's
// tasks. The successor must wait until the leases there have expired.
func TestTasksAtAnUnreachableInstanceWaitForItsLease(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		for _, i := range c.instances {
			i.duration = time.Hour
		}
		first := c.startOwner(64)
		c.submit(jobA, longStep(8)) // takes up both instances
		time.Sleep(500 * time.Millisecond)
		is.Equal(len(c.startsOf(jobA)), 8)
		// The former owner can't reach the store and goes on extending leases until
		// its tenure ends. The successor can't reach i-0.
		first.log.SetFault(func(string) memstore.Fault { return memstore.LoseCall })
		c.instances["i-1"].mu.Lock()
		c.instances["i-1"].duration = 100 * time.Millisecond
		for _, r := range c.instances["i-1"].runs {
			r.endsAt = time.Now()
		}
		c.instances["i-1"].mu.Unlock()
		second := c.startOwner(128)
		second.setUnreachable("i-0", true)
		time.AfterFunc(2900*time.Millisecond, func() { first.setHeld(false) })
		checkNoOverlap(c, is, 20*time.Second)
		is.Equal(second.state(jobA), job.Completed)
	})
}

// checkNoOverlap checks for the given time that no task runs at two instances
// at once.
func checkNoOverlap(c *cluster, is *is.I, span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		seen := map[job.TaskID]string{}
		for id, i := range c.instances {
			i.mu.Lock()
			i.advance()
			for task := range i.runs {
				if other, found := seen[task]; found {
					i.mu.Unlock()
					is.Equal(other, id) // a task runs twice
					return
				}
				seen[task] = id
			}
			i.mu.Unlock()
		}
	}
}

// Guards against consecutive takeovers that each wait again for the leases of
// an unreachable instance to expire, also of runs that an earlier version has started.
func TestConsecutiveTakeoversDontProlongALoss(t *testing.T) {
	forBoundAndUnbound(t, 2, func(c *cluster, d *daemon, is *is.I) {
		earlierVersion := d.transit.unbound
		for _, i := range c.instances {
			i.duration = time.Hour
		}
		longRunning := longStep(8)
		longRunning.Lasting = true
		c.submit(jobA, longRunning)
		time.Sleep(500 * time.Millisecond)
		c.remove("i-0")
		lost := time.Now()
		for epoch := int64(128); time.Since(lost) < 18*time.Second; epoch += 64 {
			d.setUnreachable("i-0", true)
			time.Sleep(2 * time.Second)
			d.unit.Stop()
			if earlierVersion {
				c.storeAsEarlierVersion(jobA)
			}
			d = c.startOwner(epoch)
		}
		d.setUnreachable("i-0", true)
		time.Sleep(time.Second)
		is.NoErr(d.unit.do(c.ctx, func() {
			is.Equal(len(runsAt(d.unit, "i-0")), 0) // the runs there have ended
		}))
	})
}

func runsAt(u *Unit, id string) map[job.TaskID]*run {
	if sess := u.sessions[id]; sess != nil {
		return sess.runs
	}
	return nil
}

// A start that gets no answer may be carried out seconds later. It must not run
// beside the start that replaced it.
func TestLateStartRunsOnce(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		c.instances["i-0"].startDelay = 3 * time.Second // before the first call
		d := c.startOwner(64)
		for n := range 8 {
			c.submit(fmt.Sprintf("%016x", 0xc00+n), smallStep(1))
		}
		checkNoOverlap(c, is, 15*time.Second)
		for n := range 8 {
			id := fmt.Sprintf("%016x", 0xc00+n)
			is.Equal(d.state(id), job.Completed)
			is.Equal(c.completions(id), 1)
		}
	})
}

func TestLostStoreAnswersLoseNoJobs(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		d := c.startOwner(64)
		time.Sleep(50 * time.Millisecond)
		var calls atomic.Int64
		d.log.SetFault(func(call string) memstore.Fault {
			if n := calls.Add(1); call == "append" && n%3 == 0 {
				return memstore.LoseAnswer
			}
			return memstore.None
		})
		for n := range 30 {
			c.submit(fmt.Sprintf("%016x", 0xd00+n), smallStep(2))
		}
		time.Sleep(20 * time.Second)
		for n := range 30 {
			id := fmt.Sprintf("%016x", 0xd00+n)
			is.Equal(d.state(id), job.Completed)
			is.Equal(len(c.startsOf(id)), 2)
		}
	})
}

// While the store is unavailable nothing starts, and running tasks keep their
// lease.
func TestStoreOutageKeepsRunsAlive(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		c.instances["i-0"].duration = 7 * time.Second
		d := c.startOwner(64)
		c.submit(jobA, smallStep(2))
		time.Sleep(200 * time.Millisecond)
		d.log.SetFault(func(string) memstore.Fault { return memstore.Refuse })
		c.submit("00000000000000bb", smallStep(1))
		time.Sleep(6 * time.Second)
		is.Equal(len(c.startsOf("00000000000000bb")), 0)
		d.log.SetFault(nil)
		time.Sleep(3 * time.Second)
		is.Equal(d.state(jobA), job.Completed)
		is.Equal(len(c.startsOf(jobA)), 2)
	})
}

func TestCancelledJobIsStopped(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		c.instances["i-0"].duration = time.Hour
		d := c.startOwner(64)
		c.submit(jobA, longStep(3))
		time.Sleep(200 * time.Millisecond)
		c.append(CancelPrefix+jobA, []byte{1})
		time.Sleep(500 * time.Millisecond)
		is.Equal(d.state(jobA), job.Cancelled)
		c.instances["i-0"].mu.Lock()
		defer c.instances["i-0"].mu.Unlock()
		is.Equal(len(c.instances["i-0"].runs), 0)
	})
}

func TestCancellationReadBeforeItsJobApplies(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		d := c.startOwner(64)
		time.Sleep(50 * time.Millisecond)
		c.append(CancelPrefix+jobA, []byte{1})
		c.submit(jobA, smallStep(1))
		time.Sleep(time.Second)
		is.Equal(d.state(jobA), job.Cancelled)
		is.Equal(len(c.startsOf(jobA)), 0)
	})
}

// An instance at which every task fails must not use up a task's attempts.
func TestFailedTaskRetriesElsewhere(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		c.instances["i-0"].outcome = job.EndFailed
		d := c.startOwner(64)
		for n := range 6 {
			c.submit(fmt.Sprintf("%016x", 0xe00+n), smallStep(1))
		}
		time.Sleep(5 * time.Second)
		for n := range 6 {
			is.Equal(d.state(fmt.Sprintf("%016x", 0xe00+n)), job.Completed)
		}
	})
}

func TestRestartedInstanceLosesItsRuns(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		c.instances["i-0"].duration = time.Hour
		d := c.startOwner(64)
		c.submit(jobA, smallStep(1))
		time.Sleep(300 * time.Millisecond)
		i := c.instances["i-0"]
		i.mu.Lock()
		i.incarnation++
		i.runs, i.lastRun, i.ended, i.lastEndNumber, i.fence = map[job.TaskID]*fakeRun{}, map[job.TaskID]int{}, nil, 0, 0
		i.duration = 100 * time.Millisecond
		i.mu.Unlock()
		d.view.ResetRegistry(c.registrations()) // it writes its new entry
		time.Sleep(3 * time.Second)
		is.Equal(d.state(jobA), job.Completed)
		is.Equal(len(c.startsOf(jobA)), 2)
	})
}

func TestTeamStartsOnlyWithinItsGrant(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		for _, i := range c.instances {
			i.duration = time.Hour
		}
		d := c.startOwner(64)
		s := &job.Submission{ID: jobA, Queue: testQueue, Pool: testPool, Team: testTeam, Steps: []job.Step{smallStep(6)}, AcceptedAt: time.Now().UnixMilli()}
		data, err := job.EncodeSubmission(s)
		is.NoErr(err)
		c.append(SubmissionPrefix+jobA, data)
		time.Sleep(500 * time.Millisecond)
		is.Equal(len(c.startsOf(jobA)), 0) // no grant yet
		d.grant(2500)
		time.Sleep(500 * time.Millisecond)
		is.Equal(len(c.startsOf(jobA)), 2)
		_, _, err = d.unit.Grant(context.Background(), GrantOrder{Pool: testPool, Lead: 0, Number: 1, Grants: map[string]job.Resources{testTeam: {CPU: 9000}}})
		var superseded *SupersededError
		is.True(errors.As(err, &superseded)) // grants of an earlier leader are refused
		is.Equal(superseded.Leader, int64(1))
	})
}

func TestReleaseRespectsMayMiss(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		for _, i := range c.instances {
			i.duration = time.Hour
		}
		longRunning := longStep(2)
		longRunning.Lasting, longRunning.PerInstance, longRunning.MayMiss = true, 1, 1
		d := c.startOwner(64)
		c.submit(jobA, longRunning)
		time.Sleep(1500 * time.Millisecond)
		empty, err := d.unit.Release(context.Background(), []string{"i-0"})
		is.NoErr(err)
		is.Equal(len(empty), 0)
		time.Sleep(time.Second)
		// The other task isn't serving yet, so no task may be stopped.
		c.instances["i-0"].mu.Lock()
		defer c.instances["i-0"].mu.Unlock()
		is.Equal(len(c.instances["i-0"].runs), 1)
	})
}

// A task that was moved must be known to serve soon after it does, since the next move of
// its step waits for it: at one move in 2.6 s a wave was late by two machines.
func TestMovesOfLongRunningTasksFollowEachOther(t *testing.T) {
	const tasks = 8
	inVirtualTime(t, 2*tasks, func(c *cluster, is *is.I) {
		const (
			startup         = 1050 * time.Millisecond
			releaseInterval = 170 * time.Millisecond // so that moves fall into all parts of a poll
		)
		for _, i := range c.instances {
			i.duration, i.startup = time.Hour, startup
		}
		longRunning := longStep(tasks)
		longRunning.Lasting, longRunning.PerInstance, longRunning.MayMiss = true, 1, 1
		d := c.startOwner(64)
		c.submit(jobA, longRunning)
		time.Sleep(4 * time.Second)
		occupied := c.occupied()
		is.Equal(len(occupied), tasks)
		for len(c.startsOf(jobA)) < 2*tasks {
			_, err := d.unit.Release(context.Background(), occupied)
			is.NoErr(err)
			time.Sleep(releaseInterval)
		}
		starts := c.startsOf(jobA)
		slices.SortFunc(starts, func(a, b fakeStart) int { return a.at.Compare(b.at) })
		for n := tasks + 1; n < len(starts); n++ {
			is.True(starts[n].at.Sub(starts[n-1].at) <= startup+2*startupPollWait+releaseInterval)
		}
	})
}

// An owner without recent contact to the store may have a successor, which
// stops as many long-running tasks as their step may miss. The former owner
// must not stop more.
func TestOwnerThatMayHaveASuccessorReleasesNothing(t *testing.T) {
	inVirtualTime(t, 3, func(c *cluster, is *is.I) {
		for _, i := range c.instances {
			i.duration, i.startup = time.Hour, time.Second
		}
		longRunning := longStep(3)
		longRunning.Lasting, longRunning.PerInstance, longRunning.MayMiss = true, 1, 1
		d := c.startOwner(64)
		c.submit(jobA, longRunning)
		time.Sleep(5 * time.Second)
		d.setStoreUnreachable()
		_, err := d.unit.Release(context.Background(), []string{"i-0", "i-1", "i-2"})
		is.Equal(err, ErrNotReady)
		time.Sleep(time.Second)
		is.Equal(len(c.startsOf(jobA)), 3)
		for _, i := range c.instances {
			i.mu.Lock()
			is.Equal(len(i.runs), 1)
			i.mu.Unlock()
		}
	})
}

// A task that a former owner has just stopped is still listed as running for a
// short time. The successor must not count it as serving and stop another one.
func TestSuccessorWaitsForStopsOfTheFormerOwner(t *testing.T) {
	inVirtualTime(t, 3, func(c *cluster, is *is.I) {
		for _, i := range c.instances {
			i.duration, i.startup = time.Hour, time.Second
		}
		longRunning := longStep(3)
		longRunning.Lasting, longRunning.PerInstance, longRunning.MayMiss = true, 1, 1
		c.startOwner(64)
		c.submit(jobA, longRunning)
		time.Sleep(5 * time.Second)
		all := []string{"i-0", "i-1", "i-2"}
		successor := c.startOwner(128)
		time.Sleep(200 * time.Millisecond)
		release := func() int {
			_, err := successor.unit.Release(context.Background(), all)
			is.NoErr(err)
			time.Sleep(50 * time.Millisecond)
			running := 0
			for _, i := range c.instances {
				i.mu.Lock()
				running += len(i.runs)
				i.mu.Unlock()
			}
			return running
		}
		is.Equal(release(), 3)
		time.Sleep(2 * time.Second)
		is.Equal(release(), 2)
	})
}

// The tasks of a queue with a policy start only where the advisor allows, and
// no instance is queried twice.
func TestAdvisedTasksStartWithATicket(t *testing.T) {
	inVirtualTime(t, 3, func(c *cluster, is *is.I) {
		c.catalog.Queues[testQueue].Advised = true
		d := c.startOwner(64)
		c.submit(jobA, smallStep(3))
		time.Sleep(2 * time.Second)
		is.Equal(d.state(jobA), job.Completed)
		is.Equal(c.startsAt("i-0"), 3)
		is.True(d.adviceQueries <= 3) // no instance is queried twice
	})
}

// A long-running task must be moved before its draining instance is gone.
// Otherwise it waits for the lease there to expire.
func TestLongRunningTasksMoveOffADrainingInstance(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		for _, i := range c.instances {
			i.duration = time.Hour
		}
		longRunning := longStep(1)
		longRunning.Lasting = true
		d := c.startOwner(64)
		c.submit(jobA, longRunning)
		time.Sleep(500 * time.Millisecond)
		id := "i-0"
		if c.startsAt("i-1") > 0 {
			id = "i-1"
		}
		c.instances[id].mu.Lock()
		c.instances[id].draining = true
		c.instances[id].mu.Unlock()
		d.view.ApplyRegistry(c.registrations())
		time.Sleep(time.Second)
		is.Equal(len(c.startsOf(jobA)), 2)
		is.Equal(c.startsAt(id), 1)
	})
}

// A restarted instance numbers its ends from 1. They must not be acknowledged
// with the number of an end of the former incarnation.
func TestEndsOfANewIncarnationAreNotAcknowledgedUnread(t *testing.T) {
	forBoundAndUnbound(t, 1, func(c *cluster, d *daemon, is *is.I) {
		for n := range 8 {
			c.submit(fmt.Sprintf("%016x", 0xf00+n), smallStep(1))
		}
		time.Sleep(2 * time.Second) // eight ends are acknowledged
		i := c.instances["i-0"]
		i.mu.Lock()
		i.incarnation++
		i.runs, i.lastRun, i.ended, i.lastEndNumber, i.fence = map[job.TaskID]*fakeRun{}, map[job.TaskID]int{}, nil, 0, 0
		i.duration = 20 * time.Millisecond
		i.mu.Unlock()
		c.submit(jobA, smallStep(1)) // starts and ends before the next poll, if unbound
		time.Sleep(2 * time.Second)
		d.view.ResetRegistry(c.registrations()) // it writes its new entry
		time.Sleep(3 * time.Second)
		is.Equal(d.state(jobA), job.Completed)
		is.Equal(c.completions(jobA), 1)
	})
}

// An owner may start a task at a new incarnation before it has seen the
// restart, if the start isn't bound. The run isn't lost and must not start elsewhere as
// well. A bound start must not run there.
func TestRunOfANewIncarnationIsKept(t *testing.T) {
	forBoundAndUnbound(t, 2, func(c *cluster, d *daemon, is *is.I) {
		time.Sleep(100 * time.Millisecond)
		for _, i := range c.instances {
			i.mu.Lock()
			i.incarnation++
			i.fence, i.duration = 0, 3*time.Second
			i.mu.Unlock()
		}
		step := smallStep(2)
		step.Estimate = 3 * time.Second
		c.submit(jobA, step) // is placed before a poll has shown the new incarnations
		time.Sleep(400 * time.Millisecond)
		if d.transit.unbound {
			is.Equal(len(c.startsOf(jobA)), 2)
		} else {
			is.Equal(len(c.startsOf(jobA)), 0)
		}
		time.Sleep(1600 * time.Millisecond)
		d.view.ResetRegistry(c.registrations()) // they write their new entries
		checkNoOverlap(c, is, 6*time.Second)
		is.Equal(d.state(jobA), job.Completed)
		is.Equal(len(c.startsOf(jobA)), 2)
	})
}

// While the store is unavailable, ends wait to be recorded. If their instance
// restarts meanwhile, the ends of the new incarnation must not be acknowledged
// with the old numbers.
func TestEndsRecordedLateAreNotAcknowledgedToANewIncarnation(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		d := c.startOwner(64)
		for n := range 4 {
			c.submit(fmt.Sprintf("%016x", 0xf10+n), smallStep(1))
		}
		time.Sleep(100 * time.Millisecond)
		d.log.SetFault(func(call string) memstore.Fault {
			if call == "append" {
				return memstore.Refuse
			}
			return memstore.None
		})
		time.Sleep(2 * time.Second) // four ends wait to be recorded
		i := c.instances["i-0"]
		i.mu.Lock()
		i.incarnation++
		i.runs, i.lastRun, i.ended, i.lastEndNumber, i.fence = map[job.TaskID]*fakeRun{}, map[job.TaskID]int{}, nil, 0, 0
		i.mu.Unlock()
		d.view.ResetRegistry(c.registrations()) // it writes its new entry
		c.submit(jobA, smallStep(1))
		time.Sleep(1500 * time.Millisecond)
		d.log.SetFault(nil)
		time.Sleep(100 * time.Millisecond)
		i.mu.Lock()
		i.duration = time.Millisecond
		i.mu.Unlock()
		for n := range 3 {
			c.submit(fmt.Sprintf("%016x", 0xf20+n), smallStep(1))
		}
		time.Sleep(5 * time.Second)
		for n := range 3 {
			id := fmt.Sprintf("%016x", 0xf20+n)
			is.Equal(d.state(id), job.Completed)
			is.Equal(c.completions(id), 1)
		}
		is.Equal(c.completions(jobA), 1)
	})
}

// A poll that was scheduled before its instance restarted, or that reaches it after a
// restart, must not acknowledge ends of the new incarnation.
func TestPollForAFormerIncarnationAcknowledgesNothing(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		d := c.startOwner(64)
		time.Sleep(100 * time.Millisecond)
		present := c.instances["i-0"].incarnation
		former := present - 1
		poll := func(polled, scheduledFor int64) int64 {
			sess := &session{unit: d.unit, ctx: c.ctx, nextPoll: make(chan ackCursor, 1), polledIncarnation: polled}
			sess.target.Store(&instance.Registration{ID: "i-0"})
			sess.pollOnce(ackCursor{incarnation: scheduledFor, recorded: 57})
			return sess.lastAcknowledged
		}
		for _, polled := range []int64{present, former} {
			is.Equal(poll(polled, former), int64(0))
			is.Equal(c.instances["i-0"].lastAcknowledged(), int64(0))
		}
		is.Equal(poll(present, present), int64(57))
		is.Equal(c.instances["i-0"].lastAcknowledged(), int64(57))
	})
}

// A restarted instance has no fence. A former owner that hasn't detected its
// loss must not acknowledge ends there that its successor hasn't applied.
func TestFormerOwnerAcknowledgesNothingAtANewIncarnation(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		first := c.startOwner(64)
		time.Sleep(100 * time.Millisecond)
		second := c.startOwner(128)
		second.setUnreachable("i-0", true) // only the former owner reaches the instance
		i := c.instances["i-0"]
		i.mu.Lock()
		i.incarnation++
		i.fence = 0
		i.lastEndNumber = 1
		i.ended = []instance.EndedTask{{Number: 1, Task: job.TaskID{Job: jobA}, Run: 1, How: job.EndDone}}
		i.mu.Unlock()
		time.Sleep(2 * time.Second)
		is.Equal(i.lastAcknowledged(), int64(0))
		is.True(first.unit.ctx.Err() != nil)
	})
}

// Backfill tasks are throttled while a serving task at their instance is near
// its latency target, and resume in steps once it has stayed below for some
// seconds.
func TestBackfillTasksYieldToServingTasks(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		i := c.instances["i-0"]
		i.duration = time.Hour
		d := c.startOwner(64)
		serving, backfill := longStep(1), longStep(1)
		serving.Lasting, serving.Target = true, 30*time.Millisecond
		backfill.Fills = true
		c.submit(jobA, serving)
		c.submit("00000000000000bb", backfill)
		i.setLoad(10)
		time.Sleep(3 * time.Second)
		is.Equal(len(d.paceOrders()), 0)
		i.setLoad(28)
		time.Sleep(3 * time.Second)
		is.Equal(d.paceOrders(), []int{0})
		i.setLoad(10)
		time.Sleep(20 * time.Second)
		is.Equal(d.paceOrders(), []int{0, 25, 50, 75, 100})
	})
}
