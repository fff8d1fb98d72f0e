package schedule

import "github.com/beryltide/beryltide/internal/job"

// Startable returns the candidates that could start now but for their team's
// allowance: a node has room for one of the tasks, or all nodes together for a gang.
// An allowance for other candidates would stay unused.
func Startable(candidates []*Candidate, nodes []*Node) []*Candidate {
	free := TotalFree(nodes)
	known := map[shape]bool{}
	var out []*Candidate
	for _, c := range candidates {
		if c.Step.Gang && !c.Step.Allocation().Times(len(c.Tasks)).Fits(free) {
			continue
		}
		if c.Step.PerInstance > 0 || c.Tickets != nil {
			if c.hasRoom(nodes) {
				out = append(out, c)
			}
			continue
		}
		s := shapeOf(c.Step)
		if _, seen := known[s]; !seen {
			known[s] = c.hasRoom(nodes)
		}
		if known[s] {
			out = append(out, c)
		}
	}
	return out
}

// TotalFree returns what is free on all nodes together.
func TotalFree(nodes []*Node) job.Resources {
	var free job.Resources
	for _, n := range nodes {
		free = free.Add(job.Resources{CPU: max(n.Free.CPU, 0), Memory: max(n.Free.Memory, 0), GPU: max(n.Free.GPU, 0)})
	}
	return free
}

func (c *Candidate) hasRoom(nodes []*Node) bool {
	for _, n := range nodes {
		if c.Step.Allocation().Fits(n.Free) && c.feasible(n) {
			return true
		}
	}
	return false
}
