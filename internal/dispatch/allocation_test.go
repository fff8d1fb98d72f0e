package dispatch_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/dispatch"
)

// TestSlotsMoveToPeerWithTeamBelowShare has two teams of equal shares, each
// with requests at one daemon only, and the first daemon starts with all 20
// slots. As its tasks end it must leave slots to its peer until each team has
// half.
func TestSlotsMoveToPeerWithTeamBelowShare(t *testing.T) {
	is := is.New(t)
	queues := []*dispatch.Queue{dispatch.NewQueue(), dispatch.NewQueue()}
	teams := []string{"a", "b"}
	running := [2][]*dispatch.Request{}
	for i, q := range queues {
		q.SetTeams(map[string]float64{"a": 1, "b": 1}, 20)
		q.SetCapacity("p", 20)
		for range 400 {
			is.NoErr(q.Push(request(teams[i], false), 1000, epoch))
		}
	}
	start := func(i int) {
		for len(running[0])+len(running[1]) < 20 {
			r := queues[i].Pop("p", always)
			if r == nil {
				return
			}
			queues[i].Started(r)
			running[i] = append(running[i], r)
		}
	}
	start(0)
	is.Equal(len(running[0]), 20)
	for range 60 {
		queues[0].SetPeerLoads("1", queues[1].Loads())
		queues[1].SetPeerLoads("0", queues[0].Loads())
		for i, q := range queues {
			if len(running[i]) > 0 {
				q.Ended(running[i][0], 0)
				running[i] = running[i][1:]
				start(i) // the daemon that freed the slot goes first
			}
		}
		start(1)
	}
	is.True(len(running[0]) >= 9)
	is.True(len(running[0]) <= 11)
	is.Equal(len(running[0])+len(running[1]), 20)
}
