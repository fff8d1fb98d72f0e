package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/catalog"
	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/quota"
	"github.com/beryltide/beryltide/internal/schedule"
)

// waitingOf returns what a unit of four instances, each with 10 of 16 cores free,
// reports as waiting for a team with a limit of 100 cores.
func waitingOf(steps ...job.Step) quota.Use {
	return waitingBeside(usage{allocated: job.Resources{CPU: 6000}}, schedule.InTime, steps...)
}

// waitingBeside is waitingOf for steps of a class and what runs at each instance.
func waitingBeside(running usage, class schedule.Class, steps ...job.Step) quota.Use {
	u := peakUnit(4, 0, 0)
	for _, sess := range u.sessions {
		clear(sess.runs)
		sess.usage = running
	}
	u.measureInstances()
	u.View.Catalog().AddTeam(&catalog.Team{Name: testTeam, Limit: job.Resources{CPU: 100_000}}, nil)
	for number := range steps {
		id := string(rune('a' + number))
		e := newEntry(&job.Submission{ID: id, Queue: testQueue, Pool: testPool, Team: testTeam, Steps: steps[number : number+1]})
		u.addEntry(e)
		c := &schedule.Candidate{Job: id, Step: &e.job.Submission.Steps[0], Class: class}
		for index := range steps[number].Count {
			c.Tasks = append(c.Tasks, schedule.Task{Index: index})
		}
		if u.waiting == nil {
			u.waiting = map[string][]*schedule.Candidate{}
		}
		u.waiting[testPool] = append(u.waiting[testPool], c)
	}
	return u.uses(testPool)[testTeam]
}

// Guards against a job that can't run and takes its team's allowance from the pools
// where other jobs of the team could run.
func TestOnlyTasksThatCouldRunClaimAllowance(t *testing.T) {
	is := is.New(t)
	const hour = time.Hour
	small := job.Step{Count: 5, Need: job.Resources{CPU: 1000}, Estimate: hour}
	claim := func(steps ...job.Step) int { return waitingOf(steps...).Waiting.CPU }
	is.Equal(claim(small), 5000)
	is.Equal(claim(small, job.Step{Count: 50, Need: job.Resources{CPU: 64_000}, Estimate: hour}), 5000)               // larger than any instance
	is.Equal(claim(small, job.Step{Count: 5, Need: job.Resources{CPU: 1000, GPU: 1}, Estimate: hour}), 5000)          // no accelerator
	is.Equal(claim(small, job.Step{Count: 5, Need: job.Resources{CPU: 1000}, Labels: []string{"x"}}), 5000)           // no such label
	is.Equal(claim(small, job.Step{Count: 65, Need: job.Resources{CPU: 1000}, Gang: true, Estimate: hour}), 5000)     // a gang larger than the pool
	is.Equal(claim(job.Step{Count: 101, Need: job.Resources{CPU: 1000}, Fills: true, Gang: true, Estimate: hour}), 0) // beyond the limit
	is.Equal(claim(small, job.Step{Count: 9, Need: job.Resources{CPU: 12_000}, Estimate: hour}), 5000+9*12_000)       // no room now

	ledger := quota.NewLedger()
	hopeless := waitingOf(job.Step{Count: 50, Need: job.Resources{CPU: 64_000}, Estimate: hour})
	ledger.Confirm("hopeless", 1, map[string]quota.Use{testTeam: hopeless})
	ledger.Confirm("other", 1, map[string]quota.Use{testTeam: {Waiting: job.Resources{CPU: 20_000}}})
	limits := map[string]job.Resources{testTeam: {CPU: 100_000}}
	is.True(ledger.Grants("other", limits, []string{"hopeless", "other"})[testTeam].CPU >= 20_000)
}

// Guards against a job without value left that has no part of its team's limit to start with,
// or to get an instance by, and against one that takes a part while it waits for room.
func TestTasksWithoutValueClaimWhatTheyCanUse(t *testing.T) {
	is := is.New(t)
	claim := func(taken, longRunning, tasks, need int) int {
		running := usage{allocated: job.Resources{CPU: taken}, longRunningAllocation: job.Resources{CPU: longRunning}}
		use := waitingBeside(running, schedule.NoValue, job.Step{Count: tasks, Need: job.Resources{CPU: need}, Estimate: time.Second})
		is.Equal(use.Waiting.CPU, 0)
		return use.Behind.CPU
	}
	is.Equal(claim(6000, 0, 3, 6000), 3*6000)
	is.Equal(claim(6000, 0, 9, 6000), 4*6000)      // room for four
	is.Equal(claim(16_000, 0, 9, 6000), 0)         // no room, until short tasks end
	is.Equal(claim(16_000, 12_000, 9, 6000), 6000) // nor then: an instance has to come
	is.Equal(claim(16_000, 12_000, 9, 17_000), 0)  // larger than any instance
}
