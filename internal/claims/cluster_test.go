package claims

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/beryltide/beryltide/internal/member"
	"github.com/beryltide/beryltide/internal/record"
	"github.com/beryltide/beryltide/internal/verdict"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

var testOptions = Options{
	Window:    15 * time.Minute,
	Skew:      time.Minute,
	MaxClaims: 1000,
	MaxBody:   64,
	MaxBodies: 1 << 10,
}

// node is one member with its own fold of the cluster's log.
type node struct {
	cluster *cluster
	id      record.MemberID
	members *member.Members
	folded  int
	service *Service
	alive   bool
}

// cluster is a set of members over a log of membership changes. It checks that
// no key is started twice within the window.
type cluster struct {
	log []func(*member.Members, record.Offset)
	// mu guards nodes, random and alive, which settlements in progress read.
	mu     sync.Mutex
	nodes  []*node
	random *rand.Rand
	// lossRate is the chance that a call is lost, and that its reply is.
	lossRate float64
	// unreachable is a member that no call reaches.
	unreachable record.MemberID
	// started holds the start time of each key, except of starts that are known
	// not to have run.
	started    map[string]time.Time
	openGrants []*Grant
}

func newCluster(members int, seed uint64) *cluster {
	c := &cluster{random: rand.New(rand.NewPCG(seed, 0)), started: map[string]time.Time{}}
	for range members {
		c.join()
	}
	c.settleMembers()
	return c
}

func (c *cluster) join() {
	id := record.MemberID(fmt.Sprint("m", len(c.nodes)))
	n := &node{cluster: c, id: id, members: member.New(), alive: true}
	n.service = NewService(NewRegistry(testOptions, time.Now), n)
	c.mu.Lock()
	c.nodes = append(c.nodes, n)
	c.mu.Unlock()
	c.append(func(ms *member.Members, at record.Offset) { ms.Join(at, id, 1, record.Join{}) })
	n.fold(len(c.log))
}

func (c *cluster) append(change func(*member.Members, record.Offset)) { c.log = append(c.log, change) }

func (c *cluster) alive() []*node {
	return slices.DeleteFunc(slices.Clone(c.nodes), func(n *node) bool { return !n.alive })
}

// settleMembers lets all live members fold the log and hand over.
func (c *cluster) settleMembers() {
	for range 3 {
		for _, n := range c.alive() {
			n.fold(len(c.log))
			n.handOver()
		}
	}
}

func (n *node) fold(upTo int) {
	for n.folded < upTo {
		n.cluster.log[n.folded](n.members, record.Offset(n.folded))
		n.folded++
		n.service.Registry().Advance(View{
			Self:      n.id,
			Epoch:     n.members.Epoch(),
			Members:   n.members.IDs(),
			Settled:   n.members.Settled(),
			LostEpoch: n.members.LostEpoch(),
		})
	}
}

func (n *node) handOver() {
	// HandedOver shows a failure.
	_ = n.service.HandOver(context.Background())
	report := record.Report{HandedOver: n.service.Registry().HandedOver()}
	n.cluster.append(func(ms *member.Members, _ record.Offset) { ms.Report(n.id, report) })
}

func (n *node) reach(to record.MemberID) (*node, error) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	for _, peer := range n.cluster.nodes {
		if peer.id == to && peer.alive && to != n.cluster.unreachable && n.cluster.random.Float64() >= n.cluster.lossRate {
			return peer, nil
		}
	}
	return nil, errors.New("unreachable")
}

func (n *node) replyLost() error {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.cluster.random.Float64() < n.cluster.lossRate {
		return errors.New("reply lost")
	}
	return nil
}

func (n *node) Claim(ctx context.Context, to record.MemberID, r Request) (Reply, error) {
	peer, err := n.reach(to)
	if err != nil {
		return Reply{}, err
	}
	return peer.service.Serve(ctx, r), n.replyLost()
}

func (n *node) Settle(ctx context.Context, to record.MemberID, s Settlement) error {
	peer, err := n.reach(to)
	if err != nil {
		return err
	}
	peer.service.Settle(ctx, s)
	return n.replyLost()
}

func (n *node) Transfer(_ context.Context, to record.MemberID, t Transfer) (Receipt, error) {
	peer, err := n.reach(to)
	if err != nil {
		return 0, err
	}
	return peer.service.Receive(t), n.replyLost()
}

