package owner

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/catalog"
	"github.com/beryltide/beryltide/internal/fairshare"
	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/schedule"
	"github.com/beryltide/beryltide/internal/store"
)

// round decides starts if that is due, and records these decisions together
// with the ends applied so far in one append.
func (u *Unit) round() {
	if u.ctx.Err() != nil || u.commit.inFlight {
		return
	}
	now := time.Now()
	if u.planDue && now.Sub(u.lastRoundAt) >= u.roundInterval() && u.holds() && u.upToDate() {
		u.planDue = false
		u.lastRoundAt = now
		u.plan(now)
		u.roundTook = time.Since(now)
	}
	u.flush()
}

// roundInterval returns the time from one round to the next. The longer rounds
// take, the rarer they are, so that a long queue leaves time for the calls to
// instances.
func (u *Unit) roundInterval() time.Duration {
	return min(max(minRoundInterval, u.roundTook*inverseRoundShare), maxRoundInterval)
}

// plan places the waiting tasks of all pools.
func (u *Unit) plan(now time.Time) {
	c := u.View.Catalog()
	if c == nil {
		return
	}
	u.measureBacklog()
	byPool := map[string][]*schedule.Candidate{}
	u.roundTeams, u.divisions = map[teamPool]roundTeam{}, map[string]*fairshare.Division{}
	for id, e := range u.active {
		switch {
		case !e.job.Active():
			delete(u.active, id)
		case e.unadmitted:
		case e.job.Timed() && now.Before(e.nextDue) && !e.job.Started():
		default:
			u.collectCandidates(e, c, now, byPool)
		}
	}
	u.waiting = byPool
	for pool, candidates := range byPool {
		nodes := u.nodes(pool, now)
		u.divide(pool, candidates, nodes)
		plan := schedule.Plan(now, candidates, nodes)
		for _, n := range nodes {
			u.sessions[n.ID].reservation = n.Reservation
		}
		u.logPlan(candidates, nodes, plan, now)
		u.countHeldBack(pool, candidates, now)
		u.place(plan, now)
		u.waiting[pool] = u.withoutPlaced(candidates, plan)
	}
	u.updateOutlooks(c, now)
}

// measureBacklog computes how long the valued work that the last round left waiting
// would keep each pool busy. The other work delays none of it.
func (u *Unit) measureBacklog() {
	cores := map[string]float64{}
	for _, sess := range u.sessions {
		if sess.listed {
			cores[sess.reg.Pool] += float64(sess.reg.Capacity.CPU) / 1000
		}
	}
	u.backlog = map[string]time.Duration{}
	for pool, candidates := range u.waiting {
		var work float64
		for _, c := range candidates {
			if e := u.jobs[c.Job]; e != nil && c.Class.Valued() {
				work += c.Step.CoreSeconds(u.estimate(e.job.Submission, c.Step)) * float64(len(c.Tasks))
			}
		}
		if cores[pool] > 0 {
			u.backlog[pool] = time.Duration(work / cores[pool] * float64(time.Second))
		}
	}
}

// withoutPlaced returns the candidates with the tasks that a plan leaves waiting.
func (u *Unit) withoutPlaced(candidates []*schedule.Candidate, plan []schedule.Assignment) []*schedule.Candidate {
	placed := map[string]bool{}
	for _, s := range plan {
		placed[s.Task.Job] = true
	}
	return slices.DeleteFunc(candidates, func(c *schedule.Candidate) bool {
		if placed[c.Job] {
			c.Trim(u.isWaiting)
		}
		return len(c.Tasks) == 0
	})
}

func (u *Unit) isWaiting(id job.TaskID) bool {
	e := u.jobs[id.Job]
	if e == nil {
		return false
	}
	t := e.job.Task(id)
	return t != nil && t.Phase == job.Waiting
}

// collectCandidates adds a job's steps with waiting tasks.
func (u *Unit) collectCandidates(e *entry, c *catalog.Catalog, now time.Time, byPool map[string][]*schedule.Candidate) {
	next, pending := e.job.Advance(now)
	if pending {
		e.nextDue = next
	}
	e.job.EachOccurrence(func(o *job.Occurrence) {
		for number := range o.Steps {
			if !e.job.StepReady(o, number) {
				continue
			}
			if candidate := u.candidate(e, o, number, now); candidate != nil {
				pool := e.job.Submission.Pool
				byPool[pool] = append(byPool[pool], candidate)
			}
		}
	})
}

func (u *Unit) candidate(e *entry, o *job.Occurrence, number int, now time.Time) *schedule.Candidate {
	waiting := e.job.WaitingTasks(o, number)
	if len(waiting) == 0 {
		return nil
	}
	step := &e.job.Submission.Steps[number]
	c := &schedule.Candidate{Job: e.job.ID(), Occurrence: o.Number, Number: number, Step: step, WaitingSince: now}
	for _, index := range waiting {
		t := &o.Steps[number][index]
		c.Tasks = append(c.Tasks, schedule.Task{Index: index, Avoid: t.AvoidInstance})
		if t.WaitingSince.Before(c.WaitingSince) {
			c.WaitingSince = t.WaitingSince
		}
	}
	if step.PerInstance > 0 || step.Lasting || step.SameRack {
		c.Placed = placedByInstance(o.Steps[number])
	}
	if u.advised(e.job.Submission) {
		c.Tickets = u.validTickets(c, e.job.Submission.Pool, now)
	}
	t := u.teamOfRound(teamPoolOf(e.job.Submission))
	c.Allowance, c.Team = t.allowance, t.share
	c.Begun = begun(e, step, len(waiting))
	u.rank(e, o, step, c, now)
	return c
}

