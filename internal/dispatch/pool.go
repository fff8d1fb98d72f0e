package dispatch

import (
	"math/rand/v2"
)

// Admission is how much work an instance may get.
type Admission uint8

const (
	// Closed instances get no work: they drain, leave or are ejected, or their
	// data centre is out of service.
	Closed Admission = iota
	// Probation instances get one request at a time.
	Probation
	// Open instances get work up to their slots.
	Open
)

// Instance is the description of an instance that placement needs.
type Instance struct {
	Name       string
	DataCentre string
	Rack       string
	Slots      int
	// Connections bounds the connections of this daemon to the instance.
	Connections int
	Admission   Admission
}

// Pool holds the instances of one pool with their load, as one daemon sees
// them.
type Pool struct {
	localDC   string
	index     map[string]int
	instances []poolInstance
	racks     map[string]*Cost
	// free are the indices of the instances that can take a request; localFree
	// are those of them in the local data centre.
	free, localFree indexSet
}

// poolInstance is an instance with its load.
type poolInstance struct {
	Instance
	ownRunning   int
	peersRunning int
	// load is the cost of all requests that run on the instance; peersLoad is
	// the part of other daemons.
	load, peersLoad Cost
	// rack is the cost of all requests that run in the instance's rack.
	rack *Cost
}

// NewPool returns an empty pool for a daemon in the data centre localDC.
func NewPool(localDC string) *Pool {
	return &Pool{localDC: localDC, index: map[string]int{}, racks: map[string]*Cost{}}
}

// Put adds an instance or replaces its description. Its load is kept.
func (p *Pool) Put(inst Instance) {
	i, ok := p.index[inst.Name]
	if !ok {
		i = len(p.instances)
		p.index[inst.Name] = i
		p.instances = append(p.instances, poolInstance{})
		p.free.grow(len(p.instances))
		p.localFree.grow(len(p.instances))
	}
	rack := p.rackOf(inst.DataCentre, inst.Rack)
	pi := &p.instances[i]
	if pi.rack != nil {
		*pi.rack -= pi.load
	}
	*rack += pi.load
	pi.Instance = inst
	pi.rack = rack
	p.updateFree(i)
}

// Remove removes an instance.
func (p *Pool) Remove(name string) {
	i, ok := p.index[name]
	if !ok {
		return
	}
	*p.instances[i].rack -= p.instances[i].load
	last := len(p.instances) - 1
	p.free.remove(i)
	p.localFree.remove(i)
	p.free.remove(last)
	p.localFree.remove(last)
	p.instances[i] = p.instances[last]
	p.instances = p.instances[:last]
	delete(p.index, name)
	if i != last {
		p.index[p.instances[i].Name] = i
		p.updateFree(i)
	}
}

// Admit sets an instance's admission.
func (p *Pool) Admit(name string, a Admission) {
	if i, ok := p.index[name]; ok {
		p.instances[i].Admission = a
		p.updateFree(i)
	}
}

// Started counts a request that this daemon has started on an instance.
func (p *Pool) Started(name string, cost Cost) { p.addRunning(name, 1, cost) }

// Ended counts the end of a request that this daemon started on an instance.
func (p *Pool) Ended(name string, cost Cost) { p.addRunning(name, -1, -cost) }

// SetPeerLoad replaces the number and the total cost of the requests that other
// daemons run on an instance.
func (p *Pool) SetPeerLoad(name string, running int, cost Cost) {
	i, ok := p.index[name]
	if !ok {
		return
	}
	pi := &p.instances[i]
	*pi.rack += cost - pi.peersLoad
	pi.load += cost - pi.peersLoad
	pi.peersLoad = cost
	pi.peersRunning = running
	p.updateFree(i)
}

// Free returns the number of instances that can take a request.
func (p *Pool) Free() int { return len(p.free.members) }

// Place chooses an instance for one more request: the better of two drawn at
// random, one of them from the local data centre if it has a free one. It
// returns false when no instance can take a request.
func (p *Pool) Place(rng *rand.Rand) (string, bool) {
	if len(p.free.members) == 0 {
		return "", false
	}
	first := p.free.members[rng.IntN(len(p.free.members))]
	candidates := p.localFree.members
	if len(candidates) == 0 {
		candidates = p.free.members
	}
	second := candidates[rng.IntN(len(candidates))]
	return p.instances[p.betterOf(first, second)].Name, true
}

// betterOf prefers the instance with the lower load per slot, then the one in
// the local data centre, then the one whose rack runs less.
func (p *Pool) betterOf(i, j int) int {
	a, b := &p.instances[i], &p.instances[j]
	// Cross-multiplied to compare loads per slot without division.
	left, right := a.load*Cost(b.Slots), b.load*Cost(a.Slots)
	if left != right {
		return either(left < right, i, j)
	}
	if aLocal, bLocal := a.DataCentre == p.localDC, b.DataCentre == p.localDC; aLocal != bLocal {
		return either(aLocal, i, j)
	}
	return either(*a.rack <= *b.rack, i, j)
}

func either(first bool, i, j int) int {
	if first {
		return i
	}
	return j
}

func (p *Pool) addRunning(name string, n int, cost Cost) {
	i, ok := p.index[name]
	if !ok {
		return
	}
	p.instances[i].ownRunning += n
	p.instances[i].load += cost
	*p.instances[i].rack += cost
	p.updateFree(i)
}

func (p *Pool) updateFree(i int) {
	pi := &p.instances[i]
	free := pi.hasCapacity()
	p.free.set(i, free)
	p.localFree.set(i, free && pi.DataCentre == p.localDC)
}

func (pi *poolInstance) hasCapacity() bool {
	switch pi.Admission {
	case Open:
		return pi.ownRunning+pi.peersRunning < pi.Slots && pi.load < Cost(pi.Slots)*Slot && pi.ownRunning < pi.Connections
	case Probation:
		return pi.ownRunning+pi.peersRunning == 0
	default:
		return false
	}
}

func (p *Pool) rackOf(dataCentre, rack string) *Cost {
	key := dataCentre + "/" + rack
	n, ok := p.racks[key]
	if !ok {
		n = new(Cost)
		p.racks[key] = n
	}
	return n
}
