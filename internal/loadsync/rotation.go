package loadsync

import (
	"slices"
	"time"

	"github.com/beryltide/beryltide/internal/peer"
	"github.com/beryltide/beryltide/internal/record"
)

// rotation chooses the peers that get the load at each tick.
type rotation struct {
	seq  uint64
	load peer.DaemonLoad
	// lastSentTo is the peer that was last sent a load.
	lastSentTo record.MemberID
	sent       map[record.MemberID]sentLoad
	// renewalInterval is how often an unchanged load is sent to each peer.
	renewalInterval time.Duration
	// availableBytes is the number of bytes that may be sent now within the
	// budget.
	availableBytes int
}

// sentLoad is the sequence number and the time of the last load sent to a peer.
type sentLoad struct {
	seq uint64
	at  time.Time
}

// next returns the message of this tick and the peers that it goes to: those
// that lack the current load or are due for a renewal, in rotation, as many as
// the byte budget allows. members must be sorted.
func (r *rotation) next(now time.Time, self record.MemberID, members []record.MemberID, load peer.DaemonLoad) (peer.LoadArgs, []record.MemberID) {
	if r.seq == 0 || !equal(load, r.load) {
		r.seq++
		r.load = load
	}
	r.removeDeparted(members)
	r.renewalInterval = max(minRenewalInterval, time.Duration(len(members))*renewalPerMember)
	size := sizeOf(load)
	round := time.Duration(len(members)*size) * time.Second / bytesPerSecond
	args := peer.LoadArgs{
		From:     self,
		Seq:      r.seq,
		Load:     load,
		Lifetime: lifetimeRounds * max(round, r.renewalInterval),
	}
	bytesPerTick := int(bytesPerSecond * sendInterval.Seconds())
	r.availableBytes = min(r.availableBytes+bytesPerTick, max(size, bytesPerTick))
	due := r.choose(now, self, members, r.availableBytes/size)
	r.availableBytes -= len(due) * size
	return args, due
}

// choose iterates over the members from the one after lastSentTo and returns at
// most limit peers to send to.
func (r *rotation) choose(now time.Time, self record.MemberID, members []record.MemberID, limit int) []record.MemberID {
	var due []record.MemberID
	first, _ := slices.BinarySearch(members, r.lastSentTo+"\x00")
	for i := range members {
		id := members[(first+i)%len(members)]
		last := r.sent[id]
		if id == self || last.seq == r.seq && now.Sub(last.at) < r.renewalInterval {
			continue
		}
		if len(due) == limit {
			break
		}
		r.sent[id] = sentLoad{seq: r.seq, at: now}
		r.lastSentTo = id
		due = append(due, id)
	}
	return due
}

func (r *rotation) removeDeparted(members []record.MemberID) {
	for id := range r.sent {
		if _, ok := slices.BinarySearch(members, id); !ok {
			delete(r.sent, id)
		}
	}
}

func equal(a, b peer.DaemonLoad) bool {
	return slices.Equal(a.Loads, b.Loads) && slices.Equal(a.Pools, b.Pools) && slices.Equal(a.Leaving, b.Leaving)
}

// sizeOf estimates the size of a load's message in bytes.
func sizeOf(load peer.DaemonLoad) int {
	return messageSize + entrySize*(len(load.Loads)+len(load.Pools)+len(load.Leaving))
}
