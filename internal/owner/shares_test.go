package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/beryltide/beryltide/internal/catalog"
	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/schedule"
)

// sharedUnit is a unit of four empty instances of 16 cores in its second round of a peak.
// The jobs of team a, which has 30 cores elsewhere in the pool, come first in the order
// without a division; those of team b come next.
func sharedUnit(weightOfA, weightOfB float64) (*Unit, tally.TestScope, *observer.ObservedLogs) {
	u := peakUnit(4, 0, 40)
	core, logs := observer.New(zapcore.InfoLevel)
	scope := tally.NewTestScope("", nil)
	u.Logger, u.Meter = zap.New(core), NewMeter(scope)
	for name, weight := range map[string]float64{"a": weightOfA, "b": weightOfB} {
		u.View.Catalog().AddTeam(&catalog.Team{Name: name, Weight: weight}, nil)
	}
	for i := range 40 {
		u.jobs[fmt.Sprint("j-", i)].job.Submission.Team = []string{"a", "b"}[i/20]
	}
	u.allowances.occupied[teamPool{testPool, "a"}] = job.Resources{CPU: 30_000}
	u.plan(time.Now()) // the instances are full
	for _, sess := range u.sessions {
		clear(sess.runs)
		sess.usage = usage{}
	}
	for _, e := range u.jobs {
		e.waitLoggedAt = time.Time{}
	}
	return u, scope, logs
}

func (u *Unit) occupiedBy(team string) int {
	return u.allowances.occupied[teamPool{testPool, team}].CPU
}

// Guards against a division that is active when it shouldn't be, or not when it should:
// it needs a long backlog and two teams of positive weight that wait.
func TestPoolIsDividedWhileTwoWeightedTeamsWait(t *testing.T) {
	for _, c := range []struct {
		name     string
		a, b     float64
		estimate time.Duration
		divided  bool
	}{
		{"equal weights", 1, 1, 800 * time.Millisecond, true},
		{"no weights", 0, 0, 800 * time.Millisecond, false},
		{"one weight", 1, 0, 800 * time.Millisecond, false},
		{"short backlog", 1, 1, 50 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u, _, _ := sharedUnit(c.a, c.b)
			for _, e := range u.jobs {
				for i := range e.job.Submission.Steps {
					e.job.Submission.Steps[i].Estimate = c.estimate
				}
			}
			u.plan(time.Now())
			is.Equal(u.occupiedBy("b") > 0, c.divided) // without a division only a starts
			for _, candidate := range u.waiting[testPool] {
				is.Equal(candidate.Team != nil, c.divided)
			}
		})
	}
}

// Guards against teams without a weight that each get a part as large as that of a team
// with one, or one that doesn't count what the others of them run.
func TestTeamsWithoutWeightHaveOnePartOfPool(t *testing.T) {
	is := is.New(t)
	u, _, _ := sharedUnit(1, 3)
	u.plan(time.Now())
	for team, cpu := range map[string]int{"": 1000, "removed": 2000, "unweighted": 4000} {
		u.allowances.occupied[teamPool{testPool, team}] = job.Resources{CPU: cpu}
		u.allowances.occupied[teamPool{otherPool, team}] = job.Resources{CPU: 50_000}
	}
	u.View.Catalog().AddTeam(&catalog.Team{Name: "unweighted"}, nil)
	part := u.teamOfRound(teamPool{testPool, "unweighted"}).share
	is.True(part == u.teamOfRound(teamPool{testPool, "removed"}).share && part == u.teamOfRound(teamPool{testPool, ""}).share)
	is.Equal(part.Used(), job.Resources{CPU: 7000})
	is.Equal(part.Weight, 2.0)
}

// Guards against a share of a team that counts what doesn't keep others from starting:
// the CPU of backfill tasks.
func TestBackfillTakesNoShare(t *testing.T) {
	is := is.New(t)
	a := newAllowances()
	s := &job.Submission{Pool: testPool, Team: "a"}
	a.add(s, &job.Step{Need: job.Resources{CPU: 1000, Memory: 10}, Fills: true})
	a.add(s, &job.Step{Need: job.Resources{CPU: 2000, Memory: 20}})
	is.Equal(a.occupied[teamPool{testPool, "a"}], job.Resources{CPU: 2000, Memory: 30})
	a.remove(s, &job.Step{Need: job.Resources{CPU: 2000, Memory: 20}})
	is.Equal(a.occupied[teamPool{testPool, "a"}], job.Resources{Memory: 10})
	is.Equal(a.running[teamPool{testPool, "a"}].CPU, 1000)
}

