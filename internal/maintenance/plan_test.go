package maintenance

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/catalog"
	"github.com/beryltide/beryltide/internal/machine"
)

// dueWave returns a wave whose machines are all due, in one pool, each with one
// run.
func dueWave(atOnce, machines int) Snapshot {
	s := Snapshot{
		Wave: catalog.Wave{Number: 1, AtOnce: atOnce}, Stages: map[string]Stage{}, Machines: map[string]machine.Machine{},
		PoolSizes: map[string]int{"p": machines}, SparePools: map[string]bool{}, Load: map[string]int{}, Out: map[string]int{}, Waiting: map[string]bool{},
	}
	for i := range machines {
		name := fmt.Sprintf("m%02d", i)
		s.Stages[name] = Due
		s.Machines[name] = machine.Machine{Name: name, Pool: "p", State: machine.Up, Instance: "i-" + name}
		s.Load["i-"+name] = 1
	}
	return s
}

func TestPlan(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(s *Snapshot)
		want   int
	}{
		{"a quarter of a pool at once", func(*Snapshot) {}, 3},
		{"no more than the wave's bound", func(s *Snapshot) { s.Wave.AtOnce = 2 }, 2},
		{"draining and down machines count", func(s *Snapshot) { s.Stages["m00"], s.Stages["m01"] = Down, Draining }, 1},
		{"a former holder's machines count", func(s *Snapshot) { s.Wave.AtOnce = 4; s.DownByFormerHolder = 3 }, 1},
		{"machines out for other reasons count", func(s *Snapshot) { s.Out["p"] = 2 }, 1},
		{"idle machines all at once", func(s *Snapshot) { s.Load = zeroLoad(s.Load) }, 10},
		{"idle machines in batches while work waits", func(s *Snapshot) { s.Load = zeroLoad(s.Load); s.Waiting["p"] = true }, 3},
		{"powered-off machines all at once", func(s *Snapshot) { s.SparePools["p"] = true }, 10},
		{"all but reserved machines", func(s *Snapshot) {
			s.Wave.AtOnce = 12
			s.Reserved = map[string]bool{"m00": true, "m01": true}
			s.Load = zeroLoad(s.Load)
		}, 10},
		{"only machines that are up", func(s *Snapshot) {
			for name, m := range s.Machines {
				m.State = machine.Moving
				s.Machines[name] = m
			}
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := dueWave(10, 12)
			c.change(&s)
			is.Equal(len(Plan(s)), c.want)
		})
	}
}

func zeroLoad(load map[string]int) map[string]int {
	out := map[string]int{}
	for id := range load {
		out[id] = 0
	}
	return out
}

func TestIdleMachinesGoFirst(t *testing.T) {
	is := is.New(t)
	s := dueWave(1, 4)
	s.Load["i-m02"] = 0
	is.Equal(Plan(s), []string{"m02"})
}

// Machines with long-running tasks must start with a wave, not after those that are
// off: their tasks move one after another, so a wave that started on them 5 s late
// ended late. They leave half of the bound to the others, and machines of a peak alone.
func TestMachinesWithLongRunningTasksGoFirst(t *testing.T) {
	is := is.New(t)
	s := dueWave(6, 24)
	s.Load = zeroLoad(s.Load)
	s.LongRunning = map[string]int{}
	for _, name := range []string{"m20", "m21", "m22", "m23"} {
		s.Load["i-"+name], s.LongRunning["i-"+name] = 2, 2
	}
	is.Equal(Plan(s), []string{"m20", "m21", "m22", "m00", "m01", "m02"})
	s.Stages["m20"], s.Stages["m21"], s.Stages["m22"] = Draining, Draining, Draining
	is.Equal(Plan(s), []string{"m00", "m01", "m02"})
	s.Stages["m20"] = Finished
	is.Equal(Plan(s)[0], "m23")
	s.Waiting["p"] = true
	is.Equal(Plan(s)[0], "m00")
}