// submit sends a request through a member and checks the result.
func (c *cluster) submit(n *node, key string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	grant, _, err := n.service.Acquire(ctx, Key{Value: key}, Digest{1})
	at, before := c.started[key]
	before = before && time.Since(at) < testOptions.Window-time.Second
	switch {
	case grant != nil && before:
		return errors.Errorf("key %s started again through %s", key, n.id)
	case grant != nil:
		c.started[key] = time.Now()
		c.openGrants = append(c.openGrants, grant)
	case err == nil && !before:
		return errors.Errorf("key %s has a result but never started", key)
	case err != nil && verdict.Of(err) == verdict.NotRun && before:
		return errors.Errorf("key %s refused as not run, but it started: %v", key, err)
	}
	return nil
}

func (n *node) kill() {
	n.cluster.mu.Lock()
	n.alive = false
	n.cluster.mu.Unlock()
}

// crash ends a member, which is then reclaimed.
func (c *cluster) crash(n *node) {
	n.kill()
	c.append(func(ms *member.Members, at record.Offset) { ms.Reclaim(at, n.id) })
	if len(c.alive()) == 0 {
		c.join()
	}
}

// leave ends a member by a planned stop.
func (c *cluster) leave(n *node) {
	n.fold(len(c.log))
	if err := n.service.Leave(context.Background()); err != nil {
		c.crash(n)
		return
	}
	n.kill()
	c.append(func(ms *member.Members, at record.Offset) { ms.Remove(at, n.id) })
	if len(c.alive()) == 0 {
		c.join()
	}
}

// settleOldest settles the oldest grant.
func (c *cluster) settleOldest(ran bool) {
	if len(c.openGrants) == 0 {
		return
	}
	grant := c.openGrants[0]
	c.openGrants = c.openGrants[1:]
	if ran {
		grant.Finish(Result{Verdict: verdict.Ran, Status: 200, Body: []byte("done"), Whole: true})
	} else {
		delete(c.started, grant.request.Key.Value)
		grant.Release()
	}
	time.Sleep(time.Second)
}

// step is one action of a schedule. N selects the member, Arg the variant.
type step struct {
	Action string
	N, Arg int
}

var genStep = rapid.Custom(func(t *rapid.T) step {
	return step{
		Action: rapid.SampledFrom([]string{
			"submit", "submit", "submit", "submit", "end", "fold", "fold", "handover", "handover", "settle", "settle", "join", "crash", "leave", "sleep",
		}).Draw(t, "action"),
		N:   rapid.IntRange(0, 100).Draw(t, "n"),
		Arg: rapid.IntRange(0, 100).Draw(t, "arg"),
	}
})

func (c *cluster) apply(s step) error {
	alive := c.alive()
	n := alive[s.N%len(alive)]
	switch s.Action {
	case "submit":
		return c.submit(n, fmt.Sprint("key", s.Arg%3))
	case "end":
		c.settleOldest(s.Arg%3 > 0)
	case "fold":
		n.fold(n.folded + s.Arg%(len(c.log)-n.folded+1))
	case "handover":
		n.handOver()
	case "settle":
		c.settleMembers()
	case "join":
		c.join()
	case "crash":
		if s.Arg%2 == 0 {
			c.crash(n)
		}
	case "leave":
		c.leave(n)
	case "sleep":
		time.Sleep(time.Duration(s.Arg) * 4 * time.Second)
	}
	return nil
}

// TestNoKeyStartsTwice runs random schedules of requests, crashes, leaves,
// joins, lost calls and members that lag behind the log.
func TestNoKeyStartsTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		members := rapid.IntRange(1, 4).Draw(rt, "members")
		seed := rapid.Uint64().Draw(rt, "seed")
		lossRate := rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(rt, "lossy")
		steps := rapid.SliceOfN(genStep, 1, 80).Draw(rt, "steps")
		var failure error
		synctest.Test(t, func(*testing.T) {
			c := newCluster(members, seed)
			c.lossRate = lossRate
			for _, s := range steps {
				if failure = c.apply(s); failure != nil {
					break
				}
			}
			time.Sleep(time.Hour) // lets settlements in progress end
		})
		if failure != nil {
			rt.Fatal(failure)
		}
	})
}
