package main

import (
	"time"

	"github.com/beryltide/beryltide/internal/dispatch"
	"github.com/beryltide/beryltide/internal/verdict"
)

// order is the part of a daemon that holds waiting requests.
type order interface {
	setTeams(shares map[string]float64, slots int)
	setCapacity(pool string, slots int)
	setPeer(peer string, vector []dispatch.Load)
	push(r *dispatch.Request, now time.Time) error
	next(pool string, may func(team string) bool) *dispatch.Request
	unpop(r *dispatch.Request)
	started(r *dispatch.Request)
	ended(r *dispatch.Request, run time.Duration)
	expire(now time.Time) []*dispatch.Request
	vector() []dispatch.Load
	running(team string) int
}

// depth is the most requests that wait for one queue in one daemon.
const depth = 400

func newOrder(w *world) order {
	if w.policy == static {
		return &fifo{pools: map[string][]*dispatch.Request{}, byTeam: map[string]int{}}
	}
	return &shared{Queue: dispatch.NewQueue()}
}

// shared is the product's order.
type shared struct{ *dispatch.Queue }

func (s *shared) setTeams(shares map[string]float64, slots int) { s.SetTeams(shares, slots) }

func (s *shared) setCapacity(pool string, slots int) { s.SetCapacity(pool, slots) }

func (s *shared) setPeer(peer string, vector []dispatch.Load) { s.SetPeerLoads(peer, vector) }

func (s *shared) push(r *dispatch.Request, now time.Time) error          { return s.Push(r, depth, now) }
func (s *shared) next(p string, may func(string) bool) *dispatch.Request { return s.Pop(p, may) }
func (s *shared) unpop(r *dispatch.Request)                              { s.Requeue(r) }
func (s *shared) started(r *dispatch.Request)                            { s.Started(r) }
func (s *shared) ended(r *dispatch.Request, run time.Duration)           { s.Ended(r, run) }
func (s *shared) expire(now time.Time) []*dispatch.Request               { return s.Expire(now) }
func (s *shared) vector() []dispatch.Load                                { return s.Loads() }
func (s *shared) running(string) int                                     { return 0 }

// fifo is the baseline: first in, first out, for each pool.
type fifo struct {
	pools  map[string][]*dispatch.Request
	byTeam map[string]int
}

func (f *fifo) setTeams(map[string]float64, int)           {}
func (f *fifo) setCapacity(string, int)                    {}
func (f *fifo) setPeer(string, []dispatch.Load)            {}
func (f *fifo) vector() []dispatch.Load                    { return nil }
func (f *fifo) running(team string) int                    { return f.byTeam[team] }
func (f *fifo) started(r *dispatch.Request)                { f.byTeam[r.Team]++ }
func (f *fifo) ended(r *dispatch.Request, _ time.Duration) { f.byTeam[r.Team]-- }

func (f *fifo) push(r *dispatch.Request, _ time.Time) error {
	if len(f.pools[r.Pool]) >= depth {
		return verdict.New(verdict.NotRun, verdict.CodeQueueFull, "%d requests wait", depth)
	}
	f.pools[r.Pool] = append(f.pools[r.Pool], r)
	return nil
}

func (f *fifo) next(pool string, may func(team string) bool) *dispatch.Request {
	line := f.pools[pool]
	for i, r := range line {
		if may(r.Team) {
			f.pools[pool] = append(line[:i:i], line[i+1:]...)
			return r
		}
	}
	return nil
}

func (f *fifo) unpop(r *dispatch.Request) {
	f.pools[r.Pool] = append([]*dispatch.Request{r}, f.pools[r.Pool]...)
}

func (f *fifo) expire(now time.Time) (expired []*dispatch.Request) {
	for pool, line := range f.pools {
		var kept []*dispatch.Request
		for _, r := range line {
			if r.StartBy.Before(now) {
				expired = append(expired, r)
			} else {
				kept = append(kept, r)
			}
		}
		f.pools[pool] = kept
	}
	return expired
}
