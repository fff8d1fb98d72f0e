package owner

import (
	"github.com/beryltide/beryltide/internal/job"
)

// usage is what the recorded runs of an instance take.
type usage struct {
	allocated job.Resources
	// longRunning and backfill count the runs of such tasks.
	longRunning, backfill int
	// longRunningAllocation is what the long-running tasks take.
	longRunningAllocation job.Resources
	// noValueAllocation is what the runs of jobs without value left take.
	noValueAllocation job.Resources
}

// addRun records a run at the instance.
func (s *session) addRun(id job.TaskID, r *run) {
	if s.runs == nil {
		s.runs = map[job.TaskID]*run{}
	}
	s.removeRun(id)
	s.runs[id] = r
	s.usage.count(r, 1)
}

// removeRun forgets a task's run at the instance, if there is one.
func (s *session) removeRun(id job.TaskID) {
	r := s.runs[id]
	if r == nil {
		return
	}
	delete(s.runs, id)
	s.usage.count(r, -1)
}

func (v *usage) count(r *run, by int) {
	v.allocated = v.allocated.Add(r.need.Times(by))
	switch {
	case r.step.Fills:
		v.backfill += by
	case r.step.Lasting:
		v.longRunning += by
		v.longRunningAllocation = v.longRunningAllocation.Add(r.need.Times(by))
	case r.noValue:
		v.noValueAllocation = v.noValueAllocation.Add(r.need.Times(by))
	}
}

// valuedAllocation returns what the short tasks of jobs take that still have value.
func (v usage) valuedAllocation() job.Resources {
	return v.allocated.Sub(v.longRunningAllocation).Sub(v.noValueAllocation)
}
