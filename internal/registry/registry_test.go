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

// After an outage without changes the topic must be confirmed at once: a read that
// waits for a change would delay that by Wait.
func TestTopicIsConfirmedAtOnceAfterAnOutage(t *testing.T) {
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
		recoveredAt := time.Now().UnixNano()
		time.Sleep(3 * retryDelay)
		is.True(confirmed.Load() > recoveredAt)
		cancel()
		time.Sleep(2 * time.Minute)
		synctest.Wait()
	})
}

// A daemon without units doesn't read the topic and drops the records that it has:
// old entries would name instances that no longer exist.
func TestTopicIsNotReadWhileNotNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		s := memstore.New(1)
		var needed atomic.Bool
		var known atomic.Int64
		f := &Follower{
			Log: s.Client(), Topic: "servers", Logger: zap.NewNop(), Pause: 400 * time.Millisecond, Needed: needed.Load,
			Reset:     func(r []store.Record) { known.Store(int64(len(r))) },
			Apply:     func(r []store.Record) { known.Add(int64(len(r))) },
			Confirmed: func() {},
		}
		add := func(key string) {
			is.NoErr(s.Client().Append(ctx, "servers", 0, []store.Record{{Key: key, Value: []byte{1}}}, nil))
		}
		add("a")
		go f.Run(ctx)
		time.Sleep(time.Second)
		is.Equal(known.Load(), int64(0))
		needed.Store(true)
		time.Sleep(2 * neededCheckInterval)
		is.Equal(known.Load(), int64(1))
		needed.Store(false)
		time.Sleep(time.Second)
		is.Equal(known.Load(), int64(0))
		before := s.RecordsRead()
		add("b")
		time.Sleep(time.Minute)
		is.Equal(s.RecordsRead(), before)
		needed.Store(true)
		time.Sleep(2 * neededCheckInterval)
		is.Equal(known.Load(), int64(2))
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

// endless is a log whose reads return one record of many.
type endless struct{ store.Log }

func (endless) Read(_ context.Context, _ string, _ int, from int64, _ time.Duration) (store.Batch, error) {
	return store.Batch{Records: []store.Record{{Key: "a", Value: []byte{1}}}, Next: from + 1, End: from + 100}, nil
}

// A read is limited in size. While records are left unread, which may say that an
// instance drains or a data centre is out, the topic must not count as confirmed.
func TestLimitedReadDoesntConfirm(t *testing.T) {
	is := is.New(t)
	confirmed := false
	f := &Follower{Log: endless{}, Topic: "servers", Logger: zap.NewNop(), Apply: func([]store.Record) {}, Confirmed: func() { confirmed = true }}
	next, err := f.step(context.Background(), 5)
	is.NoErr(err)
	is.Equal(next, int64(6))
	is.True(!confirmed)
}
