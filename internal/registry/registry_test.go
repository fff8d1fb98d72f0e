package registry

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/memstore"
	"github.com/beryltide/beryltide/internal/store"
)

// After an outage in which nothing has changed, that is known at once: a read
// that waits for a change would leave it unknown for as long as it waits.
func TestNothingChangedIsKnownAtOnceAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		client := memstore.New(1).Client()
		var confirmed atomic.Int64
		f := &Follower{
			Log: client, Topic: "op", Logger: zap.NewNop(), Wait: time.Minute,
			Reset: func([]store.Record) {}, Apply: func([]store.Record) {},
			Confirmed: func() { confirmed.Store(time.Now().UnixNano()) },
		}
		go f.Run(ctx)
		time.Sleep(2 * time.Minute)
		client.SetFault(func(string) memstore.Fault { return memstore.Refuse })
		time.Sleep(2 * time.Minute)
		client.SetFault(nil)
		back := time.Now().UnixNano()
		time.Sleep(3 * retryPause)
		is.True(confirmed.Load() > back)
		cancel()
		time.Sleep(2 * time.Minute)
		synctest.Wait()
	})
}
