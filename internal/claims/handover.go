package claims

import (
	"slices"

	"github.com/beryltide/beryltide/internal/record"
)

const (
	// maxTransferReplicas is the most replicas in one transfer.
	maxTransferReplicas = 512
	// maxTransferBodyBytes bounds the answer bodies in one transfer. A single
	// larger body is sent on its own.
	maxTransferBodyBytes = 1 << 20
)

// handOverExclusions are the members that a hand-over leaves out.
type handOverExclusions struct {
	// closed members no longer grant claims.
	closed map[record.MemberID]bool
	// unreachable members may grant claims, so the replicas for which they are
	// the home must reach them. Second replicas may be held by another member
	// instead.
	unreachable map[record.MemberID]bool
}

// export returns the pending transfers for the active membership, at most one
// per member, and whether enough members remain to hold each claim. Once
// nothing is pending, it records that the member has handed over for the epoch.
func (r *Registry) export(x handOverExclusions) (map[record.MemberID]*Transfer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	due := r.lossNotices(x)
	enough := true
	for _, e := range r.entries {
		targets := r.targets(e.Key, x)
		enough = enough && len(targets) >= min(2, r.possibleHolders(x))
		for _, to := range targets {
			if to != r.view.Self && !slices.Contains(e.holders, to) {
				r.addReplica(due, to, e)
			}
		}
	}
	if len(due) == 0 && enough {
		r.handedOver = max(r.handedOver, r.view.Epoch)
	}
	return due, enough
}

// lossNotices returns empty transfers to the members that may not have the time
// of the last loss of claims yet, such as new ones.
func (r *Registry) lossNotices(x handOverExclusions) map[record.MemberID]*Transfer {
	due := map[record.MemberID]*Transfer{}
	for _, m := range r.view.Members {
		if m != r.view.Self && !x.closed[m] && !x.unreachable[m] && r.sentLossEpochs[m] < r.loss.epoch {
			due[m] = r.newTransfer()
		}
	}
	return due
}

// targets returns the members that should hold a key's replicas: the first that
// may act as its home, and one more. A closed registry leaves its own member
// out.
func (r *Registry) targets(k Key, x handOverExclusions) []record.MemberID {
	var targets []record.MemberID
	for _, m := range r.view.order(k) {
		switch {
		case x.closed[m] || r.closed && m == r.view.Self:
			continue
		case len(targets) > 0 && x.unreachable[m]:
			continue
		}
		targets = append(targets, m)
		if len(targets) == 2 {
			break
		}
	}
	return targets
}

// possibleHolders returns how many members can hold replicas.
func (r *Registry) possibleHolders(x handOverExclusions) int {
	n := 0
	for _, m := range r.view.Members {
		if !x.closed[m] && (!r.closed || m != r.view.Self) {
			n++
		}
	}
	return n
}

func (r *Registry) addReplica(due map[record.MemberID]*Transfer, to record.MemberID, e *entry) {
	t, ok := due[to]
	if !ok {
		t = r.newTransfer()
		due[to] = t
	}
	if len(t.Copies) < maxTransferReplicas && (len(t.Copies) == 0 || t.size()+len(e.Result.Body) <= maxTransferBodyBytes) {
		t.Copies = append(t.Copies, r.replicaOf(e))
	}
}

// newTransfer returns a transfer without replicas, with the last known loss.
func (r *Registry) newTransfer() *Transfer {
	t := &Transfer{From: r.view.Self, Epoch: r.view.Epoch, LostEpoch: r.loss.epoch}
	if t.LostEpoch > 0 {
		t.LostAge = r.now().Sub(r.loss.at)
	}
	return t
}

func (t *Transfer) size() int {
	n := 0
	for i := range t.Copies {
		n += len(t.Copies[i].Result.Body)
	}
	return n
}

// markHeld records that a member has accepted a transfer.
func (r *Registry) markHeld(t *Transfer, m record.MemberID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sentLossEpochs[m] = max(r.sentLossEpochs[m], t.LostEpoch)
	for i := range t.Copies {
		e, ok := r.entries[t.Copies[i].Key]
		if ok && e.Attempt == t.Copies[i].Attempt {
			e.addHolder(m)
		}
	}
}

// HandedOver returns the epoch up to which all claims are handed over, for the
// member's reports.
func (r *Registry) HandedOver() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.handedOver
}
