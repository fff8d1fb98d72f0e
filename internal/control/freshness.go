package control

import (
	"slices"
	"sync"
	"time"

	"github.com/beryltide/beryltide/internal/peer"
	"github.com/beryltide/beryltide/internal/record"
)

// logStaleAfter is the age of the last contact with the log from which on peers
// are polled. It is longer than the log's long poll and well below the time for
// which a daemon may start work without contact.
const logStaleAfter = 1500 * time.Millisecond

// freshness records how current a daemon's state is. It is safe for concurrent
// use.
//
// A daemon is current as of a time if it has folded every record that the log
// held then, as confirmed by the log or by a peer that is current. Without such
// contact, it assumes that the log is down for all members, and has quorum contact
// while it and the peers that answer it are more than half of the members and
// none of those peers has read further.
type freshness struct {
	mu sync.Mutex
	// logReadAt is when the last read that reached the log's head was sent.
	logReadAt time.Time
	// currentAt is the latest time as of which this daemon is current.
	currentAt time.Time
	// quorumAt is the latest time of quorum contact.
	quorumAt time.Time
	// answeredAt is when the latest poll that a member answered was sent. Answers of
	// members that were ahead of this daemon are left out.
	answeredAt map[record.MemberID]time.Time
}

func newFreshness() *freshness {
	return &freshness{answeredAt: map[record.MemberID]time.Time{}}
}

// noteLogRead records that the state held every record that the log had at a
// time.
func (f *freshness) noteLogRead(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logReadAt = later(f.logReadAt, at)
	f.currentAt = later(f.currentAt, at)
}

// notePeers records the peers' answers to a poll that was sent at a time. next is
// the first offset that this daemon hasn't folded.
func (f *freshness) notePeers(at time.Time, answers []peer.LogPosition, next record.Offset, self record.MemberID, members []record.MemberID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	behind := false
	for _, a := range answers {
		if a.Next > next {
			behind = true
			continue
		}
		f.answeredAt[a.Member] = at
		if a.Age != peer.NeverCurrent {
			f.currentAt = later(f.currentAt, at.Add(-a.Age))
		}
	}
	if !behind {
		f.quorumAt = later(f.quorumAt, f.quorumSince(at, self, members))
	}
}

// quorumSince returns the latest time since which more than half of the members
// have answered, with this daemon counted as answering now. It returns the zero
// time if too few have answered.
func (f *freshness) quorumSince(now time.Time, self record.MemberID, members []record.MemberID) time.Time {
	var times []time.Time
	for _, m := range members {
		if m == self {
			times = append(times, now)
		} else if at, ok := f.answeredAt[m]; ok {
			times = append(times, at)
		}
	}
	quorum := len(members)/2 + 1
	if len(members) == 0 || len(times) < quorum {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[quorum-1]
}

// contact returns the latest time as of which this daemon is current or has
// quorum contact.
func (f *freshness) contact() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return later(f.currentAt, f.quorumAt)
}

func (f *freshness) quorumContact() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quorumAt
}

// logContact returns when the last read that reached the log's head was sent.
func (f *freshness) logContact() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.logReadAt
}

// age returns the time since this daemon was current, or peer.NeverCurrent.
func (f *freshness) age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.currentAt.IsZero() {
		return peer.NeverCurrent
	}
	return max(0, now.Sub(f.currentAt))
}

// logStale reports whether the last contact with the log is older than
// logStaleAfter.
func (f *freshness) logStale(now time.Time) bool {
	return now.Sub(f.logContact()) > logStaleAfter
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
