package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/beryltide/beryltide/internal/job"
)

var now = time.UnixMilli(1_000_000)

func node(id string, cpu int) *Node {
	capacity := job.Resources{CPU: cpu, Memory: 1000}
	return &Node{ID: id, Rack: "r-" + id, Capacity: capacity, Free: capacity}
}

func candidate(name string, cpu int, tasks ...int) *Candidate {
	c := &Candidate{Job: name, Step: &job.Step{Count: len(tasks), Need: job.Resources{CPU: cpu}}, Class: InTime, WaitingSince: now}
	for _, index := range tasks {
		c.Tasks = append(c.Tasks, Task{Index: index})
	}
	return c
}

func nodesOf(plan []Assignment, name string) []string {
	var out []string
	for _, a := range plan {
		if a.Task.Job == name {
			out = append(out, a.Node)
		}
	}
	return out
}

func TestPlacement(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(c *Candidate, nodes []*Node)
		want   []string
	}{
		{"fullest node with enough free capacity", func(_ *Candidate, n []*Node) { n[1].Free.CPU = 1500 }, []string{"b"}},
		{"none without enough free capacity", func(c *Candidate, _ []*Node) { c.Step.Need.CPU = 9000 }, nil},
		{"required label", func(c *Candidate, n []*Node) { c.Step.Labels = []string{"x"}; n[2].Labels = []string{"x"} }, []string{"c"}},
		{"rack of the data", func(c *Candidate, _ []*Node) { c.Step.Rack = "r-c" }, []string{"c"}},
		{"not the node of the last failure", func(c *Candidate, n []*Node) { c.Tasks[0].Avoid = "a"; n[0].Free.CPU = 1000 }, []string{"b"}},
		{"suspect nodes last", func(_ *Candidate, n []*Node) { n[0].Suspect, n[1].Suspect = true, true }, []string{"c"}},
		{"node with a ticket", func(c *Candidate, _ []*Node) { c.Tickets = map[string]string{"b": "t"} }, []string{"b"}},
		{"per-instance limit", func(c *Candidate, _ []*Node) {
			c.Step.PerInstance, c.Placed = 1, map[string]int{"a": 1, "b": 1}
		}, []string{"c"}},
		{"beyond the team's allowance", func(c *Candidate, _ []*Node) { c.Allowance = &job.Resources{CPU: 999} }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			nodes := []*Node{node("a", 4000), node("b", 4000), node("c", 4000)}
			one := candidate("j", 1000, 0)
			c.change(one, nodes)
			is.Equal(nodesOf(Plan(now, []*Candidate{one}, nodes), "j"), c.want)
		})
	}
}

func TestLongRunningTasksAreSpreadByStepAndPackedByNode(t *testing.T) {
	is := is.New(t)
	nodes := []*Node{node("a", 16000), node("b", 16000), node("c", 16000), node("d", 16000)}
	var all []*Candidate
	for _, name := range []string{"j", "k"} {
		c := candidate(name, 1000, 0, 1)
		c.Step.Lasting, c.Class = true, LongRunning
		all = append(all, c)
	}
	plan := Plan(now, all, nodes)
	is.True(nodesOf(plan, "j")[0] != nodesOf(plan, "j")[1])
	used := map[string]bool{}
	for _, a := range plan {
		used[a.Node] = true
	}
	is.Equal(len(used), 2) // both jobs share two nodes
}

// Long-running tasks that leave a machine of a wave must not go to one that the wave
// still takes down: each would move twice, and the disruption budget of a step allows
// few moves at a time, so the wave ended late. Two instances are still better than one.
func TestLongRunningTasksAvoidNodesDueForMaintenance(t *testing.T) {
	is := is.New(t)
	nodes := []*Node{node("a", 16000), node("b", 16000), node("c", 16000)}
	nodes[0].MaintenanceDue, nodes[0].LongRunningTasks = true, 4
	c := candidate("j", 1000, 0, 1)
	c.Step.Lasting, c.Class = true, LongRunning
	is.Equal(nodesOf(Plan(now, []*Candidate{c}, nodes), "j"), []string{"b", "c"})
	short := candidate("k", 1000, 0)
	is.Equal(len(nodesOf(Plan(now, []*Candidate{short}, nodes[:1]), "k")), 1) // others may use it
}

