package owner

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/catalog"
	"github.com/beryltide/beryltide/internal/job"
	"github.com/beryltide/beryltide/internal/quota"
	"github.com/beryltide/beryltide/internal/schedule"
)

// teamPool identifies a team's quota in a pool.
type teamPool struct {
	pool string
	team string
}

// allowances are the active grants, and the resources that run under them.
type allowances struct {
	// leader is the epoch of the leader that the grants come from, lastNumber the
	// number of its last order by pool.
	leader     int64
	lastNumber map[string]int64
	// refused is the epoch of the last earlier leader whose order was refused.
	refused int64
	grants  map[teamPool]job.Resources
	running map[teamPool]job.Resources
	// occupied is what the running tasks take of their instances: it doesn't count the
	// CPU of backfill tasks.
	occupied map[teamPool]job.Resources
}

func newAllowances() allowances {
	return allowances{lastNumber: map[string]int64{}, grants: map[teamPool]job.Resources{}, running: map[teamPool]job.Resources{}, occupied: map[teamPool]job.Resources{}}
}

func teamPoolOf(s *job.Submission) teamPool { return teamPool{pool: s.Pool, team: s.Team} }

func (a *allowances) add(s *job.Submission, step *job.Step) {
	team := teamPoolOf(s)
	a.running[team] = a.running[team].Add(step.Need)
	a.occupied[team] = a.occupied[team].Add(step.Allocation())
}

func (a *allowances) remove(s *job.Submission, step *job.Step) {
	team := teamPoolOf(s)
	a.running[team] = a.running[team].Sub(step.Need)
	a.occupied[team] = a.occupied[team].Sub(step.Allocation())
}

// remaining returns what a team may still start in a pool; nil means no limit.
// Where the team's limit in this daemon's configuration is lower than the grant,
// the limit applies.
func (a *allowances) remaining(s teamPool, c *catalog.Catalog) *job.Resources {
	if s.team == "" {
		return nil
	}
	team := c.Teams[s.team]
	if team != nil && team.Limit == (job.Resources{}) {
		return nil
	}
	grant := a.grants[s]
	if team != nil {
		grant = capped(grant, team.Limit)
	}
	left := grant.Sub(a.running[s])
	return &left
}

func capped(grant, limit job.Resources) job.Resources {
	return job.Resources{CPU: cappedAmount(grant.CPU, limit.CPU), Memory: cappedAmount(grant.Memory, limit.Memory), GPU: cappedAmount(grant.GPU, limit.GPU)}
}

func cappedAmount(grant, limit int) int {
	if limit == 0 {
		return grant
	}
	return min(grant, limit)
}

// GrantOrder is an assignment of grants to teams in a pool by the leader, the daemon
// that holds the fleet's unit. It is sent between daemons under its field names.
type GrantOrder struct {
	Pool string
	// Lead is the epoch of the leader. Number increases with each of its orders.
	Lead   int64
	Number int64
	Grants map[string]job.Resources
	// MaintenanceDue holds the IDs of the pool's instances on machines that a wave will
	// take down.
	MaintenanceDue []string
	// Supply is the supply of machines to the pool. Leaders of earlier versions don't
	// send it.
	Supply Supply
}

// SupersededError is the answer to an order of an earlier leader.
type SupersededError struct {
	// Leader is the epoch of the leader that is obeyed.
	Leader int64
}

func (e *SupersededError) Error() string {
	return "the leader of epoch " + strconv.FormatInt(e.Leader, 10) + " is obeyed"
}

// Grant applies a leader's grants for a pool and returns what the pool's teams
// hold and use from then on, and this owner's epoch. It returns a SupersededError for
// an order of an earlier leader, and ErrNotReady for one that isn't newer than the
// last one and if the unit can't answer.
func (u *Unit) Grant(ctx context.Context, o GrantOrder) (uses map[string]quota.Use, epoch int64, err error) {
	uses, err = ask(ctx, u, func() (map[string]quota.Use, error) {
		a := &u.allowances
		switch {
		case !u.holds() || !u.loaded:
			return nil, ErrNotReady
		case o.Lead < a.leader:
			if o.Lead != a.refused {
				u.Logger.Warn("quota.lead_refused", zap.Int64("lead", o.Lead), zap.Int64("obeyed", a.leader))
				a.refused = o.Lead
			}
			return nil, &SupersededError{Leader: a.leader}
		case o.Lead == a.leader && o.Number <= a.lastNumber[o.Pool]:
			return nil, ErrNotReady
		}
		u.setGrants(o)
		return u.uses(o.Pool), nil
	})
	if err != nil {
		return nil, 0, err
	}
	return uses, u.tenure.Epoch, nil
}

