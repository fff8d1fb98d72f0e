package member

import (
	"slices"

	"github.com/beryltide/beryltide/internal/record"
)

// replicasPerClaim is how many members hold each claim while the members are settled.
const replicasPerClaim = 2

// handover follows what may have become of claims since all members had last
// handed them over. Values of settled are never changed in place.
type handover struct {
	// Settled are the members at that time.
	Settled []record.MemberID `msgpack:"s"`
	// Reclaimed is how many members were reclaimed since.
	Reclaimed int `msgpack:"r"`
	// LostEpoch is the last epoch that began with the loss of claims.
	LostEpoch uint64 `msgpack:"l"`
}

func (h *handover) settle(members []record.MemberID) {
	h.Settled = members
	h.Reclaimed = 0
}

// reclaim notes a reclaimed member and tells whether some claim may have had
// no other copy.
func (h *handover) reclaim(id record.MemberID) bool {
	h.Reclaimed++
	alone := len(h.Settled) == 1 && slices.Contains(h.Settled, id)
	return h.Reclaimed >= replicasPerClaim || alone
}
