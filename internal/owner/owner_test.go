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
func inVirtualTime(t *testing.T, instances int, test func(w *world, is *is.I)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, instances)
		defer func() {
			w.cancel()
			time.Sleep(time.Minute) // lets calls that are under way end
			synctest.Wait()
		}()
		test(w, is.New(t))
	})
}

func TestJobRunsStepByStep(t *testing.T) {
	inVirtualTime(t, 2, func(w *world, is *is.I) {
		d := w.own(64)
		second := small(2)
		second.After = []int{0}
		w.submit(jobA, small(3), second)
		time.Sleep(100 * time.Millisecond)
		is.Equal(d.state(jobA), job.Running)
		time.Sleep(time.Second)
		is.Equal(d.state(jobA), job.Completed)
		is.Equal(len(w.startsOf(jobA)), 5)
	})
}

func TestUnknownJobIsDeniedOnlyWithTheUnitRead(t *testing.T) {
	inVirtualTime(t, 1, func(w *world, is *is.I) {
		d := w.own(64)
		time.Sleep(100 * time.Millisecond)
		is.Equal(d.state("00000000000000bb"), job.State(ErrNoJob.Error()))
		d.log.SetFault(func(string) memstore.Fault { return memstore.LoseCall })
		time.Sleep(3 * time.Second)
		is.Equal(d.state("00000000000000bb"), job.State(ErrNotReady.Error()))
	})
}

// A job is known from its ack on, though its owner reads it later.
func TestJobIsKnownOnceStored(t *testing.T) {
	inVirtualTime(t, 1, func(w *world, is *is.I) {
		d := w.own(64)
		time.Sleep(100 * time.Millisecond)
		d.log.SetFault(func(call string) memstore.Fault {
			time.Sleep(300 * time.Millisecond) // the owner's reads lag
			return memstore.None
		})
		time.Sleep(500 * time.Millisecond)
		w.submit(jobA, small(1))
		is.Equal(d.state(jobA), job.Queued)
	})
}

func TestSuccessorAdoptsWhatRuns(t *testing.T) {
	inVirtualTime(t, 2, func(w *world, is *is.I) {
		for _, i := range w.instances {
			i.takes = 2 * time.Second
		}
		first := w.own(64)
		w.submit(jobA, small(4))
		time.Sleep(500 * time.Millisecond)
		first.unit.Stop()
		second := w.own(128)
		time.Sleep(3 * time.Second)
		is.Equal(second.state(jobA), job.Completed)
		is.Equal(len(w.startsOf(jobA)), 4) // none ran again
	})
}

// The former owner keeps calling after the store dealt its unit to another: it
// must neither start anything nor take the successor's ends away.
func TestFormerOwnerIsFenced(t *testing.T) {
	inVirtualTime(t, 2, func(w *world, is *is.I) {
		first := w.own(64)
		w.submit(jobA, small(2))
		time.Sleep(150 * time.Millisecond)
		second := w.own(128)
		time.Sleep(100 * time.Millisecond)
		for n := range 20 {
			w.submit(fmt.Sprintf("%016x", 0xb00+n), small(2))
		}
		time.Sleep(10 * time.Second)
		is.Equal(second.state(jobA), job.Completed)
		for n := range 20 {
			id := fmt.Sprintf("%016x", 0xb00+n)
			is.Equal(second.state(id), job.Completed)
			is.Equal(len(w.startsOf(id)), 2)
		}
		is.True(first.unit.ctx.Err() != nil) // it has noticed
	})
}

// An instance that only the former owner reaches may run what that one started:
// the successor waits until the leases there have surely lapsed.
func TestTasksAtACutInstanceWaitForTheirLease(t *testing.T) {
	inVirtualTime(t, 2, func(w *world, is *is.I) {
		for _, i := range w.instances {
			i.takes = time.Hour
		}
		first := w.own(64)
		w.submit(jobA, long(8)) // fills both instances
		time.Sleep(500 * time.Millisecond)
		is.Equal(len(w.startsOf(jobA)), 8)
		// The store is away for the former owner, which goes on extending leases
		// until its tenure runs out; the successor can't reach i-0.
		first.log.SetFault(func(string) memstore.Fault { return memstore.LoseCall })
		w.instances["i-1"].mu.Lock()
		w.instances["i-1"].takes = 100 * time.Millisecond
		for _, r := range w.instances["i-1"].runs {
			r.ends = time.Now()
		}
		w.instances["i-1"].mu.Unlock()
		second := w.own(128)
		second.cut("i-0", true)
		time.AfterFunc(2900*time.Millisecond, func() { first.setHeld(false) })
		checkNoOverlap(w, is, 20*time.Second)
		is.Equal(second.state(jobA), job.Completed)
	})
}

