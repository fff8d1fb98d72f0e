// Package loadsync exchanges what each daemon runs for each team, so that shares
// hold over the whole fleet.
//
// Loads are soft: a lost or late one only makes shares less exact for a
// moment. Nothing is agreed on here.
package loadsync

import (
	"context"
	"sync"
	"time"

	"github.com/beryltide/beryltide/internal/control"
	"github.com/beryltide/beryltide/internal/peer"
	"github.com/beryltide/beryltide/internal/record"
)

// Times of the exchange.
const (
	// interval is how often changed loads are sent.
	sendInterval = 500 * time.Millisecond
	// renewal is how often an unchanged load is sent to each peer at the least
	// number of them, and renewalPerMember what each member adds to that.
	minRenewalInterval = 2 * time.Second
	renewalPerMember   = 200 * time.Millisecond
	// lifetimes is how many rounds over all peers a load counts.
	lifetimeRounds = 3
	// pushTimeout bounds one send.
	pushTimeout = time.Second
)

// Bytes of the exchange. Peers take turns so that a daemon stays within its
// budget whatever the numbers of peers and teams.
const (
	// budget is what a daemon sends in a second.
	bytesPerSecond = 2500
	// messageSize and entrySize estimate the size of a load.
	messageSize = 80
	entrySize   = 16
)

// Sender is used to send a load to a peer.
type Sender interface {
	PushLoad(ctx context.Context, addr string, args peer.LoadArgs) error
}

// Book is where the loads of peers are kept for the decisions.
type LoadStore interface {
	// Own returns this daemon's load.
	Own() peer.DaemonLoad
	// SetPeer replaces a peer's load.
	SetPeer(id record.MemberID, load peer.DaemonLoad)
	// ForgetPeer drops the load of a peer that is heard no more.
	ForgetPeer(id record.MemberID)
}

// Exchange sends this daemon's load and takes those of peers. It is safe for
// concurrent use.
type Exchange struct {
	view   func() *control.View
	sender Sender
	store  LoadStore

	mu    sync.Mutex
	peers map[record.MemberID]receivedLoad
}

type receivedLoad struct {
	seq uint64
	at  time.Time
	// until is when the load lapses.
	until time.Time
}

// New returns an exchange that keeps loads in book.
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
	x.store.SetPeer(args.From, args.Load)
}

// Heard returns when a load of a peer last came, the zero time when none did
// for a while.
func (x *Exchange) Heard(id record.MemberID) time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.peers[id].at
}

// Run sends until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	tick := time.NewTicker(sendInterval)
	defer tick.Stop()
	r := rotation{sent: map[record.MemberID]sentLoad{}}
	for {
		select {
		case now := <-tick.C:
			x.expire(now)
			view := x.view()
			args, due := r.next(now, view.Self, view.Members.IDs(), x.store.Own())
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
	// The next load replaces one that is lost.
	_ = x.sender.PushLoad(ctx, addr, args)
}

func (x *Exchange) expire(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for id, received := range x.peers {
		if now.After(received.until) {
			delete(x.peers, id)
			x.store.ForgetPeer(id)
		}
	}
}
