package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/dispatch"
	"github.com/beryltide/beryltide/internal/verdict"
)

var epoch = time.Unix(1_700_000_000, 0)

func always(string) bool { return true }

func request(team string, urgent bool) *dispatch.Request {
	return &dispatch.Request{
		Team: team, Pool: "p", Queue: "q", Urgent: urgent,
		Arrived: epoch, StartBy: epoch.Add(time.Minute),
	}
}

// TestPopFollowsShares fills a fleet of 100 slots. Each team must end within
// one slot of its share, counting the work of peers.
func TestPopFollowsShares(t *testing.T) {
	is := is.New(t)
	q := dispatch.NewQueue()
	q.SetTeams(map[string]float64{"large": 7, "small": 2, "tiny": 1}, 100)
	// A peer runs 30 requests of large and none of the others.
	q.SetPeerLoads("peer", []dispatch.Load{{Pool: "p", Team: "large", Running: 30, Cost: 30 * dispatch.Slot}})
	for range 100 {
		for _, team := range []string{"large", "small", "tiny"} {
			is.NoErr(q.Push(request(team, false), 1000, epoch))
		}
	}
	started := map[string]int{}
	for range 70 {
		r := q.Pop("p", always)
		q.Started(r)
		started[r.Team]++
	}
	is.Equal(started, map[string]int{"large": 40, "small": 20, "tiny": 10})
}

func TestUrgentRequestsGoFirstWithinShare(t *testing.T) {
	is := is.New(t)
	q := dispatch.NewQueue()
	q.SetTeams(map[string]float64{"a": 1, "b": 9}, 20)
	for range 10 {
		is.NoErr(q.Push(request("a", true), 1000, epoch))
		is.NoErr(q.Push(request("b", false), 1000, epoch))
	}
	var order string
	for range 6 {
		r := q.Pop("p", always)
		q.Started(r)
		order += r.Team
	}
	// a's share of 20 slots is 2; beyond it urgent work follows the order by
	// shares.
	is.Equal(order, "aabbbb")
}

func TestPopSkipsTeamsThatMayNotStart(t *testing.T) {
	is := is.New(t)
	q := dispatch.NewQueue()
	q.SetTeams(map[string]float64{"a": 1, "b": 1}, 10)
	is.NoErr(q.Push(request("a", true), 10, epoch))
	is.NoErr(q.Push(request("b", false), 10, epoch))
	is.Equal(q.Pop("p", func(team string) bool { return team != "a" }).Team, "b")
	is.True(q.Pop("p", func(string) bool { return false }) == nil)
	is.Equal(q.Waiting(), 1)
}

// TestPopChecksChosenTeamLast guards callers that acquire a credit in mayStart:
// the team for which it last returned true must be the team of the request.
func TestPopChecksChosenTeamLast(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(5, 5))
	q := dispatch.NewQueue()
	for i := range 50 {
		is.NoErr(q.Push(request(fmt.Sprint(i), i%7 == 0), 100, epoch))
		for range rng.IntN(5) {
			q.Started(request(fmt.Sprint(i), false))
		}
	}
	for r, last := (*dispatch.Request)(nil), ""; q.Waiting() > 20; {
		r = q.Pop("p", func(team string) bool {
			if rng.IntN(3) == 0 {
				return false
			}
			last = team
			return true
		})
		is.Equal(r.Team, last)
		q.Started(r)
	}
}

func TestQueueEnforcesDepthAndDeadlines(t *testing.T) {
	is := is.New(t)
	q := dispatch.NewQueue()
	q.SetTeams(map[string]float64{"a": 1}, 1)
	running := request("a", false)
	q.Started(running)
	q.Ended(running, 10*time.Second)
	q.Started(running)
	first := request("a", false)
	first.StartBy = epoch.Add(time.Second)
	is.NoErr(q.Push(first, 2, epoch))

	late := request("a", false)
	late.StartBy = epoch.Add(9 * time.Second)
	err := q.Push(late, 2, epoch)
	is.Equal(verdict.CodeOf(err), verdict.CodeDeadline)
	is.Equal(verdict.Of(err), verdict.NotRun)

	removed := request("a", false)
	is.NoErr(q.Push(removed, 2, epoch))
	is.Equal(verdict.CodeOf(q.Push(request("a", false), 2, epoch)), verdict.CodeQueueFull)
	is.True(q.Remove(removed))
	is.True(!q.Remove(removed))
	is.Equal(q.Expire(epoch.Add(2*time.Second)), []*dispatch.Request{first})
	is.Equal(q.Waiting(), 0)
}

func pool(racks, perRack int) *dispatch.Pool {
	p := dispatch.NewPool("dc0")
	for i := range racks * perRack {
		rack := i / perRack
		p.Put(dispatch.Instance{
			Name:       fmt.Sprintf("i%d", i),
			DataCentre: fmt.Sprintf("dc%d", rack%3),
			Rack:       fmt.Sprintf("r%d", rack),
			Slots:      8, Connections: 8, Admission: dispatch.Open,
		})
	}
	return p
}

// TestPlaceRespectsAdmissionAndSlots fills a pool. No instance may get more
// requests than it has slots, closed ones get none, and those on probation one.
func TestPlaceRespectsAdmissionAndSlots(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	p := pool(3, 4)
	p.Admit("i0", dispatch.Closed)
	p.Admit("i1", dispatch.Probation)
	p.SetPeerLoad("i2", 5, 5*dispatch.Slot)
	p.Remove("i3")
	got := map[string]int{}
	for {
		name, ok := p.Place(rng)
		if !ok {
			break
		}
		p.Started(name, dispatch.Slot)
		got[name]++
	}
	is.Equal(got["i0"], 0)
	is.Equal(got["i1"], 1)
	is.Equal(got["i2"], 3)
	is.Equal(got["i3"], 0)
	for i := 4; i < 12; i++ {
		is.Equal(got[fmt.Sprintf("i%d", i)], 8)
	}
	p.Ended("i7", dispatch.Slot)
	name, ok := p.Place(rng)
	is.True(ok)
	is.Equal(name, "i7")
}

func BenchmarkPopAndPlace(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	q := dispatch.NewQueue()
	shares := map[string]float64{}
	for i := range 430 {
		shares[fmt.Sprintf("t%d", i)] = float64(1 + i%7)
	}
	q.SetTeams(shares, 3500*8)
	for team := range shares {
		for range 4 {
			if err := q.Push(request(team, false), 1<<20, epoch); err != nil {
				b.Fatal(err)
			}
		}
	}
	p := dispatch.NewPool("dc0")
	for i := range 3500 {
		p.Put(dispatch.Instance{
			Name: fmt.Sprintf("i%d", i), DataCentre: fmt.Sprintf("dc%d", i%5),
			Rack: fmt.Sprintf("r%d", i/4), Slots: 8, Connections: 8, Admission: dispatch.Open,
		})
	}
	b.ReportAllocs()
	for b.Loop() {
		r := q.Pop("p", always)
		name, ok := p.Place(rng)
		if !ok {
			b.Fatal("no place")
		}
		p.Started(name, dispatch.Slot)
		p.Ended(name, dispatch.Slot)
		q.Requeue(r)
	}
}
