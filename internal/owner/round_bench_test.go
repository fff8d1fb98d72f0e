package owner

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/catalog"
	"github.com/beryltide/beryltide/internal/fleetview"
	"github.com/beryltide/beryltide/internal/instance"
	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/ownership"
	"github.com/beryltide/beryltide/internal/store"
)

// peakUnit is a unit in its pool's peak: usable instances of 16 cores, each with
// seven runs, jobs that finished earlier, and jobs of two steps that wait.
func peakUnit(instances, finished, waiting int) *Unit {
	c := catalog.New(1)
	c.AddQueue(&catalog.Queue{Name: testQueue, Pool: testPool, MaxFailures: 3, Stretch: 2, TargetLatency: time.Second})
	begin := time.Now()
	view := fleetview.New(fleetview.Decoders{Operator: func(string, []byte) (catalog.OperatorRecord, error) {
		return catalog.OperatorRecord{Catalog: c}, nil
	}}, func() time.Duration { return time.Since(begin) }, zap.NewNop())
	view.ResetOperator([]store.Record{{Key: "config", Value: []byte{1}}})
	u := New(context.Background(), Deps{View: view, Clock: func() time.Duration { return time.Since(begin) }, Logger: zap.NewNop(), Meter: NewMeter(tally.NoopScope)}, ownership.Tenure{})
	now := time.Now()
	step := job.Step{Count: 8, Need: job.Resources{CPU: 2100}, Estimate: 800 * time.Millisecond}
	for i := range instances {
		sess := &session{unit: u, reg: instance.Registration{ID: fmt.Sprint("i-", i), Pool: testPool, Rack: fmt.Sprint("r", i/20), Capacity: job.Resources{CPU: 16_000, Memory: 32_000}}, listed: true, reconciled: true, lastContact: now.Add(time.Hour)}
		for n := range 7 {
			sess.addRun(job.TaskID{Job: fmt.Sprint("running-", i), Index: n}, &run{number: 1, need: step.Allocation(), step: &step})
		}
		u.sessions[sess.reg.ID] = sess
	}
	for i := range finished + waiting {
		second := step
		second.After = []int{0}
		s := &job.Submission{ID: fmt.Sprint("j-", i), Queue: testQueue, Pool: testPool, Steps: []job.Step{step, second}, AcceptedAt: now.UnixMilli()}
		s.Steps[0].Need.CPU = 1500 + i%1300
		e := newEntry(s)
		u.addEntry(e)
		u.observeWork(e)
		e.job.Advance(now)
		if i < finished {
			e.job.Cancel()
		}
	}
	return u
}

func BenchmarkRound(b *testing.B) {
	u := peakUnit(700, 3000, 250)
	now := time.Now()
	for b.Loop() {
		u.plan(now)
	}
}

// giveTeams spreads a unit's jobs over teams of a weight, and makes the waiting work so
// long that the pool is overloaded.
func giveTeams(u *Unit, teams int, weight float64) {
	c := u.View.Catalog()
	for i := range teams {
		c.AddTeam(&catalog.Team{Name: fmt.Sprint("t", i), Weight: weight}, nil)
	}
	n := 0
	for _, e := range u.jobs {
		s := e.job.Submission
		s.Team = fmt.Sprint("t", n%teams)
		n++
		for i := range s.Steps {
			s.Steps[i].Estimate = 4 * time.Second
			u.allowances.add(s, &s.Steps[i])
		}
	}
	u.plan(time.Now()) // later rounds know the backlog
}

// The rounds of a pool with 2,000 waiting tasks of 20 teams may cost a tenth more with
// the division than without it, which is so without weights.
func BenchmarkTeams(b *testing.B) {
	for _, weight := range []float64{0, 1} {
		b.Run(fmt.Sprintf("weight_%g", weight), func(b *testing.B) {
			u := peakUnit(700, 3000, 250)
			giveTeams(u, 20, weight)
			now := time.Now()
			for b.Loop() {
				u.plan(now)
			}
			if divided := u.divisions[testPool] != nil; divided != (weight > 0) {
				b.Fatal("the pool isn't divided as it should be: ", divided)
			}
		})
	}
}

// BenchmarkDemand is one report to the leader at a peak of a large pool.
func BenchmarkDemand(b *testing.B) {
	u := peakUnit(700, 0, 2000)
	now := time.Now()
	u.measureInstances()
	u.plan(now)
	b.ReportAllocs()
	for b.Loop() {
		u.demand(testPool, now)
	}
}
