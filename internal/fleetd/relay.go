package fleetd

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/ownerrpc"
	"github.com/beryltide/beryltide/internal/store"
)

const (
	// minRelaySearchPause is the pause after the first search for a relay. It doubles
	// with each further one up to maxRelaySearchPause: an outage may be everyone's.
	minRelaySearchPause = 50 * time.Millisecond
	maxRelaySearchPause = time.Second
	// relaySearchMemory is the time after a search after which the next one is a first
	// one again.
	relaySearchMemory = 5 * time.Second
	// relaySearchTimeout bounds a search, within the time of a call between daemons.
	relaySearchTimeout = 250 * time.Millisecond
	// maxRelayCandidates bounds the peers that a search asks.
	maxRelayCandidates = 4
)

// relay finds a peer that the store serves, through which this daemon reaches the
// store while it turns this daemon away. It is safe for concurrent use.
type relay struct {
	// ctx ends the searches.
	ctx context.Context
	// candidates returns the addresses of other daemons.
	candidates func() []string
	peers      *ownerrpc.Client
	logger     *zap.Logger

	mu sync.Mutex
	// current is the log of the peer in use, or nil.
	current    *ownerrpc.PeerLog
	searching  bool
	searchedAt time.Time
	// pause is the time from searchedAt until the next search.
	pause time.Duration
}

// log returns the log of a peer that the store serves, or nil if none is known. Then
// it begins a search in the background.
func (r *relay) log() store.Log {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current != nil {
		return r.current
	}
	since := time.Since(r.searchedAt)
	if r.searching || since < r.pause {
		return nil
	}
	if since > relaySearchMemory {
		r.pause = minRelaySearchPause
	}
	r.searching, r.pause = true, min(2*r.pause, maxRelaySearchPause)
	go r.search()
	return nil
}

// search takes the first of some random peers that answers that the store serves it.
func (r *relay) search() {
	ctx, cancel := context.WithTimeout(r.ctx, relaySearchTimeout)
	defer cancel()
	candidates := r.candidates()
	rand.Shuffle(len(candidates), func(a, b int) { candidates[a], candidates[b] = candidates[b], candidates[a] })
	candidates = candidates[:min(len(candidates), maxRelayCandidates)]
	found := make(chan string, len(candidates))
	for _, address := range candidates {
		go func() {
			reply, err := r.peers.Away(ctx, address)
			if err != nil || reply.For > 0 || !reply.Serving {
				address = ""
			}
			found <- address
		}()
	}
	served := ""
	for range candidates {
		if served = <-found; served != "" {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.searching, r.searchedAt = false, time.Now()
	if served == "" {
		return
	}
	log := &ownerrpc.PeerLog{Client: r.peers, Address: served}
	log.Failed = func() { r.drop(log) }
	r.current = log
	r.logger.Info("relay.found", zap.String("peer", served))
}

// drop gives up a peer that couldn't make a call.
func (r *relay) drop(log *ownerrpc.PeerLog) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == log {
		r.logger.Info("relay.lost", zap.String("peer", log.Address))
		r.current = nil
	}
}
