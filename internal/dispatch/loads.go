package dispatch

// Load is the running and waiting work of one team in one pool at one daemon.
// Daemons exchange their loads a few times a second.
type Load struct {
	Pool string
	Team string
	// Running includes UrgentRunning.
	Running       int
	UrgentRunning int
	// Cost is the total cost of the running requests.
	Cost          Cost
	Waiting       int
	UrgentWaiting int
}

// minShare replaces the share of teams without one, so that their work is not
// starved while the fleet has free capacity.
const minShare = 1e-6

// teams tracks the fleet-wide load of each team relative to its share. The
// slices are indexed by team index.
type teams struct {
	index  map[string]int
	names  []string
	shares []float64
	// own and peers are the costs of running requests at this daemon and at
	// others.
	own, peers []Cost
	// ownUrgent and peersUrgent count the urgent requests among them.
	ownUrgent, peersUrgent []int
	// ratio is the running cost divided by the share.
	ratio []float64
	// entitledSlots is the number of slots that correspond to the team's share.
	entitledSlots []float64
	capacity      int
	peerLoads     map[string][]Load
}

func newTeams() *teams {
	return &teams{index: map[string]int{}, peerLoads: map[string][]Load{}}
}

// indexOf returns the team's index and assigns one to a new team.
func (t *teams) indexOf(name string) int {
	i, ok := t.index[name]
	if ok {
		return i
	}
	i = len(t.names)
	t.index[name] = i
	t.names = append(t.names, name)
	t.shares = append(t.shares, minShare)
	t.own = append(t.own, 0)
	t.peers = append(t.peers, 0)
	t.ownUrgent = append(t.ownUrgent, 0)
	t.peersUrgent = append(t.peersUrgent, 0)
	t.ratio = append(t.ratio, 0)
	t.entitledSlots = append(t.entitledSlots, 1)
	return i
}

func (t *teams) setShares(shares map[string]float64, capacity int) {
	t.capacity = capacity
	for i := range t.shares {
		t.shares[i] = minShare
	}
	sum := 0.0
	for name, share := range shares {
		t.shares[t.indexOf(name)] = max(share, minShare)
		sum += max(share, minShare)
	}
	for i, share := range t.shares {
		t.entitledSlots[i] = 1
		if sum > 0 {
			t.entitledSlots[i] = max(1, share/sum*float64(capacity))
		}
		t.refresh(i)
	}
}

func (t *teams) refresh(i int) {
	t.ratio[i] = float64(t.own[i]+t.peers[i]) / t.shares[i]
}

func (t *teams) add(i, running int, r *Request) {
	t.own[i] += Cost(running) * r.cost()
	if r.Urgent {
		t.ownUrgent[i] += running
	}
	t.refresh(i)
}

// setPeerLoads replaces a peer's loads; nil removes the peer.
func (t *teams) setPeerLoads(peer string, loads []Load) {
	for _, l := range t.peerLoads[peer] {
		t.addPeerLoad(l, -1)
	}
	delete(t.peerLoads, peer)
	if loads == nil {
		return
	}
	t.peerLoads[peer] = loads
	for _, l := range loads {
		t.addPeerLoad(l, 1)
	}
}

func (t *teams) addPeerLoad(l Load, sign int) {
	i := t.indexOf(l.Team)
	t.peers[i] += Cost(sign) * l.Cost
	t.peersUrgent[i] += sign * l.UrgentRunning
	t.refresh(i)
}

// urgentWithinShare reports whether one more urgent request of the team may go
// ahead of the order by shares. It may while the team's urgent work alone stays
// within its entitled slots.
func (t *teams) urgentWithinShare(i int) bool {
	return float64(t.ownUrgent[i]+t.peersUrgent[i]) < t.entitledSlots[i]
}
