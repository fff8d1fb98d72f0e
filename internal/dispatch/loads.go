package dispatch

// Load is what one daemon runs and holds waiting of one team in one pool.
// Daemons exchange vectors of them a few times a second.
type Load struct {
	Pool string
	Team string
	// Running includes UrgentRunning.
	Running       int
	UrgentRunning int
	// Cost is that of the running requests.
	Cost          Cost
	Waiting       int
	UrgentWaiting int
}

// minShare stands in for the share of teams that have none, so that their
// work isn't starved while the fleet has room.
const minShare = 1e-6

// teams keeps the fleet-wide load of each team against its share.
type teams struct {
	index  map[string]int
	names  []string
	shares []float64
	// own and peers are the costs of running requests, here and elsewhere.
	own, peers []Cost
	// ownUrgent and peersUrgent count the urgent ones among them.
	ownUrgent, peersUrgent []int
	// ratio is the running cost over the share.
	ratio []float64
	// rights is the number of slots that the team's share entitles it to.
	entitledSlots []float64
	capacity      int
	peerLoads     map[string][]Load
}

func newTeams() *teams {
	return &teams{index: map[string]int{}, peerLoads: map[string][]Load{}}
}

// indexOf returns the team's index; a team seen for the first time gets one.
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

// setPeer replaces a peer's vector; nil forgets the peer.
func (t *teams) setPeer(peer string, vector []Load) {
	for _, l := range t.peerLoads[peer] {
		t.addPeerLoad(l, -1)
	}
	delete(t.peerLoads, peer)
	if vector == nil {
		return
	}
	t.peerLoads[peer] = vector
	for _, l := range vector {
		t.addPeerLoad(l, 1)
	}
}

func (t *teams) addPeerLoad(l Load, sign int) {
	i := t.indexOf(l.Team)
	t.peers[i] += Cost(sign) * l.Cost
	t.peersUrgent[i] += sign * l.UrgentRunning
	t.refresh(i)
}

// urgentWithinRights tells whether one more urgent request of the team may go
// ahead of the order by shares: the team's urgent work alone stays within
// what its share entitles it to.
func (t *teams) urgentWithinShare(i int) bool {
	return float64(t.ownUrgent[i]+t.peersUrgent[i]) < t.entitledSlots[i]
}
