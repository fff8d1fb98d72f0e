package main

import (
	"time"

	"github.com/beryltide/beryltide/internal/dispatch"
	"github.com/beryltide/beryltide/internal/verdict"
)

// requestQueue holds a daemon's waiting requests and determines their order.
type requestQueue interface {
	setTeams(shares map[string]float64, slots int)
	setCapacity(pool string, slots int)
	setPeerLoads(peer string, vector []dispatch.Load)
	push(r *dispatch.Request, now time.Time) error
	pop(pool string, may func(team string) bool) *dispatch.Request
	requeue(r *dispatch.Request)
	started(r *dispatch.Request)
	ended(r *dispatch.Request, run time.Duration)
	expire(now time.Time) []*dispatch.Request
	loads() []dispatch.Load
	running(team string) int
}

// maxDepth is the number of requests that may wait in one queue of one daemon.
// The fifoQueue applies it to each pool.
const maxDepth = 400

func newRequestQueue(sim *simulation) requestQueue {
	if sim.policy == static {
		return &fifoQueue{pools: map[string][]*dispatch.Request{}, runningByTeam: map[string]int{}}
	}
	return &fairQueue{Queue: dispatch.NewQueue()}
}

// fairQueue is the queue of package dispatch, which orders requests by the
// teams' shares.
type fairQueue struct{ *dispatch.Queue }

func (s *fairQueue) setTeams(shares map[string]float64, slots int) { s.SetTeams(shares, slots) }

func (s *fairQueue) setCapacity(pool string, slots int) { s.SetCapacity(pool, slots) }

func (s *fairQueue) setPeerLoads(peer string, loads []dispatch.Load) { s.SetPeerLoads(peer, loads) }

func (s *fairQueue) push(r *dispatch.Request, now time.Time) error { return s.Push(r, maxDepth, now) }

func (s *fairQueue) pop(pool string, mayStart func(string) bool) *dispatch.Request {
	return s.Pop(pool, mayStart)
}
func (s *fairQueue) requeue(r *dispatch.Request)                  { s.Requeue(r) }
func (s *fairQueue) started(r *dispatch.Request)                  { s.Started(r) }
func (s *fairQueue) ended(r *dispatch.Request, run time.Duration) { s.Ended(r, run) }
func (s *fairQueue) expire(now time.Time) []*dispatch.Request     { return s.Expire(now) }
func (s *fairQueue) loads() []dispatch.Load                       { return s.Loads() }
func (s *fairQueue) running(string) int                           { return 0 }

// fifoQueue is the baseline: each pool's requests in the order of arrival,
// skipping teams that may not start one.
type fifoQueue struct {
	pools         map[string][]*dispatch.Request
	runningByTeam map[string]int
}

func (f *fifoQueue) setTeams(map[string]float64, int)           {}
func (f *fifoQueue) setCapacity(string, int)                    {}
func (f *fifoQueue) setPeerLoads(string, []dispatch.Load)       {}
func (f *fifoQueue) loads() []dispatch.Load                     { return nil }
func (f *fifoQueue) running(team string) int                    { return f.runningByTeam[team] }
func (f *fifoQueue) started(r *dispatch.Request)                { f.runningByTeam[r.Team]++ }
func (f *fifoQueue) ended(r *dispatch.Request, _ time.Duration) { f.runningByTeam[r.Team]-- }

func (f *fifoQueue) push(r *dispatch.Request, _ time.Time) error {
	if len(f.pools[r.Pool]) >= maxDepth {
		return verdict.New(verdict.NotRun, verdict.CodeQueueFull, "%d requests wait", maxDepth)
	}
	f.pools[r.Pool] = append(f.pools[r.Pool], r)
	return nil
}

func (f *fifoQueue) pop(pool string, mayStart func(team string) bool) *dispatch.Request {
	waiting := f.pools[pool]
	for i, r := range waiting {
		if mayStart(r.Team) {
			f.pools[pool] = append(waiting[:i:i], waiting[i+1:]...)
			return r
		}
	}
	return nil
}

func (f *fifoQueue) requeue(r *dispatch.Request) {
	f.pools[r.Pool] = append([]*dispatch.Request{r}, f.pools[r.Pool]...)
}

func (f *fifoQueue) expire(now time.Time) (expired []*dispatch.Request) {
	for pool, waiting := range f.pools {
		var kept []*dispatch.Request
		for _, r := range waiting {
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
