package owner

import (
	"time"

	"github.com/beryltide/beryltide/internal/catalog"
	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/schedule"
	"github.com/beryltide/beryltide/internal/shortage"
)

// The numbers of levels in an outlook, for jobs in time and as many for late ones: few, as
// outlooks are sent to all daemons.
const (
	poolLevels = 32
	teamLevels = 8
)

// outlook returns a pool's outlook for a number of cores. It isn't short while machines are
// idle that could move to it, or if the leader hasn't said whether there are any.
func (u *Unit) outlook(c *catalog.Catalog, pool string, cores float64, now time.Time) shortage.Outlook {
	supply := u.supplies[pool]
	backlog := u.backlog[pool]
	if backlog < shortage.Backlog || cores <= 0 || !supply.Known || supply.Movable > 0 || u.Clock()-supply.at > maxSupplyAge {
		return shortage.Outlook{}
	}
	o := shortage.Outlook{Short: true, Backlog: backlog, Cores: cores, Queues: u.queueOutlooks(c, pool)}
	nodes := u.nodes(pool, now)
	for _, n := range nodes {
		if n.Reservation == (schedule.StepKey{}) {
			o.Free = job.Resources{CPU: max(o.Free.CPU, n.Free.CPU), Memory: max(o.Free.Memory, n.Free.Memory), GPU: max(o.Free.GPU, n.Free.GPU)}
		}
	}
	byTeam := u.waitingJobs(pool, nodes, now)
	var all []shortage.Waiting
	for _, jobs := range byTeam {
		all = append(all, jobs...)
	}
	o.Levels = shortage.Levels(all, cores, poolLevels)
	o.Teams = teamOutlooks(c, byTeam, cores)
	return o
}

// waitingJobs returns by team the jobs with valued waiting tasks that the nodes and the
// teams' limits allow to start. A new job doesn't wait for the others: it starts before
// those that aren't valued, and those that can't start take no capacity.
func (u *Unit) waitingJobs(pool string, nodes []*schedule.Node, now time.Time) map[string][]shortage.Waiting {
	byTeam := map[string][]shortage.Waiting{}
	remaining := map[*job.Resources]job.Resources{}
	seen := map[schedule.StepKey]bool{}
	for _, c := range schedule.Runnable(u.waiting[pool], nodes) {
		e, key := u.jobs[c.Job], schedule.StepKey{Job: c.Job, Occurrence: c.Occurrence}
		if e == nil || seen[key] || !c.Class.Valued() || c.Step.Lasting || withinAllowance(c, remaining) == 0 {
			continue
		}
		seen[key] = true
		e.job.EachOccurrence(func(o *job.Occurrence) {
			if o.Number == c.Occurrence {
				team := e.job.Submission.Team
				byTeam[team] = append(byTeam[team], u.waitingJob(e, o, now))
			}
		})
	}
	return byTeam
}

func (u *Unit) waitingJob(e *entry, o *job.Occurrence, now time.Time) shortage.Waiting {
	in := u.rankInput(e, o)
	soonest := now.Add(in.CriticalPath).Sub(in.Accepted)
	w := shortage.Waiting{UntilLate: in.Objective - soonest, UntilWorthless: shortage.NoValueAfter*in.Objective - soonest}
	w.InTime, w.Late = schedule.LastRanks(in)
	size := u.meanInstance[e.job.Submission.Pool]
	for number := range o.Steps {
		step := &e.job.Submission.Steps[number]
		unfinished := 0
		for i := range o.Steps[number] {
			if o.Steps[number][i].Phase != job.Done {
				unfinished++
			}
		}
		w.Work += u.estimate(e.job.Submission, step).Seconds() * float64(occupancyOf(step.Need, size).largest()*unfinished) / 1000
	}
	return w
}

// teamOutlooks returns the outlooks of teams with waiting jobs; nil if none has a weight.
func teamOutlooks(c *catalog.Catalog, byTeam map[string][]shortage.Waiting, cores float64) map[string]shortage.TeamOutlook {
	weights := map[string]float64{}
	var total float64
	for team := range byTeam {
		if t := c.Teams[team]; t != nil && t.Weight > 0 {
			weights[team] = t.Weight
			total += t.Weight
		}
	}
	if total == 0 {
		return nil
	}
	teams := map[string]shortage.TeamOutlook{}
	for team, jobs := range byTeam {
		t := shortage.TeamOutlook{Share: weights[team] / total}
		if t.Share > 0 {
			t.Levels = shortage.Levels(jobs, cores*t.Share, teamLevels)
		}
		teams[team] = t
	}
	return teams
}

// queueOutlooks returns what is known of the jobs of a pool's queues.
func (u *Unit) queueOutlooks(c *catalog.Catalog, pool string) map[string]shortage.QueueOutlook {
	queues := map[string]shortage.QueueOutlook{}
	for name, work := range u.workByQueue {
		if q := c.Queues[name]; q != nil && q.Pool == pool {
			queues[name] = shortage.QueueOutlook{MeanWork: work.mean}
		}
	}
	for key, mean := range u.durations {
		if q, known := queues[key.queue]; known && mean > q.LongestTask {
			q.LongestTask = mean
			queues[key.queue] = q
		}
	}
	return queues
}
