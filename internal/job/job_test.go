package job

import (
	"encoding"
	"fmt"
	"maps"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

var now = time.UnixMilli(1_000_000)

func submission(steps ...Step) *Submission {
	return &Submission{ID: "0123456789abcdef", Queue: "previews", Pool: "proofing", Steps: steps, AcceptedAt: now.UnixMilli()}
}

func startedJob(steps ...Step) (*Job, *Occurrence) {
	j := New(submission(steps...))
	j.Advance(now)
	return j, j.occurrences[0]
}

func task(step, index int) TaskID {
	return TaskID{Job: "0123456789abcdef", Step: step, Index: index}
}

var at = Placement{Instance: "i-1", Incarnation: 7}

func (j *Job) runOnce(id TaskID, how End) Result {
	run := j.NextRun(id)
	j.Place(id, run, at)
	return j.Ended(id, run, how, "", 3, now)
}

func TestStepsWaitForAllTasksOfEarlierOnes(t *testing.T) {
	is := is.New(t)
	j, o := startedJob(Step{Count: 2}, Step{Count: 1, After: []int{0}})
	is.True(j.StepReady(o, 0))
	is.True(!j.StepReady(o, 1))
	j.runOnce(task(0, 0), EndDone)
	is.True(!j.StepReady(o, 1)) // one of two is done
	j.runOnce(task(0, 1), EndDone)
	is.True(j.StepReady(o, 1))
	is.Equal(j.State(), Running)
	j.runOnce(task(1, 0), EndDone)
	is.Equal(j.State(), Completed)
	is.True(j.Finished())
}

func TestOnlyFailedEndsCountAsAttempts(t *testing.T) {
	for _, c := range []struct {
		how  End
		want State
	}{{EndFailed, Failed}, {EndStopped, Running}, {EndLapsed, Running}, {EndBroken, Running}, {EndAlone, Running}, {EndLost, Running}} {
		t.Run(string(c.how), func(t *testing.T) {
			is := is.New(t)
			j, _ := startedJob(Step{Count: 1})
			for range 3 {
				j.runOnce(task(0, 0), c.how)
			}
			is.Equal(j.State(), c.want)
			is.Equal(j.Task(task(0, 0)).Run, 3)
		})
	}
}

func TestLongRunningTasksRestartAfterAnyEnd(t *testing.T) {
	is := is.New(t)
	j, o := startedJob(Step{Count: 1, Lasting: true})
	for range 10 {
		j.runOnce(task(0, 0), EndFailed)
		j.runOnce(task(0, 0), EndDone)
	}
	is.Equal(j.State(), Running)
	is.Equal(j.WaitingTasks(o, 0), []int{0})
}

func TestLateDoneEndOfAnEarlierRunStopsTheNewerOne(t *testing.T) {
	is := is.New(t)
	j, _ := startedJob(Step{Count: 1})
	j.Place(task(0, 0), 1, at)
	j.Ended(task(0, 0), 1, EndLapsed, "", 3, now)
	j.Place(task(0, 0), 2, Placement{Instance: "i-2"})
	r := j.Ended(task(0, 0), 1, EndDone, "", 3, now)
	is.Equal(j.State(), Completed)
	is.Equal(r.StopAt.Instance, "i-2")
	is.Equal(r.StopRun, 2)
}

func TestEndOfAnEarlierRunChangesNothingElse(t *testing.T) {
	is := is.New(t)
	j, _ := startedJob(Step{Count: 1})
	j.Place(task(0, 0), 1, at)
	j.Ended(task(0, 0), 1, EndLost, "", 3, now)
	j.Place(task(0, 0), 2, at)
	is.Equal(j.Ended(task(0, 0), 1, EndFailed, "", 3, now), Result{})
	is.Equal(j.Task(task(0, 0)).Phase, Placed)
	is.Equal(j.Ended(task(0, 0), 9, EndDone, "", 3, now), Result{}) // a run that was never placed
}

func TestGangWaitsAsAWholeAndOneDoneMemberFinishesIt(t *testing.T) {
	is := is.New(t)
	j, o := startedJob(Step{Count: 3, Gang: true, Checkpointing: true})
	run := j.NextRun(task(0, 0))
	for i := range 3 {
		j.Place(task(0, i), run, at)
	}
	j.Ended(task(0, 0), run, EndBroken, "c1", 3, now)
	is.Equal(len(j.WaitingTasks(o, 0)), 0) // two members may still run
	j.Ended(task(0, 1), run, EndBroken, "", 3, now)
	j.Ended(task(0, 2), run, EndBroken, "", 3, now)
	is.Equal(len(j.WaitingTasks(o, 0)), 3)
	is.Equal(j.Task(task(0, 2)).Checkpoint, "c1") // shared by all members
	run = j.NextRun(task(0, 0))
	is.Equal(run, 2)
	for i := range 3 {
		j.Place(task(0, i), run, at)
	}
	j.Ended(task(0, 1), run, EndDone, "", 3, now)
	is.Equal(j.State(), Completed)
	is.True(j.Finished())
}

func TestOccurrencesStartWhenDue(t *testing.T) {
	is := is.New(t)
	s := submission(Step{Count: 1})
	s.Occurrences, s.FirstDue, s.IntervalMS = 2, now.UnixMilli()+500, 1000
	j := New(s)
	next, pending := j.Advance(now)
	is.True(pending)
	is.Equal(next, now.Add(500*time.Millisecond))
	j.Advance(now.Add(1600 * time.Millisecond)) // both are due, and overlap
	is.Equal(len(j.occurrences), 2)
	j.runOnce(TaskID{Job: s.ID, Occurrence: 1}, EndDone)
	is.Equal(j.State(), Running)
	j.runOnce(TaskID{Job: s.ID, Occurrence: 0}, EndDone)
	is.Equal(j.State(), Completed)
}

func TestCancelledJobFinishesOnceNothingRuns(t *testing.T) {
	is := is.New(t)
	j, _ := startedJob(Step{Count: 1})
	j.Place(task(0, 0), 1, at)
	is.True(j.Cancel())
	is.True(!j.Cancel())
	is.True(!j.Finished())
	j.Ended(task(0, 0), 1, EndStopped, "", 3, now)
	is.True(j.Finished())
	is.Equal(j.State(), Cancelled)
}

func TestValidationNamesTheField(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Submission)
		want   string
	}{
		{"id", func(s *Submission) { s.ID = "xyz" }, "id: want 16 hexadecimal digits"},
		{"no steps", func(s *Submission) { s.Steps = nil }, "steps: 0, want 1 to 256"},
		{"count", func(s *Submission) { s.Steps[0].Count = 0 }, "steps[0]: count: 0, want 1 to 10000"},
		{"dependency on a later step", func(s *Submission) { s.Steps[0].After = []int{0} }, "steps[0]: after: step 0 isn't an earlier step"},
		{"negative", func(s *Submission) { s.Steps[0].Need.CPU = -1 }, "steps[0]: negative amount"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := submission(Step{Count: 1})
			c.change(s)
			is.Equal(s.Validate().Error(), c.want)
		})
	}
}

