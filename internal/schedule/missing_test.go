package schedule

import (
	"testing"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/job"
)

func wantedOf(candidates ...*Candidate) []Wanted {
	var out []Wanted
	for _, c := range candidates {
		out = append(out, Wanted{Candidate: c, Count: len(c.Tasks)})
	}
	return out
}

// Guards against pools sized by capacity alone: tasks that no instance may run waited beside
// free capacity, and no further instance was asked for.
func TestMissingInstances(t *testing.T) {
	size := job.Resources{CPU: 16_000, Memory: 32_000}
	large, small := job.Resources{CPU: 9000, Memory: 1000}, job.Resources{CPU: 1000, Memory: 1000}
	free := func() []*Node {
		return []*Node{{ID: "a", Capacity: size}, {ID: "b", Capacity: size, Labels: []string{"x"}}}
	}
	held := func() []*Node {
		return []*Node{{ID: "a", Capacity: size, LongRunning: large}, {ID: "b", Capacity: size, LongRunning: large}}
	}
	busy := func() []*Node { return []*Node{{ID: "a", Capacity: size, Free: job.Resources{}}} }
	candidate := func(tasks int, step job.Step, placed map[string]int) *Candidate {
		return &Candidate{Job: "j", Step: &step, Tasks: make([]Task, tasks), Placed: placed}
	}
	hopeless := func(c *Candidate) *Candidate {
		c.Class = NoValue
		return c
	}
	limited := job.Step{Lasting: true, Need: small, PerInstance: 2}
	labelled := job.Step{Lasting: true, Need: small, Labels: []string{"y"}}
	for _, c := range []struct {
		name  string
		nodes []*Node
		of    []*Candidate
		want  []Missing
	}{
		{"a place is left", free(), []*Candidate{candidate(1, limited, map[string]int{"a": 2, "b": 1})}, nil},
		{"no place is left", free(), []*Candidate{candidate(1, limited, map[string]int{"a": 2, "b": 2})}, []Missing{{Need: small, Instances: 1}}},
		{"more tasks than one instance may run", free(), []*Candidate{candidate(4, limited, map[string]int{"a": 2, "b": 1})}, []Missing{{Need: small, Instances: 2}}},
		{"two steps share an instance", free(), []*Candidate{
			candidate(1, limited, map[string]int{"a": 2, "b": 2}),
			{Job: "other", Step: &job.Step{Lasting: true, Need: large, PerInstance: 1}, Tasks: make([]Task, 1), Placed: map[string]int{"a": 1, "b": 1}},
		}, []Missing{{Need: large, Instances: 1}}},
		{"held by long-running tasks", held(), []*Candidate{candidate(2, job.Step{Lasting: true, Need: large}, nil)}, []Missing{{Need: large, Instances: 2}}},
		{"held, for short tasks", held(), []*Candidate{candidate(8, job.Step{Need: large}, nil)}, []Missing{{Need: large, Instances: 1}}},
		{"short tasks will end", busy(), []*Candidate{candidate(1, limited, nil), candidate(8, job.Step{Need: large, PerInstance: 1}, map[string]int{"a": 1})}, nil},
		{"a label", free(), []*Candidate{candidate(1, labelled, nil)}, []Missing{{Labels: []string{"y"}, Need: small, Instances: 1}}},
		{"too large for an instance", free(), []*Candidate{candidate(1, job.Step{Lasting: true, Need: job.Resources{CPU: 17_000}}, nil)}, nil},
		{"without value, room for it", busy(), []*Candidate{hopeless(candidate(8, job.Step{Need: large}, nil))}, nil},
		{"without value or need", free(), []*Candidate{hopeless(candidate(1, job.Step{}, nil))}, nil},
		{"without value, a label", free(), []*Candidate{hopeless(candidate(8, job.Step{Need: small, Labels: []string{"y"}}, nil))}, []Missing{{Labels: []string{"y"}, Need: small, Instances: 1, Behind: true}}},
		{"without value, a gang", free(), []*Candidate{hopeless(candidate(4, job.Step{Need: large, Gang: true}, nil))}, []Missing{{Need: large, Instances: 2, Behind: true}}},
		{"without value, beside valued ones", free(), []*Candidate{
			candidate(1, job.Step{Need: small, Labels: []string{"y"}}, nil), hopeless(candidate(8, job.Step{Need: large, Labels: []string{"y"}}, nil)),
		}, []Missing{{Labels: []string{"y"}, Need: small, Instances: 1}}},
		{"no ticket yet", nil, []*Candidate{{Job: "j", Step: &limited, Tasks: make([]Task, 1), Tickets: map[string]string{}}}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			missing, _ := MissingInstances(wantedOf(c.of...), c.nodes, size)
			is.New(t).Equal(missing, c.want)
		})
	}
}

// Guards against a machine that is taken away before the task that it came for starts there.
func TestNodesWithPlacesAreAwaited(t *testing.T) {
	is := is.New(t)
	size := job.Resources{CPU: 16_000}
	c := &Candidate{Job: "j", Step: &job.Step{Lasting: true, Need: job.Resources{CPU: 1000}, PerInstance: 1}, Tasks: make([]Task, 2), Placed: map[string]int{"a": 1}}
	missing, awaited := MissingInstances(wantedOf(c), []*Node{{ID: "a", Capacity: size}, {ID: "b", Capacity: size}}, size)
	is.Equal(awaited, map[string]bool{"b": true})
	is.Equal(missing, []Missing{{Need: c.Step.Need, Instances: 1}})
}

func TestRoom(t *testing.T) {
	is := is.New(t)
	size := job.Resources{CPU: 16_000}
	nodes := []*Node{{ID: "a", Capacity: size, Free: job.Resources{CPU: 7000}}, {ID: "b", Capacity: size, Free: job.Resources{CPU: 10_000}, Labels: []string{"x"}}, {ID: "c", Capacity: size, Free: job.Resources{CPU: -1000}}}
	room := func(tasks int, step job.Step) int {
		c := &Candidate{Step: &step, Tasks: make([]Task, tasks), Placed: map[string]int{"a": 1}}
		return Room([]*Candidate{c}, nodes)[c]
	}
	need := job.Resources{CPU: 3000}
	is.Equal(room(9, job.Step{Need: need}), 2+3)
	is.Equal(room(4, job.Step{Need: need}), 4)
	is.Equal(room(9, job.Step{Need: need, Labels: []string{"x"}}), 3)
	is.Equal(room(9, job.Step{Need: need, PerInstance: 2}), 1+2)
	is.Equal(room(5, job.Step{Need: need, Gang: true}), 5)
	is.Equal(room(6, job.Step{Need: need, Gang: true}), 0)
	is.Equal(room(1, job.Step{Need: job.Resources{CPU: 11_000}}), 0)
}
