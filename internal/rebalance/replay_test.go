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
// machines that have arrived. Times are simulated.
type simulation struct {
	now          time.Time
	start        time.Time
	arrivals     forecast.Arrivals
	withForecast bool
	queue        []queuedWork
	arriving     []time.Time
	size         int
	lateWork     float64
	allWork      float64
	// machineTime is the cost of the pool's machines, in machine-seconds.
	machineTime float64
}

type queuedWork struct {
	arrivedAt time.Time
	work      float64
}

func (t *simulation) run() {
	const tick = 10 * time.Millisecond
	due := 0.0
	for t.now.Sub(t.start) < peakSpan+4*time.Second {
		at := t.now.Sub(t.start)
		if at < peakSpan {
			due += peakRate * math.Sin(math.Pi*at.Seconds()/peakSpan.Seconds()) * tick.Seconds()
		}
		for ; due >= 1; due-- {
			t.queue = append(t.queue, queuedWork{arrivedAt: t.now, work: jobWork})
			t.allWork += jobWork
			t.arrivals.Add(t.now, jobWork, jobCriticalPath)
		}
		if at%controlInterval < tick {
			t.control()
		}
		t.processQueue(tick)
		t.now = t.now.Add(tick)
	}
}

func (t *simulation) processQueue(tick time.Duration) {
	for len(t.arriving) > 0 && !t.now.Before(t.arriving[0]) {
		t.arriving = t.arriving[1:]
		t.size++
	}
	t.machineTime += float64(t.size+len(t.arriving)) * tick.Seconds()
	capacity := float64(t.size*cores) * tick.Seconds()
	for len(t.queue) > 0 && capacity > 0 {
		done := min(capacity, t.queue[0].work)
		if t.now.Sub(t.queue[0].arrivedAt) > maxWait {
			t.lateWork += done
		}
		capacity -= done
		t.queue[0].work -= done
		if t.queue[0].work <= 0 {
			t.queue = t.queue[1:]
		}
	}
}

// control runs Plan on the pool's state and orders the moves.
func (t *simulation) control() {
	s := Snapshot{
		Machines: map[string]machine.Machine{}, Spare: spare, Base: map[string]int{"peak": baseSize},
		Arriving: map[string]int{"peak": len(t.arriving)}, Demand: map[string]Demand{},
	}
	for i := range spareSize + baseSize - t.size - len(t.arriving) {
		s.Machines[fmt.Sprintf("off-%d", i)] = machine.Machine{Name: fmt.Sprintf("off-%d", i), Pool: spare, State: machine.Up, Capacity: job.Resources{CPU: cores * 1000}}
	}
	d := Demand{UsableCPU: t.size * cores * 1000}
	for _, p := range t.queue {
		d.WaitingWork += p.work
	}
	d.WaitingCPU = int(d.WaitingWork / jobCriticalPath.Seconds() * 1000)
	if t.withForecast {
		d.ArrivingCPU = int(t.arrivals.Cores(t.now, moveTime) * 1000)
	}
	s.Demand["peak"] = d
	for range Plan(s) {
		t.arriving = append(t.arriving, t.now.Add(moveTime))
	}
}

func simulate(withForecast bool) *simulation {
	start := time.Unix(1_700_000_000, 0)
	t := &simulation{now: start, start: start, withForecast: withForecast, size: baseSize}
	t.run()
	return t
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