// Restore recreates a job's state from its record after any sequence of events.
// Progress of every kind must be encodable: a job's start must not go out without its
// record. It could, after an error of the encoder. Such an error needs a field of a
// type with an encoder of its own, or one that the format doesn't have.
func TestProgressHasOnlyTypesThatCanBeEncoded(t *testing.T) {
	var check func(path string, typ reflect.Type)
	check = func(path string, typ reflect.Type) {
		switch typ.Kind() {
		case reflect.Bool, reflect.Int, reflect.Int8, reflect.Int64, reflect.Uint8, reflect.String:
		case reflect.Slice:
			check(path+"[]", typ.Elem())
		case reflect.Struct:
			for i := range typ.NumField() {
				check(path+"."+typ.Field(i).Name, typ.Field(i).Type)
			}
		default:
			t.Errorf("%s: %s", path, typ)
		}
		for _, encoder := range []reflect.Type{reflect.TypeFor[msgpack.Marshaler](), reflect.TypeFor[msgpack.CustomEncoder](), reflect.TypeFor[encoding.BinaryMarshaler](), reflect.TypeFor[encoding.TextMarshaler]()} {
			if typ.Implements(encoder) || reflect.PointerTo(typ).Implements(encoder) {
				t.Errorf("%s: %s implements %s", path, typ, encoder)
			}
		}
	}
	check("progress", reflect.TypeFor[progressRecord]())
}

