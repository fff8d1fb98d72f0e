package controlstate

import (
	"fmt"
	"testing"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/record"
)

// The fleet size that the system is designed for.
const (
	fullMembers   = 60
	fullTeams     = 430
	fullInstances = 3500
	fullPools     = 113
	// fullDraining is the number of instances that drain for a reboot at once.
	fullDraining = 20
)

// testReporter is the part of testing.TB and rapid.T that the fixtures use.
type testReporter interface {
	Helper()
	Fatal(args ...any)
}

// testMember creates the records of one member.
type testMember struct {
	id  record.MemberID
	seq uint64
}

func (m *testMember) record(b record.Body) record.Envelope {
	m.seq++
	return record.Envelope{ID: fmt.Sprintf("%s-%d", m.id, m.seq), Author: m.id, Seq: m.seq, Body: b}
}

// stateFixture folds records at the next offset. It fails the test on a gap.
type stateFixture struct {
	tb    testReporter
	state *State
}

func (f stateFixture) fold(e record.Envelope) Outcome {
	f.tb.Helper()
	out, err := f.state.Fold(f.state.Next(), e)
	if err != nil {
		f.tb.Fatal(err)
	}
	return out
}

func (f stateFixture) configure(target *configuration.Document) Outcome {
	f.tb.Helper()
	return f.fold(configureRecord(f.tb, f.state, target))
}

func configureRecord(tb testReporter, s *State, target *configuration.Document) record.Envelope {
	tb.Helper()
	delta, err := configuration.Diff(s.doc, target).Encode()
	if err != nil {
		tb.Fatal(err)
	}
	return record.Envelope{ID: fmt.Sprintf("c%d", s.next), Body: record.Configure{
		Base: s.revision, Delta: delta, Digest: target.Digest(), Operator: "op",
	}}
}

func fullDocument() *configuration.Document {
	doc := &configuration.Document{
		DataCentres: map[string]configuration.DataCentre{},
		Pools:       map[string]configuration.Pool{},
		Teams:       map[string]configuration.Team{},
	}
	for i := range 5 {
		doc.DataCentres[fmt.Sprintf("dc%d", i)] = configuration.DataCentre{Region: "r", InService: true}
	}
	for i := range fullPools {
		doc.Pools[fmt.Sprintf("pool-%03d", i)] = configuration.Pool{Service: "s", Size: 31, MaxSize: 60}
	}
	for i := range fullTeams {
		doc.Teams[fmt.Sprintf("team-%03d", i)] = configuration.Team{Share: 1, Limit: 60}
	}
	return doc
}

// fullState returns a full-size state, in which every credit is granted, and its
// members.
func fullState(tb testReporter) (*State, []*testMember) {
	f := stateFixture{tb: tb, state: New()}
	f.configure(fullDocument())
	members := make([]*testMember, fullMembers)
	for i := range members {
		members[i] = &testMember{id: record.MemberID(fmt.Sprintf("member-%02d-0123456789abcdef", i))}
		f.fold(members[i].record(record.Join{Instance: fmt.Sprintf("entry-%02d", i), DataCentre: "dc0"}))
	}
	for i := range fullInstances {
		f.fold(members[0].record(record.Adopt{
			Instance:   fmt.Sprintf("worker-%04d", i),
			Addr:       fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
			DataCentre: fmt.Sprintf("dc%d", i%5),
			Rack:       fmt.Sprintf("rack-%04d", i/4),
			Pool:       fmt.Sprintf("pool-%03d", i%fullPools),
			Slots:      8,
		}))
	}
	for i := range fullDraining {
		name := fmt.Sprintf("worker-%04d", i)
		f.fold(members[0].record(record.Maintain{Instance: name, Wave: "w", Version: f.state.fleet.Get(name).Version}))
	}
	for _, m := range members {
		takes := make([]record.CreditChange, fullTeams)
		for i := range takes {
			takes[i] = record.CreditChange{Team: fmt.Sprintf("team-%03d", i), Count: 1}
		}
		f.fold(m.record(record.Report{Takes: takes}))
	}
	return f.state, members
}

// reportOf returns the i-th report: one yield, one take, and in every tenth
// report a clearance.
func reportOf(i int) record.Report {
	r := record.Report{
		Folded: record.Offset(i),
		Yields: []record.CreditChange{{Team: fmt.Sprintf("team-%03d", i%fullTeams), Count: 1}},
		Takes:  []record.CreditChange{{Team: fmt.Sprintf("team-%03d", i%fullTeams), Count: 1}},
	}
	if i%10 == 0 {
		r.Cleared = []string{fmt.Sprintf("worker-%04d", i%fullDraining)}
	}
	return r
}

// BenchmarkFoldFullSize decodes and folds one report per operation.
func BenchmarkFoldFullSize(b *testing.B) {
	s, members := fullState(b)
	const distinct = 1 << 16
	data := make([][]byte, 0, distinct)
	b.ResetTimer()
	for i := range b.N {
		if i%distinct == 0 {
			b.StopTimer()
			data = data[:0]
			for j := range distinct {
				encoded, err := record.Encode(members[j%len(members)].record(reportOf(j)))
				if err != nil {
					b.Fatal(err)
				}
				data = append(data, encoded)
			}
			b.StartTimer()
		}
		if _, out, err := s.FoldData(s.Next(), data[i%distinct]); err != nil || !out.Accepted {
			b.Fatal(out, err)
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "records/s")
}

// BenchmarkSnapshotFullSize takes a snapshot after every ten reports, like a
// daemon that publishes ten times a second. The folds are timed with it.
func BenchmarkSnapshotFullSize(b *testing.B) {
	s, members := fullState(b)
	n := 0
	for b.Loop() {
		for range 10 {
			if _, err := s.Fold(s.Next(), members[n%len(members)].record(reportOf(n))); err != nil {
				b.Fatal(err)
			}
			n++
		}
		if s.Snapshot() == nil {
			b.Fatal("no snapshot")
		}
	}
}

func BenchmarkCheckpointFullSize(b *testing.B) {
	s, _ := fullState(b)
	snap := s.Snapshot()
	for b.Loop() {
		data, err := snap.Checkpoint()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "bytes")
	}
}

func BenchmarkRestoreFullSize(b *testing.B) {
	s, _ := fullState(b)
	data, err := s.Snapshot().Checkpoint()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := Restore(data); err != nil {
			b.Fatal(err)
		}
	}
}