func (u *Unit) setGrants(o GrantOrder) {
	a := &u.allowances
	if o.Lead != a.leader {
		u.Logger.Info("quota.lead", zap.Int64("lead", o.Lead), zap.Int64("before", a.leader))
		a.lastNumber = map[string]int64{}
	}
	a.leader = o.Lead
	a.lastNumber[o.Pool] = o.Number
	u.supplies[o.Pool] = knownSupply{Supply: o.Supply, at: u.Clock()}
	u.maintenanceDue[o.Pool] = map[string]bool{}
	for _, id := range o.MaintenanceDue {
		u.maintenanceDue[o.Pool][id] = true
	}
	for team, grant := range o.Grants {
		s := teamPool{pool: o.Pool, team: team}
		if a.grants[s] != grant {
			a.grants[s] = grant
			u.planDue = true
		}
	}
}

func (u *Unit) uses(pool string) map[string]quota.Use {
	uses := map[string]quota.Use{}
	c := u.View.Catalog()
	if c == nil {
		return uses
	}
	waiting := u.waitingByTeam(pool, c, time.Now())
	for team := range c.Teams {
		s := teamPool{pool: pool, team: team}
		use := waiting[team]
		use.Held, use.Running = u.allowances.grants[s], u.allowances.running[s]
		uses[team] = use
	}
	return uses
}

// waitingByTeam returns what the teams' waiting tasks in the pool need. Valued tasks that its
// instances could run if they were empty count as Waiting. Behind them count those without
// value that have room now, and what no present instance could run once its short tasks have
// ended, as an instance comes only for what is within its team's limit. The others don't wait
// for the limit, and a part of it that they got would be kept from pools that could use it.
func (u *Unit) waitingByTeam(pool string, c *catalog.Catalog, now time.Time) map[string]quota.Use {
	nodes := u.nodes(pool, now)
	room, roomLater := schedule.Room(u.waiting[pool], nodes), schedule.Room(u.waiting[pool], withoutShortTasks(nodes))
	runnable := map[*schedule.Candidate]bool{}
	for _, candidate := range schedule.Runnable(u.waiting[pool], nodes) {
		runnable[candidate] = true
	}
	uses := map[string]quota.Use{}
	for _, candidate := range u.waiting[pool] {
		e := u.jobs[candidate.Job]
		if e == nil {
			continue
		}
		team := e.job.Submission.Team
		if t := c.Teams[team]; t != nil && !withinLimit(candidate, t.Limit) {
			continue
		}
		use := uses[team]
		step := quota.Oldest{Need: candidate.Unit(), Waited: now.Sub(candidate.WaitingSince)}
		switch {
		case runnable[candidate] && candidate.Class.Valued():
			use.Waiting = use.Waiting.Add(candidate.Step.Need.Times(len(candidate.Tasks)))
			if room[candidate] > 0 {
				use.Oldest = use.Oldest.Older(step)
			}
		case room[candidate] > 0:
			use.Behind = use.Behind.Add(candidate.Step.Need.Times(room[candidate]))
			use.OldestBehind = use.OldestBehind.Older(step)
		case roomLater[candidate] == 0 && candidate.FitsSize(u.meanInstance[pool]):
			use.Behind = use.Behind.Add(step.Need)
			use.OldestBehind = use.OldestBehind.Older(step)
		}
		uses[team] = use
	}
	return uses
}

// withoutShortTasks returns the nodes as they are once all tasks have ended that end by
// themselves.
func withoutShortTasks(nodes []*schedule.Node) []*schedule.Node {
	out := make([]*schedule.Node, len(nodes))
	for i, n := range nodes {
		later := *n
		later.Free = n.Capacity.Sub(n.LongRunning)
		out[i] = &later
	}
	return out
}

// withinLimit reports whether what has to start at once of a candidate, a task or a
// whole gang, is within a team's limit.
func withinLimit(c *schedule.Candidate, limit job.Resources) bool {
	need := c.Unit()
	return capped(need, limit) == need
}
