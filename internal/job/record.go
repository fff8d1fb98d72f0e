package job

import (
	"bytes"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// taskRecord is the stored form of a task.
type taskRecord struct {
	Phase    Phase
	Run      int
	Failures int
	// Instance is a 1-based index into progressRecord.Instances; 0 if not placed.
	Instance    int
	Incarnation int64
	Checkpoint  string
}

type occurrenceRecord struct {
	Number int
	Steps  [][]taskRecord
}

// progressRecord is the stored form of a job's progress, an array without field
// names: the order of its fields, and of those of the types in it, is fixed.
type progressRecord struct {
	Next      int
	Done      int
	Cancelled bool
	Failed    bool
	Started   bool
	// Instances holds the IDs that tasks refer to by index.
	Instances []string
	// Occurrences holds those that have begun and aren't done; none of a finished
	// job.
	Occurrences []occurrenceRecord
}

// EncodeSubmission returns the stored form of a submission. Fields without a value
// are left out.
func EncodeSubmission(s *Submission) ([]byte, error) {
	var out bytes.Buffer
	encoder := msgpack.NewEncoder(&out)
	encoder.SetOmitEmpty(true)
	if err := encoder.Encode(s); err != nil {
		return nil, errors.Wrap(err, "submission")
	}
	return out.Bytes(), nil
}

// DecodeSubmission returns a submission from its stored form, or an error if it
// isn't valid.
func DecodeSubmission(data []byte) (*Submission, error) {
	var s Submission
	if err := msgpack.Unmarshal(data, &s); err != nil {
		return nil, errors.Wrap(err, "submission")
	}
	if err := s.Validate(); err != nil {
		return nil, errors.Wrap(err, "submission")
	}
	return &s, nil
}

// Record returns the stored form of the job's progress. AvoidInstance and
// WaitingSince aren't stored. It panics if the progress can't be encoded, which its
// types rule out: a start must never go out without its record.
func (j *Job) Record() []byte {
	r := progressRecord{Next: j.nextOccurrence, Done: j.done, Cancelled: j.cancelled, Failed: j.failed, Started: j.started}
	if !j.Finished() {
		numbers := map[string]int{}
		j.EachOccurrence(func(o *Occurrence) {
			r.Occurrences = append(r.Occurrences, r.occurrence(o, numbers))
		})
	}
	var out bytes.Buffer
	encoder := msgpack.NewEncoder(&out)
	encoder.UseArrayEncodedStructs(true) // field names would be most of a record
	if err := encoder.Encode(&r); err != nil {
		panic(errors.Wrap(err, "progress"))
	}
	return out.Bytes()
}

func (r *progressRecord) occurrence(o *Occurrence, numbers map[string]int) occurrenceRecord {
	out := occurrenceRecord{Number: o.Number}
	for _, tasks := range o.Steps {
		rows := make([]taskRecord, len(tasks))
		for i, t := range tasks {
			rows[i] = taskRecord{Phase: t.Phase, Run: t.Run}
			if t.Phase == Done {
				continue
			}
			rows[i].Failures = t.Failures
			rows[i].Checkpoint = t.Checkpoint
			if t.Phase == Placed {
				rows[i].Instance = r.instance(t.Placement.Instance, numbers)
				rows[i].Incarnation = t.Placement.Incarnation
			}
		}
		out.Steps = append(out.Steps, rows)
	}
	return out
}

func (r *progressRecord) instance(id string, numbers map[string]int) int {
	if numbers[id] == 0 {
		r.Instances = append(r.Instances, id)
		numbers[id] = len(r.Instances)
	}
	return numbers[id]
}

// Restore applies stored progress to a new job. Waiting tasks wait since now. After
// an error the job isn't usable.
func (j *Job) Restore(data []byte, now time.Time) error {
	var r progressRecord
	if err := msgpack.Unmarshal(data, &r); err != nil {
		return errors.Wrap(err, "progress")
	}
	j.nextOccurrence, j.done = r.Next, r.Done
	j.cancelled, j.failed, j.started = r.Cancelled, r.Failed, r.Started
	for _, o := range r.Occurrences {
		if err := j.restoreOccurrence(&r, o, now); err != nil {
			return errors.Wrapf(err, "occurrence %d", o.Number)
		}
	}
	return nil
}

func (j *Job) restoreOccurrence(r *progressRecord, stored occurrenceRecord, now time.Time) error {
	o := j.newOccurrence(stored.Number, now)
	if len(stored.Steps) != len(o.Steps) {
		return errors.Errorf("%d steps, want %d", len(stored.Steps), len(o.Steps))
	}
	for s, rows := range stored.Steps {
		if len(rows) != len(o.Steps[s]) {
			return errors.Errorf("step %d: %d tasks, want %d", s, len(rows), len(o.Steps[s]))
		}
		for i, row := range rows {
			t := &o.Steps[s][i]
			t.Phase, t.Run, t.Failures, t.Checkpoint = row.Phase, row.Run, row.Failures, row.Checkpoint
			switch row.Phase {
			case Done:
				o.remaining--
			case Placed:
				if row.Instance < 1 || row.Instance > len(r.Instances) {
					return errors.Errorf("step %d, task %d: instance index out of range", s, i)
				}
				t.Placement = Placement{Instance: r.Instances[row.Instance-1], Incarnation: row.Incarnation}
				j.placed++
			}
		}
	}
	j.occurrences[stored.Number] = o
	return nil
}
