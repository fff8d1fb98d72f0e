// Package member is the aggregate of the daemons that take part in the cluster:
// their identities, which offset each has applied, and which have departed.
//
// Membership changes only by records of the log. The package does no I/O.
package member

import (
	"maps"
	"slices"
	"time"

	"github.com/beryltide/beryltide/internal/record"
)

// maxDeparted is how many departed members are kept, so that a late duplicate
// of one of their records is ignored.
const maxDeparted = 4096

// Member is one run of a daemon. Values are never changed once they are in a
// Members.
type Member struct {
	ID         record.MemberID `msgpack:"i"`
	Instance   string          `msgpack:"n"`
	DataCentre string          `msgpack:"d"`
	Rack       string          `msgpack:"r"`
	PeerAddr   string          `msgpack:"p"`
	OpsAddr    string          `msgpack:"o"`
	// Seq is the sequence number of the last record folded.
	Seq uint64 `msgpack:"s"`
	// Folded is the last offset whose effects the member has applied.
	Folded record.Offset `msgpack:"f"`
	// HandedOver is the last epoch for which it has handed over all its claims.
	HandedOver uint64 `msgpack:"h"`
	// Joined and LastOffset are the offsets of its first and last records.
	Joined     record.Offset `msgpack:"j"`
	LastOffset record.Offset `msgpack:"l"`
	// LongestRun bounds the run time of every task that the member may have
	// started: the longest limit of any configuration active since it joined.
	LongestRun time.Duration `msgpack:"t"`
}

// Members is the set of members. It is not safe for concurrent use.
type Members struct {
	byID map[record.MemberID]*Member
	// ids holds the keys of byID, sorted. The slice is replaced, never changed,
	// so clones share it.
	ids []record.MemberID
	// departed is only appended to and cut at its front, so clones share it.
	departed []record.MemberID
	epoch    uint64
	// epochOffset is the offset at which the current epoch began.
	epochOffset record.Offset
	handover    handover
	// longestRun is the longest run time that the active configuration permits.
	longestRun time.Duration
}

// New returns a set without members.
func New() *Members {
	return &Members{byID: map[record.MemberID]*Member{}, epochOffset: record.NoOffset}
}

// Clone returns a copy that is independent of later changes to ms.
func (ms *Members) Clone() *Members {
	c := *ms
	c.byID = maps.Clone(ms.byID)
	c.departed = slices.Clip(ms.departed)
	return &c
}

// Join adds a member. It returns false for a member that has joined or departed
// before, as happens when an append is duplicated.
func (ms *Members) Join(at record.Offset, id record.MemberID, seq uint64, j record.Join) bool {
	if _, ok := ms.byID[id]; ok || slices.Contains(ms.departed, id) {
		return false
	}
	ms.byID[id] = &Member{
		ID:         id,
		Instance:   j.Instance,
		DataCentre: j.DataCentre,
		Rack:       j.Rack,
		PeerAddr:   j.PeerAddr,
		OpsAddr:    j.OpsAddr,
		Seq:        seq,
		Folded:     at,
		Joined:     at,
		LastOffset: at,
		LongestRun: ms.longestRun,
	}
	ms.nextEpoch(at)
	return true
}

// SetLongestRun sets the longest run time of a task under the active
// configuration.
func (ms *Members) SetLongestRun(d time.Duration) {
	ms.longestRun = d
	for id, m := range ms.byID {
		if m.LongestRun < d {
			next := *m
			next.LongestRun = d
			ms.byID[id] = &next
		}
	}
}

// Accept records the offset and sequence number of a member's record. It
// returns false when the author is no member or the sequence number is not
// above its last.
func (ms *Members) Accept(at record.Offset, id record.MemberID, seq uint64) bool {
	m, ok := ms.byID[id]
	if !ok || seq <= m.Seq {
		return false
	}
	next := *m
	next.Seq = seq
	next.LastOffset = at
	ms.byID[id] = &next
	return true
}