func placedByInstance(tasks []job.Task) map[string]int {
	placed := map[string]int{}
	for i := range tasks {
		if tasks[i].Phase == job.Placed {
			placed[tasks[i].Placement.Instance]++
		}
	}
	return placed
}

func (u *Unit) rank(e *entry, o *job.Occurrence, step *job.Step, c *schedule.Candidate, now time.Time) {
	switch {
	case step.Fills:
		c.Class = schedule.Backfill
		return
	case step.Lasting:
		c.Class = schedule.LongRunning
		return
	}
	in := u.rankInput(e, o)
	c.Priority = in.Priority
	c.Class, c.Rank = schedule.Rank(now, in)
}

func (u *Unit) rankInput(e *entry, o *job.Occurrence) schedule.RankInput {
	q := u.queue(e.job.Submission.Queue)
	fullCriticalPath, fullWork := u.remaining(e, nil)
	criticalPath, work := u.remaining(e, o)
	return schedule.RankInput{
		Accepted:      e.job.Due(o.Number),
		Objective:     time.Duration(q.Stretch*float64(fullCriticalPath)) + q.TargetLatency,
		CriticalPath:  criticalPath,
		Priority:      q.Priority,
		RemainingWork: work,
		FullWork:      fullWork,
		TotalWork:     e.totalWork,
		MeanWork:      u.workByQueue[e.job.Submission.Queue].mean,
		Backlog:       u.backlog[e.job.Submission.Pool],
	}
}

// remaining returns the length of the remaining critical path of an occurrence
// and the core-seconds that it still needs; with nil, those of a complete
// occurrence.
func (u *Unit) remaining(e *entry, o *job.Occurrence) (time.Duration, float64) {
	steps := e.job.Submission.Steps
	finish := make([]time.Duration, len(steps))
	var longest time.Duration
	var work float64
	for number := range steps {
		step := &steps[number]
		unfinished := step.Count
		if o != nil {
			unfinished = 0
			for i := range o.Steps[number] {
				if o.Steps[number][i].Phase != job.Done {
					unfinished++
				}
			}
		}
		for _, dependency := range step.After {
			finish[number] = max(finish[number], finish[dependency])
		}
		if unfinished > 0 {
			d := u.estimate(e.job.Submission, step)
			finish[number] += d
			work += step.CoreSeconds(d) * float64(unfinished)
		}
		longest = max(longest, finish[number])
	}
	return longest, work
}

// nodes returns the instances of a pool on which tasks may be placed.
func (u *Unit) nodes(pool string, now time.Time) []*schedule.Node {
	outOfService := u.View.OperatorState().OutOfService
	var nodes []*schedule.Node
	for _, sess := range u.sessions {
		if sess.reg.Pool != pool || outOfService[sess.reg.DataCentre] || !sess.usable(now) {
			continue
		}
		n := &schedule.Node{
			ID: sess.reg.ID, Rack: sess.reg.Rack, DataCentre: sess.reg.DataCentre, Labels: sess.reg.Labels,
			Capacity: sess.reg.Capacity, Free: sess.reg.Capacity.Sub(sess.usage.allocated), Suspect: sess.suspect(now),
			Reservation: sess.reservation, BackfillTasks: sess.usage.backfill, LongRunningTasks: sess.usage.longRunning, LongRunning: sess.usage.longRunningAllocation,
			MaintenanceDue: u.maintenanceDue[pool][sess.reg.ID],
		}
		nodes = append(nodes, n)
	}
	return nodes
}

// place applies the planned starts and sends them once they are recorded.
func (u *Unit) place(plan []schedule.Assignment, now time.Time) {
	gangRuns := map[job.TaskID]int{}
	for _, s := range plan {
		e, sess := u.jobs[s.Task.Job], u.sessions[s.Node]
		step := e.job.Step(s.Task)
		number := e.job.NextRun(s.Task)
		if step.Gang {
			number = gangRun(gangRuns, s.Task, number)
		}
		if !e.job.Started() {
			u.Logger.Info("job.first_start", zap.String("job", e.job.ID()), zap.String("instance", s.Node), zap.Int64("waited_ms", now.UnixMilli()-e.job.Submission.AcceptedAt))
		}
		e.job.Place(s.Task, number, job.Placement{Instance: s.Node, Incarnation: sess.incarnation, Bound: sess.incarnation != 0})
		r := &run{
			number: number, need: step.Allocation(), step: step, noValue: s.Class == schedule.NoValue, pacePercent: fullPace,
			incarnation: sess.incarnation, bound: sess.incarnation != 0,
		}
		sess.addRun(s.Task, r)
		u.allowances.add(e.job.Submission, step)
		u.markDirty(e)
		u.afterCommit(func() { u.sendStart(sess, s.Task, r, s.Ticket, 0) })
	}
}

// gangRun returns the run number of a gang's first placed member for all its
// members.
func gangRun(runs map[job.TaskID]int, id job.TaskID, next int) int {
	id.Index = 0
	if runs[id] == 0 {
		runs[id] = next
	}
	return runs[id]
}

// dropFinished removes finished jobs, and their records, once their state need
// no longer be shown.
func (u *Unit) dropFinished(now time.Time) {
	for id, e := range u.jobs {
		if e.finishedAt.IsZero() || now.Sub(e.finishedAt) < u.Bounds.StatusKept+finishedRetention {
			continue
		}
		if u.commit.dirty[id] != nil {
			continue
		}
		u.forget(id)
		u.dropAdvice(id)
		for _, prefix := range []string{progressPrefix, SubmissionPrefix, CancelPrefix} {
			u.commit.extraRecords = append(u.commit.extraRecords, store.Record{Key: prefix + id})
		}
	}
}