func TestGangStartsAllMembersOrNone(t *testing.T) {
	is := is.New(t)
	gang := candidate("g", 3000, 0, 1, 2)
	gang.Step.Gang = true
	allowance := job.Resources{CPU: 100_000}
	gang.Allowance = &allowance
	nodes := []*Node{node("a", 4000), node("b", 4000)}
	is.Equal(len(Plan(now, []*Candidate{gang}, nodes)), 0)
	is.Equal(nodes[0].Free.CPU, 4000) // nothing is reserved for the gang
	is.Equal(allowance.CPU, 100_000)
	is.Equal(len(Plan(now, []*Candidate{gang}, append(nodes, node("c", 4000)))), 3)
}

func TestLongWaitingTaskReservesANode(t *testing.T) {
	is := is.New(t)
	wide := candidate("wide", 4000, 0)
	wide.WaitingSince = now.Add(-3 * time.Second)
	small := candidate("small", 500, 0, 1, 2, 3)
	small.Rank = 1
	n := node("a", 4000)
	n.Free.CPU = 3500
	is.Equal(len(Plan(now, []*Candidate{small, wide}, []*Node{n})), 0)
}

// Tasks of other sizes end at other nodes all the time. A wide step must drain one
// node, not a different one each round, or it never fits; and however many steps
// wait, few nodes are withheld from tasks that fit.
func TestReservationKeepsItsNode(t *testing.T) {
	is := is.New(t)
	nodes := []*Node{node("a", 4000), node("b", 4000)}
	nodes[0].Free.CPU, nodes[1].Free.CPU = 3500, 3000
	plan := func() []Assignment {
		wide := candidate("wide", 4000, 0)
		wide.WaitingSince, wide.Class = now.Add(-3*time.Second), LongRunning
		other := candidate("other", 3800, 0)
		other.WaitingSince = wide.WaitingSince
		small := candidate("small", 500, 0, 1, 2, 3)
		small.Rank = 1
		return Plan(now, []*Candidate{small, other, wide}, nodes)
	}
	is.Equal(nodesOf(plan(), "small"), []string{"b", "b", "b", "b"}) // a is reserved
	nodes[0].Free.CPU, nodes[1].Free.CPU = 3500, 3700
	is.Equal(nodesOf(plan(), "small"), []string{"b", "b", "b", "b"}) // still a, though b has more room
	nodes[0].Free.CPU, nodes[1].Free.CPU = 4000, 0
	is.Equal(nodesOf(plan(), "wide"), []string{"a"})
	nodes[0].Free.CPU = 2000
	is.Equal(len(nodesOf(Plan(now, []*Candidate{candidate("small", 500, 0)}, nodes), "small")), 1)
	is.Equal(nodes[0].Reservation, StepKey{}) // the step no longer waits
}

func TestRank(t *testing.T) {
	o := RankInput{Accepted: now, Objective: 2 * time.Second, CriticalPath: time.Second, RemainingWork: 4, TotalWork: 4, MeanWork: 4}
	for _, c := range []struct {
		name string
		at   time.Duration
		want Class
	}{{"in time", time.Second, InTime}, {"late", 1100 * time.Millisecond, Late}, {"no value left", 5100 * time.Millisecond, NoValue}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			class, _ := Rank(now.Add(c.at), o)
			is.Equal(class, c.want)
		})
	}
	is := is.New(t)
	o.Backlog = 2 * time.Second
	almostDone := o
	almostDone.RemainingWork = 1
	_, fullRank := Rank(now, o)
	_, almostDoneRank := Rank(now, almostDone)
	is.True(almostDoneRank < fullRank) // less remaining work for the same value
}

// With a short backlog the job with the least slack goes first, whatever its size;
// in a peak, the one with the highest value per core-second.
func TestRankDependsOnBacklog(t *testing.T) {
	is := is.New(t)
	large := RankInput{Accepted: now, Objective: 2 * time.Second, CriticalPath: 1900 * time.Millisecond, RemainingWork: 40, TotalWork: 40, MeanWork: 4}
	small := RankInput{Accepted: now, Objective: 2 * time.Second, CriticalPath: 500 * time.Millisecond, RemainingWork: 1, TotalWork: 1, MeanWork: 4}
	_, largeRank := Rank(now, large)
	_, smallRank := Rank(now, small)
	is.True(largeRank < smallRank)
	large.Backlog, small.Backlog = 3*time.Second, 3*time.Second
	_, largeRank = Rank(now, large)
	_, smallRank = Rank(now, small)
	is.True(largeRank > smallRank)
}

