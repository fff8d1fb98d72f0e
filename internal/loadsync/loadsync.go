// Package loadsync exchanges the loads of daemons, so that team shares apply to
// the whole fleet.
//
// Loads are soft state: a lost or late load only makes shares less accurate for
// a moment, so the exchange needs no consensus.
package loadsync

import (
	"context"
	"sync"
	"time"

	"github.com/beryltide/beryltide/internal/control"
	"github.com/beryltide/beryltide/internal/peer"
	"github.com/beryltide/beryltide/internal/record"
)

const (
	// sendInterval is the period of the send loop.
	sendInterval = 500 * time.Millisecond
	// minRenewalInterval is the minimum period at which an unchanged load is
	// sent to each peer again. The period is at least renewalPerMember times
	// the number of members.
	minRenewalInterval = 2 * time.Second
	renewalPerMember   = 200 * time.Millisecond
	// lifetimeRounds is the lifetime of a load, in rounds over all peers or in
	// renewal periods, whichever is longer.
	lifetimeRounds = 3
	// pushTimeout bounds one send.
	pushTimeout = time.Second
)

// Peers are served in rotation, so that a daemon stays within its byte budget
// for any number of peers and teams.
const (
	// bytesPerSecond is the most that a daemon sends.
	bytesPerSecond = 2500
	// messageSize and entrySize estimate the size of a load, in bytes.
	messageSize = 80
	entrySize   = 16
)

// Sender sends a load to a peer.
type Sender interface {
	PushLoad(ctx context.Context, addr string, args peer.LoadArgs) error
}

// LoadStore provides this daemon's load and keeps the loads of peers.
type LoadStore interface {
	// OwnLoad returns this daemon's load.
	OwnLoad() peer.DaemonLoad
	// SetPeerLoad replaces a peer's load.
	SetPeerLoad(id record.MemberID, load peer.DaemonLoad)
	// RemovePeerLoad removes the load of a peer from which none arrived within
	// its lifetime.
	RemovePeerLoad(id record.MemberID)
}

// Exchange sends this daemon's load to its peers and receives theirs. It is
// safe for concurrent use.
type Exchange struct {
	view   func() *control.View
	sender Sender
	store  LoadStore

	mu    sync.Mutex
	peers map[record.MemberID]receivedLoad
}

// receivedLoad is the sequence number of the last load of a peer, and when it
// arrived.
type receivedLoad struct {
	seq uint64
	at  time.Time
	// until is when the load expires.
	until time.Time
}

// New returns an exchange that keeps loads in store.
func New(view func() *control.View, sender Sender, store LoadStore) *Exchange {
	return &Exchange{view: view, sender: sender, store: store, peers: map[record.MemberID]receivedLoad{}}
}

// TakeLoad implements peer.LoadSink. Loads that arrive out of order are
// dropped.
func (x *Exchange) TakeLoad(args peer.LoadArgs) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if args.Seq < x.peers[args.From].seq {
		return
	}
	now := time.Now()
	x.peers[args.From] = receivedLoad{seq: args.Seq, at: now, until: now.Add(args.Lifetime)}
	x.store.SetPeerLoad(args.From, args.Load)
}

// LastReceived returns when the last load of a peer arrived, or the zero time
// if it has expired or none arrived.
func (x *Exchange) LastReceived(id record.MemberID) time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.peers[id].at
}

// Run sends loads and expires those of peers until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	tick := time.NewTicker(sendInterval)
	defer tick.Stop()
	r := rotation{sent: map[record.MemberID]sentLoad{}}
	for {
		select {
		case now := <-tick.C:
			x.expire(now)
			view := x.view()
			args, due := r.next(now, view.Self, view.Members.IDs(), x.store.OwnLoad())
			for _, id := range due {
				go x.push(ctx, view.Members.Get(id).PeerAddr, args)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (x *Exchange) push(ctx context.Context, addr string, args peer.LoadArgs) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	// A failed send is not retried: the next load replaces it.
	_ = x.sender.PushLoad(ctx, addr, args)
}

func (x *Exchange) expire(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for id, received := range x.peers {
		if now.After(received.until) {
			delete(x.peers, id)
			x.store.RemovePeerLoad(id)
		}
	}
}
