package job

import (
	"testing"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"
)

// Guards against a run whose start an earlier version sent to any incarnation, taken for
// one that only the recorded incarnation can have, and against records that an earlier
// version can't read: it decodes only rows of the six fields below.
func TestOnlyNewPlacementsAreBound(t *testing.T) {
	type earlierRow struct {
		Phase         Phase
		Run, Failures int
		Instance      int
		Incarnation   int64
		Checkpoint    string
	}
	type earlierOccurrence struct {
		Number int
		Steps  [][]earlierRow
	}
	type earlierProgress struct {
		Next, Done                 int
		Cancelled, Failed, Started bool
		Instances                  []string
		Occurrences                []earlierOccurrence
	}
	is := is.New(t)
	j, _ := startedJob(Step{Count: 2})
	bound := Placement{Instance: "i-2", Incarnation: 7, Bound: true}
	j.Place(task(0, 0), 1, at)
	j.Place(task(0, 1), 1, bound)
	value := j.Records(testLimit)[0].Value

	var earlier earlierProgress
	is.NoErr(msgpack.Unmarshal(value, &earlier))
	is.Equal(earlier.Instances, []string{"i-1", "i-2"})
	is.Equal(earlier.Occurrences[0].Steps[0], []earlierRow{
		{Phase: Placed, Run: 1, Instance: 1, Incarnation: 7},
		{Phase: Placed, Run: 1, Instance: 2, Incarnation: -7},
	})

	restored := New(j.Submission)
	is.NoErr(restored.Restore(encode(&earlier), nil, now)) // as an earlier version stores it again
	is.Equal(restored.Task(task(0, 0)).Placement, at)
	is.Equal(restored.Task(task(0, 1)).Placement, bound)
}