// storedJob is what a store holds of a job's progress, by part.
type storedJob map[string][]byte

// store stores the first of some records.
func (s storedJob) store(records []Record) {
	for _, r := range records {
		if r.Value == nil {
			delete(s, r.Part)
			continue
		}
		s[r.Part] = r.Value
	}
}

func (s storedJob) restore(submission *Submission) (*Job, error) {
	parts := maps.Clone(s)
	delete(parts, "")
	j := New(submission)
	return j, j.Restore(s[""], parts, now)
}

const testLimit = 1 << 16

// Guards against stored progress that can't be restored, or not as it was, also if a
// daemon ends between two appends of one commit.
func TestRecordRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wide := rapid.SampledFrom([]int{0, 0, partTasks, 2*partTasks - 3}).Draw(t, "wide")
		s := submission(
			Step{Count: wide + rapid.IntRange(1, 4).Draw(t, "first")},
			Step{Count: rapid.IntRange(1, 3).Draw(t, "second"), After: []int{0}, Checkpointing: true, Gang: rapid.Bool().Draw(t, "gang")},
		)
		j := New(s)
		j.Advance(now)
		stored := storedJob{}
		stored.store(j.Records(testLimit))
		committed := map[TaskID]Task{}
		for range rapid.IntRange(0, 10).Draw(t, "commits") {
			for range rapid.IntRange(0, 10).Draw(t, "events") {
				randomEvent(t, j)
			}
			records := j.Records(testLimit)
			if len(records) > 1 && rapid.IntRange(0, 9).Draw(t, "crash") == 0 {
				stored.store(records[:rapid.IntRange(0, len(records)-1).Draw(t, "stored")])
				restored, err := stored.restore(s)
				if err != nil {
					t.Fatal(err)
				}
				checkCommitted(t, restored, committed)
				return
			}
			stored.store(records)
			clear(committed)
			eachTask(j, func(id TaskID, task *Task) { committed[id] = *task })
		}
		restored, err := stored.restore(s)
		if err != nil {
			t.Fatal(err)
		}
		if restored.State() != j.State() || restored.Finished() != j.Finished() || restored.placed != j.placed {
			t.Fatalf("state %s, %d placed, want %s, %d", restored.State(), restored.placed, j.State(), j.placed)
		}
		if j.Finished() && len(stored) > 1 {
			t.Fatalf("%d parts of a finished job are stored", len(stored)-1)
		}
		j.EachPlaced(func(id TaskID, want *Task) {
			got := restored.Task(id)
			if got.Run != want.Run || got.Placement != want.Placement || got.Checkpoint != want.Checkpoint || got.Failures != want.Failures {
				t.Fatalf("task %v: %+v, want %+v", id, *got, *want)
			}
		})
	})
}

func eachTask(j *Job, visit func(TaskID, *Task)) {
	j.EachOccurrence(func(o *Occurrence) {
		for step := range o.Steps {
			for index := range o.Steps[step] {
				visit(TaskID{Job: j.ID(), Occurrence: o.Number, Step: step, Index: index}, &o.Steps[step][index])
			}
		}
	})
}

// checkCommitted checks that no task is behind what a completed commit stored.
func checkCommitted(t *rapid.T, restored *Job, committed map[TaskID]Task) {
	for id, want := range committed {
		got := restored.Task(id)
		if got == nil && restored.State() == Completed {
			continue
		}
		if got == nil || got.Run < want.Run || want.Phase == Done && got.Phase != Done {
			t.Fatalf("task %v: %+v, committed as %+v", id, got, want)
		}
	}
}

