package main

import (
	"sync"
	"time"

	"github.com/beryltide/beryltide/internal/job"
)

// gangTimeout is how long a member of a gang waits for the others.
const gangTimeout = 3 * time.Second

// gangs holds the runs of gangs at all instances: the members work from the moment when
// all of them are present, and end together.
type gangs struct {
	// firstFailed is called with the job of each first end failed of a gang's run.
	firstFailed func(*jobPlan)
	mu          sync.Mutex
	runs        map[gangRun]*gangState
}

// gangRun names a run of a gang: a task with index 0, and the number of the run.
type gangRun struct {
	id  job.TaskID
	run int
}

type gangState struct {
	present int
	// completeAt is when the last member joined; zero before.
	completeAt time.Time
	// broken means that a member ended otherwise than by itself.
	broken bool
	// failed means that a member has ended failed.
	failed bool
}

func (g *gangs) of(r *taskRun) *gangState {
	id := r.id
	id.Index = 0
	key := gangRun{id: id, run: r.run}
	if g.runs[key] == nil {
		g.runs[key] = &gangState{}
	}
	return g.runs[key]
}

func (g *gangs) joined(r *taskRun) {
	if !r.step().gang {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.of(r)
	s.present++
	if s.present == r.step().count && s.completeAt.IsZero() {
		s.completeAt = time.Now()
	}
}

// left records the end of a member's run.
func (g *gangs) left(r *taskRun, how job.End) {
	if !r.step().gang {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.of(r)
	s.present--
	if how == job.EndFailed && !s.failed {
		s.failed = true
		g.firstFailed(r.plan)
	}
	if how == job.EndBroken && r.fails() {
		return // the others end as planned
	}
	s.broken = s.broken || how != job.EndDone && how != job.EndFailed
}

// end returns how a member's run ends now, or "" if it goes on.
func (g *gangs) end(r *taskRun, runTime time.Duration) job.End {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.of(r)
	switch {
	case !s.completeAt.IsZero() && time.Since(s.completeAt) >= runTime+r.endsLater():
		return r.outcome()
	case s.broken:
		return job.EndBroken
	case s.completeAt.IsZero() && time.Since(r.startedAt) >= gangTimeout:
		return job.EndAlone
	}
	return ""
}
