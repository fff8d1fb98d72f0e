package unitmap

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/memstore"
)

// Daemons that add pools at the same time must agree on their units, and a pool that
// is added later must not change the units of others.
func TestDaemonsAgreeAndUnitsStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			synctest.Wait()
		}()
		s := memstore.New(24)
		var configured atomic.Pointer[[]string]
		pools := []string{"proofing", "engraving", "clinic"}
		configured.Store(&pools)
		var maps []*Map
		for range 6 {
			m := New(s.Client(), 24, zap.NewNop())
			maps = append(maps, m)
			go m.Run(ctx, func() []string { return *configured.Load() })
		}
		time.Sleep(2 * time.Second)
		before := map[string]int{}
		used := map[int]bool{}
		for _, pool := range append(pools, Fleet) {
			before[pool] = maps[0].Of(pool)
			used[before[pool]] = true
		}
		is.Equal(len(used), 4) // three pools and the fleet, each with its own unit
		more := append([]string{"archive"}, pools...)
		configured.Store(&more)
		time.Sleep(2 * time.Second)
		for _, m := range maps {
			is.True(m.Complete(more))
			is.Equal(m.Of("archive"), maps[0].Of("archive"))
			for pool, unit := range before {
				is.Equal(m.Of(pool), unit)
				is.True(m.InUse(unit))
			}
		}
		is.Equal(maps[0].Of("unknown pool"), None)
	})
}

func TestMorePoolsThanUnits(t *testing.T) {
	is := is.New(t)
	m := New(memstore.New(2).Client(), 2, zap.NewNop())
	var pools []string
	for i := range 5 {
		pools = append(pools, fmt.Sprint("p", i))
	}
	is.NoErr(m.Ensure(context.Background(), pools))
	for _, pool := range pools {
		is.True(m.Of(pool) >= 0 && m.Of(pool) < 2)
	}
}
