package dispatch

import (
	"container/heap"
	"math"
	"time"

	"github.com/beryltide/beryltide/internal/verdict"
)

// Queue holds one daemon's waiting requests of all teams and pools, and the
// loads that decide which goes next.
type Queue struct {
	teams *teams
	pools map[string]*poolQueue
	// ordered are the lanes in the order of their first use.
	ordered   []*poolQueue
	deadlines deadlines
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

// SetTeams puts the shares of a configuration in force. slots is the number
// of slots of the whole fleet.
func (q *Queue) SetTeams(shares map[string]float64, slots int) {
	q.teams.setShares(shares, slots)
}

// SetCapacity tells how many slots the instances of a pool have that take
// work.
func (q *Queue) SetCapacity(pool string, slots int) {
	q.poolQueueOf(pool).capacity = slots
}

// SetPeer replaces the loads of a peer. A nil vector forgets the peer.
func (q *Queue) SetPeer(peer string, vector []Load) {
	q.teams.setPeer(peer, vector)
	for _, p := range q.ordered {
		p.allocationValid = false
		delete(p.peers, peer)
	}
	for _, l := range vector {
		p := q.poolQueueOf(l.Pool)
		p.peers[peer] = append(p.peers[peer], l)
	}
}

// Push adds a request, with at most depth requests of its Queue waiting here.
// The error is a *verdict.Error: CodeQueueFull, or CodeDeadline when the
// request can't start by its StartBy. Both are NotRun.
func (q *Queue) Push(r *Request, depth int, now time.Time) error {
	if q.depth[r.Queue] >= depth {
		return verdict.New(verdict.NotRun, verdict.CodeQueueFull, "%d requests wait in queue %s", depth, r.Queue)
	}
	l := q.poolQueueOf(r.Pool).teamQueueOf(q.teams.indexOf(r.Team))
	wait := q.estimates.wait(l, r)
	if now.Add(wait).After(r.StartBy) {
		return verdict.New(verdict.NotRun, verdict.CodeDeadline, "no start within %s; the wait is about %s",
			r.StartBy.Sub(now).Round(time.Millisecond), wait.Round(time.Millisecond))
	}
	q.link(l, r, (*list).push)
	return nil
}

// Pop removes and returns the request that goes next in a pool, nil when none
// may. may is asked whether a team may start one more request. It is called
// for each team that goes before those seen so far: the last team for which
// it returned true is that of the request.
//
// While a pool is asked for more than it has, Pop leaves slots to peers whose
// part of it is larger.
//
// The caller reports the start by Started, or puts the request back by
// Unpop when no instance could be found.
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

// choose returns the line that goes next: first those with urgent work within
// their rights, then the least running over share.
func (q *Queue) choose(p *poolQueue, mayStart func(team string) bool) *teamQueue {
	var best *teamQueue
	bestRank := math.Inf(1)
	t := q.teams
	for i := range p.active {
		e := &p.active[i]
		rank := t.ratio[e.team]
		if e.urgent && t.urgentWithinShare(e.team) {
			// Below every other rank, and still in the order of the ratios.
			rank = -1 / (1 + rank)
		}
		if rank < bestRank && mayStart(t.names[e.team]) {
			best, bestRank = e.teamQueue, rank
		}
	}
	return best
}

// Unpop puts a popped request back at the head of its line.
func (q *Queue) Unpop(r *Request) {
	l := q.poolQueueOf(r.Pool).teamQueueOf(q.teams.indexOf(r.Team))
	q.link(l, r, (*list).pushFront)
}

// Remove takes a waiting request out, as when its caller has gone. It returns
// false for a request that doesn't wait.
func (q *Queue) Remove(r *Request) bool {
	if r.teamQueue == nil {
		return false
	}
	q.unlink(r)
	return true
}

// Expire removes and returns the requests whose StartBy has passed. They
// haven't run.
func (q *Queue) Expire(now time.Time) []*Request {
	var expired []*Request
	for len(q.deadlines) > 0 && q.deadlines[0].StartBy.Before(now) {
		r := q.deadlines[0]
		q.unlink(r)
		expired = append(expired, r)
	}
	return expired
}

// Started counts a request as running. Its Cost stays as it is until Ended.
func (q *Queue) Started(r *Request) {
	i := q.teams.indexOf(r.Team)
	q.teams.add(i, 1, r)
	q.poolQueueOf(r.Pool).teamQueueOf(i).addRunning(1, r)
}

// Ended counts a request as no longer running, whatever its result. ran is
// how long it took, zero when it didn't run to its end.
func (q *Queue) Ended(r *Request, ran time.Duration) {
	i := q.teams.indexOf(r.Team)
	q.teams.add(i, -1, r)
	q.poolQueueOf(r.Pool).teamQueueOf(i).addRunning(-1, r)
	q.estimates.observe(r.Queue, ran)
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.deadlines) }

// Vector returns this daemon's loads, for its peers.
func (q *Queue) Vector() []Load {
	vector := make([]Load, 0, len(q.pools))
	for _, p := range q.ordered {
		for _, l := range p.ordered {
			if l.running == 0 && l.waiting() == 0 {
				continue
			}
			vector = append(vector, Load{
				Pool:          p.pool,
				Team:          q.teams.names[l.team],
				Running:       l.running,
				UrgentRunning: l.urgentRunning,
				Cost:          l.runningCost,
				Waiting:       l.waiting(),
				UrgentWaiting: l.urgent.length,
			})
		}
	}
	return vector
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

func (q *Queue) link(l *teamQueue, r *Request, add func(*list, *Request)) {
	l.link(r, add)
	heap.Push(&q.deadlines, r)
	q.depth[r.Queue]++
}

func (q *Queue) unlink(r *Request) {
	r.teamQueue.unlink(r)
	heap.Remove(&q.deadlines, r.heapIndex)
	q.depth[r.Queue]--
}