// Priorities count while the pool is short, and only then.
func TestRankUsesThePriorityUnderShortage(t *testing.T) {
	is := is.New(t)
	first := RankInput{Accepted: now, Objective: 2 * time.Second, CriticalPath: 500 * time.Millisecond, RemainingWork: 40, TotalWork: 40, MeanWork: 4}
	second := first
	second.Priority, second.CriticalPath, second.RemainingWork = 1, time.Second, 4
	_, firstRank := Rank(now, first)
	_, secondRank := Rank(now, second)
	is.True(firstRank > secondRank) // the second has less slack
	first.Backlog, second.Backlog = overloadBacklog, overloadBacklog
	_, firstRank = Rank(now, first)
	_, secondRank = Rank(now, second)
	is.True(firstRank < secondRank)
	second.Accepted = now.Add(-time.Hour) // no job starves
	class, overdueRank := Rank(now, second)
	is.Equal(class, InTime)
	is.True(overdueRank < firstRank)
}

// No plan of random nodes and candidates exceeds a node's capacity, a per-instance
// limit or the team's allowance, or splits a gang.
func TestPlansKeepConstraints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes, free := drawNodes(t)
		candidates := drawCandidates(t)
		allowance := job.Resources{CPU: rapid.IntRange(0, 20_000).Draw(t, "allowance"), Memory: 1 << 20}
		left := allowance
		for _, c := range candidates {
			c.Allowance = &left
		}
		checkPlan(t, Plan(now, candidates, nodes), candidates, free, allowance)
	})
}

func drawNodes(t *rapid.T) ([]*Node, map[string]job.Resources) {
	var nodes []*Node
	free := map[string]job.Resources{}
	for i := range rapid.IntRange(1, 5).Draw(t, "nodes") {
		n := node(fmt.Sprint(i), rapid.IntRange(1, 8).Draw(t, "cpu")*1000)
		nodes = append(nodes, n)
		free[n.ID] = n.Free
	}
	return nodes, free
}

func drawCandidates(t *rapid.T) []*Candidate {
	var out []*Candidate
	for i := range rapid.IntRange(1, 6).Draw(t, "candidates") {
		c := candidate(fmt.Sprint("j", i), rapid.IntRange(1, 4000).Draw(t, "need"))
		for index := range rapid.IntRange(1, 6).Draw(t, "tasks") {
			c.Tasks = append(c.Tasks, Task{Index: index})
		}
		c.Step.Gang = rapid.Bool().Draw(t, "gang")
		c.Step.Fills = rapid.Bool().Draw(t, "fills")
		c.Step.PerInstance = rapid.IntRange(0, 2).Draw(t, "per instance")
		c.Class = Class(rapid.IntRange(0, 4).Draw(t, "class"))
		c.WaitingSince = now.Add(-time.Duration(rapid.IntRange(0, 5).Draw(t, "waits")) * time.Second)
		out = append(out, c)
	}
	return out
}

func checkPlan(t *rapid.T, plan []Assignment, candidates []*Candidate, free map[string]job.Resources, allowance job.Resources) {
	byJob := map[string]*Candidate{}
	for _, c := range candidates {
		byJob[c.Job] = c
	}
	starts := map[string]int{}
	perNode := map[string]int{}
	cpu := 0
	for _, a := range plan {
		c := byJob[a.Task.Job]
		free[a.Node] = free[a.Node].Sub(c.Step.Allocation())
		if f := free[a.Node]; f.CPU < 0 || f.Memory < 0 {
			t.Fatalf("node %s is over its capacity: %+v", a.Node, f)
		}
		starts[a.Task.Job]++
		perNode[a.Task.Job+a.Node]++
		if c.Step.PerInstance > 0 && perNode[a.Task.Job+a.Node] > c.Step.PerInstance {
			t.Fatalf("%s: more than %d at %s", a.Task.Job, c.Step.PerInstance, a.Node)
		}
		cpu += c.Step.Need.CPU
	}
	if cpu > allowance.CPU {
		t.Fatalf("%d of %d allowed", cpu, allowance.CPU)
	}
	for _, c := range candidates {
		if n := starts[c.Job]; c.Step.Gang && n != 0 && n != len(c.Tasks) {
			t.Fatalf("gang %s: %d of %d", c.Job, n, len(c.Tasks))
		}
	}
}
