package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Relayed is a log that goes on through a peer while the store turns this daemon away
// and serves others, so that an outage of some machines doesn't take units from their
// owners. It is safe for concurrent use.
type Relayed struct {
	*Watched
	// peer returns the log of a peer that the store serves, or nil if none is known.
	// It doesn't block.
	peer func() Log
}

var _ Log = (*Relayed)(nil)

// Relay wraps a log. Peer returns the log of a peer that the store serves, or nil if
// none is known; it must not block.
func Relay(log *Watched, peer func() Log) *Relayed { return &Relayed{Watched: log, peer: peer} }

// Direct wraps a log that has no peers.
func Direct(log *Watched) *Relayed { return Relay(log, func() Log { return nil }) }

// Away returns for how long the store has been unavailable to this daemon, directly
// and through a peer; 0 if it is available.
func (r *Relayed) Away() time.Duration {
	away := r.Watched.Away()
	if away > 0 && r.peer() != nil {
		return 0
	}
	return away
}

// call makes a call directly or, while the store doesn't serve this daemon, through a
// peer. Once calls fail one after another, one that the store refused without effect
// is made again through the peer at once: the outage is certain only later.
func (r *Relayed) call(do func(Log) error) error {
	tried := r.Watched.Away() == 0
	err := error(ErrNotDone)
	if tried {
		err = do(r.Watched)
	}
	if !errors.Is(err, ErrNotDone) || !r.health.Failing() {
		return err
	}
	if peer := r.peer(); peer != nil {
		return do(peer)
	}
	if !tried {
		// Without a peer, the call shows when the store serves this daemon again.
		return do(r.Watched)
	}
	return err
}

// Append implements Log.
func (r *Relayed) Append(ctx context.Context, topic string, partition int, records []Record, seq *Sequence) error {
	return r.call(func(l Log) error { return l.Append(ctx, topic, partition, records, seq) })
}

// AppendAt implements Log.
func (r *Relayed) AppendAt(ctx context.Context, topic string, partition int, records []Record, end int64) error {
	return r.call(func(l Log) error { return l.AppendAt(ctx, topic, partition, records, end) })
}

// Read implements Log.
func (r *Relayed) Read(ctx context.Context, topic string, partition int, from int64, wait time.Duration) (batch Batch, err error) {
	err = r.call(func(l Log) error {
		batch, err = l.Read(ctx, topic, partition, from, wait)
		return err
	})
	return batch, err
}

// Newest implements Log.
func (r *Relayed) Newest(ctx context.Context, topic string, partition int, after string) (page Page, err error) {
	err = r.call(func(l Log) error {
		page, err = l.Newest(ctx, topic, partition, after)
		return err
	})
	return page, err
}

// Join implements Log.
func (r *Relayed) Join(ctx context.Context, join Join) (m Membership, err error) {
	err = r.call(func(l Log) error {
		m, err = l.Join(ctx, join)
		return err
	})
	return m, err
}

// Held implements Log.
func (r *Relayed) Held(ctx context.Context, h Holding) error {
	return r.call(func(l Log) error { return l.Held(ctx, h) })
}

// Leave implements Log.
func (r *Relayed) Leave(ctx context.Context, group, member string) error {
	return r.call(func(l Log) error { return l.Leave(ctx, group, member) })
}

// Owners implements Log.
func (r *Relayed) Owners(ctx context.Context, group string) (owners []Owner, err error) {
	err = r.call(func(l Log) error {
		owners, err = l.Owners(ctx, group)
		return err
	})
	return owners, err
}
