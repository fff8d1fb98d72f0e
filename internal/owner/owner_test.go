package owner

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/instance"
	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/memstore"
)

const jobA = "00000000000000aa"

func small(count int) job.Step {
	return job.Step{Count: count, Need: job.Resources{CPU: 1000, Memory: 100}, Estimate: 300 * time.Millisecond}
}

// long tasks are expected to take as long as instances are told to make them.
func long(count int) job.Step {
	step := small(count)
	step.Estimate = time.Hour
	return step
}

// inVirtualTime runs a test whose clock stands still while anything works.
func inVirtualTime(t *testing.T, instances int, test func(c *cluster, is *is.I)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, instances)
		defer func() {
			c.cancel()
			time.Sleep(time.Minute) // lets calls that are under way end
			synctest.Wait()
		}()
		test(c, is.New(t))
	})
}

func TestJobRunsStepByStep(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		d := c.startOwner(64)
		second := small(2)
		second.After = []int{0}
		c.submit(jobA, small(3), second)
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

// A job is known from its ack on, though its owner reads it later.
func TestJobIsKnownOnceStored(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		d := c.startOwner(64)
		time.Sleep(100 * time.Millisecond)
		d.log.SetFault(func(call string) memstore.Fault {
			time.Sleep(300 * time.Millisecond) // the owner's reads lag
			return memstore.None
		})
		time.Sleep(500 * time.Millisecond)
		c.submit(jobA, small(1))
		is.Equal(d.state(jobA), job.Queued)
	})
}

func TestSuccessorAdoptsRuns(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		for _, i := range c.instances {
			i.duration = 2 * time.Second
		}
		first := c.startOwner(64)
		c.submit(jobA, small(4))
		time.Sleep(500 * time.Millisecond)
		first.unit.Stop()
		second := c.startOwner(128)
		time.Sleep(3 * time.Second)
		is.Equal(second.state(jobA), job.Completed)
		is.Equal(len(c.startsOf(jobA)), 4) // none ran again
	})
}

// The former owner keeps calling after the store dealt its unit to another: it
// must neither start anything nor take the successor's ends away.
func TestFormerOwnerIsFenced(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		first := c.startOwner(64)
		c.submit(jobA, small(2))
		time.Sleep(150 * time.Millisecond)
		second := c.startOwner(128)
		time.Sleep(100 * time.Millisecond)
		for n := range 20 {
			c.submit(fmt.Sprintf("%016x", 0xb00+n), small(2))
		}
		time.Sleep(10 * time.Second)
		is.Equal(second.state(jobA), job.Completed)
		for n := range 20 {
			id := fmt.Sprintf("%016x", 0xb00+n)
			is.Equal(second.state(id), job.Completed)
			is.Equal(len(c.startsOf(id)), 2)
		}
		is.True(first.unit.ctx.Err() != nil) // it has noticed
	})
}

// An instance that only the former owner reaches may run what that one started:
// the successor waits until the leases there have surely lapsed.
func TestTasksAtAnUnreachableInstanceWaitForItsLease(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		for _, i := range c.instances {
			i.duration = time.Hour
		}
		first := c.startOwner(64)
		c.submit(jobA, long(8)) // fills both instances
		time.Sleep(500 * time.Millisecond)
		is.Equal(len(c.startsOf(jobA)), 8)
		// The store is away for the former owner, which goes on extending leases
		// until its tenure runs out; the successor can't reach i-0.
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

// checkNoOverlap watches that no task runs at two instances.
func checkNoOverlap(c *cluster, is *is.I, span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		seen := map[job.TaskID]string{}
		for id, i := range c.instances {
			i.mu.Lock()
			i.advance()
			for task := range i.runs {
				if other, found := seen[task]; found {
					i.mu.Unlock()
					is.Equal(other, id) // one task runs twice
					return
				}
				seen[task] = id
			}
			i.mu.Unlock()
		}
	}
}

// Takeovers in a row must not put off the time at which a silent instance's
// leases have lapsed.
func TestConsecutiveTakeoversDontProlongALoss(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		for _, i := range c.instances {
			i.duration = time.Hour
		}
		longRunning := long(8)
		longRunning.Lasting = true
		d := c.startOwner(64)
		c.submit(jobA, longRunning)
		time.Sleep(500 * time.Millisecond)
		c.remove("i-0")
		lost := time.Now()
		for epoch := int64(128); time.Since(lost) < 18*time.Second; epoch += 64 {
			d.setUnreachable("i-0", true)
			time.Sleep(2 * time.Second)
			d.unit.Stop()
			d = c.startOwner(epoch)
		}
		d.setUnreachable("i-0", true)
		time.Sleep(time.Second)
		is.NoErr(d.unit.do(c.ctx, func() {
			is.Equal(len(runsAt(d.unit, "i-0")), 0) // what ran there is free
		}))
	})
}

