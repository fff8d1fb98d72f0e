package traffic

import (
	"context"
	"time"

	"github.com/beryltide/beryltide/internal/peer"
	"github.com/beryltide/beryltide/internal/platform"
)

// Forwarder sends a request to a peer, which runs it.
type Forwarder interface {
	Forward(ctx context.Context, addr string, args peer.ForwardArgs) (platform.Answer, error)
}

// forwardInterval is how often a waiting request checks for a peer with
// credits.
const forwardInterval = 100 * time.Millisecond

// peerFor returns the address of the peer with the most credits of the
// request's team while this daemon has no grant, or "".
func (b *Broker) peerFor(j *job) string {
	view := b.opts.View()
	if j.Forwarded || b.opts.Forward == nil || view.Ledger.Grant(view.Self, j.Team) > 0 {
		return ""
	}
	best, most := "", 0
	for id, grant := range view.Ledger.Holders(j.Team) {
		m := view.Members.Get(id)
		if m == nil || m.PeerAddr == j.lastPeer {
			continue
		}
		if grant > most || grant == most && m.PeerAddr < best {
			best, most = m.PeerAddr, grant
		}
	}
	return best
}

func (b *Broker) forward(ctx context.Context, j *job, addr string) (platform.Answer, error) {
	j.lastPeer = addr
	return b.opts.Forward.Forward(ctx, addr, peer.ForwardArgs{
		RequestID:      j.ID,
		Queue:          j.Queue,
		Team:           j.Team,
		Key:            j.Key,
		IdempotencyKey: j.IdempotencyKey,
		ContentType:    j.ContentType,
		Body:           j.Body,
		Timeout:        time.Until(j.Deadline),
		Revision:       b.opts.View().Revision,
	})
}
