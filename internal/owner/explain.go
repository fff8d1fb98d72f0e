package owner

import (
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/schedule"
	"github.com/beryltide/beryltide/internal/shortage"
)

// logPlaced logs where a round starts a step's tasks, and the version of the
// configuration and the age of the registry that the decision is based on.
func (u *Unit) logPlaced(c *schedule.Candidate, tasks int, nodes map[string]bool, now time.Time) {
	// At a peak most of these lines are left out: then their fields cost nothing.
	event := "tasks.placed"
	if c.Step.Lasting {
		event = "long_running.placed"
	}
	line := u.Logger.Check(zap.InfoLevel, event)
	if line == nil {
		return
	}
	names := slices.Sorted(maps.Keys(nodes))
	line.Write(zap.String("job", c.Job), zap.Int("occurrence", c.Occurrence), zap.Int("step", c.Number), zap.Int("tasks", tasks),
		zap.String("instances", strings.Join(names, ",")), zap.Int("class", int(c.Class)), zap.Duration("waited", now.Sub(c.WaitingSince)),
		zap.Int64("configuration", u.View.Catalog().Version), zap.Duration("registry_age", u.View.RegistryAge()))
}

// logPlan logs each step of which the round starts tasks and why others wait.
func (u *Unit) logPlan(candidates []*schedule.Candidate, nodes []*schedule.Node, plan []schedule.Assignment, now time.Time) {
	type step struct {
		job                string
		occurrence, number int
	}
	counts := map[step]int{}
	instances := map[step]map[string]bool{}
	for _, a := range plan {
		s := step{a.Task.Job, a.Task.Occurrence, a.Task.Step}
		counts[s]++
		if instances[s] == nil {
			instances[s] = map[string]bool{}
		}
		instances[s][a.Node] = true
	}
	for _, c := range candidates {
		s := step{c.Job, c.Occurrence, c.Number}
		if n := counts[s]; n > 0 {
			u.logPlaced(c, n, instances[s], now)
		}
		if counts[s] < len(c.Tasks) {
			u.logWaits(c, nodes, now)
			u.logPutBehind(c, now)
		}
	}
}

// longRunningWaitInterval is the time from one line to the next about a step with
// long-running tasks that wait.
const longRunningWaitInterval = 2 * time.Second

// waitInterval is the time from one line to the next about a job that waits.
const waitInterval = 10 * time.Second

// logWaits logs, each waitInterval, why a task of a job waits, and each
// longRunningWaitInterval while long-running ones do.
func (u *Unit) logWaits(c *schedule.Candidate, nodes []*schedule.Node, now time.Time) {
	e := u.jobs[c.Job]
	if e == nil {
		return
	}
	if now.Sub(e.waitLoggedAt) >= waitInterval {
		e.waitLoggedAt = now
		u.Logger.Info("job.waits", u.describeWait(c, nodes)...)
	}
	if c.Step.Lasting && now.Sub(c.WaitingSince) >= longRunningWaitInterval && now.Sub(e.longRunningLogged) >= longRunningWaitInterval {
		e.longRunningLogged = now
		u.Logger.Warn("long_running.waits", append(u.describeWait(c, nodes), zap.Int("tasks", len(c.Tasks)), zap.Int("of", c.Step.Count),
			zap.Int("per_instance", c.Step.PerInstance), zap.Int("may_miss", c.Step.MayMiss), zap.Duration("waited", now.Sub(c.WaitingSince)))...)
	}
}

func (u *Unit) describeWait(c *schedule.Candidate, nodes []*schedule.Node) []zap.Field {
	totalFree, mostFree := 0, job.Resources{}
	for _, n := range nodes {
		totalFree += max(n.Free.CPU, 0)
		if n.Free.CPU > mostFree.CPU {
			mostFree = n.Free
		}
	}
	fields := []zap.Field{
		zap.String("job", c.Job), zap.Int("step", c.Number), zap.String("reason", waitReason(c, nodes)), zap.Int("need_cpu", c.Step.Need.CPU), zap.Int("need_mem", c.Step.Need.Memory),
		zap.Int("instances", len(nodes)), zap.Int("free_cpu", totalFree), zap.Int("most_free_cpu", mostFree.CPU), zap.Int("class", int(c.Class)),
		zap.Int64("configuration", u.View.Catalog().Version), zap.Duration("registry_age", u.View.RegistryAge()),
	}
	if c.Allowance != nil {
		fields = append(fields, zap.Int("allowance_cpu", c.Allowance.CPU), zap.Int("allowance_mem", c.Allowance.Memory), zap.Int64("lead", u.allowances.leader))
	}
	return fields
}

// waitReason returns why a candidate's next task waits. Where instances have free capacity
// for it, that is the constraint that keeps it from one of them.
func waitReason(c *schedule.Candidate, nodes []*schedule.Node) string {
	switch {
	case len(nodes) == 0:
		return "no usable instance"
	case c.Allowance != nil && !c.Unit().Fits(*c.Allowance):
		return "the team's limit"
	case c.Tickets != nil && len(c.Tickets) == 0:
		return "advice"
	case c.HeldBack:
		return "the team's share"
	}
	for _, n := range nodes {
		if excluded := c.Exclusion(n); excluded != schedule.Allowed && c.Step.Allocation().Fits(n.Free) {
			return string(excluded)
		}
	}
	return "room"
}

// logPutBehind logs why a waiting job starts after others while its pool is short, each
// time that the reason changes.
func (u *Unit) logPutBehind(c *schedule.Candidate, now time.Time) {
	e := u.jobs[c.Job]
	if e == nil {
		return
	}
	backlog := u.backlog[e.job.Submission.Pool]
	if backlog < shortage.Backlog {
		return
	}
	priority := u.queue(e.job.Submission.Queue).Priority
	reason := ""
	switch {
	case c.Class == schedule.NoValue:
		reason = "no value left"
	case c.Class == schedule.Late:
		reason = "late"
	case c.Class == schedule.InTime && priority > 0:
		reason = "priority"
	}
	if reason == "" || reason == e.putBehind {
		return
	}
	e.putBehind = reason
	u.Logger.Info("job.put_behind", zap.String("job", c.Job), zap.Int("step", c.Number), zap.String("reason", reason), zap.Int("priority", priority),
		zap.Duration("since_accepted", now.Sub(e.job.Due(c.Occurrence))), zap.Duration("backlog", backlog), zap.Float64("rank", c.Rank))
}