func runsAt(u *Unit, id string) map[job.TaskID]*run {
	if sess := u.agents[id]; sess != nil {
		return sess.runs
	}
	return nil
}

// A start without an answer that is carried out seconds later must not run
// beside the one that replaced it.
func TestLateStartRunsOnce(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		c.instances["i-0"].startDelay = 3 * time.Second // before anybody calls it
		d := c.startOwner(64)
		for n := range 8 {
			c.submit(fmt.Sprintf("%016x", 0xc00+n), small(1))
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
			c.submit(fmt.Sprintf("%016x", 0xd00+n), small(2))
		}
		time.Sleep(20 * time.Second)
		for n := range 30 {
			id := fmt.Sprintf("%016x", 0xd00+n)
			is.Equal(d.state(id), job.Completed)
			is.Equal(len(c.startsOf(id)), 2)
		}
	})
}

// While the store is away nothing starts, and what runs keeps its lease.
func TestStoreOutageKeepsRunsAlive(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		c.instances["i-0"].duration = 7 * time.Second
		d := c.startOwner(64)
		c.submit(jobA, small(2))
		time.Sleep(200 * time.Millisecond)
		d.log.SetFault(func(string) memstore.Fault { return memstore.Refuse })
		c.submit("00000000000000bb", small(1))
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
		c.submit(jobA, long(3))
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
		c.submit(jobA, small(1))
		time.Sleep(time.Second)
		is.Equal(d.state(jobA), job.Cancelled)
		is.Equal(len(c.startsOf(jobA)), 0)
	})
}

// An instance that fails all it starts must not use up a task's attempts.
func TestFailedTaskRetriesElsewhere(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		c.instances["i-0"].outcome = job.EndFailed
		d := c.startOwner(64)
		for n := range 6 {
			c.submit(fmt.Sprintf("%016x", 0xe00+n), small(1))
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
		c.submit(jobA, small(1))
		time.Sleep(300 * time.Millisecond)
		i := c.instances["i-0"]
		i.mu.Lock()
		i.incarnation++
		i.runs, i.lastRun, i.ended, i.lastEndNumber, i.fence = map[job.TaskID]*fakeRun{}, map[job.TaskID]int{}, nil, 0, 0
		i.duration = 100 * time.Millisecond
		i.mu.Unlock()
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
		s := &job.Submission{ID: jobA, Queue: testQueue, Pool: testPool, Team: testTeam, Steps: []job.Step{small(6)}, AcceptedAt: time.Now().UnixMilli()}
		data, err := job.EncodeSubmission(s)
		is.NoErr(err)
		c.append(SubmissionPrefix+jobA, data)
		time.Sleep(500 * time.Millisecond)
		is.Equal(len(c.startsOf(jobA)), 0) // no grant yet
		d.grant(2500)
		time.Sleep(500 * time.Millisecond)
		is.Equal(len(c.startsOf(jobA)), 2)
		_, _, err = d.unit.Grant(context.Background(), GrantOrder{Pool: testPool, Lead: 0, Number: 1, Grants: map[string]job.Resources{testTeam: {CPU: 9000}}})
		is.Equal(err, ErrNotReady) // an earlier lead's word counts for nothing
	})
}

func TestReleaseRespectsMayMiss(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		for _, i := range c.instances {
			i.duration = time.Hour
		}
		longRunning := long(2)
		longRunning.Lasting, longRunning.PerInstance, longRunning.MayMiss = true, 1, 1
		d := c.startOwner(64)
		c.submit(jobA, longRunning)
		time.Sleep(1500 * time.Millisecond)
		empty, err := d.unit.Release(context.Background(), []string{"i-0"})
		is.NoErr(err)
		is.Equal(len(empty), 0)
		time.Sleep(time.Second)
		// The other task isn't at work yet: none may be missed.
		c.instances["i-0"].mu.Lock()
		defer c.instances["i-0"].mu.Unlock()
		is.Equal(len(c.instances["i-0"].runs), 1)
	})
}

