package rebalance

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/job"
)

// missing sets a pool's missing instances, with free capacity on those that it has.
func (s Snapshot) missing(pool string, missing ...Missing) {
	d := s.Demand[pool]
	d.WaitingCPU, d.WaitingLastingCPU, d.Missing = 1000, 1000, missing
	for id, i := range d.Instances {
		i.Runs, i.Lasting, i.IdleFor, i.Usable = 2, 2, 0, true
		d.Instances[id] = i
	}
	s.Demand[pool] = d
}

// Guards against tasks that no instance of their pool may run, and that wait until another
// reason brings a machine: the capacity that is free there doesn't help them.
func TestMissingInstanceComesBeforeBacklogs(t *testing.T) {
	is := is.New(t)
	s := fleet(map[string]int{"held": 3, "peak": 2, spare: 2})
	s.addBacklog("peak", 16000*6, 1000)
	s.missing("held", Missing{Instances: 1})
	to := map[string]int{}
	for _, m := range Plan(s) {
		to[m.To]++
	}
	is.Equal(to, map[string]int{"held": 1, "peak": 1})
	s.Arriving["held"] = 1
	is.Equal(len(Plan(s)), 2)
	for _, m := range Plan(s) {
		is.Equal(m.To, "peak")
	}
}

// Guards against an instance that stays missing while other pools keep all machines busy.
func TestMissingInstanceIsTakenFromABusyPool(t *testing.T) {
	is := is.New(t)
	s := fleet(map[string]int{"held": 3, "busy": 8})
	s.addBacklog("busy", 16000*6, 1000)
	s.missing("held", Missing{Instances: 1})
	moves := Plan(s)
	is.Equal(len(moves), 1)
	is.Equal(moves[0].To, "held")
	is.True(moves[0].Busy)
}

// Guards against machines that can't run the tasks that they are sent for, one after another.
func TestMissingInstanceNeedsASuitableMachine(t *testing.T) {
	is := is.New(t)
	s := fleet(map[string]int{"held": 3, spare: 3})
	s.missing("held", Missing{Labels: []string{"x"}, Need: job.Resources{CPU: 1000}, Instances: 1})
	is.Equal(len(Plan(s)), 0)
	m := s.Machines["m-spare-1"]
	m.Labels = []string{"w", "x"}
	s.Machines["m-spare-1"] = m
	is.Equal(Plan(s), []Move{{Machine: "m-spare-1", From: spare, To: "held"}})
	m.Capacity.CPU = 900
	s.Machines["m-spare-1"] = m
	is.Equal(len(Plan(s)), 0)
}

// Guards against a machine that is switched off, or moved to a peak, before the task that it
// came for starts there.
func TestAwaitedMachineStays(t *testing.T) {
	is := is.New(t)
	for _, want := range []int{1, 0} {
		s := fleet(map[string]int{"held": 3, "peak": 2, spare: 0})
		s.BaseSizes["held"] = 2
		s.addBacklog("peak", 16000*6, 40)
		for id, i := range s.Demand["held"].Instances {
			i.Awaited, i.Usable = want == 0, true
			s.Demand["held"].Instances[id] = i
		}
		is.Equal(len(Plan(s)), want)
	}
}

// Guards against machines that come for tasks without value left before work in time has
// them, and against such tasks for which none ever comes.
func TestMachinesForTasksWithoutValueComeLast(t *testing.T) {
	is := is.New(t)
	moved := func(s Snapshot) int {
		return len(slices.DeleteFunc(Plan(s), func(m Move) bool { return m.To != "late" }))
	}
	behind := func(s Snapshot, instances int) {
		d := s.Demand["late"]
		d.Missing = []Missing{{Instances: instances, Behind: true}}
		s.Demand["late"] = d
	}
	s := fleet(map[string]int{"late": 3, "peak": 2, spare: 2})
	s.addBacklog("peak", 16000*6, 1000)
	behind(s, 1)
	is.Equal(moved(s), 0)
	s = fleet(map[string]int{"late": 3, "other": 8})
	behind(s, 1)
	is.Equal(moved(s), 0) // only machines that are off come
	s = fleet(map[string]int{"late": 3, spare: 2})
	behind(s, 1)
	is.Equal(moved(s), 1)
	s.Arriving["late"] = 1
	is.Equal(moved(s), 0)
	s = fleet(map[string]int{"late": 3, spare: 2})
	behind(s, 2)
	is.Equal(moved(s), 2)
	behind(s, 3)
	is.Equal(moved(s), 0) // a gang's, of which a part would be returned unused
}
