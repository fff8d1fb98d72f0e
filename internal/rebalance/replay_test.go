package rebalance

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/forecast"
	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/machine"
)

// The simulated load: a demand peak of one queue that rises to 65 jobs a second of
// 5 core-seconds each and falls again within 8 s, on a pool that keeps 4 machines of
// 16 cores, with 24 machines in the spare pool.
const (
	peakSpan        = 8 * time.Second
	peakRate        = 65.0
	jobWork         = 5.0
	jobCriticalPath = time.Second
	baseSize        = 4
	spareSize       = 24
	cores           = 16
	moveTime        = 1900 * time.Millisecond // the platform's 1.5 s plus a read of the registry
	controlInterval = 150 * time.Millisecond
	// maxWait is how long a job may wait and still meet its objective.
	maxWait = 600 * time.Millisecond
)

// simulation runs the load against Plan: a FIFO queue of work, processed by the
// machines that have arrived, in steps of simulated time.
type simulation struct {
	now          time.Time
	start        time.Time
	arrivals     forecast.Arrivals
	withForecast bool
	queue        []queuedWork
	// arriving holds the arrival times of ordered machines.
	arriving []time.Time
	// size is the number of machines that have arrived.
	size int
	// lateWork is the work of jobs that waited longer than maxWait, in core-seconds.
	lateWork float64
	allWork  float64
	// machineTime is the cost of the pool's machines, in machine-seconds.
	machineTime float64
}

type queuedWork struct {
	arrivedAt time.Time
	work      float64
}

func (sim *simulation) run() {
	const tick = 10 * time.Millisecond
	due := 0.0
	for sim.now.Sub(sim.start) < peakSpan+4*time.Second {
		at := sim.now.Sub(sim.start)
		if at < peakSpan {
			due += peakRate * math.Sin(math.Pi*at.Seconds()/peakSpan.Seconds()) * tick.Seconds()
		}
		for ; due >= 1; due-- {
			sim.queue = append(sim.queue, queuedWork{arrivedAt: sim.now, work: jobWork})
			sim.allWork += jobWork
			sim.arrivals.Add(sim.now, jobWork, jobCriticalPath)
		}
		if at%controlInterval < tick {
			sim.control()
		}
		sim.processQueue(tick)
		sim.now = sim.now.Add(tick)
	}
}

func (sim *simulation) processQueue(tick time.Duration) {
	for len(sim.arriving) > 0 && !sim.now.Before(sim.arriving[0]) {
		sim.arriving = sim.arriving[1:]
		sim.size++
	}
	sim.machineTime += float64(sim.size+len(sim.arriving)) * tick.Seconds()
	capacity := float64(sim.size*cores) * tick.Seconds()
	for len(sim.queue) > 0 && capacity > 0 {
		done := min(capacity, sim.queue[0].work)
		if sim.now.Sub(sim.queue[0].arrivedAt) > maxWait {
			sim.lateWork += done
		}
		capacity -= done
		sim.queue[0].work -= done
		if sim.queue[0].work <= 0 {
			sim.queue = sim.queue[1:]
		}
	}
}

// control runs Plan on the pool's state and orders the moves.
func (sim *simulation) control() {
	s := Snapshot{
		Machines: map[string]machine.Machine{}, SparePool: spare, BaseSizes: map[string]int{"peak": baseSize},
		Arriving: map[string]int{"peak": len(sim.arriving)}, Demand: map[string]Demand{},
	}
	for i := range spareSize + baseSize - sim.size - len(sim.arriving) {
		s.Machines[fmt.Sprintf("off-%d", i)] = machine.Machine{Name: fmt.Sprintf("off-%d", i), Pool: spare, State: machine.Up, Capacity: job.Resources{CPU: cores * 1000}}
	}
	d := Demand{UsableCPU: sim.size * cores * 1000}
	for _, p := range sim.queue {
		d.WaitingWork += p.work
	}
	d.WaitingCPU = int(d.WaitingWork / jobCriticalPath.Seconds() * 1000)
	if sim.withForecast {
		d.ArrivingCPU = int(sim.arrivals.Cores(sim.now, moveTime) * 1000)
	}
	s.Demand["peak"] = d
	for range Plan(s) {
		sim.arriving = append(sim.arriving, sim.now.Add(moveTime))
	}
}

func simulate(withForecast bool) *simulation {
	start := time.Unix(1_700_000_000, 0)
	sim := &simulation{now: start, start: start, withForecast: withForecast, size: baseSize}
	sim.run()
	return sim
}

// Machines ordered by a forecast of a peak's ramp leave less of its work late than
// machines ordered for waiting work only, at about the same cost.
func TestForecastReducesLateWork(t *testing.T) {
	is := is.New(t)
	reactive, predictive := simulate(false), simulate(true)
	t.Logf("late share of the work: %.3f without, %.3f with a forecast; machine-seconds %.0f, %.0f",
		reactive.lateWork/reactive.allWork, predictive.lateWork/predictive.allWork, reactive.machineTime, predictive.machineTime)
	is.True(predictive.lateWork < 0.7*reactive.lateWork)
	is.True(predictive.machineTime < 1.1*reactive.machineTime)
}
