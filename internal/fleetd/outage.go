package fleetd

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/ownerrpc"
	"github.com/beryltide/beryltide/internal/ownership"
	"github.com/beryltide/beryltide/internal/pause"
	"github.com/beryltide/beryltide/internal/store"
)

// outageCheckInterval is the pause between two checks of whether the store is
// unreachable for other daemons too.
const outageCheckInterval = 500 * time.Millisecond

// outage distinguishes a store that no daemon can reach from one that only this
// daemon can't reach. A daemon that is cut off alone becomes unready, so that the
// balancer sends callers to others; if all did so, none would be left to send
// callers the delay until a retry.
type outage struct {
	log    *store.Watched
	member *ownership.Member
	peers  *ownerrpc.Client
	logger *zap.Logger
	// shared is set while the store is unreachable for this daemon and its peers.
	shared atomic.Bool
}

// run updates shared until the context ends.
func (o *outage) run(ctx context.Context) {
	go o.log.Probe(ctx, ownership.Group)
	for ctx.Err() == nil {
		shared := o.log.Away() > 0 && o.peersAway(ctx)
		if o.shared.Swap(shared) != shared {
			o.logger.Info("outage.shared", zap.Bool("shared", shared), zap.Duration("away", o.log.Away()))
		}
		pause.For(ctx, outageCheckInterval)
	}
}

// peersAway reports whether the store is unreachable for at least one peer that
// answers, and serves none. A peer whose last call failed, or that has made none, is no
// evidence either way.
func (o *outage) peersAway(ctx context.Context) bool {
	away := false
	for _, address := range o.member.Peers() {
		reply, err := o.peers.Away(ctx, address)
		switch {
		case err != nil:
			o.logger.Debug("outage.peer_silent", zap.String("peer", address), zap.Error(err))
		case reply.For > 0:
			away = true
		case reply.Serving:
			return false
		}
	}
	return away
}
