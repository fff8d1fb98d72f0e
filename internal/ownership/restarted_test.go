package ownership

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/memstore"
	"github.com/beryltide/beryltide/internal/store"
)

// Guards against units without an owner: the only strong owner restarts at its address as a
// weak daemon. The store goes on listing its former incarnation while no member joins, and
// the daemon answers at that address itself.
func TestStrongOwnerRestartsAsAWeakDaemon(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context, s *memstore.Store, is *is.I) {
		strong, stop := context.WithCancel(ctx)
		startMember(strong, s, "a:1", 0.8)
		time.Sleep(500 * time.Millisecond)
		weak, _, _ := startMember(ctx, s, "w:1", 0.2)
		time.Sleep(5 * time.Second)
		is.Equal(len(weak.Tenures()), 0)
		stop()
		h := &fakeHost{began: time.Now()}
		restarted := New(store.Direct(store.Watch(s.Client(), h.clock)), "a:1", "2", 0.2, alwaysAlive, h.clock, zap.NewNop())
		go restarted.Run(ctx, func([]Tenure) {})
		time.Sleep(10 * time.Second)
		is.Equal(len(weak.Tenures())+len(restarted.Tenures()), units)
	})
}