// An owner that hasn't reached the store lately may have a successor, which stops
// as many lasting tasks as their step may miss. It must not stop others.
func TestOwnerThatMayHaveASuccessorReleasesNothing(t *testing.T) {
	inVirtualTime(t, 3, func(c *cluster, is *is.I) {
		for _, i := range c.instances {
			i.duration, i.startup = time.Hour, time.Second
		}
		longRunning := long(3)
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

// What a former owner has just stopped is listed as running for a while. Its
// successor must not count it as at work, and stop another one.
func TestSuccessorWaitsForStopsOfTheFormerOwner(t *testing.T) {
	inVirtualTime(t, 3, func(c *cluster, is *is.I) {
		for _, i := range c.instances {
			i.duration, i.startup = time.Hour, time.Second
		}
		longRunning := long(3)
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

// A queue with a policy starts tasks only where the advisor allows, and asks no
// more than it must.
func TestAdvisedTasksStartWithATicket(t *testing.T) {
	inVirtualTime(t, 3, func(c *cluster, is *is.I) {
		c.catalog.Queues[testQueue].Advised = true
		d := c.startOwner(64)
		c.submit(jobA, small(3))
		time.Sleep(2 * time.Second)
		is.Equal(d.state(jobA), job.Completed)
		is.Equal(c.startsAt("i-0"), 3)
		is.True(d.adviceQueries <= 3) // none is asked for twice
	})
}

// What lasts must not wait for its lease after its instance has left.
func TestLongRunningTasksMoveOffADrainingInstance(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		for _, i := range c.instances {
			i.duration = time.Hour
		}
		longRunning := long(1)
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

// An instance that has started anew numbers its ends from 1. They must not be
// acknowledged by the number of an end of before.
func TestEndsOfANewIncarnationAreNotAcknowledgedUnread(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		d := c.startOwner(64)
		for n := range 8 {
			c.submit(fmt.Sprintf("%016x", 0xf00+n), small(1))
		}
		time.Sleep(2 * time.Second) // eight ends are acknowledged
		i := c.instances["i-0"]
		i.mu.Lock()
		i.incarnation++
		i.runs, i.lastRun, i.ended, i.lastEndNumber, i.fence = map[job.TaskID]*fakeRun{}, map[job.TaskID]int{}, nil, 0, 0
		i.duration = 20 * time.Millisecond
		i.mu.Unlock()
		c.submit(jobA, small(1)) // starts and ends before the next look
		time.Sleep(3 * time.Second)
		is.Equal(d.state(jobA), job.Completed)
		is.Equal(c.completions(jobA), 1)
	})
}

// What a new incarnation runs was started by this owner, who took it for the
// former one: it isn't lost, and must not start elsewhere beside it.
func TestRunOfANewIncarnationIsKept(t *testing.T) {
	inVirtualTime(t, 2, func(c *cluster, is *is.I) {
		d := c.startOwner(64)
		time.Sleep(100 * time.Millisecond)
		for _, i := range c.instances {
			i.mu.Lock()
			i.incarnation++
			i.fence, i.duration = 0, 3*time.Second
			i.mu.Unlock()
		}
		step := small(2)
		step.Estimate = 3 * time.Second
		c.submit(jobA, step) // starts before a look has shown the new incarnations
		checkNoOverlap(c, is, 6*time.Second)
		is.Equal(d.state(jobA), job.Completed)
		is.Equal(len(c.startsOf(jobA)), 2)
	})
}

// Ends that wait for a store that is away are recorded when their instance has
// long started anew: what that one has ended since must not be forgotten.
func TestEndsRecordedLateAreNotAcknowledgedToANewIncarnation(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		d := c.startOwner(64)
		for n := range 4 {
			c.submit(fmt.Sprintf("%016x", 0xf10+n), small(1))
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
		c.submit(jobA, small(1))
		time.Sleep(1500 * time.Millisecond)
		d.log.SetFault(nil)
		time.Sleep(100 * time.Millisecond)
		i.mu.Lock()
		i.duration = time.Millisecond
		i.mu.Unlock()
		for n := range 3 {
			c.submit(fmt.Sprintf("%016x", 0xf20+n), small(1))
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

// A look that was scheduled before its instance started anew must not
// acknowledge what the new incarnation has ended.
func TestPollForAFormerIncarnationAcknowledgesNothing(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		d := c.startOwner(64)
		time.Sleep(100 * time.Millisecond)
		sess := &session{unit: d.unit, ctx: c.ctx, nextPoll: make(chan ackCursor, 1), polledIncarnation: 2, polledAt: time.Now()}
		sess.target.Store(&instance.Registration{ID: "i-0"})
		sess.pollOnce(ackCursor{incarnation: 1, recorded: 57})
		is.Equal(c.instances["i-0"].lastAcknowledged(), int64(0))
		sess.polledIncarnation, sess.polledAt = 1, time.Now()
		sess.pollOnce(ackCursor{incarnation: 1, recorded: 57})
		is.Equal(c.instances["i-0"].lastAcknowledged(), int64(57))
	})
}

// An instance that starts anew knows no fence: a former owner that hasn't
// noticed its loss must not make it forget its successor's ends.
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

// What fills an instance gives way while a serving task there nears its target,
// and goes on step by step once it has been calm for some seconds.
func TestBackfillTasksYieldToServingTasks(t *testing.T) {
	inVirtualTime(t, 1, func(c *cluster, is *is.I) {
		i := c.instances["i-0"]
		i.duration = time.Hour
		d := c.startOwner(64)
		serving, backfill := long(1), long(1)
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