// checkNoOverlap watches that no task runs at two instances.
func checkNoOverlap(w *world, is *is.I, span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		seen := map[job.TaskID]string{}
		for id, i := range w.instances {
			i.mu.Lock()
			i.advance()
			for task := range i.runs {
				if other, twice := seen[task]; twice {
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
func TestTakeoversInARowDontProlongALoss(t *testing.T) {
	inVirtualTime(t, 2, func(w *world, is *is.I) {
		for _, i := range w.instances {
			i.takes = time.Hour
		}
		lasting := long(8)
		lasting.Lasting = true
		d := w.own(64)
		w.submit(jobA, lasting)
		time.Sleep(500 * time.Millisecond)
		w.remove("i-0")
		lost := time.Now()
		for epoch := int64(128); time.Since(lost) < 18*time.Second; epoch += 64 {
			d.cut("i-0", true)
			time.Sleep(2 * time.Second)
			d.unit.Stop()
			d = w.own(epoch)
		}
		d.cut("i-0", true)
		time.Sleep(time.Second)
		is.NoErr(d.unit.ask(w.ctx, func() {
			is.Equal(len(runsAt(d.unit, "i-0")), 0) // what ran there is free
		}))
	})
}

func runsAt(u *Unit, id string) map[job.TaskID]*run {
	if a := u.agents[id]; a != nil {
		return a.runs
	}
	return nil
}

// A start without an answer that is carried out seconds later must not run
// beside the one that replaced it.
func TestLateStartRunsOnce(t *testing.T) {
	inVirtualTime(t, 2, func(w *world, is *is.I) {
		w.instances["i-0"].lateStart = 3 * time.Second // before anybody calls it
		d := w.own(64)
		for n := range 8 {
			w.submit(fmt.Sprintf("%016x", 0xc00+n), small(1))
		}
		checkNoOverlap(w, is, 15*time.Second)
		for n := range 8 {
			id := fmt.Sprintf("%016x", 0xc00+n)
			is.Equal(d.state(id), job.Completed)
			is.Equal(w.doneEnds(id), 1)
		}
	})
}

func TestLostAnswersOfTheStoreLoseNothing(t *testing.T) {
	inVirtualTime(t, 2, func(w *world, is *is.I) {
		d := w.own(64)
		time.Sleep(50 * time.Millisecond)
		var calls atomic.Int64
		d.log.SetFault(func(call string) memstore.Fault {
			if n := calls.Add(1); call == "append" && n%3 == 0 {
				return memstore.LoseAnswer
			}
			return memstore.None
		})
		for n := range 30 {
			w.submit(fmt.Sprintf("%016x", 0xd00+n), small(2))
		}
		time.Sleep(20 * time.Second)
		for n := range 30 {
			id := fmt.Sprintf("%016x", 0xd00+n)
			is.Equal(d.state(id), job.Completed)
			is.Equal(len(w.startsOf(id)), 2)
		}
	})
}

// While the store is away nothing starts, and what runs keeps its lease.
func TestStoreOutageKeepsWhatRuns(t *testing.T) {
	inVirtualTime(t, 1, func(w *world, is *is.I) {
		w.instances["i-0"].takes = 7 * time.Second
		d := w.own(64)
		w.submit(jobA, small(2))
		time.Sleep(200 * time.Millisecond)
		d.log.SetFault(func(string) memstore.Fault { return memstore.Refuse })
		w.submit("00000000000000bb", small(1))
		time.Sleep(6 * time.Second)
		is.Equal(len(w.startsOf("00000000000000bb")), 0)
		d.log.SetFault(nil)
		time.Sleep(3 * time.Second)
		is.Equal(d.state(jobA), job.Completed)
		is.Equal(len(w.startsOf(jobA)), 2)
	})
}

func TestCancelledJobIsStopped(t *testing.T) {
	inVirtualTime(t, 1, func(w *world, is *is.I) {
		w.instances["i-0"].takes = time.Hour
		d := w.own(64)
		w.submit(jobA, long(3))
		time.Sleep(200 * time.Millisecond)
		w.append(CancelPrefix+jobA, []byte{1})
		time.Sleep(500 * time.Millisecond)
		is.Equal(d.state(jobA), job.Cancelled)
		w.instances["i-0"].mu.Lock()
		defer w.instances["i-0"].mu.Unlock()
		is.Equal(len(w.instances["i-0"].runs), 0)
	})
}

func TestCancelThatIsReadBeforeItsJobCounts(t *testing.T) {
	inVirtualTime(t, 1, func(w *world, is *is.I) {
		d := w.own(64)
		time.Sleep(50 * time.Millisecond)
		w.append(CancelPrefix+jobA, []byte{1})
		w.submit(jobA, small(1))
		time.Sleep(time.Second)
		is.Equal(d.state(jobA), job.Cancelled)
		is.Equal(len(w.startsOf(jobA)), 0)
	})
}

// An instance that fails all it starts must not use up a task's attempts.
func TestTaskThatFailedGoesElsewhere(t *testing.T) {
	inVirtualTime(t, 2, func(w *world, is *is.I) {
		w.instances["i-0"].how = job.EndFailed
		d := w.own(64)
		for n := range 6 {
			w.submit(fmt.Sprintf("%016x", 0xe00+n), small(1))
		}
		time.Sleep(5 * time.Second)
		for n := range 6 {
			is.Equal(d.state(fmt.Sprintf("%016x", 0xe00+n)), job.Completed)
		}
	})
}

func TestInstanceThatStartedAnewRunsNothingOfBefore(t *testing.T) {
	inVirtualTime(t, 1, func(w *world, is *is.I) {
		w.instances["i-0"].takes = time.Hour
		d := w.own(64)
		w.submit(jobA, small(1))
		time.Sleep(300 * time.Millisecond)
		i := w.instances["i-0"]
		i.mu.Lock()
		i.born++
		i.runs, i.last, i.ended, i.number, i.fence = map[job.TaskID]*fakeRun{}, map[job.TaskID]int{}, nil, 0, 0
		i.takes = 100 * time.Millisecond
		i.mu.Unlock()
		time.Sleep(3 * time.Second)
		is.Equal(d.state(jobA), job.Completed)
		is.Equal(len(w.startsOf(jobA)), 2)
	})
}

func TestTeamStartsOnlyWithinItsGrant(t *testing.T) {
	inVirtualTime(t, 2, func(w *world, is *is.I) {
		for _, i := range w.instances {
			i.takes = time.Hour
		}
		d := w.own(64)
		s := &job.Submission{ID: jobA, Queue: testQueue, Pool: testPool, Team: testTeam, Steps: []job.Step{small(6)}, AcceptedAt: time.Now().UnixMilli()}
		data, err := job.EncodeSubmission(s)
		is.NoErr(err)
		w.append(SubmissionPrefix+jobA, data)
		time.Sleep(500 * time.Millisecond)
		is.Equal(len(w.startsOf(jobA)), 0) // no grant yet
		d.grant(2500)
		time.Sleep(500 * time.Millisecond)
		is.Equal(len(w.startsOf(jobA)), 2)
		_, _, err = d.unit.Grant(context.Background(), GrantOrder{Pool: testPool, Lead: 0, Number: 1, Grants: map[string]job.Resources{testTeam: {CPU: 9000}}})
		is.Equal(err, ErrNotReady) // an earlier lead's word counts for nothing
	})
}

func TestReleaseEmptiesAnInstanceWithinWhatMayBeMissed(t *testing.T) {
	inVirtualTime(t, 2, func(w *world, is *is.I) {
		for _, i := range w.instances {
			i.takes = time.Hour
		}
		lasting := long(2)
		lasting.Lasting, lasting.PerInstance, lasting.MayMiss = true, 1, 1
		d := w.own(64)
		w.submit(jobA, lasting)
		time.Sleep(1500 * time.Millisecond)
		empty, err := d.unit.Release(context.Background(), []string{"i-0"})
		is.NoErr(err)
		is.Equal(len(empty), 0)
		time.Sleep(time.Second)
		// The other task isn't at work yet: none may be missed.
		w.instances["i-0"].mu.Lock()
		defer w.instances["i-0"].mu.Unlock()
		is.Equal(len(w.instances["i-0"].runs), 1)
	})
}

// An owner that hasn't reached the store lately may have a successor, which stops
// as many lasting tasks as their step may miss. It must not stop others.
func TestOwnerThatMayHaveASuccessorReleasesNothing(t *testing.T) {
	inVirtualTime(t, 3, func(w *world, is *is.I) {
		for _, i := range w.instances {
			i.takes, i.startup = time.Hour, time.Second
		}
		lasting := long(3)
		lasting.Lasting, lasting.PerInstance, lasting.MayMiss = true, 1, 1
		d := w.own(64)
		w.submit(jobA, lasting)
		time.Sleep(5 * time.Second)
		d.cutStore()
		_, err := d.unit.Release(context.Background(), []string{"i-0", "i-1", "i-2"})
		is.Equal(err, ErrNotReady)
		time.Sleep(time.Second)
		is.Equal(len(w.startsOf(jobA)), 3)
		for _, i := range w.instances {
			i.mu.Lock()
			is.Equal(len(i.runs), 1)
			i.mu.Unlock()
		}
	})
}

// What a former owner has just stopped is listed as running for a while. Its
// successor must not count it as at work, and stop another one.
func TestSuccessorWaitsForItsFormersStops(t *testing.T) {
	inVirtualTime(t, 3, func(w *world, is *is.I) {
		for _, i := range w.instances {
			i.takes, i.startup = time.Hour, time.Second
		}
		lasting := long(3)
		lasting.Lasting, lasting.PerInstance, lasting.MayMiss = true, 1, 1
		w.own(64)
		w.submit(jobA, lasting)
		time.Sleep(5 * time.Second)
		all := []string{"i-0", "i-1", "i-2"}
		successor := w.own(128)
		time.Sleep(200 * time.Millisecond)
		release := func() int {
			_, err := successor.unit.Release(context.Background(), all)
			is.NoErr(err)
			time.Sleep(50 * time.Millisecond)
			running := 0
			for _, i := range w.instances {
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
	inVirtualTime(t, 3, func(w *world, is *is.I) {
		w.catalog.Queues[testQueue].Advised = true
		d := w.own(64)
		w.submit(jobA, small(3))
		time.Sleep(2 * time.Second)
		is.Equal(d.state(jobA), job.Completed)
		is.Equal(w.startsAt("i-0"), 3)
		is.True(d.advised <= 3) // none is asked for twice
	})
}

// What lasts must not wait for its lease after its instance has left.
func TestLastingTasksMoveOffAnInstanceThatLeaves(t *testing.T) {
	inVirtualTime(t, 2, func(w *world, is *is.I) {
		for _, i := range w.instances {
			i.takes = time.Hour
		}
		lasting := long(1)
		lasting.Lasting = true
		d := w.own(64)
		w.submit(jobA, lasting)
		time.Sleep(500 * time.Millisecond)
		at := "i-0"
		if w.startsAt("i-1") > 0 {
			at = "i-1"
		}
		w.instances[at].mu.Lock()
		w.instances[at].draining = true
		w.instances[at].mu.Unlock()
		d.view.ApplyRegistry(w.registrations())
		time.Sleep(time.Second)
		is.Equal(len(w.startsOf(jobA)), 2)
		is.Equal(w.startsAt(at), 1)
	})
}

// An instance that has started anew numbers its ends from 1. They must not be
// acknowledged by the number of an end of before.
func TestEndsOfANewIncarnationArentForgottenUnread(t *testing.T) {
	inVirtualTime(t, 1, func(w *world, is *is.I) {
		d := w.own(64)
		for n := range 8 {
			w.submit(fmt.Sprintf("%016x", 0xf00+n), small(1))
		}
		time.Sleep(2 * time.Second) // eight ends are acknowledged
		i := w.instances["i-0"]
		i.mu.Lock()
		i.born++
		i.runs, i.last, i.ended, i.number, i.fence = map[job.TaskID]*fakeRun{}, map[job.TaskID]int{}, nil, 0, 0
		i.takes = 20 * time.Millisecond
		i.mu.Unlock()
		w.submit(jobA, small(1)) // starts and ends before the next look
		time.Sleep(3 * time.Second)
		is.Equal(d.state(jobA), job.Completed)
		is.Equal(w.doneEnds(jobA), 1)
	})
}

// What a new incarnation runs was started by this owner, who took it for the
// former one: it isn't lost, and must not start elsewhere beside it.
func TestRunOfANewIncarnationIsKept(t *testing.T) {
	inVirtualTime(t, 2, func(w *world, is *is.I) {
		d := w.own(64)
		time.Sleep(100 * time.Millisecond)
		for _, i := range w.instances {
			i.mu.Lock()
			i.born++
			i.fence, i.takes = 0, 3*time.Second
			i.mu.Unlock()
		}
		step := small(2)
		step.Estimate = 3 * time.Second
		w.submit(jobA, step) // starts before a look has shown the new incarnations
		checkNoOverlap(w, is, 6*time.Second)
		is.Equal(d.state(jobA), job.Completed)
		is.Equal(len(w.startsOf(jobA)), 2)
	})
}

// Ends that wait for a store that is away are recorded when their instance has
// long started anew: what that one has ended since must not be forgotten.
func TestEndsRecordedLateArentAcknowledgedToANewIncarnation(t *testing.T) {
	inVirtualTime(t, 1, func(w *world, is *is.I) {
		d := w.own(64)
		for n := range 4 {
			w.submit(fmt.Sprintf("%016x", 0xf10+n), small(1))
		}
		time.Sleep(100 * time.Millisecond)
		d.log.SetFault(func(call string) memstore.Fault {
			if call == "append" {
				return memstore.Refuse
			}
			return memstore.None
		})
		time.Sleep(2 * time.Second) // four ends wait to be recorded
		i := w.instances["i-0"]
		i.mu.Lock()
		i.born++
		i.runs, i.last, i.ended, i.number, i.fence = map[job.TaskID]*fakeRun{}, map[job.TaskID]int{}, nil, 0, 0
		i.mu.Unlock()
		w.submit(jobA, small(1))
		time.Sleep(1500 * time.Millisecond)
		d.log.SetFault(nil)
		time.Sleep(100 * time.Millisecond)
		i.mu.Lock()
		i.takes = time.Millisecond
		i.mu.Unlock()
		for n := range 3 {
			w.submit(fmt.Sprintf("%016x", 0xf20+n), small(1))
		}
		time.Sleep(5 * time.Second)
		for n := range 3 {
			id := fmt.Sprintf("%016x", 0xf20+n)
			is.Equal(d.state(id), job.Completed)
			is.Equal(w.doneEnds(id), 1)
		}
		is.Equal(w.doneEnds(jobA), 1)
	})
}

// A look that was scheduled before its instance started anew must not
// acknowledge what the new incarnation has ended.
func TestLookOfAFormerIncarnationAcknowledgesNothing(t *testing.T) {
	inVirtualTime(t, 1, func(w *world, is *is.I) {
		d := w.own(64)
		time.Sleep(100 * time.Millisecond)
		a := &agent{unit: d.unit, ctx: w.ctx, nextLook: make(chan cursor, 1), heard: 2, heardAt: time.Now()}
		a.target.Store(&instance.Registration{ID: "i-0"})
		a.lookOnce(cursor{incarnation: 1, recorded: 57})
		is.Equal(w.instances["i-0"].told(), int64(0))
		a.heard, a.heardAt = 1, time.Now()
		a.lookOnce(cursor{incarnation: 1, recorded: 57})
		is.Equal(w.instances["i-0"].told(), int64(57))
	})
}

// An instance that starts anew knows no fence: a former owner that hasn't
// noticed its loss must not make it forget its successor's ends.
func TestFormerOwnerAcknowledgesNothingAtANewIncarnation(t *testing.T) {
	inVirtualTime(t, 1, func(w *world, is *is.I) {
		first := w.own(64)
		time.Sleep(100 * time.Millisecond)
		second := w.own(128)
		second.cut("i-0", true) // only the former owner reaches the instance
		i := w.instances["i-0"]
		i.mu.Lock()
		i.born++
		i.fence = 0
		i.number = 1
		i.ended = []instance.EndedTask{{Number: 1, Task: job.TaskID{Job: jobA}, Run: 1, How: job.EndDone}}
		i.mu.Unlock()
		time.Sleep(2 * time.Second)
		is.Equal(i.told(), int64(0))
		is.True(first.unit.ctx.Err() != nil)
	})
}

// What fills an instance gives way while a serving task there nears its target,
// and goes on step by step once it has been calm for some seconds.
func TestFillingTasksGiveWayToServingOnes(t *testing.T) {
	inVirtualTime(t, 1, func(w *world, is *is.I) {
		i := w.instances["i-0"]
		i.takes = time.Hour
		d := w.own(64)
		serving, filling := long(1), long(1)
		serving.Lasting, serving.Target = true, 30*time.Millisecond
		filling.Fills = true
		w.submit(jobA, serving)
		w.submit("00000000000000bb", filling)
		i.setLoad(10)
		time.Sleep(3 * time.Second)
		is.Equal(len(d.paced()), 0)
		i.setLoad(28)
		time.Sleep(3 * time.Second)
		is.Equal(d.paced(), []int{0})
		i.setLoad(10)
		time.Sleep(20 * time.Second)
		is.Equal(d.paced(), []int{0, 25, 50, 75, 100})
	})
}
