package rebalance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/machine"
)

const spare = "spare"

// fleet returns a snapshot of idle machines with 16 cores each, by pool size.
func fleet(sizes map[string]int) Snapshot {
	s := Snapshot{Machines: map[string]machine.Machine{}, Busy: map[string]bool{}, Demand: map[string]Demand{}, SparePool: spare, BaseSizes: map[string]int{}, Arriving: map[string]int{}, OutOfService: map[string]bool{}}
	for pool, size := range sizes {
		d := Demand{FreeCPU: size * 16000, UsableCPU: size * 16000, Instances: map[string]Instance{}}
		for i := range size {
			name := fmt.Sprintf("m-%s-%d", pool, i)
			m := machine.Machine{Name: name, Pool: pool, State: machine.Up, Capacity: job.Resources{CPU: 16000}}
			if pool != spare {
				m.Instance = "i-" + name
				d.Instances[m.Instance] = Instance{ID: m.Instance, IdleFor: time.Minute}
			}
			s.Machines[name] = m
		}
		if pool != spare {
			s.Demand[pool] = d
			s.BaseSizes[pool] = 2
		}
	}
	return s
}

func (s Snapshot) addBacklog(pool string, cpu int, work float64) {
	d := s.Demand[pool]
	d.WaitingCPU, d.WaitingWork, d.FreeCPU = cpu, work, 0
	for id, i := range d.Instances {
		i.Runs = 3
		d.Instances[id] = i
	}
	s.Demand[pool] = d
}

// A pool with a demand peak gets idle machines that would be switched off first, then
// those that are off, then those that have just become idle: they may be needed where
// they are.
func TestPeakOfOnePool(t *testing.T) {
	is := is.New(t)
	s := fleet(map[string]int{"peak": 2, "calm": 6, spare: 3})
	s.addBacklog("peak", 16000*6, 100)
	for _, n := range []int{0, 1, 2} {
		id := fmt.Sprint("i-m-calm-", n)
		i := s.Demand["calm"].Instances[id]
		i.IdleFor = idleBeforeReturn - time.Millisecond
		s.Demand["calm"].Instances[id] = i
	}
	moves := Plan(s)
	var names []string
	for _, m := range moves {
		is.Equal(m.To, "peak")
		names = append(names, m.Machine)
	}
	is.Equal(names, []string{"m-calm-3", "m-calm-4", "m-calm-5", "m-spare-0", "m-spare-1", "m-spare-2"})
	s.addBacklog("peak", 16000*7, 100)
	is.Equal(Plan(s)[6].Machine, "m-calm-0") // the pool keeps 2
}

// Idle machines must be switched off also while another pool lacks machines, if it gets
// enough without them: for the seconds of its peak's ramp 300 machines of the pool that
// had peaked before it stood idle.
func TestIdleMachinesAreSwitchedOffBesideAPeak(t *testing.T) {
	is := is.New(t)
	s := fleet(map[string]int{"peak": 2, "calm": 9, spare: 3})
	s.addBacklog("peak", 16000*2, 100)
	to := map[string]int{}
	for _, m := range Plan(s) {
		is.Equal(m.From, "calm") // one move for each instead of two
		to[m.To]++
	}
	is.Equal(to, map[string]int{"peak": 2, spare: 5})
}

// Pools that peak together share the machines: the one with the longest backlog gets
// the first, and not all of them while the others wait.
func TestPoolsThatPeakTogetherShareMachines(t *testing.T) {
	is := is.New(t)
	s := fleet(map[string]int{"a": 2, "b": 2, "c": 2, spare: 9})
	s.addBacklog("a", 16000*20, 400)
	s.addBacklog("b", 16000*20, 300)
	s.addBacklog("c", 16000*20, 300)
	moves := Plan(s)
	got := map[string]int{}
	for _, m := range moves {
		got[m.To]++
	}
	is.Equal(moves[0].To, "a")
	is.Equal(got, map[string]int{"a": 4, "b": 3, "c": 2})
}

// A pool that peaked first holds all machines and keeps them busy. One that starves
// beside it gets busy machines until their backlogs are near each other, but none
// with long-running tasks and no more than a quarter at a time.
func TestStarvingPoolGetsBusyMachines(t *testing.T) {
	is := is.New(t)
	s := fleet(map[string]int{"first": 40, "starved": 4, spare: 0})
	s.addBacklog("first", 16000*20, 640)     // 1 s
	s.addBacklog("starved", 16000*60, 64*20) // 20 s
	for id, i := range s.Demand["first"].Instances {
		if id != "i-m-first-7" {
			i.Lasting = 1
			s.Demand["first"].Instances[id] = i
		}
	}
	is.Equal(Plan(s), []Move{{Machine: "m-first-7", From: "first", To: "starved", Instance: "i-m-first-7", Busy: true}})
	for id, i := range s.Demand["first"].Instances {
		i.Lasting = 0
		s.Demand["first"].Instances[id] = i
	}
	is.Equal(len(Plan(s)), 10)
	s.Busy["m-first-0"], s.Busy["m-first-1"] = true, true // still draining
	is.Equal(len(Plan(s)), 8)
	d := s.Demand["starved"]
	d.WaitingWork = 64 * 4 // 4 s: not worth the time in which a machine does nothing
	s.Demand["starved"] = d
	is.Equal(len(Plan(s)), 0)
}

