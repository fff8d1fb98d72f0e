package credit

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/controlstate"
	"github.com/beryltide/beryltide/internal/record"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.steps", "150"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const simTeam = "red"

// testingT is implemented by *testing.T and *rapid.T.
type testingT interface {
	Fatalf(format string, args ...any)
}

// sim is several members that share one log, without goroutines.
type sim struct {
	now   time.Time
	log   []record.Envelope
	head  *controlstate.State
	nodes []*node
}

// node is one member: its lagging fold, its account and its tasks.
type node struct {
	id      record.MemberID
	state   *controlstate.State
	account *Account
	seq     uint64
	// report is in flight until the node folds it.
	report *record.Envelope
	tasks  []task
	// waiting is the number of waiting requests last passed to the account.
	waiting int
}

// task is one credit in use. endsAt is when the task ends at its backend
// server.
type task struct {
	lease  *Lease
	endsAt time.Time
}

func newSim(t testingT, nodes, limit int) *sim {
	s := &sim{now: time.Unix(1_000_000, 0), head: controlstate.New()}
	s.setLimit(t, limit)
	for i := range nodes {
		n := &node{id: record.MemberID(fmt.Sprintf("m%d", i)), state: controlstate.New(), seq: 1}
		n.account = New(func() time.Time { return s.now })
		s.nodes = append(s.nodes, n)
		s.append(t, record.Envelope{Author: n.id, Seq: 1, Body: record.Join{Instance: string(n.id)}})
	}
	for _, n := range s.nodes {
		s.catchUp(t, n, len(s.log))
	}
	return s
}

func (s *sim) append(t testingT, e record.Envelope) {
	if _, err := s.head.Fold(record.Offset(len(s.log)), e); err != nil {
		t.Fatalf("fold: %v", err)
	}
	s.log = append(s.log, e)
}

func (s *sim) setLimit(t testingT, limit int) {
	snap := s.head.Snapshot()
	doc := *snap.Document
	doc.Teams = map[string]configuration.Team{simTeam: {Limit: limit, Share: 1}}
	delta := configuration.Diff(snap.Document, &doc)
	data, err := delta.Encode()
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	digest := snap.Document.Apply(delta).Digest()
	s.append(t, record.Envelope{Body: record.Configure{Base: snap.Revision, Delta: data, Digest: digest}})
}

// catchUp folds the log up to a length into a node.
func (s *sim) catchUp(t testingT, n *node, to int) {
	for at := n.state.Next(); int(at) < to; at++ {
		if _, err := n.state.Fold(at, s.log[at]); err != nil {
			t.Fatalf("fold: %v", err)
		}
	}
	snap := n.state.Snapshot()
	n.account.Apply(n.id, snap)
	if m := snap.Members.Get(n.id); m == nil || m.Seq >= n.seq {
		n.report = nil
	}
}

// compose makes a node's next report, unless one is in flight.
func (s *sim) compose(n *node) {
	if n.report != nil {
		return
	}
	yields, takes := n.account.Next()
	if len(yields)+len(takes) == 0 {
		return
	}
	n.seq++
	n.report = &record.Envelope{Author: n.id, Seq: n.seq, Body: record.Report{
		Folded: n.state.Next() - 1,
		Yields: yields,
		Takes:  takes,
	}}
}

// send appends the report in flight. It may be called repeatedly.
func (s *sim) send(t testingT, n *node) {
	if n.report != nil {
		s.append(t, *n.report)
	}
}

func (n *node) wait(requests int) {
	n.account.AddWaiting(simTeam, requests-n.waiting)
	n.waiting = requests
}

func (n *node) start(end time.Time) bool {
	lease, ok := n.account.Acquire(simTeam)
	if ok {
		n.tasks = append(n.tasks, task{lease: lease, endsAt: end})
	}
	return ok
}

// finish releases the tasks that have ended.
func (s *sim) finish(n *node) {
	remaining := n.tasks[:0]
	for _, task := range n.tasks {
		if s.now.Before(task.endsAt) {
			remaining = append(remaining, task)
			continue
		}
		task.lease.Release()
	}
	n.tasks = remaining
}

// running counts the tasks that run at their backend servers.
func (s *sim) running() int {
	count := 0
	for _, n := range s.nodes {
		for _, task := range n.tasks {
			if s.now.Before(task.endsAt) {
				count++
			}
		}
	}
	return count
}
