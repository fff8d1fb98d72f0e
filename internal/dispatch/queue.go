package dispatch

import (
	"container/heap"
	"math"
	"time"

	"github.com/beryltide/beryltide/internal/verdict"
)

// Queue holds one daemon's waiting requests of all teams and pools, and the
// loads that determine their order.
type Queue struct {
	teams *teams
	pools map[string]*poolQueue
	// ordered are the pools in the order of their first use.
	ordered   []*poolQueue
	deadlines deadlines
	// depth counts the waiting requests by Request.Queue.
	depth     map[string]int
	estimates *estimates
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{
		teams:     newTeams(),
		pools:     map[string]*poolQueue{},
		depth:     map[string]int{},
		estimates: newEstimates(),
	}
}

// SetTeams applies the shares of a configuration. slots is the number of slots
// of the whole fleet.
func (q *Queue) SetTeams(shares map[string]float64, slots int) {
	q.teams.setShares(shares, slots)
}

// SetCapacity sets the number of slots at the instances of a pool that accept
// work.
func (q *Queue) SetCapacity(pool string, slots int) {
	q.poolQueueOf(pool).capacity = slots
}

// SetPeerLoads replaces the loads of a peer; nil removes the peer.
func (q *Queue) SetPeerLoads(peer string, loads []Load) {
	q.teams.setPeerLoads(peer, loads)
	for _, p := range q.ordered {
		p.allocationValid = false
		delete(p.peers, peer)
	}
	for _, l := range loads {
		p := q.poolQueueOf(l.Pool)
		p.peers[peer] = append(p.peers[peer], l)
	}
}

// Push adds a request unless depth requests of its Queue wait already. The
// error is a *verdict.Error: CodeQueueFull, or CodeDeadline when the request
// isn't expected to start by its StartBy. Both are NotRun.
func (q *Queue) Push(r *Request, depth int, now time.Time) error {
	if q.depth[r.Queue] >= depth {
		return verdict.New(verdict.NotRun, verdict.CodeQueueFull, "%d requests wait in queue %s", depth, r.Queue)
	}
	tq := q.poolQueueOf(r.Pool).teamQueueOf(q.teams.indexOf(r.Team))
	wait := q.estimates.wait(tq, r)
	if now.Add(wait).After(r.StartBy) {
		return verdict.New(verdict.NotRun, verdict.CodeDeadline, "can't start within %s; the estimated wait is %s",
			r.StartBy.Sub(now).Round(time.Millisecond), wait.Round(time.Millisecond))
	}
	q.link(tq, r, (*list).push)
	return nil
}

// Pop removes and returns the next request of a pool, or nil when none may
// start. mayStart reports whether a team may start one more request. Pop calls
// it for each team that precedes the best one found so far, so the request
// belongs to the last team for which it returned true.
//
// While demand for a pool exceeds its capacity, Pop leaves slots to peers with
// a larger allocation.
//
// The caller reports the start by Started, or returns the request by Requeue
// when no instance was found.
func (q *Queue) Pop(pool string, mayStart func(team string) bool) *Request {
	p, ok := q.pools[pool]
	if !ok {
		return nil
	}
	if float64(p.running) >= q.limit(p) {
		return nil
	}
	best := q.choose(p, mayStart)
	if best == nil {
		return nil
	}
	r := best.normal.first
	if best.urgent.length > 0 {
		r = best.urgent.first
	}
	q.unlink(r)
	return r
}

// choose returns the queue of the team that goes next: teams with urgent work
// within their share come first, then the lowest ratio of running work to
// share.
func (q *Queue) choose(p *poolQueue, mayStart func(team string) bool) *teamQueue {
	var best *teamQueue
	bestRank := math.Inf(1)
	t := q.teams
	for i := range p.active {
		c := &p.active[i]
		rank := t.ratio[c.team]
		if c.urgent && t.urgentWithinShare(c.team) {
			// Sorts before every other rank and keeps the order of the ratios.
			rank = -1 / (1 + rank)
		}
		if rank < bestRank && mayStart(t.names[c.team]) {
			best, bestRank = c.teamQueue, rank
		}
	}
	return best
}

// Requeue returns a popped request to the head of its team's queue.
func (q *Queue) Requeue(r *Request) {
	tq := q.poolQueueOf(r.Pool).teamQueueOf(q.teams.indexOf(r.Team))
	q.link(tq, r, (*list).pushFront)
}

// Remove removes a waiting request, for example when its caller has
// disconnected. It returns false for a request that isn't waiting.
func (q *Queue) Remove(r *Request) bool {
	if r.teamQueue == nil {
		return false
	}
	q.unlink(r)
	return true
}

// Expire removes and returns the requests whose StartBy has passed. They have
// not run.
func (q *Queue) Expire(now time.Time) []*Request {
	var expired []*Request
	for len(q.deadlines) > 0 && q.deadlines[0].StartBy.Before(now) {
		r := q.deadlines[0]
		q.unlink(r)
		expired = append(expired, r)
	}
	return expired
}

// Started counts a request as running. Its Cost must not change until Ended.
func (q *Queue) Started(r *Request) {
	i := q.teams.indexOf(r.Team)
	q.teams.add(i, 1, r)
	q.poolQueueOf(r.Pool).teamQueueOf(i).addRunning(1, r)
}

// Ended counts a request as no longer running, whatever its result. ran is its
// run time, or zero when it did not run to completion.
func (q *Queue) Ended(r *Request, ran time.Duration) {
	i := q.teams.indexOf(r.Team)
	q.teams.add(i, -1, r)
	q.poolQueueOf(r.Pool).teamQueueOf(i).addRunning(-1, r)
	q.estimates.observe(r.Queue, ran)
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.deadlines) }

// Loads returns this daemon's loads, to be sent to its peers.
func (q *Queue) Loads() []Load {
	loads := make([]Load, 0, len(q.pools))
	for _, p := range q.ordered {
		for _, tq := range p.ordered {
			if tq.running == 0 && tq.waiting() == 0 {
				continue
			}
			loads = append(loads, Load{
				Pool:          p.pool,
				Team:          q.teams.names[tq.team],
				Running:       tq.running,
				UrgentRunning: tq.urgentRunning,
				Cost:          tq.runningCost,
				Waiting:       tq.waiting(),
				UrgentWaiting: tq.urgent.length,
			})
		}
	}
	return loads
}

func (q *Queue) poolQueueOf(pool string) *poolQueue {
	p, ok := q.pools[pool]
	if !ok {
		p = &poolQueue{pool: pool, byTeam: map[int]*teamQueue{}, peers: map[string][]Load{}, allocation: math.Inf(1)}
		q.pools[pool] = p
		q.ordered = append(q.ordered, p)
	}
	return p
}

func (q *Queue) link(tq *teamQueue, r *Request, add func(*list, *Request)) {
	tq.link(r, add)
	heap.Push(&q.deadlines, r)
	q.depth[r.Queue]++
}

func (q *Queue) unlink(r *Request) {
	r.teamQueue.unlink(r)
	heap.Remove(&q.deadlines, r.heapIndex)
	q.depth[r.Queue]--
}
