package maintenance

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/catalog"
	"github.com/beryltide/beryltide/internal/machine"
)

// dueWave has machines due in one pool, each with a run.
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
		{"never more than the wave allows", func(s *Snapshot) { s.Wave.AtOnce = 2 }, 2},
		{"those that are down count", func(s *Snapshot) { s.Stages["m00"], s.Stages["m01"] = Down, Draining }, 1},
		{"those of a former holder count", func(s *Snapshot) { s.Wave.AtOnce = 4; s.DownByFormerHolder = 3 }, 1},
		{"what else is out of the pool counts", func(s *Snapshot) { s.Out["p"] = 2 }, 1},
		{"idle ones all at once", func(s *Snapshot) { s.Load = zeroLoad(s.Load) }, 10},
		{"idle ones in turn while work waits", func(s *Snapshot) { s.Load = zeroLoad(s.Load); s.Waiting["p"] = true }, 3},
		{"machines that are off all at once", func(s *Snapshot) { s.SparePools["p"] = true }, 10},
		{"all but those with a former holder's order", func(s *Snapshot) {
			s.Wave.AtOnce = 12
			s.Reserved = map[string]bool{"m00": true, "m01": true}
			s.Load = zeroLoad(s.Load)
		}, 10},
		{"none that isn't up", func(s *Snapshot) {
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
