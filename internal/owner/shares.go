package owner

import (
	"time"

	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/catalog"
	"github.com/beryltide/beryltide/internal/fairshare"
	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/schedule"
)

// heldBackInterval is how often the event team.held_back is logged for a team and pool.
const heldBackInterval = 10 * time.Second

// roundTeam is a team's state in one round, shared by all of its jobs of a pool.
type roundTeam struct {
	// allowance is what the team may still start; nil means no limit.
	allowance *job.Resources
	// share is the team's part in the pool's division; nil if there is none.
	share *fairshare.Team
}

// heldBack is what team.held_back will report.
type heldBack struct {
	loggedAt time.Time
	// rounds counts the rounds since then in which a start was held back.
	rounds int
}

// teamOfRound returns a team's state in this round.
func (u *Unit) teamOfRound(s teamPool) roundTeam {
	t, known := u.roundTeams[s]
	if !known {
		c := u.View.Catalog()
		t = roundTeam{allowance: u.allowances.remaining(s, c), share: u.share(s, c)}
		u.roundTeams[s] = t
	}
	return t
}

// share returns a team's part in the division of a pool, or nil while the pool isn't
// overloaded and if no team has a weight.
func (u *Unit) share(s teamPool, c *catalog.Catalog) *fairshare.Team {
	if !schedule.Overloaded(u.backlog[s.pool]) {
		return nil
	}
	d, known := u.divisions[s.pool]
	if !known {
		d = fairshare.New(weights(c))
		u.divisions[s.pool] = d
	}
	if d == nil {
		return nil
	}
	if weight := weightOf(s.team, c); weight > 0 {
		return d.Team(s.team, weight, u.allowances.occupied[s])
	}
	if s.team != "" {
		return u.teamOfRound(teamPool{pool: s.pool}).share
	}
	return d.Team("", 0, u.occupiedWithoutWeight(s.pool, c))
}

// occupiedWithoutWeight returns what runs in a pool of jobs without a team of positive
// weight.
func (u *Unit) occupiedWithoutWeight(pool string, c *catalog.Catalog) job.Resources {
	var sum job.Resources
	for s, occupied := range u.allowances.occupied {
		if s.pool == pool && weightOf(s.team, c) <= 0 {
			sum = sum.Add(occupied)
		}
	}
	return sum
}

func weights(c *catalog.Catalog) []float64 {
	all := make([]float64, 0, len(c.Teams))
	for _, team := range c.Teams {
		all = append(all, team.Weight)
	}
	return all
}

// weightOf returns the weight of a team; 0 if it has none or isn't configured.
func weightOf(name string, c *catalog.Catalog) float64 {
	if team := c.Teams[name]; team != nil {
		return team.Weight
	}
	return 0
}

// begun reports whether a candidate's job, or its occurrence if it has several, has
// had a start.
func begun(e *entry, step *job.Step, waiting int) bool {
	if !e.job.Timed() {
		return e.job.Started()
	}
	return len(step.After) > 0 || waiting < step.Count
}

// divide begins the division of a pool's capacity, or takes the teams off the candidates
// if fewer than two teams of positive weight wait.
func (u *Unit) divide(pool string, candidates []*schedule.Candidate, nodes []*schedule.Node) {
	d := u.divisions[pool]
	if d == nil {
		return
	}
	var first *fairshare.Team
	for _, c := range candidates {
		switch {
		case !c.Class.Divided() || c.Team.Name == "" || c.Team == first:
		case first == nil:
			first = c.Team
		default:
			d.Begin(capacityOf(nodes))
			return
		}
	}
	for _, c := range candidates {
		c.Team = nil
	}
}

func capacityOf(nodes []*schedule.Node) job.Resources {
	var sum job.Resources
	for _, n := range nodes {
		sum = sum.Add(n.Capacity)
	}
	return sum
}

// countHeldBack counts, and logs from time to time, the teams of which the plan held
// starts back.
func (u *Unit) countHeldBack(pool string, candidates []*schedule.Candidate, now time.Time) {
	if u.divisions[pool] == nil {
		return
	}
	counted := map[string]*schedule.Candidate{}
	for _, c := range candidates {
		if !c.HeldBack {
			continue
		}
		if team := u.jobs[c.Job].job.Submission.Team; counted[team] == nil {
			counted[team] = c
		}
	}
	for team, c := range counted {
		s := teamPool{pool: pool, team: team}
		u.Meter.countHeldBack(s)
		u.logHeldBack(s, c, now)
	}
}

// logHeldBack logs that a team's share holds starts back, such as those of a step.
func (u *Unit) logHeldBack(s teamPool, c *schedule.Candidate, now time.Time) {
	h := u.heldBack[s]
	h.rounds++
	if now.Sub(h.loggedAt) >= heldBackInterval {
		u.Logger.Info("team.held_back", zap.String("pool", s.pool), zap.String("team", s.team), zap.Int("rounds", h.rounds),
			zap.Float64("weight", c.Team.Weight), zap.Float64("share", c.Team.DominantShare()), zap.Int("running_cpu", u.allowances.running[s].CPU),
			zap.Duration("backlog", u.backlog[s.pool]), zap.String("job", c.Job), zap.Int64("configuration", u.View.Catalog().Version))
		h = heldBack{loggedAt: now}
	}
	u.heldBack[s] = h
}

// updateWaitingGauges reports what each team's waiting tasks need, by pool.
func (u *Unit) updateWaitingGauges() {
	cpu := map[teamPool]int{}
	for s := range u.waitingReported {
		cpu[s] = 0
	}
	for _, candidates := range u.waiting {
		for _, c := range candidates {
			if e := u.jobs[c.Job]; e != nil {
				cpu[teamPoolOf(e.job.Submission)] += c.Step.Need.CPU * len(c.Tasks)
			}
		}
	}
	u.waitingReported = map[teamPool]bool{}
	for s, waiting := range cpu {
		u.Meter.setWaitingGauge(s, waiting)
		if waiting > 0 {
			u.waitingReported[s] = true
		}
	}
}
