package team

import (
	"flag"
	"os"
	"slices"
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
	genTeam   = rapid.SampledFrom([]string{"a", "b", "c"})
	genMember = rapid.SampledFrom([]record.MemberID{"m1", "m2", "m3", "m4"})
	genCount  = rapid.IntRange(-2, 12)
)

// machine applies random operations to a ledger and keeps a clone of it that
// must not change.
type machine struct {
	ledger  *Ledger
	clone   *Ledger
	atClone []AccountState
}

func (m *machine) take(t *rapid.T) {
	team := genTeam.Draw(t, "team")
	over, free := m.ledger.OverLimit(team), m.ledger.Free(team)
	member, count := genMember.Draw(t, "member"), genCount.Draw(t, "count")
	granted := m.ledger.Take(member, team, count)
	if granted < 0 || granted > free || over && granted > 0 {
		t.Fatalf("Take granted %d of %d free credits, over=%v", granted, free, over)
	}
	wait := m.ledger.Waiting(member, team)
	if m.ledger.Limit(team) > 0 && wait != max(0, count-granted) {
		t.Fatalf("%s waits for %d after a take of %d that was granted %d", member, wait, count, granted)
	}
}

func (m *machine) yield(t *rapid.T) {
	member, team := genMember.Draw(t, "member"), genTeam.Draw(t, "team")
	before := m.ledger.Grant(member, team)
	yielded := m.ledger.Yield(member, team, genCount.Draw(t, "count"))
	if yielded < 0 || m.ledger.Grant(member, team) != before-yielded {
		t.Fatalf("Yield returned %d of %d credits and left %d", yielded, before, m.ledger.Grant(member, team))
	}
}

func (m *machine) release(t *rapid.T) {
	member := genMember.Draw(t, "member")
	m.ledger.Release(member)
	for _, team := range m.ledger.Teams() {
		if n := m.ledger.Grant(member, team) + m.ledger.Waiting(member, team); n != 0 {
			t.Fatalf("released member still holds or waits for %d credits of %s", n, team)
		}
	}
}

func (m *machine) setLimits(t *rapid.T) {
	limits := rapid.MapOf(genTeam, rapid.IntRange(0, 20)).Draw(t, "limits")
	grants := grantsOf(m.ledger)
	m.ledger.SetLimits(limits)
	if !slices.Equal(grants, grantsOf(m.ledger)) {
		t.Fatalf("SetLimits changed grants from %v to %v", grants, grantsOf(m.ledger))
	}
}

func (m *machine) takeClone(*rapid.T) {
	m.clone = m.ledger.Clone()
	m.atClone = m.clone.State()
}

func (m *machine) restore(*rapid.T) { m.ledger = Restore(m.ledger.State()) }

func (m *machine) check(t *rapid.T) {
	for _, team := range m.ledger.Teams() {
		sum := 0
		for member, n := range m.ledger.Holders(team) {
			if n <= 0 {
				t.Fatalf("%s holds %d of %s", member, n, team)
			}
			sum += n
		}
		if sum != m.ledger.Granted(team) {
			t.Fatalf("%s: grants sum to %d, not %d", team, sum, m.ledger.Granted(team))
		}
		if sum > m.ledger.Limit(team) != m.ledger.OverLimit(team) {
			t.Fatalf("%s: %d of %d granted, over=%v", team, sum, m.ledger.Limit(team), m.ledger.OverLimit(team))
		}
	}
	if m.clone != nil && !equalStates(m.clone.State(), m.atClone) {
		t.Fatalf("clone changed from %v to %v", m.atClone, m.clone.State())
	}
}

// TestGrantsStayWithinLimitAndClonesAreIsolated checks that grants exceed a
// limit only after it was lowered, and that clones are isolated.
func TestGrantsStayWithinLimitAndClonesAreIsolated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{ledger: NewLedger()}
		t.Repeat(map[string]func(*rapid.T){
			"take":    m.take,
			"yield":   m.yield,
			"release": m.release,
			"limits":  m.setLimits,
			"clone":   m.takeClone,
			"restore": m.restore,
			"":        m.check,
		})
	})
}

type grant struct {
	member record.MemberID
	team   string
	count  int
}

func grantsOf(l *Ledger) []grant {
	var all []grant
	for _, team := range []string{"a", "b", "c"} {
		for _, m := range []record.MemberID{"m1", "m2", "m3", "m4"} {
			all = append(all, grant{m, team, l.Grant(m, team)})
		}
	}
	return all
}

func equalStates(a, b []AccountState) bool {
	return slices.EqualFunc(a, b, func(x, y AccountState) bool {
		return x.Team == y.Team && x.Limit == y.Limit &&
			slices.Equal(x.Grants, y.Grants) && slices.Equal(x.Waiting, y.Waiting)
	})
}
