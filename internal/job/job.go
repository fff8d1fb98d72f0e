package job

import (
	"time"
)

// TaskID names one task of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// State is what callers are shown.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// End says how a run ended.
type End string

// The ends of a run, as instances list them, and what an owner concludes.
const (
	EndDone    End = "done"
	EndFailed  End = "failed"
	EndStopped End = "stopped"
	EndLapsed  End = "lapsed"
	EndBroken  End = "broken"
	EndAlone   End = "alone"
	// EndLost is concluded for a run that no longer exists anywhere.
	EndLost End = "lost"
)

// Phase is where a task stands.
type Phase uint8

// The phases of a task.
const (
	Waiting Phase = iota
	// Placed tasks have a recorded start and may be running.
	Placed
	Done
)

// Placement is where a task was started.
type Placement struct {
	Instance string
	// Incarnation is the Unix millisecond at which the instance was born.
	Incarnation int64
}

// Task is one task of an occurrence.
type Task struct {
	Phase Phase
	// Run numbers the starts; the newest one counts.
	Run        int
	Failures   int
	Placement  Placement
	Checkpoint string
	// AvoidInstance is where the last run failed; not kept over a takeover.
	AvoidInstance string
	// WaitingSince is when the task's turn came or came again.
	WaitingSince time.Time
}

// Occurrence is one pass through the steps.
type Occurrence struct {
	Number    int
	Steps     [][]Task
	remaining int
}

// Job is the aggregate. It isn't safe for concurrent use.
type Job struct {
	Submission  *Submission
	occurrences map[int]*Occurrence
	// nextOccurrence is the first that hasn't begun.
	nextOccurrence int
	done           int
	cancelled      bool
	failed         bool
	started        bool
	placed         int
}

// New returns a job none of whose tasks has started.
func New(s *Submission) *Job {
	return &Job{Submission: s, occurrences: map[int]*Occurrence{}}
}

// ID returns the job's name.
func (j *Job) ID() string { return j.Submission.ID }

// total is how many occurrences the job has.
func (j *Job) total() int { return max(j.Submission.Occurrences, 1) }

// Timed says whether the job's occurrences have due times.
func (j *Job) Timed() bool { return j.Submission.Occurrences > 0 }

// Due returns when an occurrence may start.
func (j *Job) Due(occurrence int) time.Time {
	s := j.Submission
	if !j.Timed() {
		return time.UnixMilli(s.AcceptedAt)
	}
	return time.UnixMilli(s.FirstDue + int64(occurrence)*s.IntervalMS)
}

// Advance begins the occurrences that are due and returns when the next is.
func (j *Job) Advance(now time.Time) (next time.Time, waits bool) {
	for j.Active() && j.nextOccurrence < j.total() {
		due := j.Due(j.nextOccurrence)
		if j.Timed() && due.After(now) {
			return due, true
		}
		j.occurrences[j.nextOccurrence] = j.newOccurrence(j.nextOccurrence, now)
		j.nextOccurrence++
	}
	return time.Time{}, false
}

func (j *Job) newOccurrence(number int, now time.Time) *Occurrence {
	o := &Occurrence{Number: number}
	for _, step := range j.Submission.Steps {
		tasks := make([]Task, step.Count)
		for i := range tasks {
			tasks[i].WaitingSince = now
		}
		o.Steps = append(o.Steps, tasks)
		o.remaining += step.Count
	}
	return o
}

// Active says whether tasks of the job may still start.
func (j *Job) Active() bool { return !j.cancelled && !j.failed && j.done < j.total() }

// Finished says whether the job's state is final and nothing of it may run.
func (j *Job) Finished() bool { return !j.Active() && j.placed == 0 }

// Started says whether a task of the job has ever been started.
func (j *Job) Started() bool { return j.started }

// Cancelled says whether the job was cancelled.
func (j *Job) Cancelled() bool { return j.cancelled }

// State returns what callers are shown.
func (j *Job) State() State {
	switch {
	case j.done == j.total():
		return Completed
	case j.failed:
		return Failed
	case j.cancelled:
		return Cancelled
	case j.started:
		return Running
	}
	return Queued
}

// Cancel ends the job unless it has ended. It reports whether that changed it.
func (j *Job) Cancel() bool {
	if !j.Active() {
		return false
	}
	j.cancelled = true
	return true
}

// Task returns a task, or nil if the job has none of that name.
func (j *Job) Task(id TaskID) *Task {
	o := j.occurrences[id.Occurrence]
	if o == nil || id.Step < 0 || id.Step >= len(o.Steps) {
		return nil
	}
	if id.Index < 0 || id.Index >= len(o.Steps[id.Step]) {
		return nil
	}
	return &o.Steps[id.Step][id.Index]
}

// Step returns the step that a task belongs to.
func (j *Job) Step(id TaskID) *Step { return &j.Submission.Steps[id.Step] }

// EachOccurrence visits the occurrences that have begun and aren't done.
func (j *Job) EachOccurrence(visit func(o *Occurrence)) {
	for n := range j.nextOccurrence {
		if o := j.occurrences[n]; o != nil {
			visit(o)
		}
	}
}

