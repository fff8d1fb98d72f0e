package fleetd

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/memstore"
	"github.com/beryltide/beryltide/internal/owner"
	"github.com/beryltide/beryltide/internal/ownership"
	"github.com/beryltide/beryltide/internal/store"
)

// A fenced unit must not keep answering "not ready" in place of its new owner:
// callers have to be sent to that one.
func TestFencedUnitIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			synctest.Wait()
		}()
		s := memstore.New(4)
		is.NoErr(s.Client().Append(ctx, ownership.Topic, 1, nil, &store.Sequence{Producer: "owner", Epoch: 900}))
		var controllerRuns atomic.Bool
		u := newUnits(ctx, owner.Deps{
			Log: s.Client(), Clock: func() time.Duration { return 0 }, Logger: zap.NewNop(), Meter: owner.NewMeter(tally.NoopScope),
			InUse: func(int) bool { return true }, Holds: func(ownership.Tenure) bool { return true }, GiveUp: func(ownership.Tenure) {},
		}, func(ctx context.Context, _ ownership.Tenure) {
			controllerRuns.Store(true)
			<-ctx.Done()
			controllerRuns.Store(false)
		})
		u.set([]ownership.Tenure{{Unit: 1, Epoch: 64}})
		is.True(u.Unit(1) != nil)
		time.Sleep(time.Second)
		is.True(u.Unit(1) == nil)
		is.True(!controllerRuns.Load()) // its controller has stopped too
	})
}
