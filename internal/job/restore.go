package job

import (
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Restore applies stored progress, the head and the parts by name, to a new job. Tasks
// of which no part is stored are as at the beginning. Waiting tasks wait since now.
// After an error the job isn't usable.
func (j *Job) Restore(head []byte, parts map[string][]byte, now time.Time) error {
	var r progressRecord
	if err := msgpack.Unmarshal(head, &r); err != nil {
		return errors.Wrap(err, "progress")
	}
	j.nextOccurrence, j.firstOpen, j.done = r.Next, r.Next, r.Done
	j.cancelled, j.failed, j.started = r.Cancelled, r.Failed, r.Started
	for _, o := range r.Occurrences {
		if err := j.restoreOccurrence(&r, o, now); err != nil {
			return errors.Wrapf(err, "occurrence %d", o.Number)
		}
	}
	for name, data := range parts {
		if err := j.restorePart(name, data); err != nil {
			return errors.Wrapf(err, "part %s", name)
		}
	}
	for number, o := range j.occurrences {
		j.completeGangs(o)
		if o.remaining == 0 {
			// Its parts were stored, the head that counts it wasn't.
			delete(j.occurrences, number)
			j.done++
		}
	}
	return nil
}

// FailIfExhausted fails a restored job of which a task or gang has failed as often as it may:
// the head says so only if it was stored after the parts. It reports whether the job has
// changed.
func (j *Job) FailIfExhausted(maxFailures int) bool {
	if !j.Active() || maxFailures <= 0 {
		return false
	}
	j.EachOccurrence(func(o *Occurrence) {
		for _, tasks := range o.Steps {
			j.failed = j.failed || slices.ContainsFunc(tasks, func(t Task) bool { return t.Phase != Done && t.Failures >= maxFailures })
		}
	})
	return j.failed
}

// completeGangs marks all members of a gang as done of which one is, as they were when the
// parts of some were stored and those of others weren't yet.
func (j *Job) completeGangs(o *Occurrence) {
	for number, tasks := range o.Steps {
		if j.Submission.Steps[number].Gang && slices.ContainsFunc(tasks, func(t Task) bool { return t.Phase == Done }) {
			j.finishGang(o, number)
		}
	}
}

func (j *Job) restoreOccurrence(r *progressRecord, stored occurrenceRecord, now time.Time) error {
	o := j.newOccurrence(stored.Number, now)
	j.occurrences[stored.Number] = o
	j.firstOpen = min(j.firstOpen, stored.Number)
	if j.Submission.inParts() {
		if len(stored.Steps) == 0 {
			return nil
		}
		// An earlier version stored all tasks in the head.
		for number := range j.Submission.parts() {
			j.changed[part{occurrence: stored.Number, number: number}] = true
		}
	}
	if len(stored.Steps) != len(o.Steps) {
		return errors.Errorf("%d steps, want %d", len(stored.Steps), len(o.Steps))
	}
	for s, rows := range stored.Steps {
		if err := j.restoreTasks(o, pointers(o.Steps[s]), rows, r.Instances); err != nil {
			return errors.Wrapf(err, "step %d", s)
		}
	}
	return nil
}

func (j *Job) restorePart(name string, data []byte) error {
	p, err := parsePart(name)
	if err != nil {
		return err
	}
	var r partRecord
	if err := msgpack.Unmarshal(data, &r); err != nil {
		return err
	}
	j.stored[p] = true
	o := j.occurrences[p.occurrence]
	if o == nil {
		// The head that was stored after it says that the occurrence is done.
		return nil
	}
	return j.restoreTasks(o, o.tasksOf(p.number), r.Tasks, r.Instances)
}

// restoreTasks applies rows to tasks that are as at the beginning.
func (j *Job) restoreTasks(o *Occurrence, tasks []*Task, rows []taskRecord, instances []string) error {
	if len(rows) != len(tasks) {
		return errors.Errorf("%d tasks, want %d", len(rows), len(tasks))
	}
	for i, row := range rows {
		t := tasks[i]
		t.Phase, t.Run, t.Failures, t.Checkpoint = row.Phase, row.Run, row.Failures, row.Checkpoint
		j.started = j.started || t.Run > 0
		switch row.Phase {
		case Done:
			o.remaining--
		case Placed:
			if row.Instance < 1 || row.Instance > len(instances) {
				return errors.Errorf("task %d: instance index out of range", i)
			}
			t.Placement = Placement{Instance: instances[row.Instance-1], Incarnation: max(row.Incarnation, -row.Incarnation), Bound: row.Incarnation < 0}
			j.placed++
		}
	}
	return nil
}
