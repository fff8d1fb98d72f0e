package rebalance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// afterPeak returns a fleet in which a pool of 40 machines has just had its peak: no task
// waits, and the last ones are spread, some on each machine. Another pool's peak begins.
func afterPeak(busyCPU int) Snapshot {
	s := fleet(map[string]int{"past": 40, "next": 4, spare: 0})
	d := s.Demand["past"]
	d.BusyCPU, d.FreeCPU = busyCPU, 40*16000-busyCPU
	for n := range 40 {
		id := fmt.Sprint("i-m-past-", n)
		d.Instances[id] = Instance{ID: id, Runs: 1 + n%3, Usable: true}
	}
	s.Demand["past"] = d
	s.addBacklog("next", 60*16000, 64) // 1 s
	return s
}

// Guards against machines that stay with a pool after its peak because each still runs
// something: 7,700 of 12,400 cores stood free on 194 machines, of which 20 were idle,
// while the next pool had 37 machines for 12,000 cores' worth of tasks.
func TestLastTasksOfAPeakHoldFewMachines(t *testing.T) {
	is := is.New(t)
	moves := Plan(afterPeak(20 * 16000))
	is.Equal(len(moves), 40-23) // 20 machines' worth of tasks and what they leave unused
	for n, m := range moves {
		is.Equal(m.To, "next")
		is.True(m.Busy)
		if n < 14 {
			is.Equal(afterPeak(0).Demand["past"].Instances[m.Instance].Runs, 1) // those with the fewest runs
		}
	}
}

// What a pool is forecast to need, and what runs for as long as its job, stays.
func TestConsolidationKeepsWhatIsNeeded(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Demand)
		want   int
	}{
		{"nothing needed but the base size", func(*Demand) {}, 38},
		{"forecast work", func(d *Demand) { d.ArrivingCPU = 30 * 16000 }, 5},
		{"long-running tasks that could move elsewhere in the pool", func(d *Demand) { d.LastingCPU = 10 * 16000 }, 28},
		{"waiting tasks", func(d *Demand) { d.WaitingCPU = 1 }, 0},
		{"long-running and backfill tasks", func(d *Demand) {
			for id, i := range d.Instances {
				if i.Runs == 1 {
					i.Lasting = 1
				} else {
					i.Backfill = 1
				}
				d.Instances[id] = i
			}
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := afterPeak(0)
			d := s.Demand["past"]
			c.change(&d)
			s.Demand["past"] = d
			is.Equal(len(Plan(s)), c.want)
		})
	}
}

// Pools without work keep their base size beside a short backlog, and lend half of it
// beside a long one: 50 machines of three pools stood idle beside a pool that had 54 of
// them and work for 220.
func TestBaseSizeIsLentToAnOverloadedPool(t *testing.T) {
	for _, c := range []struct {
		backlog time.Duration
		want    int
	}{{time.Second, 0}, {3 * time.Second, 5}} {
		t.Run(c.backlog.String(), func(t *testing.T) {
			is := is.New(t)
			s := fleet(map[string]int{"peak": 4, "calm": 10, spare: 0})
			s.BaseSizes["calm"] = 10
			s.addBacklog("peak", 30*16000, 64*c.backlog.Seconds())
			is.Equal(len(Plan(s)), c.want)
		})
	}
}