func TestNoMoveForAShortBacklog(t *testing.T) {
	is := is.New(t)
	s := fleet(map[string]int{"peak": 2, spare: 3})
	s.addBacklog("peak", 16000, 3) // 0.1 s for 32 cores
	is.Equal(len(Plan(s)), 0)
}

// A pool whose instances are all unreachable has machines, but no capacity.
func TestPoolWithoutUsableInstancesGetsAMachine(t *testing.T) {
	is := is.New(t)
	s := fleet(map[string]int{"cut": 4, spare: 3})
	s.addBacklog("cut", 1500, 2)
	d := s.Demand["cut"]
	d.UsableCPU = 0
	s.Demand["cut"] = d
	is.Equal(len(Plan(s)), 1)
}

// Long-running tasks that wait must get machines, however little work they are: 12 of a
// service that needs a whole machine for each task waited all day for a pool of 110.
func TestWaitingLongRunningTasksGetMachines(t *testing.T) {
	is := is.New(t)
	s := fleet(map[string]int{"held": 10, "calm": 2, spare: 5})
	s.addBacklog("held", 3*16000, 0)
	is.Equal(len(Plan(s)), 0)
	d := s.Demand["held"]
	d.WaitingLastingCPU = 2*16000 + 1
	s.Demand["held"] = d
	is.Equal(len(Plan(s)), 3)
	d.FreeCPU = 2 * 16000 // they fit in what is free
	s.Demand["held"] = d
	is.Equal(len(Plan(s)), 1)
	d.FreeCPU = 0
	d.Instances["i-m-held-0"] = Instance{Usable: true, IdleFor: time.Second}
	is.Equal(len(Plan(s)), 0) // a free machine didn't help, so another one won't
}

// Work waits for what long-running tasks leave of a pool. Counted against all of it,
// a pool whose memory was held by long-running tasks got no machine for 12 s, while
// 14 machines' worth of tasks waited.
func TestBacklogLeavesOutWhatLongRunningTasksHold(t *testing.T) {
	is := is.New(t)
	s := fleet(map[string]int{"held": 10, spare: 3})
	s.addBacklog("held", 2*16000, 10) // 10 core-seconds for 160 cores
	is.Equal(len(Plan(s)), 0)
	d := s.Demand["held"]
	d.LastingCPU = 8 * 16000 // 32 cores are left
	s.Demand["held"] = d
	is.Equal(len(Plan(s)), 2)
	d.LastingCPU = 10 * 16000
	d.WaitingCPU = 100
	s.Demand["held"] = d
	is.Equal(len(Plan(s)), 1)
}

func TestArrivingMachinesCount(t *testing.T) {
	is := is.New(t)
	s := fleet(map[string]int{"peak": 2, spare: 3})
	s.addBacklog("peak", 16000*2, 100)
	s.Arriving["peak"] = 2
	is.Equal(len(Plan(s)), 0)
}

func TestIdleMachinesAreSwitchedOff(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(s Snapshot)
		want   int
	}{
		{"down to the base size", func(Snapshot) {}, 3},
		{"none while work waits", func(s Snapshot) { s.addBacklog("calm", 100, 0.1) }, 0},
		{"none that is part of a wave", func(s Snapshot) {
			for name := range s.Machines {
				s.Busy[name] = true
			}
		}, 0},
		{"none that ran a task just before", func(s Snapshot) {
			for id, i := range s.Demand["calm"].Instances {
				i.IdleFor = 100 * time.Millisecond
				s.Demand["calm"].Instances[id] = i
			}
		}, 0},
		{"none of a pool without a report", func(s Snapshot) { delete(s.Demand, "calm") }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := fleet(map[string]int{"calm": 5, spare: 1})
			c.change(s)
			is.Equal(len(Plan(s)), c.want)
		})
	}
}

func TestMachinesOfADataCentreOutOfServiceAreNotAssigned(t *testing.T) {
	is := is.New(t)
	s := fleet(map[string]int{"peak": 2, spare: 3})
	s.addBacklog("peak", 16000*4, 100)
	s.OutOfService[""] = true
	is.Equal(len(Plan(s)), 0)
}

// Machines that can't take work don't count towards a pool's base size.
func TestIdleMachinesOfADataCentreOutOfServiceAreSwitchedOff(t *testing.T) {
	is := is.New(t)
	s := fleet(map[string]int{"calm": 4, spare: 1})
	for name, m := range s.Machines {
		if name != "m-calm-0" {
			m.DataCentre = "out"
			s.Machines[name] = m
		}
	}
	s.OutOfService["out"] = true
	is.Equal(len(Plan(s)), 3)
}
