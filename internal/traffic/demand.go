package traffic

import (
	"cmp"
	"slices"
	"time"

	"github.com/beryltide/beryltide/internal/peer"
	"github.com/beryltide/beryltide/internal/planner"
	"github.com/beryltide/beryltide/internal/record"
)

// meanWeight is the weight of a new run time in a queue's mean.
const meanWeight = 0.05

// demand counts the work that arrives for each pool, at this daemon and at
// peers. It is not safe for concurrent use.
type demand struct {
	// means are the mean run times by queue.
	means map[string]time.Duration
	own   map[string]*peer.PoolDemand
	// peers are the latest counts of each peer, by pool.
	peers map[record.MemberID]map[string]peer.PoolDemand
	// untaken is the work that arrived since the last take.
	untaken map[string]planner.Demand
}

func newDemand() *demand {
	return &demand{
		means:   map[string]time.Duration{},
		own:     map[string]*peer.PoolDemand{},
		peers:   map[record.MemberID]map[string]peer.PoolDemand{},
		untaken: map[string]planner.Demand{},
	}
}

// recordArrival counts a request. Its work is the mean run time of its queue,
// or the declared run time until a task of the queue has run.
func (d *demand) recordArrival(queue, pool string, declared time.Duration) {
	work, ok := d.means[queue]
	if !ok {
		work = declared
	}
	total, ok := d.own[pool]
	if !ok {
		total = &peer.PoolDemand{Pool: pool}
		d.own[pool] = total
	}
	total.Requests++
	total.Work += work.Milliseconds()
	d.add(pool, 1, work.Milliseconds())
}

// recordRunTime updates the mean run time of a queue.
func (d *demand) recordRunTime(queue string, runTime time.Duration) {
	if runTime <= 0 {
		return
	}
	mean, ok := d.means[queue]
	if !ok {
		d.means[queue] = runTime
		return
	}
	d.means[queue] = mean + time.Duration(meanWeight*float64(runTime-mean))
}

func (d *demand) add(pool string, requests, workMS int64) {
	sum := d.untaken[pool]
	sum.Requests += float64(requests)
	sum.Work += float64(workMS) / 1000
	d.untaken[pool] = sum
}

// totals returns this daemon's counts, sorted by pool.
func (d *demand) totals() []peer.PoolDemand {
	out := make([]peer.PoolDemand, 0, len(d.own))
	for _, total := range d.own {
		out = append(out, *total)
	}
	slices.SortFunc(out, func(a, b peer.PoolDemand) int { return cmp.Compare(a.Pool, b.Pool) })
	return out
}

// setPeer counts the work that arrived at a peer since its previous counts. The
// first counts of a peer add nothing, since it isn't known when that work
// arrived.
func (d *demand) setPeer(id record.MemberID, pools []peer.PoolDemand) {
	before, known := d.peers[id]
	after := make(map[string]peer.PoolDemand, len(pools))
	for _, p := range pools {
		after[p.Pool] = p
		if known {
			b := before[p.Pool]
			d.add(p.Pool, max(0, p.Requests-b.Requests), max(0, p.Work-b.Work))
		}
	}
	d.peers[id] = after
}

func (d *demand) removePeer(id record.MemberID) { delete(d.peers, id) }

// take returns the work that arrived since the last call.
func (d *demand) take() map[string]planner.Demand {
	taken := d.untaken
	d.untaken = map[string]planner.Demand{}
	return taken
}

// Demand returns the work that has arrived in the fleet since the last call, as
// far as peers have reported it.
func (b *Broker) Demand() map[string]planner.Demand {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.demand.take()
}

// Ejected returns the instances that get no work because of their health.
func (b *Broker) Ejected(now time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var names []string
	for _, p := range b.pools {
		names = append(names, p.ejected(now)...)
	}
	return names
}
