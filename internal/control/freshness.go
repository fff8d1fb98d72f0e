package control

import (
	"slices"
	"sync"
	"time"

	"github.com/beryltide/beryltide/internal/peer"
	"github.com/beryltide/beryltide/internal/record"
)

// logStaleAfter is how old the last contact with the log may get before peers
// are asked. It is over the log's longest poll and well under the time that a
// daemon may go on without contact.
const logStaleAfter = 1500 * time.Millisecond

// freshness is what a daemon knows of how current its state is. It is safe for
// concurrent use.
//
// A daemon is current as of a time when it has folded all that the log held
// then, which it learns from the log or from a peer that is. Without any such
// contact, it takes the log to be down for all, and is in agreement, while it
// hears from peers that make up, with itself, more than half of the members
// and none of them has read further.
type freshness struct {
	mu         sync.Mutex
	logReadAt  time.Time
	currentAt  time.Time
	quorumAt   time.Time
	answeredAt map[record.MemberID]time.Time
}

func newFreshness() *freshness {
	return &freshness{answeredAt: map[record.MemberID]time.Time{}}
}

// noteLogRead notes that the state held all that the log did at a time.
func (f *freshness) noteLogRead(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logReadAt = latest(f.logReadAt, at)
	f.currentAt = latest(f.currentAt, at)
}

// notePeers notes what peers answered to a question sent at a time. next is
// the first offset that this daemon lacks.
func (f *freshness) notePeers(at time.Time, answers []peer.Standing, next record.Offset, self record.MemberID, members []record.MemberID) {
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
			f.currentAt = latest(f.currentAt, at.Add(-a.Age))
		}
	}
	if !behind {
		f.quorumAt = latest(f.quorumAt, f.quorumSince(at, self, members))
	}
}

// quorumSince returns the latest time since which more than half of the members
// were heard, itself counted.
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

// contact returns the last time as of which this daemon is current or in
// agreement.
func (f *freshness) contact() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return latest(f.currentAt, f.quorumAt)
}

// quorumContact returns the last time as of which this daemon was in quorumContact.
func (f *freshness) quorumContact() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quorumAt
}

// logContact returns when the last read of the log was sent that reached its
// head.
func (f *freshness) logContact() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.logReadAt
}

// age returns how long ago this daemon was current.
func (f *freshness) age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.currentAt.IsZero() {
		return peer.NeverCurrent
	}
	return max(0, now.Sub(f.currentAt))
}

// logStale tells whether the log hasn't been read for a while.
func (f *freshness) logStale(now time.Time) bool {
	return now.Sub(f.logContact()) > logStaleAfter
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
