package member

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/beryltide/beryltide/internal/record"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var genID = rapid.SampledFrom([]record.MemberID{"m1", "m2", "m3", "m4", "m5"})

// stateMachine applies operations to a Members, and keeps a clone that must not
// change.
type stateMachine struct {
	members    *Members
	departed   map[record.MemberID]bool
	offset     record.Offset
	clone      *Members
	cloneState State
}

func (m *stateMachine) join(t *rapid.T) {
	m.offset++
	id := genID.Draw(t, "id")
	known := m.members.Get(id) != nil
	joined := m.members.Join(m.offset, id, 1, record.Join{Instance: string(id)})
	if joined == (known || m.departed[id]) {
		t.Fatalf("join of %s returned %v; member=%v departed=%v", id, joined, known, m.departed[id])
	}
}

func (m *stateMachine) remove(t *rapid.T) {
	m.offset++
	id := genID.Draw(t, "id")
	known := m.members.Get(id) != nil
	if m.members.Remove(m.offset, id) != known {
		t.Fatalf("removal of %s disagrees with membership %v", id, known)
	}
	if known {
		m.departed[id] = true
	}
}

// appendRecord applies a record of a member, with a sequence number in order or
// stale.
func (m *stateMachine) appendRecord(t *rapid.T) {
	m.offset++
	id, seq := genID.Draw(t, "id"), rapid.Uint64Range(0, 20).Draw(t, "seq")
	before := m.members.State()
	old := m.members.Get(id)
	accepted := m.members.Accept(m.offset, id, seq)
	if accepted != (old != nil && seq > old.Seq) {
		t.Fatalf("record %d of %s accepted=%v after %+v", seq, id, accepted, old)
	}
	if !accepted {
		if !reflect.DeepEqual(before, m.members.State()) {
			t.Fatalf("a rejected record changed the members")
		}
		return
	}
	folded := record.Offset(rapid.Int64Range(0, int64(m.offset)).Draw(t, "folded"))
	m.members.Report(id, record.Report{Folded: folded, HandedOver: rapid.Uint64Range(0, 99).Draw(t, "epoch")})
	now := m.members.Get(id)
	if now.Folded < old.Folded || now.HandedOver < old.HandedOver || now.HandedOver > m.members.Epoch() {
		t.Fatalf("offset or epoch decreased, or is ahead of the current epoch: %+v to %+v", old, now)
	}
}

func (m *stateMachine) takeClone(*rapid.T) {
	m.clone = m.members.Clone()
	m.cloneState = m.clone.State()
}

// swap continues with the clone, so that its source must not change either,
// even after each has lost a different member.
func (m *stateMachine) swap(*rapid.T) {
	source := m.members
	m.members = source.Clone()
	for _, id := range source.IDs() {
		source.Remove(m.offset, id)
	}
	m.clone, m.cloneState = source, source.State()
}

func (m *stateMachine) restore(*rapid.T) { m.members = Restore(m.members.State()) }

func (m *stateMachine) check(t *rapid.T) {
	for id := range m.departed {
		if !m.members.Departed(id) || m.members.Get(id) != nil {
			t.Fatalf("departed member %s has returned", id)
		}
	}
	if m.clone != nil && !reflect.DeepEqual(m.clone.State(), m.cloneState) {
		t.Fatalf("clone changed from %+v to %+v", m.cloneState, m.clone.State())
	}
}

// TestMembers checks that departed members never return, whatever arrives late,
// that sequence numbers, offsets and epochs never decrease, and that clones are
// isolated.
func TestMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &stateMachine{members: New(), departed: map[record.MemberID]bool{}}
		t.Repeat(map[string]func(*rapid.T){
			"join":    m.join,
			"remove":  m.remove,
			"write":   m.appendRecord,
			"clone":   m.takeClone,
			"swap":    m.swap,
			"restore": m.restore,
			"":        m.check,
		})
	})
}

// TestClonesRecordDeparturesIndependently removes different members from both
// sides of a clone at every length of the shared list.
func TestClonesRecordDeparturesIndependently(t *testing.T) {
	is := is.New(t)
	ms := New()
	for i := range 16 {
		ids := []record.MemberID{record.MemberID(fmt.Sprint("a", i)), record.MemberID(fmt.Sprint("b", i))}
		for _, id := range ids {
			ms.Join(record.Offset(i), id, 1, record.Join{})
		}
		clone := ms.Clone()
		ms.Remove(record.Offset(i), ids[0])
		clone.Remove(record.Offset(i), ids[1])
		is.True(ms.Departed(ids[0]) && !ms.Departed(ids[1]))
		is.True(clone.Departed(ids[1]) && !clone.Departed(ids[0]))
	}
}

// BenchmarkClone measures a clone with 60 members and a full list of departed
// members.
func BenchmarkClone(b *testing.B) {
	ms := New()
	for i := range maxDeparted + 60 {
		id := record.MemberID(fmt.Sprintf("m%d", i))
		ms.Join(record.Offset(i), id, 1, record.Join{})
		if i < maxDeparted {
			ms.Remove(record.Offset(i), id)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		ms.Clone()
	}
}
