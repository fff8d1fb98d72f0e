package controlstate

import (
	"testing"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/record"
)

// Counts must be kept when the member that reported them leaves and when the
// state is restored from a checkpoint. A duplicate of their record must not count
// twice.
func TestBurnCountsSurviveLeaveAndCheckpoint(t *testing.T) {
	is := is.New(t)
	doc := &configuration.Document{Services: map[string]configuration.Service{"engraving": {AvailabilityObjective: 0.9}}}
	delta, err := configuration.Diff(&configuration.Document{}, doc).Encode()
	is.NoErr(err)
	counts := record.Burn{End: 60, Counts: []record.BurnCount{{Service: "engraving", Good: 5}, {Service: "unknown", Good: 9}}}
	s := New()
	for _, e := range []record.Envelope{
		{ID: "c", Body: record.Configure{Delta: delta, Digest: doc.Digest()}},
		{ID: "1", Author: "a", Seq: 1, Body: record.Join{Instance: "a"}},
		{ID: "2", Author: "a", Seq: 2, Body: counts},
		{ID: "2", Author: "a", Seq: 2, Body: counts},
		{ID: "3", Author: "a", Seq: 3, Body: record.Leave{}},
		{ID: "4", Author: "b", Seq: 1, Body: record.Join{Instance: "b"}},
		{ID: "5", Author: "b", Seq: 2, Body: counts},
	} {
		_, err := s.Fold(s.Next(), e)
		is.NoErr(err)
	}
	data, err := s.Snapshot().Checkpoint()
	is.NoErr(err)
	restored, err := Restore(data)
	is.NoErr(err)
	st := restored.Snapshot().Burn.State()
	is.Equal(len(st.Services), 1)
	is.Equal(st.Services[0].Hours[0].Counts.Good, int64(10))
}
