// Package quota shares out a team's limit between the owners of pools, so that
// all together never start more than the limit allows. It does no I/O.
//
// The lead asks each owner in turn what a team uses and waits for, and answers
// with a grant. An owner keeps its grant until it is told another one. The lead
// raises one only by what no owner can hold any more: a lowered grant counts as
// it was until its owner has confirmed it.
package quota

import (
	"math"

	"github.com/beryltide/beryltide/internal/job"
)

// Unlimited is the grant of teams without a limit.
var Unlimited = job.Resources{CPU: math.MaxInt32, Memory: math.MaxInt32, GPU: math.MaxInt32}

// Use is what an owner tells of a team in its pool.
type Use struct {
	// Held is the grant in force there.
	Held job.Resources
	// Running is what recorded runs take.
	Running job.Resources
	// Waiting is what tasks whose turn has come would take.
	Waiting job.Resources
}

// Ledger is what the lead knows of all grants.
type Ledger struct {
	// epochs holds the newest owner's epoch of each pool.
	epochs map[string]int64
	// committed holds, by pool and team, the most that its owner may act on.
	committed map[string]map[string]job.Resources
	reported  map[string]map[string]Use
}

// NewLedger returns a ledger that knows no pool.
func NewLedger() *Ledger {
	return &Ledger{epochs: map[string]int64{}, committed: map[string]map[string]job.Resources{}, reported: map[string]map[string]Use{}}
}

// Confirm notes what an owner has told. From then on only what it holds and
// runs counts, not what it held before. The word of an owner that has been
// followed by another counts for nothing; it returns false.
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

// Grants returns what a pool's owner is told next. Limits are the teams' and
// pools all that share them. While an owner hasn't been heard, no grant rises,
// and what that owner holds stays.
func (l *Ledger) Grants(pool string, limits map[string]job.Resources, pools []string) map[string]job.Resources {
	if l.committed[pool] == nil {
		return nil
	}
	grants := map[string]job.Resources{}
	for team, limit := range limits {
		grants[team] = l.grant(pool, team, limit, pools)
	}
	for team, grant := range grants {
		// What was told may be in force from now on.
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

// amount returns a grant of one resource: the wish, if the others leave it.
func amount(limit, target, held, others int, allReported bool) int {
	if limit == 0 {
		return math.MaxInt32
	}
	if !allReported {
		return min(target, held)
	}
	return max(min(target, limit-others), 0)
}

type dimension func(job.Resources) int

func cpu(r job.Resources) int    { return r.CPU }
func memory(r job.Resources) int { return r.Memory }
func gpu(r job.Resources) int    { return r.GPU }

// target is a pool's share of a team's limit: what it runs, what it waits for in
// proportion, and an even part of what nobody waits for.
func (l *Ledger) target(pool, team string, limit job.Resources, pools []string, of dimension) int {
	running, waiting := 0, 0
	for _, other := range pools {
		use := l.reported[other][team]
		running += of(use.Running)
		waiting += of(use.Waiting)
	}
	own := l.reported[pool][team]
	left := max(of(limit)-running, 0)
	if waiting > left {
		return of(own.Running) + int(float64(left)*float64(of(own.Waiting))/float64(waiting))
	}
	return of(own.Running) + of(own.Waiting) + (left-waiting)/max(len(pools), 1)
}

func componentMax(a, b job.Resources) job.Resources {
	return job.Resources{CPU: max(a.CPU, b.CPU), Memory: max(a.Memory, b.Memory), GPU: max(a.GPU, b.GPU)}
}
