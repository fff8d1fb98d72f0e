package planner_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/beryltide/beryltide/internal/configuration"
	"github.com/beryltide/beryltide/internal/fleet"
	"github.com/beryltide/beryltide/internal/record"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "10"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// step is the time between two rounds of the maintenance tests.
const step = 10 * time.Second

// shortIntervalConfig has a maintenance interval short enough for a test to
// cover it.
func shortIntervalConfig() fixtureConfig {
	c := defaultConfig
	c.interval = 6 * time.Hour
	return c
}

// down counts, by service, the instances under maintenance and the unhealthy
// ones in data centres in service.
func (f *fixture) down() map[string]int {
	snapshot := f.state.Snapshot()
	down := map[string]int{}
	for _, inst := range snapshot.Fleet.All() {
		maintained := inst.Intent == fleet.ToMaintain || inst.Phase == fleet.Rebooting
		if maintained || f.unhealthy[inst.Name] && snapshot.Centres.InService(inst.DataCentre) {
			down[snapshot.Document.Pools[inst.Pool].Service]++
		}
	}
	return down
}

// round advances the time by one step, plans, and checks each proposed
// maintenance against the budgets, burn rates and data centres out of service.
func (f *fixture) round(fail func(format string, args ...any)) {
	f.now = f.now.Add(step)
	f.planner.Observe(f.now, f.demand)
	records := f.plan()
	snapshot, down := f.state.Snapshot(), f.down()
	for _, b := range records {
		m, ok := b.(record.Maintain)
		if !ok {
			continue
		}
		inst := snapshot.Fleet.Get(m.Instance)
		service := snapshot.Document.Pools[inst.Pool].Service
		for centre, dc := range snapshot.Document.DataCentres {
			if centre != inst.DataCentre && !dc.InService {
				fail("maintenance of %s started in %s while %s is out of service", inst.Name, inst.DataCentre, centre)
			}
		}
		if service == "" {
			continue
		}
		if f.burning[service] {
			fail("maintenance of %s started while %s burns its error budget", inst.Name, service)
		}
		if budget := snapshot.Document.Services[service].DailyBudget; down[service] > budget {
			fail("%d of %s down when maintenance of %s starts, over the budget of %d", down[service], service, inst.Name, budget)
		}
	}
	f.reportCleared()
}

// maxAge returns the longest time since any instance's last maintenance.
func (f *fixture) maxAge() time.Duration {
	age := time.Duration(0)
	for _, inst := range f.state.Snapshot().Fleet.All() {
		age = max(age, f.now.Sub(time.Unix(inst.MaintainedAt, 0)))
	}
	return age
}

// TestMaintenanceKeepsBudgetsAndDeadlines covers an interval and a half with
// failed instances, data centres that go out of service and return, and error
// budgets that burn.
func TestMaintenanceKeepsBudgetsAndDeadlines(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(t, shortIntervalConfig())
		for i := range 5 {
			f.load(fmt.Sprintf("p%d", i), 2+4*rapid.Float64().Draw(rt, "load"))
		}
		until := map[string]time.Time{}
		for f.now.Sub(epoch) < 9*time.Hour {
			f.endFaults(until)
			if rapid.IntRange(0, 40).Draw(rt, "quiet") == 0 {
				f.startFault(rt, until)
			}
			f.round(rt.Fatalf)
			if age := f.maxAge(); age > 6*time.Hour {
				rt.Fatalf("the last maintenance of an instance was %s ago", age)
			}
		}
	})
}

func (f *fixture) startFault(rt *rapid.T, until map[string]time.Time) {
	end := f.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(rt, "minutes")) * time.Minute)
	n := rapid.IntRange(0, 47).Draw(rt, "which")
	switch rapid.IntRange(0, 5).Draw(rt, "fault") {
	case 0:
		centre := fmt.Sprintf("dc%d", n%3)
		if len(f.outOfService()) == 0 {
			f.setInService(centre, false)
			until[centre] = end
		}
	case 1:
		service := fmt.Sprintf("s%d", n%5)
		f.burning[service] = true
		until[service] = end
	default:
		name := fmt.Sprintf("i%04d", n)
		f.unhealthy[name] = true
		until[name] = end
	}
}

func (f *fixture) outOfService() (out []string) {
	for name, dc := range f.state.Snapshot().Document.DataCentres {
		if !dc.InService {
			out = append(out, name)
		}
	}
	return out
}

func (f *fixture) endFaults(until map[string]time.Time) {
	for name, end := range until {
		if f.now.Before(end) {
			continue
		}
		delete(until, name)
		delete(f.unhealthy, name)
		delete(f.burning, name)
		if name[:2] == "dc" {
			f.setInService(name, true)
		}
	}
}

// TestRollOutUsesTheBudget compares the length of a wave with the minimum: a
// pool's instances, as many at once as the budget allows, each taking one
// reboot and two planner rounds.
func TestRollOutUsesTheBudget(t *testing.T) {
	for _, budget := range []int{1, 2, 3} {
		t.Run(fmt.Sprint(budget), func(t *testing.T) {
			is := is.New(t)
			c := shortIntervalConfig()
			c.service.DailyBudget = budget
			f := newFixture(t, c)
			for f.now.Sub(epoch) < 4*time.Hour {
				f.round(t.Fatalf)
			}
			start := f.now
			for f.maxAge() >= 4*time.Hour {
				f.round(t.Fatalf)
			}
			cycles := (8 + budget - 1) / budget
			least := time.Duration(cycles) * (rebootTime + 2*step)
			is.True(f.now.Sub(start) <= least*12/10)
		})
	}
}

// TestMaintenanceWaveIsPaused covers the conditions under which no new drain
// may start.
func TestMaintenanceWaveIsPaused(t *testing.T) {
	pause := func(f *fixture) {
		d := configuration.Delta{Maintenance: &configuration.Maintenance{
			Interval: configuration.Duration(6 * time.Hour), Paused: true,
		}}
		f.configure(f.state.Snapshot().Document.Apply(d))
	}
	for name, block := range map[string]func(f *fixture){
		"paused": pause,
		"two data centres out of service": func(f *fixture) {
			f.setInService("dc0", false)
			f.setInService("dc1", false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, shortIntervalConfig())
			f.now = f.now.Add(4*time.Hour + 10*time.Second)
			block(f)
			for range 30 {
				f.round(t.Fatalf)
			}
			is.Equal(f.down(), map[string]int{})
		})
	}
}

func TestDrainIsCancelledWhenAnotherCentreLeaves(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, shortIntervalConfig())
	f.now = f.now.Add(4*time.Hour + 5*time.Second)
	var drains []record.Body
	for len(drains) == 0 {
		f.now = f.now.Add(step)
		drains = f.plan() // without clearances, so the drains stay open
	}
	f.setInService("dc2", false)
	var cancelled []record.Body
	for range 6 {
		f.now = f.now.Add(step)
		cancelled = append(cancelled, f.plan()...)
	}
	is.True(len(cancelled) > 0)
	for _, inst := range f.state.Snapshot().Fleet.All() {
		is.True(inst.Intent != fleet.ToMaintain || inst.DataCentre == "dc2")
	}
}