// Report records the offset and the epoch that a member has reached. Neither
// ever decreases.
func (ms *Members) Report(id record.MemberID, r record.Report) {
	m, ok := ms.byID[id]
	if !ok {
		return
	}
	next := *m
	next.Folded = max(next.Folded, r.Folded)
	next.HandedOver = max(next.HandedOver, min(r.HandedOver, ms.epoch))
	ms.byID[id] = &next
	if next.HandedOver > m.HandedOver && ms.Settled() {
		ms.handover.settle(ms.IDs())
	}
}

// Reclaim removes a member that was declared dead, and records whether claims
// may have been lost with it.
func (ms *Members) Reclaim(at record.Offset, id record.MemberID) bool {
	if !ms.Remove(at, id) {
		return false
	}
	if ms.handover.reclaim(id) {
		ms.handover.LostEpoch = ms.epoch
	}
	return true
}

// Remove removes a member that leaves, after it has handed over its claims.
func (ms *Members) Remove(at record.Offset, id record.MemberID) bool {
	if _, ok := ms.byID[id]; !ok {
		return false
	}
	delete(ms.byID, id)
	ms.departed = append(ms.departed, id)
	if len(ms.departed) > maxDeparted {
		ms.departed = ms.departed[len(ms.departed)-maxDeparted:]
	}
	ms.nextEpoch(at)
	if len(ms.byID) == 0 {
		ms.handover.LostEpoch = ms.epoch
	}
	return true
}

func (ms *Members) nextEpoch(at record.Offset) {
	ms.ids = slices.Sorted(maps.Keys(ms.byID))
	ms.epoch++
	ms.epochOffset = at
}

// Get returns a member, nil for an unknown one.
func (ms *Members) Get(id record.MemberID) *Member { return ms.byID[id] }

// Departed reports whether id was a member and has left or was reclaimed.
func (ms *Members) Departed(id record.MemberID) bool { return slices.Contains(ms.departed, id) }

// Len returns the number of members.
func (ms *Members) Len() int { return len(ms.byID) }

// All returns the members sorted by ID.
func (ms *Members) All() []*Member {
	all := make([]*Member, len(ms.ids))
	for i, id := range ms.ids {
		all[i] = ms.byID[id]
	}
	return all
}

// IDs returns the IDs of all members, sorted. Callers must not change them.
func (ms *Members) IDs() []record.MemberID { return ms.ids }

// Epoch returns the number of membership changes so far.
func (ms *Members) Epoch() uint64 { return ms.epoch }

// EpochOffset returns the offset of the last membership change.
func (ms *Members) EpochOffset() record.Offset { return ms.epochOffset }

// LostEpoch returns the last epoch at whose beginning claims may have been
// lost, 0 for none.
func (ms *Members) LostEpoch() uint64 { return ms.handover.LostEpoch }

// Settled reports whether every member has handed over its claims for the
// current epoch, so that each key's home may serve it.
func (ms *Members) Settled() bool {
	for _, m := range ms.byID {
		if m.HandedOver < ms.epoch {
			return false
		}
	}
	return true
}

// State is the serialized form of Members.
type State struct {
	Members     []Member          `msgpack:"m"`
	Departed    []record.MemberID `msgpack:"d"`
	Epoch       uint64            `msgpack:"e"`
	EpochOffset record.Offset     `msgpack:"o"`
	Handover    handover          `msgpack:"h"`
	LongestRun  time.Duration     `msgpack:"t"`
}

// State returns the serialized form.
func (ms *Members) State() State {
	s := State{
		Departed:    slices.Clone(ms.departed),
		Epoch:       ms.epoch,
		EpochOffset: ms.epochOffset,
		Handover:    ms.handover,
		LongestRun:  ms.longestRun,
	}
	for _, m := range ms.All() {
		s.Members = append(s.Members, *m)
	}
	return s
}

// Restore returns the members of a serialized form.
func Restore(s State) *Members {
	ms := New()
	for _, m := range s.Members {
		ms.byID[m.ID] = &m
	}
	ms.ids = slices.Sorted(maps.Keys(ms.byID))
	ms.departed = slices.Clone(s.Departed)
	ms.epoch = s.Epoch
	ms.epochOffset = s.EpochOffset
	ms.handover = s.Handover
	ms.longestRun = s.LongestRun
	return ms
}
