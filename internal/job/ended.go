package job

import (
	"time"
)

// Result is the effect of a run's end.
type Result struct {
	// Changed means that the job's record has to be stored.
	Changed bool
	// Ended means that the task's newest run has ended.
	Ended bool
	// StopAt is where a newer run of the task, which is done now, may still be
	// running; nil if nowhere.
	StopAt *Placement
	// StopRun is the number of the run at StopAt.
	StopRun int
}

// Ended applies the end of a run. Of runs before the newest one, only an end with
// EndDone counts: the task need not run again. MaxFailures is the number of failures
// at which the job fails; 0 means no limit.
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
	j.markChanged(id)
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

// finish marks a task as done, and with it all members of its gang.
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
	j.markChanged(id)
	o.remaining--
	if j.Step(id).Gang {
		j.finishGang(o, id.Step)
	}
	if o.remaining == 0 {
		delete(j.occurrences, id.Occurrence)
		j.done++
		for j.firstOpen < j.nextOccurrence && j.occurrences[j.firstOpen] == nil {
			j.firstOpen++
		}
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
		j.markChanged(TaskID{Occurrence: o.Number, Step: step, Index: i})
		o.remaining--
	}
}

// gangFailures returns the lowest and the highest number of failures of a gang's
// members. They are equal when a run begins, and the highest one is that of the gang's
// failed runs.
func (j *Job) gangFailures(id TaskID) (lowest, highest int) {
	members := j.occurrences[id.Occurrence].Steps[id.Step]
	lowest = members[0].Failures
	for i := range members {
		lowest, highest = min(lowest, members[i].Failures), max(highest, members[i].Failures)
	}
	return lowest, highest
}

func (j *Job) recordFailure(id TaskID, t *Task, maxFailures int) {
	t.AvoidInstance = t.Placement.Instance
	if j.Step(id).Lasting {
		return
	}
	if !j.Step(id).Gang {
		t.Failures++
	} else if lowest, highest := j.gangFailures(id); lowest == highest {
		t.Failures++
	} else {
		// Another member has counted this run of the gang.
		t.Failures = highest
	}
	if maxFailures > 0 && t.Failures >= maxFailures {
		j.failed = true
	}
}
