package job

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

const (
	// partTasks is how many tasks of an occurrence a part of the stored progress holds.
	// The progress of a job with more tasks is stored in parts, of which only the
	// changed ones are written.
	partTasks = 256
	// maxTasks bounds the tasks of an occurrence, and those of all occurrences that have
	// begun: a daemon holds about 100 bytes for each.
	maxTasks = 50_000
	// maxOpenOccurrences bounds the occurrences that have begun and aren't done.
	maxOpenOccurrences = 1000
)

// part names a range of partTasks tasks of an occurrence, counted over all its steps.
type part struct {
	occurrence int
	number     int
}

func (p part) name() string { return strconv.Itoa(p.occurrence) + "." + strconv.Itoa(p.number) }

func parsePart(name string) (part, error) {
	occurrence, number, found := strings.Cut(name, ".")
	o, err := strconv.Atoi(occurrence)
	n, numberErr := strconv.Atoi(number)
	if !found || err != nil || numberErr != nil || o < 0 || n < 0 {
		return part{}, errors.Errorf("part %q: want OCCURRENCE.NUMBER", name)
	}
	return part{occurrence: o, number: n}, nil
}

// tasks returns the number of tasks of one occurrence.
func (s *Submission) tasks() int {
	count := 0
	for i := range s.Steps {
		count += s.Steps[i].Count
	}
	return count
}

// inParts reports whether the job's progress is stored in parts.
func (s *Submission) inParts() bool {
	return s.tasks() > partTasks || s.Occurrences > partTasks/max(s.tasks(), 1)
}

// parts returns the number of parts of an occurrence.
func (s *Submission) parts() int { return (s.tasks() + partTasks - 1) / partTasks }

// part returns the part that a task belongs to.
func (s *Submission) part(id TaskID) part {
	position := id.Index
	for i := range id.Step {
		position += s.Steps[i].Count
	}
	return part{occurrence: id.Occurrence, number: position / partTasks}
}

// markChanged records that a task has to be stored.
func (j *Job) markChanged(id TaskID) {
	if j.Submission.inParts() {
		j.changed[j.Submission.part(id)] = true
	}
}

// tasksOf returns the tasks of a part.
func (o *Occurrence) tasksOf(number int) []*Task {
	var out []*Task
	position, from := 0, number*partTasks
	for _, tasks := range o.Steps {
		for i := max(from-position, 0); i < len(tasks) && position+i < from+partTasks; i++ {
			out = append(out, &tasks[i])
		}
		position += len(tasks)
	}
	return out
}
