package fleet

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"

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

var (
	names      = []string{"i1", "i2", "i3"}
	allMembers = []record.MemberID{"m1", "m2", "m3"}
	genName    = rapid.SampledFrom(names)
	genPool    = rapid.SampledFrom([]string{"", "p1", "p2", "p3"})
)

// clearance is a member's report that it has cleared an instance.
type clearance struct {
	member record.MemberID
	name   string
	folded record.Offset
}

// stateMachine applies records to a fleet as the fold does: one record per
// offset.
type stateMachine struct {
	fleet      *Fleet
	members    []record.MemberID
	offset     record.Offset
	cleared    []clearance
	clone      *Fleet
	cloneState []Instance
}

// version returns the current version in most cases, else a stale one.
func (m *stateMachine) version(t *rapid.T, name string) uint64 {
	if inst := m.fleet.Get(name); inst != nil && rapid.IntRange(0, 4).Draw(t, "stale") > 0 {
		return inst.Version
	}
	return rapid.Uint64Range(0, uint64(m.offset)).Draw(t, "version")
}

// apply folds one record and checks its effect on each instance.
func (m *stateMachine) apply(t *rapid.T, fold func(at record.Offset)) {
	m.offset++
	before := make(map[string]Instance)
	for _, inst := range m.fleet.All() {
		before[inst.Name] = *inst
	}
	fold(m.offset)
	m.fleet.Settle(m.offset, m.members)
	for _, name := range names {
		old, had := before[name]
		m.checkChange(t, old, had, m.fleet.Get(name))
	}
}

func (m *stateMachine) checkChange(t *rapid.T, old Instance, had bool, now *Instance) {
	switch {
	case !had:
		return
	case now == nil:
		m.checkCleared(t, old, ToRemove)
		return
	case now.Pool != old.Pool:
		if now.Pool != old.To {
			t.Fatalf("%s moved to %q, not %q", old.Name, now.Pool, old.To)
		}
		m.checkCleared(t, old, ToMove)
	case now.Phase == Rebooting && old.Phase != Rebooting:
		m.checkCleared(t, old, ToMaintain)
	}
	if now.Version < old.Version || now.Phase != old.Phase && now.Version == old.Version {
		t.Fatalf("version of %s went from %d to %d", old.Name, old.Version, now.Version)
	}
}

func (m *stateMachine) checkCleared(t *rapid.T, old Instance, want Intent) {
	if old.Phase != Draining || old.Intent != want {
		t.Fatalf("%v took effect on an instance that was not draining for it: %+v", want, old)
	}
	for _, id := range m.members {
		if !m.clearedSince(id, old) {
			t.Fatalf("%v of %s took effect without %s", want, old.Name, id)
		}
	}
}

func (m *stateMachine) clearedSince(id record.MemberID, inst Instance) bool {
	for _, c := range m.cleared {
		if c.member == id && c.name == inst.Name && c.folded >= inst.Since {
			return true
		}
	}
	return false
}

func (m *stateMachine) adopt(t *rapid.T) {
	name, pool := genName.Draw(t, "name"), genPool.Draw(t, "pool")
	m.apply(t, func(at record.Offset) { m.fleet.Adopt(at, record.Adopt{Instance: name, Pool: pool}) })
}

func (m *stateMachine) move(t *rapid.T) {
	name, to := genName.Draw(t, "name"), genPool.Draw(t, "to")
	v := m.version(t, name)
	m.apply(t, func(at record.Offset) { m.fleet.Move(at, record.Move{Instance: name, To: to, Version: v}) })
}

func (m *stateMachine) maintain(t *rapid.T) {
	name := genName.Draw(t, "name")
	v := m.version(t, name)
	m.apply(t, func(at record.Offset) { m.fleet.Maintain(at, record.Maintain{Instance: name, Wave: "w", Version: v}) })
}

func (m *stateMachine) rebooted(t *rapid.T) {
	name := genName.Draw(t, "name")
	v := m.version(t, name)
	m.apply(t, func(at record.Offset) { m.fleet.Rebooted(at, record.Rebooted{Instance: name, Version: v, At: 1}) })
}

func (m *stateMachine) remove(t *rapid.T) {
	name := genName.Draw(t, "name")
	v := m.version(t, name)
	m.apply(t, func(at record.Offset) { m.fleet.Remove(at, record.Remove{Instance: name, Version: v}) })
}

func (m *stateMachine) cancel(t *rapid.T) {
	name := genName.Draw(t, "name")
	v := m.version(t, name)
	m.apply(t, func(at record.Offset) { m.fleet.Cancel(at, record.Cancel{Instance: name, Version: v}) })
}

func (m *stateMachine) clear(t *rapid.T) {
	c := clearance{
		member: rapid.SampledFrom(allMembers).Draw(t, "member"),
		name:   genName.Draw(t, "name"),
		folded: record.Offset(rapid.Int64Range(max(0, int64(m.offset)-4), int64(m.offset)).Draw(t, "folded")),
	}
	m.cleared = append(m.cleared, c)
	m.apply(t, func(record.Offset) { m.fleet.Clear(c.member, c.folded, c.name) })
}

// setMembers changes which members must clear; the fold doesn't settle on a
// join.
func (m *stateMachine) setMembers(t *rapid.T) {
	m.offset++
	m.members = allMembers[:rapid.IntRange(0, len(allMembers)).Draw(t, "members")]
}

func (m *stateMachine) takeClone(*rapid.T) {
	source := m.fleet
	m.fleet = source.Clone()
	m.clone, m.cloneState = source, source.State()
}

func (m *stateMachine) restore(*rapid.T) { m.fleet = Restore(m.fleet.State()) }

func (m *stateMachine) check(t *rapid.T) {
	draining := 0
	for _, inst := range m.fleet.All() {
		if inst.Pool == "" {
			t.Fatalf("%s is in no pool", inst.Name)
		}
		if inst.Phase == Draining {
			draining++
		}
		if (inst.Phase == Serving) != (inst.Intent == NoIntent) {
			t.Fatalf("phase and intent disagree: %+v", inst)
		}
	}
	if draining != len(m.fleet.Draining()) {
		t.Fatalf("%d instances are draining, but Draining returns %v", draining, m.fleet.Draining())
	}
	if m.clone != nil && !reflect.DeepEqual(m.clone.State(), m.cloneState) {
		t.Fatalf("clone changed from %+v to %+v", m.cloneState, m.clone.State())
	}
}

// TestFleet checks that an instance has one pool at every offset, and that a
// move, a reboot and a removal take effect only once all members have cleared
// the instance after the drain began.
func TestFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &stateMachine{fleet: New(), members: allMembers}
		t.Repeat(map[string]func(*rapid.T){
			"adopt":    m.adopt,
			"move":     m.move,
			"maintain": m.maintain,
			"rebooted": m.rebooted,
			"remove":   m.remove,
			"cancel":   m.cancel,
			"clear":    m.clear,
			"clear2":   m.clear,
			"members":  m.setMembers,
			"clone":    m.takeClone,
			"restore":  m.restore,
			"":         m.check,
		})
	})
}

// BenchmarkClone measures a clone of 3,500 instances.
func BenchmarkClone(b *testing.B) {
	f := New()
	for i := range 3500 {
		f.Adopt(record.Offset(i), record.Adopt{Instance: fmt.Sprintf("i%d", i), Pool: "p"})
	}
	b.ReportAllocs()
	for b.Loop() {
		f.Clone()
	}
}
