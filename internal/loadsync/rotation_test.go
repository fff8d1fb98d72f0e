package loadsync

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/dispatch"
	"github.com/beryltide/beryltide/internal/peer"
	"github.com/beryltide/beryltide/internal/record"
)

func TestRotationReachesEveryPeerWithinBudgetAndLifetime(t *testing.T) {
	for _, c := range []struct{ members, teams int }{{2, 1}, {8, 6}, {60, 50}, {60, 430}} {
		t.Run(fmt.Sprintf("members=%d teams=%d", c.members, c.teams), func(t *testing.T) {
			is := is.New(t)
			var members []record.MemberID
			for i := range c.members {
				members = append(members, record.MemberID(fmt.Sprintf("m%02d", i)))
			}
			r := rotation{sent: map[record.MemberID]sentLoad{}}
			now := time.Unix(1, 0)
			reached := map[record.MemberID]time.Time{}
			var sends, ticks int
			for range 3000 {
				now = now.Add(sendInterval)
				ticks++
				load := peer.DaemonLoad{Loads: make([]dispatch.Load, c.teams)}
				load.Loads[0].Running = ticks // changes the load at each tick
				args, due := r.next(now, members[0], members, load)
				sends += len(due)
				for _, id := range due {
					is.True(id != members[0])
					if last, ok := reached[id]; ok {
						is.True(now.Sub(last) < args.Lifetime) // the previous load has not expired
					}
					reached[id] = now
				}
			}
			is.Equal(len(reached), c.members-1)
			bytes := float64(sends*(messageSize+c.teams*entrySize)) / (float64(ticks) * sendInterval.Seconds())
			is.True(bytes <= bytesPerSecond)
		})
	}
}

func TestRotationRenewsUnchangedLoadOncePerInterval(t *testing.T) {
	is := is.New(t)
	r := rotation{sent: map[record.MemberID]sentLoad{}}
	members := []record.MemberID{"a", "b", "c"}
	now := time.Unix(1, 0)
	sends := 0
	for range 40 {
		now = now.Add(sendInterval)
		_, due := r.next(now, "a", members, peer.DaemonLoad{})
		sends += len(due)
	}
	is.Equal(sends, 2*10) // two peers, once per renewal interval
}
