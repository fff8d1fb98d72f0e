package owner

import (
	"time"

	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/schedule"
)

// hasPlace reports whether another instance may run the task, once the short tasks there
// have ended.
func (u *Unit) hasPlace(id job.TaskID, r *run, sess *session, nodes []*schedule.Node) bool {
	e := u.jobs[id.Job]
	if e == nil || u.advised(e.job.Submission) {
		return true
	}
	c := u.leavingCandidate(e, id, r)
	for _, n := range nodes {
		if n.ID != sess.reg.ID && c.Exclusion(n) == schedule.Allowed && r.step.Allocation().Fits(n.Capacity.Sub(n.LongRunning)) {
			return true
		}
	}
	return false
}

// leavingCandidate returns a candidate for a running task that has to move.
func (u *Unit) leavingCandidate(e *entry, id job.TaskID, r *run) *schedule.Candidate {
	c := &schedule.Candidate{Job: id.Job, Occurrence: id.Occurrence, Number: id.Step, Step: r.step}
	c.Placed = map[string]int{}
	for index := range r.step.Count {
		other := id
		other.Index = index
		if t := e.job.Task(other); t != nil && t.Phase == job.Placed {
			c.Placed[t.Placement.Instance]++
		}
	}
	return c
}

// leavingTasks returns the long-running tasks at cordoned and lost instances of a pool: they
// need places elsewhere. A machine arrives well before the leases of a lost instance have
// expired.
func (u *Unit) leavingTasks(pool string, now time.Time) []schedule.Wanted {
	var out []schedule.Wanted
	for _, sess := range u.sessions {
		if sess.reg.Pool != pool || !sess.cordoned(now) && !sess.lost(now) || sess.usage.longRunning+sess.usage.backfill == 0 {
			continue
		}
		for id, r := range sess.runs {
			if e := u.jobs[id.Job]; e != nil && r.step.Lasting && !r.stopping && !u.advised(e.job.Submission) {
				out = append(out, schedule.Wanted{Candidate: u.leavingCandidate(e, id, r), Count: 1})
			}
		}
	}
	return out
}
