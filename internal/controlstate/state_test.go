package controlstate

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/record"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// entry is one encoded record of a generated log. Some are corrupt, duplicated or
// stale.
type entry []byte

// drawLog generates a log in which members race: proposals name versions and
// revisions that may be outdated, and records are duplicated.
func drawLog(t *rapid.T) []entry {
	members := []*testMember{{id: "a"}, {id: "b"}, {id: "c"}}
	model := New()
	var log []entry
	for range rapid.IntRange(1, 60).Draw(t, "records") {
		var e entry
		switch rapid.IntRange(0, 11).Draw(t, "kind of entry") {
		case 0:
			e = rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "corrupt")
		case 1:
			if len(log) > 0 {
				e = log[rapid.IntRange(0, len(log)-1).Draw(t, "doubled")]
			}
		case 2:
			e = encode(t, drawConfigure(t, model))
		default:
			member := members[rapid.IntRange(0, len(members)-1).Draw(t, "author")]
			e = encode(t, member.record(drawBody(t, model)))
		}
		if _, _, err := model.FoldData(model.Next(), e); err != nil {
			t.Fatal(err)
		}
		log = append(log, e)
	}
	return log
}

func encode(t *rapid.T, e record.Envelope) entry {
	data, err := record.Encode(e)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func drawConfigure(t *rapid.T, s *State) record.Envelope {
	limit := rapid.IntRange(0, 6).Draw(t, "limit")
	target := s.doc.Apply(configuration.Delta{Teams: configuration.Changes[configuration.Team]{
		Set: map[string]configuration.Team{
			rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "team"): {Share: 1, Limit: limit},
		},
	}})
	e := configureRecord(t, s, target)
	c := e.Body.(record.Configure)
	c.Base += uint64(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "stale"))
	e.Body = c
	return e
}

func drawBody(t *rapid.T, s *State) record.Body {
	name := rapid.SampledFrom([]string{"i1", "i2", "i3"}).Draw(t, "instance")
	version := uint64(1)
	if inst := s.fleet.Get(name); inst != nil {
		version = inst.Version
	}
	credits := []record.CreditChange{{
		Team:  rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "team"),
		Count: rapid.IntRange(1, 4).Draw(t, "count"),
	}}
	bodies := []record.Body{
		record.Join{Instance: "e"},
		record.Report{Folded: s.Next(), Takes: credits},
		record.Report{Folded: s.Next(), Yields: credits, Cleared: []string{name}},
		record.Report{Folded: s.Next(), Cleared: []string{name}},
		record.Leave{},
		record.Reclaim{Member: "a", LastSeq: uint64(rapid.IntRange(0, 10).Draw(t, "last"))},
		record.Adopt{Instance: name, Pool: "p", Slots: 8},
		record.Move{Instance: name, To: "q", Version: version},
		record.Maintain{Instance: name, Wave: "w", Version: version},
		record.Rebooted{Instance: name, Version: version, At: 7},
		record.Remove{Instance: name, Version: version},
		record.Cancel{Instance: name, Version: version},
		record.Checkpointed{Next: s.Next()},
	}
	return rapid.SampledFrom(bodies).Draw(t, "body")
}

func foldAll(t *rapid.T, s *State, log []entry) {
	for _, data := range log {
		if _, _, err := s.FoldData(s.Next(), data); err != nil {
			t.Fatal(err)
		}
	}
}

func checkpointOf(t *rapid.T, s *Snapshot) []byte {
	data, err := s.Checkpoint()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestFoldIsDeterministic folds one log three ways: from its start, from a
// checkpoint at any offset, and with a snapshot taken at that offset. All must
// give the same checkpoint, and the snapshot must not change afterwards.
func TestFoldIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := drawLog(t)
		cut := rapid.IntRange(0, len(log)).Draw(t, "cut")

		continued := New()
		foldAll(t, continued, log[:cut])
		snapshot := continued.Snapshot()
		snapshotBytes := checkpointOf(t, snapshot)
		foldAll(t, continued, log[cut:])

		restored, err := Restore(snapshotBytes)
		if err != nil {
			t.Fatal(err)
		}
		foldAll(t, restored, log[cut:])

		uninterrupted := New()
		foldAll(t, uninterrupted, log)
		want := checkpointOf(t, uninterrupted.Snapshot())
		if !bytes.Equal(checkpointOf(t, continued.Snapshot()), want) {
			t.Fatal("taking a snapshot changed the fold")
		}
		if !bytes.Equal(checkpointOf(t, restored.Snapshot()), want) {
			t.Fatal("the fold from a checkpoint differs from the fold from the start")
		}
		if !bytes.Equal(checkpointOf(t, snapshot), snapshotBytes) {
			t.Fatal("a snapshot changed after it was taken")
		}
	})
}

