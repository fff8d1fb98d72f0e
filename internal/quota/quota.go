// Package quota divides a team's limit between the owners of pools, so that
// together they never start more than the limit allows. It does no I/O and depends
// on package job only.
//
// The leader, the daemon that holds the fleet's unit, polls the owners for what each
// team uses and waits for, and sends them grants. A grant is valid until the owner
// receives another one. The leader raises a grant only by capacity that no other
// owner can still hold: a lowered grant counts at its former amount until its owner
// has confirmed the new one.
package quota

import (
	"math"
	"time"

	"github.com/beryltide/beryltide/internal/job"
)

// Unlimited is the grant for teams without a limit.
var Unlimited = job.Resources{CPU: math.MaxInt32, Memory: math.MaxInt32, GPU: math.MaxInt32}

// Use is an owner's report on a team in its pool. It is sent over net/rpc.
type Use struct {
	// Held is the active grant.
	Held job.Resources
	// Running is the need of recorded runs.
	Running job.Resources
	// Waiting is the need of the tasks that are ready to start, valued and such that the
	// pool's instances could run them; Oldest is of those that have room now.
	Waiting job.Resources
	Oldest  Oldest
	// Behind is the need of other tasks that the limit keeps from starting or from getting an
	// instance. They get what Waiting of all pools leaves. Owners of earlier versions don't report it, nor the oldest.
	Behind       job.Resources
	OldestBehind Oldest
}

// Oldest is what has to start at once, a task or a whole gang, of the step that has waited
// longest, and for how long it has. It is sent over net/rpc.
type Oldest struct {
	Need   job.Resources
	Waited time.Duration
}

// Older returns the one of the two that has waited longer.
func (o Oldest) Older(other Oldest) Oldest {
	if o.Need == (job.Resources{}) || other.Waited > o.Waited {
		return other
	}
	return o
}

// Ledger is the leader's record of all grants. It isn't safe for concurrent use.
type Ledger struct {
	// epochs holds the newest owner's epoch of each pool.
	epochs map[string]int64
	// committed holds, by pool and team, the highest grant that the pool's owner may
	// still act on.
	committed map[string]map[string]job.Resources
	// reported holds the newest reports by pool and team.
	reported map[string]map[string]Use
}

// NewLedger returns a ledger without reports.
func NewLedger() *Ledger {
	return &Ledger{epochs: map[string]int64{}, committed: map[string]map[string]job.Resources{}, reported: map[string]map[string]Use{}}
}

// Confirm records the report of a pool's owner, by team. From then on the grants and
// runs in the report count as committed, not earlier grants. A report from an epoch
// lower than the pool's newest is ignored, and Confirm returns false.
func (l *Ledger) Confirm(pool string, epoch int64, teams map[string]Use) bool {
	if epoch < l.epochs[pool] {
		return false
	}
	l.epochs[pool] = epoch
	held := map[string]job.Resources{}
	for team, use := range teams {
		held[team] = componentMax(use.Held, use.Running)
	}
	l.committed[pool] = held
	l.reported[pool] = teams
	return true
}

// Grants returns the grants to send to a pool's owner, by team, or nil before the
// owner's first report. Limits are by team; pools names all pools that share them.
// No grant rises before the owners of all pools have reported.
func (l *Ledger) Grants(pool string, limits map[string]job.Resources, pools []string) map[string]job.Resources {
	if l.committed[pool] == nil {
		return nil
	}
	grants := map[string]job.Resources{}
	for team, limit := range limits {
		grants[team] = l.grant(pool, team, limit, pools)
	}
	for team, grant := range grants {
		// The owner may act on the new grant from now on.
		l.committed[pool][team] = componentMax(l.committed[pool][team], grant)
	}
	return grants
}

func (l *Ledger) grant(pool, team string, limit job.Resources, pools []string) job.Resources {
	held := l.committed[pool][team]
	others := job.Resources{}
	allReported := true
	for _, other := range pools {
		if other == pool {
			continue
		}
		teams, known := l.committed[other]
		allReported = allReported && known
		others = others.Add(teams[team])
	}
	return job.Resources{
		CPU:    amount(limit.CPU, l.target(pool, team, limit, pools, cpu), held.CPU, others.CPU, allReported),
		Memory: amount(limit.Memory, l.target(pool, team, limit, pools, memory), held.Memory, others.Memory, allReported),
		GPU:    amount(limit.GPU, l.target(pool, team, limit, pools, gpu), held.GPU, others.GPU, allReported),
	}
}

// amount returns the grant of one resource: the target, as far as the other pools
// leave it free or, before all have reported, as far as the pool holds it.
func amount(limit, target, held, others int, allReported bool) int {
	if limit == 0 {
		return math.MaxInt32
	}
	if !allReported {
		return min(target, held)
	}
	return max(min(target, limit-others), 0)
}

// dimension selects one resource.
type dimension func(job.Resources) int

func cpu(r job.Resources) int    { return r.CPU }
func memory(r job.Resources) int { return r.Memory }
func gpu(r job.Resources) int    { return r.GPU }

// target returns a pool's share of a team's limit: its running tasks, its waiting
// tasks, of what those of all pools leave its tasks behind them, and a part of the rest.
func (l *Ledger) target(pool, team string, limit job.Resources, pools []string, of dimension) int {
	running, waiting, own := 0, 0, 0
	claims, claimsBehind := make([]claim, len(pools)), make([]claim, len(pools))
	for n, other := range pools {
		use := l.reported[other][team]
		if other == pool {
			own = n
		}
		claims[n] = claim{amount: of(use.Waiting), unit: of(use.Oldest.Need), waited: use.Oldest.Waited}
		claimsBehind[n] = claim{amount: of(use.Behind), unit: of(use.OldestBehind.Need), waited: use.OldestBehind.Waited}
		running += of(use.Running)
		waiting += claims[n].amount
	}
	use := l.reported[pool][team]
	left := max(of(limit)-running, 0)
	if waiting > left {
		accumulate := never
		if running < of(limit)/2 {
			accumulate = accumulateAfter
		}
		return of(use.Running) + divide(left, claims, own, accumulate)
	}
	spare := left - waiting
	behind, allBehind := divideBehind(spare, claimsBehind, own)
	return of(use.Running) + claims[own].amount + behind +
		spareShare(spare-allBehind, len(pools), of(use.Running)+claims[own].amount, running+waiting)
}

// spareShare returns a pool's part of what is neither used nor claimed: half of it is
// divided evenly, so that each pool can begin at once, and half in proportion to what the
// pools use, so that a pool whose demand grows needn't wait until the others have given
// up theirs, nor for a leader while there is none.
func spareShare(spare, pools, used, usedByAll int) int {
	if usedByAll == 0 {
		return spare / max(pools, 1)
	}
	return spare/2/max(pools, 1) + int(int64(spare/2)*int64(used)/int64(usedByAll))
}

func componentMax(a, b job.Resources) job.Resources {
	return job.Resources{CPU: max(a.CPU, b.CPU), Memory: max(a.Memory, b.Memory), GPU: max(a.GPU, b.GPU)}
}
