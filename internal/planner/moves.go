package planner

import (
	"cmp"

	"github.com/beryltide/beryltide/internal/fleet"
	"github.com/beryltide/beryltide/internal/record"
)

// moveCost is the late work that a move between two service pools must save, as
// a multiple of one instance's slots in slot-seconds: the instance does no work
// while it drains, and is likely to be moved back.
const moveCost = 60

// move proposes the moves of one round. Pools short of instances get one at a
// time, in the order of the late work that it saves; the surplus then returns
// to the spare pool. A data centre that goes out of service or returns changes
// all counts at once, so all of its moves are proposed in one round.
func (r *round) move() {
	if r.summary.spare == nil {
		return
	}
	noDonor := map[*poolSummary]bool{}
	for ps := r.mostUrgent(noDonor); ps != nil; ps = r.mostUrgent(noDonor) {
		inst := r.chooseDonation(ps)
		if inst == nil {
			noDonor[ps] = true
			continue
		}
		r.proposeMove(inst, ps)
	}
	for _, name := range r.summary.poolNames {
		r.returnSurplus(r.summary.pools[name])
	}
}

// mostUrgent returns the pool that most needs another instance, nil when none
// does. It leaves out the pools in skip.
func (r *round) mostUrgent(skip map[*poolSummary]bool) *poolSummary {
	var urgent *poolSummary
	for _, name := range r.summary.poolNames {
		ps := r.summary.pools[name]
		if !ps.configured || ps == r.summary.spare || skip[ps] || !r.isShort(ps) {
			continue
		}
		if urgent == nil || r.moreUrgent(ps, urgent) {
			urgent = ps
		}
	}
	return urgent
}

// moreUrgent orders pools under their minimum size first, then by the work that
// one more instance saves from being late now, then by what it saves after the
// loss of a failure domain.
func (r *round) moreUrgent(a, b *poolSummary) bool {
	if lowA, lowB := a.size() < a.config.MinSize, b.size() < b.config.MinSize; lowA != lowB {
		return lowA
	}
	return cmp.Or(
		cmp.Compare(r.lateWorkSaved(b, b.size()), r.lateWorkSaved(a, a.size())),
		cmp.Compare(r.lateWorkSaved(b, r.summary.sizeAfterLoss(b)), r.lateWorkSaved(a, r.summary.sizeAfterLoss(a))),
	) < 0
}

// isShort reports whether a pool is below its minimum size, or would be short
// of its need after the loss of one failure domain.
func (r *round) isShort(ps *poolSummary) bool {
	if ps.size() < ps.config.MinSize {
		return true
	}
	if ps.config.MaxSize > 0 && ps.size() >= ps.config.MaxSize {
		return false
	}
	return r.summary.sizeAfterLoss(ps) < r.planner.needOf(ps.name).current
}

// lateWorkSaved returns the late work that one more instance saves a pool of
// the given size, in slot-seconds weighted by age.
func (r *round) lateWorkSaved(ps *poolSummary, size int) float64 {
	m := r.planner.modelOf(ps.name)
	return m.lateAt(size) - m.lateAt(size+1)
}

// chooseDonation chooses the instance to move into a pool: from the spare pool,
// else from the pool with the largest surplus. A pool without a surplus gives
// an instance only when the move saves more late work than it causes plus
// moveCost.
func (r *round) chooseDonation(to *poolSummary) *fleet.Instance {
	if inst := bestToMove(r.in, r.summary.spare, to, true); inst != nil {
		return inst
	}
	var from *poolSummary
	for _, name := range r.summary.poolNames {
		ps := r.summary.pools[name]
		if ps == to || ps == r.summary.spare || !r.canGive(ps, to) {
			continue
		}
		if from == nil || r.surplus(ps) > r.surplus(from) {
			from = ps
		}
	}
	if from == nil {
		return nil
	}
	return bestToMove(r.in, from, to, true)
}

func (r *round) canGive(ps, to *poolSummary) bool {
	if ps.size() <= ps.config.MinSize {
		return false
	}
	if r.surplus(ps) > 0 {
		return true
	}
	cost := moveCost * to.meanSlots()
	return r.lateWorkSaved(to, to.size()) > r.lateWorkSaved(ps, ps.size()-1)+cost
}

// surplus is the number of instances that a pool has beyond its floor, its
// minimum size and the loss it has to tolerate.
func (r *round) surplus(ps *poolSummary) int {
	if !ps.configured {
		return ps.size()
	}
	return min(r.summary.sizeAfterLoss(ps)-r.planner.needOf(ps.name).floor, ps.size()-ps.config.MinSize)
}

// returnSurplus moves a pool's surplus into the spare pool, up to the spare
// pool's maximum size.
func (r *round) returnSurplus(ps *poolSummary) {
	spare := r.summary.spare
	if ps == spare {
		return
	}
	for r.surplus(ps) > 0 && (spare.config.MaxSize == 0 || spare.size() < spare.config.MaxSize) {
		inst := bestToMove(r.in, ps, spare, false)
		if inst == nil {
			return
		}
		r.proposeMove(inst, spare)
	}
}

// proposeMove proposes a move and updates the counts of both pools.
func (r *round) proposeMove(inst *fleet.Instance, to *poolSummary) {
	r.propose(record.Move{Instance: inst.Name, To: to.name, Version: inst.Version})
	r.moved[inst.Name] = true
	r.summary.pools[inst.Pool].remove(inst)
	r.summary.pools[inst.Pool].serving--
	to.add(inst)
}

// bestToMove returns the member whose move gives the best spread over failure
// domains: from where the giving pool has most members to where the receiving
// pool has fewest. receiverFirst is set when the receiving pool's spread counts
// first. Members that are moving, unhealthy or under maintenance are left out.
func bestToMove(in Input, from, to *poolSummary, receiverFirst bool) *fleet.Instance {
	var best *fleet.Instance
	for _, inst := range from.members {
		if inst.Phase != fleet.Serving || inst.Pool != from.name || in.Unhealthy[inst.Name] {
			continue
		}
		if best == nil || spreadsBetter(from, to, inst, best, receiverFirst) {
			best = inst
		}
	}
	return best
}

func spreadsBetter(from, to *poolSummary, a, b *fleet.Instance, receiverFirst bool) bool {
	takes := cmp.Or(
		cmp.Compare(to.byDataCentre[a.DataCentre], to.byDataCentre[b.DataCentre]),
		cmp.Compare(to.byRack[rackKey(a)], to.byRack[rackKey(b)]),
	)
	gives := cmp.Or(
		cmp.Compare(from.byDataCentre[b.DataCentre], from.byDataCentre[a.DataCentre]),
		cmp.Compare(from.byRack[rackKey(b)], from.byRack[rackKey(a)]),
	)
	if !receiverFirst {
		takes, gives = gives, takes
	}
	return cmp.Or(takes, gives, cmp.Compare(a.Name, b.Name)) < 0
}