// TestFoldIgnoresDuplicateRecords folds a log, and then the same log with each
// record duplicated at once and once more later: an outbox sends a record again
// until it has been read back.
func TestFoldIgnoresDuplicateRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		once, twice := New(), New()
		var log []entry
		for i := range rapid.IntRange(1, 30).Draw(t, "reports") {
			m := &testMember{id: "a", seq: uint64(i)}
			log = append(log, encode(t, m.record(record.Report{
				Takes: []record.CreditChange{{Team: "x", Count: 1}},
			})))
		}
		for _, s := range []*State{once, twice} {
			f := stateFixture{tb: t, state: s}
			f.configure(&configuration.Document{Teams: map[string]configuration.Team{"x": {Limit: 100}}})
			f.fold(record.Envelope{Author: "a", Body: record.Join{}})
		}
		foldAll(t, once, log)
		for i, e := range log {
			foldAll(t, twice, []entry{e, e, log[rapid.IntRange(0, i).Draw(t, "late duplicate")]})
		}
		if once.ledger.Granted("x") != twice.ledger.Granted("x") {
			t.Fatalf("granted %d without duplicates, %d with them", once.ledger.Granted("x"), twice.ledger.Granted("x"))
		}
	})
}

func TestFoldIgnoresInvalidRecords(t *testing.T) {
	is := is.New(t)
	f := stateFixture{tb: t, state: New()}
	doc := &configuration.Document{Teams: map[string]configuration.Team{"x": {Share: 1, Limit: 2}}}
	first := configureRecord(t, f.state, doc)
	is.True(f.fold(first).Accepted)
	is.Equal(f.fold(first).Reason, ReasonStale) // sent again after a lost reply

	wrong := configureRecord(t, f.state, &configuration.Document{})
	body := wrong.Body.(record.Configure)
	body.Digest = "0"
	is.Equal(f.fold(record.Envelope{Body: body}).Reason, ReasonDigest)
	body.Delta = []byte(`{"teams": `)
	is.Equal(f.fold(record.Envelope{Body: body}).Reason, ReasonCorrupt)

	m := &testMember{id: "m"}
	is.Equal(f.fold(m.record(record.Report{})).Reason, ReasonNoMember)
	is.True(f.fold(m.record(record.Join{})).Accepted)
	is.Equal(f.fold(m.record(record.Join{})).Reason, ReasonDuplicate)
	is.Equal(f.fold(record.Envelope{Author: "m", Seq: 1, Body: record.Leave{}}).Reason, ReasonSequence)
	is.Equal(f.fold(m.record(record.Move{Instance: "none", To: "p"})).Reason, ReasonStale)

	next := f.state.Next()
	_, out, err := f.state.FoldData(next, []byte("no record"))
	is.NoErr(err)
	is.Equal(out.Reason, ReasonCorrupt)
	is.Equal(f.state.Next(), next+1)
	_, _, err = f.state.FoldData(next, []byte("no record"))
	is.True(err != nil) // offset is already folded
	is.Equal(f.state.Next(), next+1)
	is.Equal(f.state.Snapshot().Revision, uint64(1))
}

func TestRestoreRefusesDamagedCheckpoints(t *testing.T) {
	is := is.New(t)
	f := stateFixture{tb: t, state: New()}
	f.configure(&configuration.Document{Teams: map[string]configuration.Team{"team-x": {Share: 1, Limit: 2}}})
	data, err := f.state.Snapshot().Checkpoint()
	is.NoErr(err)
	for n := range len(data) {
		_, err := Restore(data[:n])
		is.True(err != nil) // truncated
	}
	_, err = Restore(append(bytes.Clone(data), 0))
	is.True(err != nil) // data after its end
	_, err = Restore(bytes.Replace(data, []byte("team-x"), []byte("team-y"), 1))
	is.True(err != nil) // changed document
	s, err := Restore(data)
	is.NoErr(err)
	is.Equal(fmt.Sprint(s.Snapshot().Document), fmt.Sprint(f.state.Snapshot().Document))
}

// TestCheckpointBytesAreCanonical encodes a full-size state, and again after it
// was restored: the maps then iterate in another order, and the bytes must be the
// same.
func TestCheckpointBytesAreCanonical(t *testing.T) {
	is := is.New(t)
	s, _ := fullState(t)
	want, err := s.Snapshot().Checkpoint()
	is.NoErr(err)
	restored, err := Restore(want)
	is.NoErr(err)
	got, err := restored.Snapshot().Checkpoint()
	is.NoErr(err)
	is.True(bytes.Equal(got, want))
}

// TestDrainEndsWhenLastMemberClearsOrDeparts has one member clear a move. The
// move must take effect when the other one clears it too, leaves or is reclaimed.
func TestDrainEndsWhenLastMemberClearsOrDeparts(t *testing.T) {
	a, b := &testMember{id: "a"}, &testMember{id: "b"}
	for name, last := range map[string]func() record.Envelope{
		"cleared":   func() record.Envelope { return b.record(record.Report{Folded: 9, Cleared: []string{"i"}}) },
		"left":      func() record.Envelope { return b.record(record.Leave{}) },
		"reclaimed": func() record.Envelope { return a.record(record.Reclaim{Member: "b", LastSeq: b.seq}) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := stateFixture{tb: t, state: New()}
			f.fold(a.record(record.Join{}))
			f.fold(b.record(record.Join{}))
			f.fold(a.record(record.Adopt{Instance: "i", Pool: "p"}))
			f.fold(a.record(record.Move{Instance: "i", To: "q", Version: f.state.fleet.Get("i").Version}))
			f.fold(a.record(record.Report{Folded: f.state.Next(), Cleared: []string{"i"}}))
			is.Equal(f.state.fleet.Get("i").Pool, "p")
			is.True(f.fold(last()).Accepted)
			is.Equal(f.state.fleet.Get("i").Pool, "q")
		})
	}
}
