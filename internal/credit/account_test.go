package credit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// machine runs members through random schedules of use, lagging folds, and
// appends that are lost, duplicated or late.
type machine struct {
	*sim
	// maxLimit is the highest limit under which work may have been started.
	maxLimit int
}

func (m *machine) draw(t *rapid.T) *node { return rapid.SampledFrom(m.nodes).Draw(t, "node") }

func (m *machine) start(t *rapid.T) {
	n := m.draw(t)
	run := time.Duration(rapid.IntRange(0, 500).Draw(t, "run ms")) * time.Millisecond
	over := n.state.Snapshot().Ledger.OverLimit(simTeam)
	if n.start(m.now.Add(run)) && over {
		t.Fatalf("%s started work of a team over its limit", n.id)
	}
}

func (m *machine) end(t *rapid.T) { m.finish(m.draw(t)) }

// loseTask makes a node lose contact with its first task, which continues to
// run.
func (m *machine) loseTask(t *rapid.T) {
	n := m.draw(t)
	if len(n.tasks) > 0 {
		n.tasks[0].lease.HoldUntil(n.tasks[0].endsAt)
	}
}

func (m *machine) wait(t *rapid.T) {
	m.draw(t).wait(rapid.IntRange(0, 12).Draw(t, "requests"))
}

func (m *machine) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
}

func (m *machine) report(t *rapid.T) { m.compose(m.draw(t)) }

func (m *machine) deliver(t *rapid.T) { m.send(t, m.draw(t)) }

func (m *machine) fold(t *rapid.T) {
	n := m.draw(t)
	from := int(n.state.Next())
	m.catchUp(t, n, rapid.IntRange(from, len(m.log)).Draw(t, "to"))
}

func (m *machine) limit(t *rapid.T) {
	limit := rapid.IntRange(0, 12).Draw(t, "limit")
	m.maxLimit = max(m.maxLimit, limit)
	m.setLimit(t, limit)
}

// check compares what members may run with the grants at the head of the log.
func (m *machine) check(t *rapid.T) {
	ledger := m.head.Snapshot().Ledger
	for _, n := range m.nodes {
		allowed := n.account.Held() + n.account.Usable(simTeam)
		if granted := ledger.Grant(n.id, simTeam); allowed > granted {
			t.Fatalf("%s holds or may use %d credits, but the head of the log grants %d", n.id, allowed, granted)
		}
	}
	if running := m.running(); running > m.maxLimit {
		t.Fatalf("%d tasks run, but the highest limit was %d", running, m.maxLimit)
	}
}

// TestAccountStaysWithinGrants checks after each step of random schedules that
// no member may run more than the grants at the head of the log.
func TestAccountStaysWithinGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{sim: newSim(t, 3, 8), maxLimit: 8}
		t.Repeat(map[string]func(*rapid.T){
			"start":   m.start,
			"start2":  m.start,
			"end":     m.end,
			"lose":    m.loseTask,
			"wait":    m.wait,
			"pass":    m.advance,
			"report":  m.report,
			"report2": m.report,
			"deliver": m.deliver,
			"fold":    m.fold,
			"limit":   m.limit,
			"":        m.check,
		})
	})
}

// TestLostTaskHoldsItsCredit checks that a timeout releases no credit before
// the task's lease has expired, and that a confirmed stop does.
func TestLostTaskHoldsItsCredit(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 2)
	n := s.nodes[0]
	n.wait(2)
	s.step(t)
	is.Equal(n.account.Usable(simTeam), 2)
	stopped, _ := n.account.Acquire(simTeam)
	silent, _ := n.account.Acquire(simTeam)
	stopped.HoldUntil(s.now.Add(time.Minute))
	silent.HoldUntil(s.now.Add(time.Minute))
	s.step(t)
	is.Equal(n.account.Held(), 2) // both may still be running
	stopped.Release()
	stopped.Release()
	is.Equal(n.account.Held(), 1) // the second release has no effect
	s.now = s.now.Add(time.Minute)
	s.step(t)
	is.Equal(n.account.Held(), 0)
}
