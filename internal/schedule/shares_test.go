package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/beryltide/beryltide/internal/fairshare"
	"github.com/beryltide/beryltide/internal/job"
)

// drawTeams gives each candidate one of up to four teams, of which some tasks run, and
// returns the teams.
func drawTeams(t *rapid.T, candidates []*Candidate, nodes []*Node) []*fairshare.Team {
	var capacity job.Resources
	for _, n := range nodes {
		capacity = capacity.Add(n.Capacity)
	}
	d := fairshare.New([]float64{1})
	var teams []*fairshare.Team
	for i := range rapid.IntRange(1, 4).Draw(t, "teams") {
		used := job.Resources{CPU: rapid.IntRange(0, 4000).Draw(t, "used"), Memory: rapid.IntRange(0, 500).Draw(t, "used memory")}
		teams = append(teams, d.Team(fmt.Sprint("t", i), float64(rapid.IntRange(1, 4).Draw(t, "weight")), used))
	}
	d.Begin(capacity)
	for _, c := range candidates {
		c.Team = rapid.SampledFrom(teams).Draw(t, "team")
		c.Begun = rapid.Bool().Draw(t, "begun")
	}
	return teams
}

// A divided plan keeps the constraints of the nodes and steps, starts nothing twice, and
// counts in each team exactly what it starts.
func TestDividedPlansKeepConstraints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes, free := drawNodes(t)
		candidates := drawCandidates(t)
		teams := drawTeams(t, candidates, nodes)
		used := map[*fairshare.Team]job.Resources{}
		for _, team := range teams {
			used[team] = team.Used()
		}
		allowance := job.Resources{CPU: rapid.IntRange(0, 20_000).Draw(t, "allowance"), Memory: 1 << 20}
		left := allowance
		byJob := map[string]*Candidate{}
		for _, c := range candidates {
			c.Allowance, byJob[c.Job] = &left, c
		}
		plan := Plan(now, candidates, nodes)
		checkPlan(t, plan, candidates, free, allowance)
		started := map[job.TaskID]bool{}
		for _, a := range plan {
			if started[a.Task] {
				t.Fatalf("%v starts twice", a.Task)
			}
			started[a.Task] = true
			c := byJob[a.Task.Job]
			used[c.Team] = used[c.Team].Add(c.Step.Allocation())
		}
		for _, team := range teams {
			if team.Used() != used[team] {
				t.Fatalf("team %s: %+v, want %+v", team.Name, team.Used(), used[team])
			}
		}
	})
}

// Guards against capacity that stays unused since its team has its share: after a divided
// plan no task that waits fits a node, other than gangs, which start whole.
func TestDivisionLeavesNothingUnused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes, _ := drawNodes(t)
		candidates := drawCandidates(t)
		drawTeams(t, candidates, nodes)
		for _, c := range candidates {
			c.WaitingSince = now // a task that has waited long reserves a node
		}
		starts := map[string]int{}
		for _, a := range Plan(now, candidates, nodes) {
			starts[a.Task.Job]++
		}
		for _, c := range candidates {
			if c.Step.Gang || starts[c.Job] == len(c.Tasks) {
				continue
			}
			for _, n := range nodes {
				if c.Step.Allocation().Fits(n.Free) && c.feasible(n) {
					t.Fatalf("%s waits and fits node %s with %+v free", c.Job, n.ID, n.Free)
				}
			}
		}
	})
}

// Guards against a team that gets more than its share while another waits, and against a
// class that overtakes a higher one: of tasks of one size, no team starts a step while
// another with a lower level waits in the class, and none of a lower class starts while
// one of a higher class waits.
func TestDivisionIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes, _ := drawNodes(t)
		candidates := drawCandidates(t)
		teams := drawTeams(t, candidates, nodes)
		byJob := map[string]*Candidate{}
		for _, c := range candidates {
			c.Step.Gang, c.Step.Fills, c.Step.PerInstance, c.Step.Need, byJob[c.Job] = false, false, 0, job.Resources{CPU: 500}, c
			c.WaitingSince = now
		}
		levels := map[*fairshare.Team]float64{}
		for _, team := range teams {
			levels[team] = team.Level()
		}
		starts, left := Plan(now, candidates, nodes), map[string]int{}
		for _, c := range candidates {
			left[c.Job] = len(c.Tasks)
		}
		capacity := 0
		for _, n := range nodes {
			capacity += n.Capacity.CPU
		}
		for i, a := range starts {
			started := byJob[a.Task.Job]
			sameTurn := i > 0 && starts[i-1].Task.Job == a.Task.Job // a step starts at one turn
			for _, c := range candidates {
				switch {
				case left[c.Job] == 0:
				case c.Class < started.Class:
					t.Fatalf("%s of class %d starts while %s of class %d waits", started.Job, started.Class, c.Job, c.Class)
				case !sameTurn && c.Class == started.Class && c.Class.Divided() && levels[c.Team] < levels[started.Team]:
					t.Fatalf("%s of team %s at %g starts while %s of team %s at %g waits", started.Job, started.Team.Name, levels[started.Team], c.Job, c.Team.Name, levels[c.Team])
				}
			}
			left[a.Task.Job]--
			levels[started.Team] = max(levels[started.Team], levelAfter(started.Team, starts, byJob, a, capacity))
		}
	})
}

