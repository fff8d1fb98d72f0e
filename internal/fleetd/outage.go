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

// outageCheckInterval lies between two looks at whether the store is away for others too.
const outageCheckInterval = 500 * time.Millisecond

// outage tells a store that is away for all daemons from one that this daemon
// alone can't reach. A daemon that is cut off alone sends its callers to others;
// where all would do so, callers would find nobody to tell them when to return.
type outage struct {
	log    *store.Watched
	member *ownership.Member
	peers  *ownerrpc.Client
	logger *zap.Logger
	shared atomic.Bool
}

// run looks until the context ends.
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

// peersAway says whether an owner answers, and none that does is served.
func (o *outage) peersAway(ctx context.Context) bool {
	away := false
	for _, address := range o.member.Peers() {
		reply, err := o.peers.Away(ctx, address)
		switch {
		case err != nil:
			o.logger.Debug("outage.peer_silent", zap.String("peer", address), zap.Error(err))
		case reply.For == 0:
			return false
		default:
			away = true
		}
	}
	return away
}
