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

// State is a job's state as callers see it.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// End is how a run ended.
type End string

// The ends of a run. Instances list all but EndLost.
const (
	EndDone    End = "done"
	EndFailed  End = "failed"
	EndStopped End = "stopped"
	// EndLapsed means that the lease expired; an owner may also conclude it.
	EndLapsed End = "lapsed"
	EndBroken End = "broken"
	EndAlone  End = "alone"
	// EndLost is an owner's conclusion for a run that no longer exists anywhere.
	EndLost End = "lost"
)

// Phase is a task's place in its life cycle.
type Phase uint8

// The phases of a task. Their numbers are stored.
const (
	// Waiting tasks have no current run.
	Waiting Phase = iota
	// Placed tasks have a recorded start and may be running.
	Placed
	Done
)

// Placement is where a task was started.
type Placement struct {
	Instance string
	// Incarnation is the Unix millisecond at which the instance started.
	Incarnation int64
	// Bound: the start was sent to that incarnation alone. Earlier versions sent it to any.
	Bound bool
}

// Task is one task of an occurrence.
type Task struct {
	Phase Phase
	// Run is the number of the newest run, from 1; 0 before the first.
	Run int
	// Failures is the number of runs that ended with EndFailed; of a gang's member, of
	// the gang's runs.
	Failures int
	// Placement is where the newest run was started; valid in phase Placed.
	Placement Placement
	// Checkpoint is the one from which the next run resumes; empty if none.
	Checkpoint string
	// AvoidInstance is the instance at which the last run failed; empty otherwise. It
	// isn't stored, so a takeover clears it.
	AvoidInstance string
	// WaitingSince is when the occurrence began or the last run ended.
	WaitingSince time.Time
}

// Occurrence is one execution of all steps.
type Occurrence struct {
	Number int
	// Steps holds the tasks by step and index.
	Steps [][]Task
	// remaining is the number of tasks that aren't done.
	remaining int
}

// Job is a submission and its progress. It isn't safe for concurrent use.
type Job struct {
	Submission *Submission
	// occurrences holds those that have begun and aren't done, by number.
	occurrences map[int]*Occurrence
	// nextOccurrence is the number of the first that hasn't begun.
	nextOccurrence int
	// done is the number of occurrences that are done.
	done      int
	cancelled bool
	failed    bool
	started   bool
	// placed is the number of tasks in phase Placed.
	placed int
	// firstOpen is the number of the first occurrence that isn't done.
	firstOpen int
	// changed holds the parts that have to be stored, stored those that the store has.
	changed, stored map[part]bool
}

// New returns a job without progress. Advance begins its occurrences.
func New(s *Submission) *Job {
	return &Job{Submission: s, occurrences: map[int]*Occurrence{}, changed: map[part]bool{}, stored: map[part]bool{}}
}

func (j *Job) ID() string { return j.Submission.ID }

// total returns the number of the job's occurrences.
func (j *Job) total() int { return max(j.Submission.Occurrences, 1) }

// Timed reports whether the job's occurrences have due times.
func (j *Job) Timed() bool { return j.Submission.Occurrences > 0 }

// Due returns when an occurrence may start; of an untimed job, when it was accepted.
func (j *Job) Due(occurrence int) time.Time {
	s := j.Submission
	if !j.Timed() {
		return time.UnixMilli(s.AcceptedAt)
	}
	return time.UnixMilli(s.FirstDue + int64(occurrence)*s.IntervalMS)
}

// Advance begins the occurrences that are due, as many as a job may have at once. It
// returns the due time of the next one; pending is false if there is none.
func (j *Job) Advance(now time.Time) (next time.Time, pending bool) {
	for j.Active() && j.nextOccurrence < j.total() {
		due := j.Due(j.nextOccurrence)
		if j.Timed() && due.After(now) || j.full() {
			return due, true
		}
		j.occurrences[j.nextOccurrence] = j.newOccurrence(j.nextOccurrence, now)
		j.nextOccurrence++
	}
	return time.Time{}, false
}

// full reports whether no further occurrence may begin before another one is done.
func (j *Job) full() bool {
	open := len(j.occurrences)
	return open >= maxOpenOccurrences || open > 0 && (open+1)*j.Submission.tasks() > maxTasks
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

// Active reports whether tasks of the job may still start.
func (j *Job) Active() bool { return !j.cancelled && !j.failed && j.done < j.total() }

// Compact drops what a finished job no longer needs, its payload and tasks, and
// keeps its state, its names and its total work. It returns the submission to store
// in place of the former one.
func (j *Job) Compact() *Submission {
	s := *j.Submission
	s.Payload = ""
	s.Steps = []Step{{Count: 1, Need: Resources{CPU: 1000}, Estimate: time.Duration(s.Work() * float64(time.Second))}}
	j.Submission = &s
	j.occurrences = map[int]*Occurrence{}
	return &s
}

// Finished reports whether the job is final and none of its tasks may be running.
func (j *Job) Finished() bool { return !j.Active() && j.placed == 0 }

// Started reports whether a task of the job has ever been started.
func (j *Job) Started() bool { return j.started }

func (j *Job) Cancelled() bool { return j.cancelled }

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

// Cancel marks an active job as cancelled and reports whether it was active. Tasks
// that are placed stay so until their runs end.
func (j *Job) Cancel() bool {
	if !j.Active() {
		return false
	}
	j.cancelled = true
	return true
}

// Task returns a task of an occurrence that has begun and isn't done, or nil.
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

// EachOccurrence visits the occurrences that have begun and aren't done, in order.
func (j *Job) EachOccurrence(visit func(o *Occurrence)) {
	for n := j.firstOpen; n < j.nextOccurrence; n++ {
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

// StepReady reports whether all steps that a step depends on are done.
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

// WaitingTasks returns the indexes of a step's tasks in phase Waiting. For a gang it
// returns nil while any member may be running.
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

// NextRun returns the number of the next run of a task, which is the same for all
// members of a gang.
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

// Place marks a waiting task as placed by a run. The caller stores the job's record
// before it sends the start.
func (j *Job) Place(id TaskID, run int, at Placement) {
	t := j.Task(id)
	t.Phase = Placed
	t.Run = run
	t.Placement = at
	if j.Step(id).Gang {
		_, t.Failures = j.gangFailures(id)
	}
	j.markChanged(id)
	j.started = true
	j.placed++
}

// SaveCheckpoint keeps a checkpoint that an instance listed for a running task. It
// ignores those of other runs and of steps without checkpointing.
func (j *Job) SaveCheckpoint(id TaskID, run int, checkpoint string) {
	t := j.Task(id)
	if t == nil || t.Phase != Placed || t.Run != run || checkpoint == "" || !j.Step(id).Checkpointing {
		return
	}
	j.saveCheckpoint(id, t, checkpoint)
}

func (j *Job) saveCheckpoint(id TaskID, t *Task, checkpoint string) {
	t.Checkpoint = checkpoint
	j.markChanged(id)
	if !j.Step(id).Gang {
		return
	}
	members := j.occurrences[id.Occurrence].Steps[id.Step]
	for i := range members {
		members[i].Checkpoint = checkpoint
		j.markChanged(TaskID{Occurrence: id.Occurrence, Step: id.Step, Index: i})
	}
}