// Guards against records that are over the store's limit, with which a pool stands
// still: of a job with many tasks, with long checkpoints, or with many occurrences.
func TestRecordsStayWithinTheLimit(t *testing.T) {
	is := is.New(t)
	wide := submission(Step{Count: 10_000}, Step{Count: 8000})
	timed := submission(Step{Count: 3, Checkpointing: true})
	timed.Occurrences, timed.IntervalMS = 1_000_000, 1
	for _, s := range []*Submission{wide, timed, submission(Step{Count: partTasks, Checkpointing: true})} {
		is.NoErr(s.Validate())
		j := New(s)
		j.Advance(now)
		eachTask(j, func(id TaskID, _ *Task) {
			j.Place(id, 1, Placement{Instance: fmt.Sprint("instance-", id.Index), Incarnation: 1 << 40})
			j.SaveCheckpoint(id, 1, strings.Repeat("c", 1000))
		})
		stored := storedJob{}
		for _, r := range j.Records(testLimit) {
			is.True(len(r.Value) <= testLimit)
			stored.store([]Record{r})
		}
		restored, err := stored.restore(s)
		is.NoErr(err)
		is.Equal(restored.placed, j.placed)
		id := TaskID{Job: s.ID}
		j.Ended(id, 1, EndFailed, "", 4, now)
		is.True(len(j.Records(testLimit)) <= 2) // one part, and the head
	}
	is.True(submission(Step{Count: 10_000}, Step{Count: 10_000}, Step{Count: 10_000}, Step{Count: 10_000}, Step{Count: 10_000}, Step{Count: 1}).Validate() != nil)
}

func randomEvent(t *rapid.T, j *Job) {
	step := rapid.IntRange(0, 1).Draw(t, "step")
	id := task(step, rapid.IntRange(0, j.Submission.Steps[step].Count-1).Draw(t, "index"))
	current := j.Task(id)
	switch {
	case current == nil || current.Phase == Done || !j.Active():
	case current.Phase == Waiting:
		j.Place(id, j.NextRun(id), Placement{Instance: rapid.SampledFrom([]string{"i-1", "i-2"}).Draw(t, "instance"), Incarnation: 3, Bound: rapid.Bool().Draw(t, "bound")})
	default:
		how := rapid.SampledFrom([]End{EndDone, EndFailed, EndStopped, EndLapsed}).Draw(t, "how")
		j.Ended(id, current.Run, how, rapid.SampledFrom([]string{"", "c1"}).Draw(t, "checkpoint"), 3, now)
	}
}

// Guards against a gang that fails for good after one failed run, in which each of its
// members lists a failure.
func TestGangFailsOnceARun(t *testing.T) {
	is := is.New(t)
	j, o := startedJob(Step{Count: 4, Gang: true})
	fail := func(hows ...End) {
		run := j.NextRun(task(0, 0))
		for i := range hows {
			j.Place(task(0, i), run, at)
		}
		for i, how := range hows {
			j.Ended(task(0, i), run, how, "", 3, now)
		}
	}
	fail(EndFailed, EndFailed, EndFailed, EndFailed)
	is.Equal(j.State(), Running)
	fail(EndBroken, EndFailed, EndBroken, EndBroken) // another member of the same gang
	is.Equal(j.State(), Running)
	restored := New(j.Submission)
	is.NoErr(restored.Restore(j.Records(testLimit)[0].Value, nil, now))
	is.True(len(restored.WaitingTasks(restored.occurrences[0], 0)) == len(o.Steps[0]))
	fail(EndStopped, EndStopped, EndStopped, EndStopped)
	is.Equal(j.State(), Running)
	fail(EndBroken, EndBroken, EndFailed, EndFailed)
	is.Equal(j.State(), Failed) // three runs of the gang have failed
}