// levelAfter returns a team's level after an assignment of a plan: its final level
// without the later starts.
func levelAfter(team *fairshare.Team, plan []Assignment, byJob map[string]*Candidate, upTo Assignment, capacity int) float64 {
	used := team.Used()
	for i := len(plan) - 1; plan[i] != upTo; i-- {
		if c := byJob[plan[i].Task.Job]; c.Team == team {
			used = used.Sub(c.Step.Need)
		}
	}
	d := fairshare.New([]float64{1})
	copied := d.Team(team.Name, team.Weight, used)
	d.Begin(job.Resources{CPU: capacity, Memory: 1000 * capacity})
	return copied.Level()
}

// Guards against a step that takes more than a turn beyond its team's share, and against
// one whose tasks start one by one.
func TestLargeStepTakesSeveralTurns(t *testing.T) {
	is := is.New(t)
	d := fairshare.New([]float64{1})
	var all []*Candidate
	for _, name := range []string{"a", "b"} {
		c := candidate(name, 100)
		for index := range 3 * tasksPerTurn {
			c.Tasks = append(c.Tasks, Task{Index: index})
		}
		c.Team = d.Team(name, 1, job.Resources{})
		all = append(all, c)
	}
	d.Begin(job.Resources{CPU: 4000})
	plan := Plan(now, all, []*Node{node("n", 4000)}) // 40 tasks: 16 and 8 for a, 16 for b
	is.Equal(len(nodesOf(plan, "a")), 40-tasksPerTurn)
	is.Equal(len(nodesOf(plan, "b")), tasksPerTurn)
	is.Equal(plan[tasksPerTurn-1].Task.Job, "a")
	is.Equal(plan[tasksPerTurn].Task.Job, "b")
}

// Guards against a share that is spread over all jobs of a team, of which none would
// complete: those that have begun come first, then the queue's priority, then rank.
func TestTeamCompletesWhatItHasBegun(t *testing.T) {
	is := is.New(t)
	d := fairshare.New([]float64{1})
	busy, idle := d.Team("busy", 1, job.Resources{CPU: 3000}), d.Team("idle", 1, job.Resources{})
	d.Begin(job.Resources{CPU: 8000, Memory: 2000})
	var all []*Candidate
	for i, name := range []string{"low", "urgent", "begun", "other"} {
		c := candidate(name, 1000, 0, 1)
		c.Rank, c.Team, c.Priority = float64(i), busy, 1
		all = append(all, c)
	}
	all[1].Priority, all[2].Begun, all[3].Team = 0, true, idle
	nodes := []*Node{node("a", 4000)}
	plan := Plan(now, all, nodes)
	var order []string
	for _, a := range plan {
		order = append(order, a.Task.Job)
	}
	is.Equal(order, []string{"other", "other", "begun", "begun"}) // idle team first, then what has begun
	for _, c := range all {
		is.Equal(c.HeldBack, c.Job == "low" || c.Job == "urgent") // both come before "other" without a division
	}
	nodes[0].Free.CPU = 1000
	is.Equal(nodesOf(Plan(now, []*Candidate{all[0], all[1]}, nodes), "urgent"), []string{"a"})
	is.Equal(Overloaded(999*time.Millisecond), false)
	is.Equal(Overloaded(time.Second), true)
}

// divideAmong divides a pool of 700 nodes of 16 cores among a number of teams.
func divideAmong(candidates []*Candidate, teams int) {
	if teams == 0 {
		return
	}
	d := fairshare.New([]float64{1})
	for i, c := range candidates {
		c.Team = d.Team(fmt.Sprint("t", i%teams), 1+float64(i%3), job.Resources{CPU: 400_000 + i%teams*10_000})
		c.Begun = i%5 == 0
	}
	d.Begin(job.Resources{CPU: 700 * 16_000, Memory: 700 * 32_000})
}