// Guards against shares that operators can't see: what waits, and what a share holds back.
func TestHeldBackTeamIsReported(t *testing.T) {
	is := is.New(t)
	u, scope, logs := sharedUnit(1, 1)
	begin := time.Now()
	u.plan(begin)
	heldBackEvents := func() int { return logs.FilterMessage("team.held_back").Len() }
	is.Equal(heldBackEvents(), 1)
	line := logs.FilterMessage("team.held_back").All()[0].ContextMap()
	is.Equal(line["team"], "a")
	is.True(logs.FilterMessage("job.waits").FilterField(zap.String("reason", "the team's share")).Len() > 0)

	// The instances are freed for one more round each: a's share still holds it back.
	for range 3 {
		u.allowances.occupied[teamPool{testPool, "a"}] = job.Resources{CPU: 60_000}
		u.allowances.occupied[teamPool{testPool, "b"}] = job.Resources{}
		for _, sess := range u.sessions {
			sess.usage = usage{allocated: job.Resources{CPU: 10_000}}
		}
		u.plan(begin.Add(time.Second))
	}
	is.Equal(heldBackEvents(), 1) // at most one in heldBackInterval
	counted := int64(0)
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() == "team_rounds_held_back" {
			is.Equal(c.Tags()["team"], "a")
			counted += c.Value()
		}
	}
	is.True(counted >= 2) // rounds, not only events

	u.updateGauges(begin.Add(time.Minute))
	waiting := 0
	for _, c := range u.waiting[testPool] {
		waiting += c.Step.Need.CPU * len(c.Tasks)
	}
	is.True(waiting > 0)
	is.Equal(gauge(scope, "team_waiting_cpu"), float64(waiting))
	u.waiting = map[string][]*schedule.Candidate{}
	u.updateGauges(begin.Add(2 * time.Minute))
	is.Equal(gauge(scope, "team_waiting_cpu"), 0.0)
}

// startsByTeam counts the starts by the first letter of the jobs' IDs.
func (c *cluster) startsByTeam() map[byte]int {
	counts := map[byte]int{}
	for _, i := range c.instances {
		i.mu.Lock()
		for _, s := range i.starts {
			counts[s.task.Job[0]]++
		}
		i.mu.Unlock()
	}
	return counts
}

// Guards against a successor that divides otherwise than its predecessor: after a
// takeover it knows from the recorded runs what each team has, so the team whose tasks
// fill the pool doesn't get the capacity that the other team is due.
func TestSuccessorDividesByRecordedRuns(t *testing.T) {
	const duration = 3 * time.Second
	for _, c := range []struct {
		name          string
		weight        float64
		takeover      bool
		busy, another int
	}{
		{"one owner", 1, false, 12, 4},
		{"takeover", 1, true, 12, 4},
		{"takeover, no weights", 0, true, 16, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			inVirtualTime(t, 2, func(cl *cluster, is *is.I) {
				for _, name := range []string{"busy", "another"} {
					cl.catalog.AddTeam(&catalog.Team{Name: name, Weight: c.weight}, nil)
				}
				for _, i := range cl.instances {
					i.duration = duration
				}
				d := cl.startOwner(64)
				step := job.Step{Need: job.Resources{CPU: 1000, Memory: 100}, Estimate: duration}
				submit := func(team string, n, tasks int) {
					step.Count = tasks
					s := &job.Submission{ID: fmt.Sprintf("%s%015d", team[:1], n), Queue: testQueue, Pool: testPool, Team: team, Steps: []job.Step{step}, AcceptedAt: time.Now().UnixMilli()}
					data, err := job.EncodeSubmission(s)
					is.NoErr(err)
					cl.append(SubmissionPrefix+s.ID, data)
				}
				for n := range 24 {
					submit("busy", n, 1) // comes first without a division: least work for its value
				}
				time.Sleep(time.Second)
				for n := range 3 {
					submit("another", n, 2)
				}
				time.Sleep(500 * time.Millisecond)
				is.Equal(cl.startsByTeam(), map[byte]int{'b': 8}) // the pool is full
				if c.takeover {
					d.setHeld(false)
					d.unit.Stop()
					cl.startOwner(128)
				}
				time.Sleep(duration)
				counts := cl.startsByTeam()
				is.Equal([]int{counts['b'], counts['a']}, []int{c.busy, c.another})
			})
		})
	}
}
