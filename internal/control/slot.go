package control

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beryltide/beryltide/internal/record"
)

// How long one member has the turn. A checkpoint takes longer to write and
// read back than the controllers take to propose.
const (
	controlSlot    = 2 * time.Second
	checkpointSlot = 10 * time.Second
)

// holdsSlot tells whether self is the member whose turn of a length it is. Turns only save
// appends: two members that act at once are told apart by the fold.
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
