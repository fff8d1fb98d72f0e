package queueunits

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/memstore"
)

// Guards against a unit that isn't seen by units added after it: of units that are
// added at the same time, all but the first must know an earlier one.
func TestUnitsAddedTogetherKnowOfEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := memstore.New(1)
		clock := func() time.Duration { return time.Hour }
		var maps []*Map
		var wg sync.WaitGroup
		for unit := range 4 {
			m := New(s.Client(), clock)
			maps = append(maps, m)
			wg.Go(func() { is.NoErr(m.Add(context.Background(), "host/prefix/", unit)) })
		}
		wg.Wait()
		alone := 0
		for _, m := range maps {
			if len(m.Units("host/prefix/")) == 1 {
				alone++
			}
		}
		is.Equal(alone, 1)
		m := New(s.Client(), clock)
		is.NoErr(m.Refresh(context.Background(), 0))
		is.Equal(m.Units("host/prefix/"), []int{0, 1, 2, 3})
		is.Equal(len(m.Units("host/other/")), 0)
		is.Equal(decode([]byte("3,x,-1,7")), []int{3, 7})
	})
}

// Guards against callers that wait for another caller's read for longer than they have
// time, as while the store doesn't answer.
func TestRefreshGivesUpInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := memstore.New(1)
		s.Latency = time.Minute
		m := New(s.Client(), func() time.Duration { return time.Hour })
		go func() { is.NoErr(m.Refresh(context.Background(), 0)) }()
		time.Sleep(time.Second)
		begin := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		is.True(m.Refresh(ctx, 0) != nil)
		is.Equal(time.Since(begin), time.Second)
		time.Sleep(time.Hour)
	})
}
