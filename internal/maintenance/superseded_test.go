package maintenance

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/catalog"
	"github.com/beryltide/beryltide/internal/memstore"
	"github.com/beryltide/beryltide/internal/owner"
	"github.com/beryltide/beryltide/internal/ownership"
	"github.com/beryltide/beryltide/internal/store"
)

// obeyingOwners obey the leader of an epoch and refuse earlier ones.
type obeyingOwners struct {
	fakeOwners
	leader atomic.Int64
}

func (o *obeyingOwners) Demand(ctx context.Context, order owner.GrantOrder) (Report, error) {
	if order.Lead < o.leader.Load() {
		return Report{}, &owner.SupersededError{Leader: o.leader.Load()}
	}
	return o.fakeOwners.Demand(ctx, order)
}

// Guards against a leader that owners refuse, or that can't record its orders any more, and
// that goes on for good: it has to give its tenure up, so that it gets a new one.
func TestSupersededLeaderGivesItsTenureUp(t *testing.T) {
	for name, by := range map[string]func(s *memstore.Store, o *obeyingOwners){
		"an owner": func(_ *memstore.Store, o *obeyingOwners) { o.leader.Store(2) },
		"the fleet's store": func(s *memstore.Store, _ *obeyingOwners) {
			_ = s.Client().Append(context.Background(), Topic, 0, nil, &store.Sequence{Producer: producer, Epoch: 2})
		},
		"neither": func(*memstore.Store, *obeyingOwners) {},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				s, owners, f := memstore.New(1), &obeyingOwners{}, newFakeMachines(8)
				c := newController(ctx, s.Client(), f, owners, waveView(f, &catalog.Pool{}, 1), 1)
				var given atomic.Bool
				c.GiveUp = func(t ownership.Tenure) { given.Store(t.Epoch == 1) }
				c.Holds = func(ownership.Tenure, time.Duration) bool { return ctx.Err() == nil && !given.Load() }
				go c.Run(ctx)
				time.Sleep(5 * time.Second)
				is.True(!given.Load())
				by(s, owners)
				time.Sleep(time.Second)
				is.Equal(given.Load(), name != "neither")
				cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}
