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

// The load that is replayed: one queue's turn of 8 s, up to 65 jobs a second of 5
// core-seconds each and back, on a pool that keeps 4 machines of 16 cores beside
// 24 that are off.
const (
	turnSpan   = 8 * time.Second
	turnPeak   = 65.0
	jobWork    = 5.0
	jobChain   = time.Second
	baseSize   = 4
	spareSize  = 24
	cores      = 16
	moveTime   = 1900 * time.Millisecond // the platform's 1.5 s, and a read of the registry
	controlGap = 150 * time.Millisecond
	// inTimeWait is how long a job may wait and still meet its objective.
	inTimeWait = 600 * time.Millisecond
)

// turn is a replay: work waits first in, first out, and is worked off by the
// machines that have arrived.
type turn struct {
	now      time.Time
	began    time.Time
	arrivals forecast.Arrivals
	foresee  bool
	queue    []piece
	arriving []time.Time
	size     int
	late     float64
	all      float64
	// machineTime is what the pool's machines have cost, in machine-seconds.
	machineTime float64
}

type piece struct {
	at   time.Time
	work float64
}

func (t *turn) run() {
	const tick = 10 * time.Millisecond
	due := 0.0
	for t.now.Sub(t.began) < turnSpan+4*time.Second {
		at := t.now.Sub(t.began)
		if at < turnSpan {
			due += turnPeak * math.Sin(math.Pi*at.Seconds()/turnSpan.Seconds()) * tick.Seconds()
		}
		for ; due >= 1; due-- {
			t.queue = append(t.queue, piece{at: t.now, work: jobWork})
			t.all += jobWork
			t.arrivals.Add(t.now, jobWork, jobChain)
		}
		if at%controlGap < tick {
			t.control()
		}
		t.workOff(tick)
		t.now = t.now.Add(tick)
	}
}

func (t *turn) workOff(tick time.Duration) {
	for len(t.arriving) > 0 && !t.now.Before(t.arriving[0]) {
		t.arriving = t.arriving[1:]
		t.size++
	}
	t.machineTime += float64(t.size+len(t.arriving)) * tick.Seconds()
	room := float64(t.size*cores) * tick.Seconds()
	for len(t.queue) > 0 && room > 0 {
		done := min(room, t.queue[0].work)
		if t.now.Sub(t.queue[0].at) > inTimeWait {
			t.late += done
		}
		room -= done
		t.queue[0].work -= done
		if t.queue[0].work <= 0 {
			t.queue = t.queue[1:]
		}
	}
}

// control plans moves from what the pool tells.
func (t *turn) control() {
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
	d.WaitingCPU = int(d.WaitingWork / jobChain.Seconds() * 1000)
	if t.foresee {
		d.ArrivingCPU = int(t.arrivals.Cores(t.now, moveTime) * 1000)
	}
	s.Demand["peak"] = d
	for range Plan(s) {
		t.arriving = append(t.arriving, t.now.Add(moveTime))
	}
}

func replay(foresee bool) *turn {
	began := time.Unix(1_700_000_000, 0)
	t := &turn{now: began, began: began, foresee: foresee, size: baseSize}
	t.run()
	return t
}

// Machines that are sent for what a turn's ramp is about to bring make less of
// its work late than those sent for what waits, and don't cost more.
func TestForecastMakesLessOfATurnLate(t *testing.T) {
	is := is.New(t)
	seen, foreseen := replay(false), replay(true)
	t.Logf("late share of the work: %.3f without, %.3f with a forecast; machine-seconds %.0f, %.0f",
		seen.late/seen.all, foreseen.late/foreseen.all, seen.machineTime, foreseen.machineTime)
	is.True(foreseen.late < 0.7*seen.late)
	is.True(foreseen.machineTime < 1.1*seen.machineTime)
}
