package member

import (
	"slices"

	"github.com/beryltide/beryltide/internal/record"
)

// replicasPerClaim is how many members hold each claim while the members are
// settled.
const replicasPerClaim = 2

// handover tracks whether claims may have been lost since all members last
// completed their hand-over. The slice Settled is never changed in place, since
// clones share it.
type handover struct {
	// Settled holds the members at that time.
	Settled []record.MemberID `msgpack:"s"`
	// Reclaimed counts the members reclaimed since then.
	Reclaimed int `msgpack:"r"`
	// LostEpoch is the last epoch that began with a loss of claims, 0 for none.
	LostEpoch uint64 `msgpack:"l"`
}

func (h *handover) settle(members []record.MemberID) {
	h.Settled = members
	h.Reclaimed = 0
}

// reclaim counts a reclaimed member and reports whether a claim may have had no
// other replica.
func (h *handover) reclaim(id record.MemberID) bool {
	h.Reclaimed++
	alone := len(h.Settled) == 1 && slices.Contains(h.Settled, id)
	return h.Reclaimed >= replicasPerClaim || alone
}
