package dispatch

// teamQueue holds the waiting requests of one team for one pool in order of
// arrival, the urgent ones separately.
type teamQueue struct {
	pool   *poolQueue
	team   int
	urgent list
	normal list
	// position is the index in the pool's active candidates.
	position int
	// running counts this daemon's running requests of the team in the pool;
	// urgentRunning counts the urgent ones among them.
	running       int
	urgentRunning int
	runningCost   Cost
}

func (tq *teamQueue) waiting() int { return tq.urgent.length + tq.normal.length }

func (tq *teamQueue) addRunning(change int, r *Request) {
	tq.running += change
	tq.pool.running += change
	tq.runningCost += Cost(change) * r.cost()
	if r.Urgent {
		tq.urgentRunning += change
	}
}

// link adds a request to its list by add, which is a method of list.
func (tq *teamQueue) link(r *Request, add func(*list, *Request)) {
	if tq.waiting() == 0 {
		tq.pool.activate(tq)
	}
	add(tq.listOf(r), r)
	r.teamQueue = tq
	if r.Urgent {
		tq.pool.urgentWaiting++
	}
	tq.pool.active[tq.position].urgent = tq.urgent.length > 0
}

func (tq *teamQueue) unlink(r *Request) {
	tq.listOf(r).remove(r)
	r.teamQueue = nil
	if r.Urgent {
		tq.pool.urgentWaiting--
	}
	if tq.waiting() == 0 {
		tq.pool.deactivate(tq)
		return
	}
	tq.pool.active[tq.position].urgent = tq.urgent.length > 0
}

func (tq *teamQueue) listOf(r *Request) *list {
	if r.Urgent {
		return &tq.urgent
	}
	return &tq.normal
}

// list is a doubly linked list through the requests themselves.
type list struct {
	first, last *Request
	length      int
}

func (l *list) push(r *Request) {
	r.prev, r.next = l.last, nil
	if l.last == nil {
		l.first = r
	} else {
		l.last.next = r
	}
	l.last = r
	l.length++
}

func (l *list) pushFront(r *Request) {
	r.prev, r.next = nil, l.first
	if l.first == nil {
		l.last = r
	} else {
		l.first.prev = r
	}
	l.first = r
	l.length++
}

func (l *list) remove(r *Request) {
	if r.prev == nil {
		l.first = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		l.last = r.prev
	} else {
		r.next.prev = r.prev
	}
	r.prev, r.next = nil, nil
	l.length--
}

// poolQueue holds the waiting requests of one pool.
type poolQueue struct {
	pool string
	// byTeam holds the queues of all teams seen, by team index; ordered holds
	// them in the order of their first requests.
	byTeam  map[int]*teamQueue
	ordered []*teamQueue
	// capacity is the number of slots of the pool, zero when unknown.
	capacity int
	// running counts this daemon's running requests in the pool.
	running int
	// urgentWaiting counts the urgent requests that wait at this daemon.
	urgentWaiting int
	// peers are the loads of other daemons in the pool, by daemon.
	peers map[string][]Load
	// allocation is the number of slots that this daemon may use while demand
	// exceeds the capacity, infinite otherwise. allocationValid is unset when
	// loads of peers have changed since it was computed.
	allocation      float64
	allocationValid bool
	// urgentFraction is the number of urgent requests waiting at all daemons,
	// as a fraction of the capacity.
	urgentFraction float64
	// active are the teams with waiting requests, in no order.
	active []candidate
}

// candidate holds the fields of a team that Pop reads to choose the next one.
// Candidates are kept in one slice so that a scan of all teams stays within the
// processor's cache.
type candidate struct {
	teamQueue *teamQueue
	team      int
	urgent    bool
}

func (p *poolQueue) teamQueueOf(team int) *teamQueue {
	tq, ok := p.byTeam[team]
	if !ok {
		tq = &teamQueue{pool: p, team: team}
		p.byTeam[team] = tq
		p.ordered = append(p.ordered, tq)
	}
	return tq
}

func (p *poolQueue) activate(tq *teamQueue) {
	tq.position = len(p.active)
	p.active = append(p.active, candidate{teamQueue: tq, team: tq.team})
}

func (p *poolQueue) deactivate(tq *teamQueue) {
	last := len(p.active) - 1
	p.active[tq.position] = p.active[last]
	p.active[tq.position].teamQueue.position = tq.position
	p.active[last] = candidate{}
	p.active = p.active[:last]
}

// deadlines is a heap of waiting requests by StartBy, for container/heap.
type deadlines []*Request

// Len implements heap.Interface.
func (d deadlines) Len() int { return len(d) }

// Less implements heap.Interface.
func (d deadlines) Less(i, j int) bool { return d[i].StartBy.Before(d[j].StartBy) }

// Swap implements heap.Interface.
func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex = i
	d[j].heapIndex = j
}

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	r := x.(*Request)
	r.heapIndex = len(*d)
	*d = append(*d, r)
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	old := *d
	last := len(old) - 1
	r := old[last]
	old[last] = nil
	*d = old[:last]
	return r
}
