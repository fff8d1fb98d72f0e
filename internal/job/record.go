package job

import (
	"bytes"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// taskRecord is the stored form of a task.
type taskRecord struct {
	Phase    Phase
	Run      int
	Failures int
	// Instance is a 1-based index into progressRecord.Instances; 0 if not placed.
	Instance int
	// Incarnation is negated if the placement is bound to it. Rows can have no further
	// field, since earlier versions only decode rows of as many fields. They compare it
	// with the instance's alone, and treat the run as one of another incarnation, which
	// ends unless the instance lists it, as any run does.
	Incarnation int64
	Checkpoint  string
}

// partRecord is the stored form of a part, an array like progressRecord.
type partRecord struct {
	// Instances holds the IDs that tasks refer to by index.
	Instances []string
	Tasks     []taskRecord
}

type occurrenceRecord struct {
	Number int
	// Steps is empty if the tasks are stored in parts.
	Steps [][]taskRecord
}

// progressRecord is the stored form of a job's progress, but for the parts: an array
// without field names. The order of its fields, and of those of the types in it, is
// fixed.
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

// Record is one of the records in which a job's progress is stored.
type Record struct {
	// Part names a part of the job's tasks; it is empty for the head, which holds the
	// rest.
	Part string
	// Value is nil if the part has to be deleted.
	Value []byte
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

// Records returns what has changed in the job's progress since the last call, in the
// order in which it has to be stored: parts, the head, deletions. The job can be
// restored if only the first ones are stored. Checkpoints are left out of a value that
// would be over the limit, in bytes; their tasks begin anew. AvoidInstance and
// WaitingSince aren't stored. It panics if the progress can't be encoded, which its
// types rule out: a start must never go out without its record.
func (j *Job) Records(limit int) []Record {
	head := progressRecord{Next: j.nextOccurrence, Done: j.done, Cancelled: j.cancelled, Failed: j.failed, Started: j.started}
	var out []Record
	if !j.Finished() {
		for p := range j.changed {
			if o := j.occurrences[p.occurrence]; o != nil {
				out = append(out, Record{Part: p.name(), Value: o.encodePart(p.number, limit)})
				j.stored[p] = true
			}
		}
	}
	clear(j.changed)
	out = append(out, Record{Value: j.encodeHead(head, limit)})
	for p := range j.stored {
		if j.Finished() || j.occurrences[p.occurrence] == nil {
			out = append(out, Record{Part: p.name()})
			delete(j.stored, p)
		}
	}
	return out
}

func (j *Job) encodeHead(r progressRecord, limit int) []byte {
	if j.Finished() {
		return encode(&r)
	}
	return encodeWithin(limit, func(checkpoints bool) any {
		instances := instanceTable{numbers: map[string]int{}}
		r.Occurrences = nil
		j.EachOccurrence(func(o *Occurrence) {
			stored := occurrenceRecord{Number: o.Number}
			for _, tasks := range o.Steps {
				if !j.Submission.inParts() {
					stored.Steps = append(stored.Steps, instances.rows(pointers(tasks), checkpoints))
				}
			}
			r.Occurrences = append(r.Occurrences, stored)
		})
		r.Instances = instances.ids
		return &r
	})
}

func (o *Occurrence) encodePart(number, limit int) []byte {
	return encodeWithin(limit, func(checkpoints bool) any {
		instances := instanceTable{numbers: map[string]int{}}
		rows := instances.rows(o.tasksOf(number), checkpoints)
		return &partRecord{Instances: instances.ids, Tasks: rows}
	})
}

// encodeWithin encodes a record with its checkpoints, or without them if it would be
// longer than the limit.
func encodeWithin(limit int, record func(checkpoints bool) any) []byte {
	if data := encode(record(true)); len(data) <= limit {
		return data
	}
	return encode(record(false))
}

func encode(record any) []byte {
	var out bytes.Buffer
	encoder := msgpack.NewEncoder(&out)
	encoder.UseArrayEncodedStructs(true) // field names would be most of a record
	if err := encoder.Encode(record); err != nil {
		panic(errors.Wrap(err, "progress"))
	}
	return out.Bytes()
}

func pointers(tasks []Task) []*Task {
	out := make([]*Task, len(tasks))
	for i := range tasks {
		out[i] = &tasks[i]
	}
	return out
}

// instanceTable numbers the instances of a record from 1.
type instanceTable struct {
	ids     []string
	numbers map[string]int
}

func (t *instanceTable) number(id string) int {
	if t.numbers[id] == 0 {
		t.ids = append(t.ids, id)
		t.numbers[id] = len(t.ids)
	}
	return t.numbers[id]
}

func (p Placement) storedIncarnation() int64 {
	if p.Bound {
		return -p.Incarnation
	}
	return p.Incarnation
}

func (t *instanceTable) rows(tasks []*Task, checkpoints bool) []taskRecord {
	rows := make([]taskRecord, len(tasks))
	for i, task := range tasks {
		rows[i] = taskRecord{Phase: task.Phase, Run: task.Run}
		if task.Phase == Done {
			continue
		}
		rows[i].Failures = task.Failures
		if checkpoints {
			rows[i].Checkpoint = task.Checkpoint
		}
		if task.Phase == Placed {
			rows[i].Instance = t.number(task.Placement.Instance)
			rows[i].Incarnation = task.Placement.storedIncarnation()
		}
	}
	return rows
}
