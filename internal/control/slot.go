package control

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beryltide/beryltide/internal/record"
)

// Lengths of the time slots, each of which is assigned to one member. A
// checkpoint takes longer to write and read back than the controllers take to
// propose.
const (
	controlSlot    = 2 * time.Second
	checkpointSlot = 10 * time.Second
)

// holdsSlot reports whether the current slot of the given length is self's, by
// rendezvous hashing over the members. Slots only avoid needless appends: if two
// members act at once, the fold resolves the conflict.
func holdsSlot(members []record.MemberID, self record.MemberID, now time.Time, slotLength time.Duration) bool {
	slot := strconv.FormatInt(now.UnixNano()/int64(slotLength), 10)
	var holder record.MemberID
	var highest uint64
	for _, m := range members {
		if weight := xxhash.Sum64String(slot + "/" + string(m)); holder == "" || weight > highest {
			holder, highest = m, weight
		}
	}
	return holder == self
}
