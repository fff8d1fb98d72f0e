package store_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/memstore"
	"github.com/beryltide/beryltide/internal/store"
)

// Calls that were sent to a silent store stay unanswered after its return. The
// return must be noticed all the same, before they time out.
func TestReturnIsNoticedBesideCallsThatHang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const timeout = 700 * time.Millisecond
		ctx, cancel := context.WithCancel(context.Background())
		begin := time.Now()
		client := memstore.New(1).Client()
		returns := begin.Add(4 * time.Second)
		client.SetFault(func(string) memstore.Fault {
			if time.Now().Before(returns) {
				time.Sleep(timeout)
				return memstore.LoseCall
			}
			return memstore.None
		})
		log := store.Watch(client, func() time.Duration { return time.Since(begin) })
		go log.Probe(ctx, "g")
		for range 3 {
			_, _ = log.Owners(ctx, "g")
		}
		is.True(log.Away() > 0)
		time.Sleep(time.Until(returns) - 10*time.Millisecond)
		is.True(log.Away() > 0)
		time.Sleep(timeout / 2)
		is.Equal(log.Away(), time.Duration(0))
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}