// EachPlaced visits the tasks that may be running.
func (j *Job) EachPlaced(visit func(id TaskID, t *Task)) {
	if j.placed == 0 {
		return
	}
	j.EachOccurrence(func(o *Occurrence) {
		for s := range o.Steps {
			for i := range o.Steps[s] {
				if t := &o.Steps[s][i]; t.Phase == Placed {
					visit(TaskID{Job: j.ID(), Occurrence: o.Number, Step: s, Index: i}, t)
				}
			}
		}
	})
}

// StepReady says whether all earlier steps that a step waits for are done.
func (j *Job) StepReady(o *Occurrence, step int) bool {
	for _, before := range j.Submission.Steps[step].After {
		for i := range o.Steps[before] {
			if o.Steps[before][i].Phase != Done {
				return false
			}
		}
	}
	return true
}

// WaitingTasks returns the indexes of a step's tasks that wait to be started.
// A gang waits as a whole: none is returned while a member may be running.
func (j *Job) WaitingTasks(o *Occurrence, step int) []int {
	var waiting []int
	for i := range o.Steps[step] {
		switch o.Steps[step][i].Phase {
		case Waiting:
			waiting = append(waiting, i)
		case Placed:
			if j.Submission.Steps[step].Gang {
				return nil
			}
		}
	}
	return waiting
}

// NextRun returns the number of the next run of a task. The members of a gang
// share it.
func (j *Job) NextRun(id TaskID) int {
	if !j.Step(id).Gang {
		return j.Task(id).Run + 1
	}
	highest := 0
	for _, t := range j.occurrences[id.Occurrence].Steps[id.Step] {
		highest = max(highest, t.Run)
	}
	return highest + 1
}

// Place notes that a run of a task is about to be started. The caller records
// the job before it sends the start.
func (j *Job) Place(id TaskID, run int, at Placement) {
	t := j.Task(id)
	t.Phase = Placed
	t.Run = run
	t.Placement = at
	j.started = true
	j.placed++
}

// Result says what an end has changed.
type Result struct {
	// Changed says that the job has to be recorded.
	Changed bool
	// Ended says that the task's newest run has ended.
	Ended bool
	// StopAt is where another run of the now finished task may still run.
	StopAt  *Placement
	StopRun int
}

// Ended applies the end of a run. An earlier run that ended done counts too:
// the task need not run again.
func (j *Job) Ended(id TaskID, run int, how End, checkpoint string, maxFailures int, now time.Time) Result {
	t := j.Task(id)
	if t == nil || t.Phase == Done || run > t.Run {
		return Result{}
	}
	current := run == t.Run && t.Phase == Placed
	if how == EndDone && !j.Step(id).Lasting {
		return j.finish(id, t, current)
	}
	if !current {
		return Result{}
	}
	j.placed--
	t.Phase = Waiting
	t.WaitingSince = now
	t.AvoidInstance = ""
	if checkpoint != "" && j.Step(id).Checkpointing {
		j.saveCheckpoint(id, t, checkpoint)
	}
	if how == EndFailed {
		j.recordFailure(id, t, maxFailures)
	}
	return Result{Changed: true, Ended: true}
}

// finish marks a task done; in a gang one end stands for all members.
func (j *Job) finish(id TaskID, t *Task, current bool) Result {
	r := Result{Changed: true, Ended: current}
	if t.Phase == Placed {
		j.placed--
		if !current {
			at := t.Placement
			r.StopAt, r.StopRun = &at, t.Run
		}
	}
	o := j.occurrences[id.Occurrence]
	t.Phase = Done
	o.remaining--
	if j.Step(id).Gang {
		j.finishGang(o, id.Step)
	}
	if o.remaining == 0 {
		delete(j.occurrences, id.Occurrence)
		j.done++
	}
	return r
}

func (j *Job) finishGang(o *Occurrence, step int) {
	for i := range o.Steps[step] {
		t := &o.Steps[step][i]
		if t.Phase == Done {
			continue
		}
		if t.Phase == Placed {
			j.placed--
		}
		t.Phase = Done
		o.remaining--
	}
}

func (j *Job) recordFailure(id TaskID, t *Task, maxFailures int) {
	t.AvoidInstance = t.Placement.Instance
	if j.Step(id).Lasting {
		return
	}
	t.Failures++
	failures := t.Failures
	if j.Step(id).Gang {
		failures = 0
		for _, member := range j.occurrences[id.Occurrence].Steps[id.Step] {
			failures += member.Failures
		}
	}
	if maxFailures > 0 && failures >= maxFailures {
		j.failed = true
	}
}

// SaveCheckpoint keeps a checkpoint that an instance listed for a running task.
func (j *Job) SaveCheckpoint(id TaskID, run int, checkpoint string) {
	t := j.Task(id)
	if t == nil || t.Phase != Placed || t.Run != run || checkpoint == "" || !j.Step(id).Checkpointing {
		return
	}
	j.saveCheckpoint(id, t, checkpoint)
}

func (j *Job) saveCheckpoint(id TaskID, t *Task, checkpoint string) {
	t.Checkpoint = checkpoint
	if !j.Step(id).Gang {
		return
	}
	members := j.occurrences[id.Occurrence].Steps[id.Step]
	for i := range members {
		members[i].Checkpoint = checkpoint
	}
}
