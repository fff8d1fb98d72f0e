package traffic

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/beryltide/beryltide/internal/control"
	"github.com/beryltide/beryltide/internal/controlstate"
	"github.com/beryltide/beryltide/internal/departures"
	"github.com/beryltide/beryltide/internal/dispatch"
	"github.com/beryltide/beryltide/internal/fleet"
	"github.com/beryltide/beryltide/internal/record"
)

// TestEachStartedRequestHoldsOneCredit guards against leaked credits: Pop calls
// mayStart for several teams, and all credits but the chosen team's must be
// released.
func TestEachStartedRequestHoldsOneCredit(t *testing.T) {
	is := is.New(t)
	f := fleet.New()
	f.Adopt(0, record.Adopt{Instance: "i", Pool: "p", Slots: 8})
	credits := fakeCredits{}
	b := NewBroker(Options{Credits: credits, Departures: departures.New(), Random: rand.New(rand.NewPCG(1, 1))})
	b.appliedView = &control.View{Snapshot: &controlstate.Snapshot{Fleet: f}}
	pool := newPool("", departures.New())
	pool.Put(dispatch.Instance{Name: "i", Slots: 8, Connections: 8, Admission: dispatch.Open})

	shares := map[string]float64{}
	for i := range 20 {
		team := fmt.Sprintf("t%02d", i)
		shares[team] = float64(1 + i)
		credits[team] = 3
	}
	b.queue.SetTeams(shares, 8)
	for team := range shares {
		for range 3 {
			w := (&job{Request: Request{Team: team}, arrived: time.Now()}).waiter()
			w.Pool = "p"
			w.StartBy = time.Now().Add(time.Minute)
			is.NoErr(b.queue.Push(&w.Request, 100, time.Now()))
		}
	}
	b.startWaiting("p", pool)

	used := 0
	for _, left := range credits {
		used += 3 - left
	}
	is.Equal(used, 8)
}

// fakeCredits holds the number of free credits by team.
type fakeCredits map[string]int

func (c fakeCredits) Acquire(team string) (Credit, bool) {
	if c[team] == 0 {
		return nil, false
	}
	c[team]--
	return fakeCredit{credits: c, team: team}, true
}

func (c fakeCredits) AddWaiting(string, int) {}

// fakeCredit is one acquired credit.
type fakeCredit struct {
	credits fakeCredits
	team    string
}

func (c fakeCredit) Release() { c.credits[c.team]++ }

func (c fakeCredit) HoldUntil(time.Time) {}

// An instance that refuses again must get no work for the whole backoff from then on.
// The timer of its first refusal ended the second one's backoff too, 50 ms after the
// first.
func TestInstanceThatIsFullAgainWaitsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := fleet.New()
		f.Adopt(0, record.Adopt{Instance: "i", Pool: "p", Slots: 8})
		b := NewBroker(Options{Departures: departures.New(), Random: rand.New(rand.NewPCG(1, 1))})
		b.appliedView = &control.View{Snapshot: &controlstate.Snapshot{Fleet: f}}
		p := newPool("", departures.New())
		p.Put(dispatch.Instance{Name: "i", Slots: 8, Connections: 8, Admission: dispatch.Open})
		refused := func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.markFull(placement{instance: "i", pool: p})
		}
		free := func() int {
			synctest.Wait()
			b.mu.Lock()
			defer b.mu.Unlock()
			return p.Free()
		}
		refused()
		time.Sleep(fullBackoff / 2)
		refused()
		time.Sleep(fullBackoff * 3 / 4)
		is.Equal(free(), 0)
		time.Sleep(fullBackoff / 2)
		is.Equal(free(), 1)
	})
}
