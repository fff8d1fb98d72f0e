// Package ownership tells which units this daemon owns, by its membership in a
// group of the platform's store, and which daemon owns the others.
//
// Each tenure has an epoch of its own. It fences all earlier tenures of the
// unit, at the store and at the instances.
package ownership

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/beryltide/beryltide/internal/bootclock"
	"github.com/beryltide/beryltide/internal/store"
)

const (
	// Group is the group whose members own units.
	Group = "owners"
	// ttl is how long the store keeps a silent member: half above the shortest
	// that the platform allows, so that a lost join doesn't cost the membership.
	ttl = 1500 * time.Millisecond
	// joinInterval leaves room for four joins within the ttl.
	joinInterval = 300 * time.Millisecond
	// Grace is how long a tenure is trusted after the last confirmed join was
	// sent. A successor waits this long before it takes leases for ended.
	Grace = 3 * time.Second
	// SoleGrace is for how long after its last confirmed join was sent an owner is
	// surely the only one: the store doesn't give its units away within the ttl,
	// and what it has sent by then has half a second to arrive.
	SoleGrace = time.Second
	// epochsPerGeneration tells apart the tenures that one generation may bring.
	epochsPerGeneration = 64
	// ownersMaxAge bounds how old the list of owners is.
	ownersMaxAge = time.Second
	// ownersMinAge bounds how often a failed call may ask for it again.
	ownersMinAge = 200 * time.Millisecond
	// maxProbedOwners is how many stronger owners a weaker daemon asks whether they
	// live; one that does lets it stay out.
	maxProbedOwners = 3
	// probeTimeout bounds the questions, well within the interval of joins.
	probeTimeout = 250 * time.Millisecond
	// strongerFactor is by what factor a daemon must be stronger for that.
	strongerFactor = 1.5
	// electionInterval is how often a daemon looks whether it is needed.
	electionInterval = 1500 * time.Millisecond
	// nameSeparator parts a member's address from its incarnation.
	nameSeparator = "#"
)

// Topic is the topic whose partitions are the units.
const Topic = "keyed.jobs"

// Tenure is the time for which this daemon owns a unit.
type Tenure struct {
	Unit  int
	Epoch int64
}

// Member is this daemon's membership.
type Member struct {
	log    *store.Watched
	name   string
	clock  bootclock.Clock
	logger *zap.Logger

	strength float64
	// alive says whether the owner at an address answers. The store may go on
	// listing owners that are gone.
	alive func(ctx context.Context, address string) bool
	// standby says that stronger members make this daemon needless.
	standby   bool
	electedAt time.Duration

	mu             sync.Mutex
	generation     int64
	held           map[int]int64
	reacquisitions int64
	confirmed      time.Duration
	joined         bool

	ownersMu sync.Mutex
	owners   map[int]string
	ownersAt time.Duration
	// stronger are the addresses of owners that are stronger than this daemon.
	stronger     []string
	ownersLoaded bool
}

// New returns a member that peers reach at an address. The incarnation tells
// its name apart from that of an earlier process there. Strength is its share of
// a processor: weak daemons own units only while no strong one does that answers.
func New(log *store.Watched, address, incarnation string, strength float64, alive func(context.Context, string) bool, clock bootclock.Clock, logger *zap.Logger) *Member {
	name := strings.Join([]string{address, incarnation, strconv.FormatFloat(strength, 'g', 4, 64)}, nameSeparator)
	return &Member{
		log: log, name: name, strength: strength, alive: alive, clock: clock, logger: logger,
		held: map[int]int64{}, owners: map[int]string{}, ownersAt: -ownersMaxAge,
	}
}

// Run keeps the membership until the context ends, and reports each change.
func (m *Member) Run(ctx context.Context, changed func([]Tenure)) {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	m.electedAt = -electionInterval
	for {
		if m.elect(ctx) {
			changed(nil)
		}
		if !m.standby && m.join(ctx) {
			changed(m.Tenures())
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// elect decides whether this daemon should own units. A weak one waits at its
// start for stronger ones to show themselves. It says whether the daemon left.
func (m *Member) elect(ctx context.Context) bool {
	now := m.clock()
	if now-m.electedAt < electionInterval {
		return false
	}
	m.electedAt = now
	m.ownersMu.Lock()
	m.refreshOwners(ctx)
	stronger, known := m.stronger, m.ownersLoaded
	m.ownersMu.Unlock()
	if !known {
		return false
	}
	standby := m.anyAlive(ctx, stronger)
	if standby == m.standby {
		return false
	}
	m.standby = standby
	m.logger.Info("ownership.elected", zap.Bool("joins", !standby), zap.Int("stronger", len(stronger)), zap.Float64("strength", m.strength))
	if !standby || !m.isJoined() {
		return false
	}
	if err := m.Leave(ctx); err != nil {
		m.logger.Warn("ownership.leave_failed", zap.Error(err))
	}
	return true
}

// anyAlive says whether one of some owners answers, asked at random.
func (m *Member) anyAlive(ctx context.Context, owners []string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	probes := min(len(owners), maxProbedOwners)
	answers := make(chan bool, probes)
	for _, n := range rand.Perm(len(owners))[:probes] {
		go func() { answers <- m.alive(ctx, owners[n]) }()
	}
	for range probes {
		select {
		case alive := <-answers:
			if alive {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

func (m *Member) isJoined() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.joined
}

// join renews the membership and says whether the tenures changed.
func (m *Member) join(ctx context.Context) bool {
	sent := m.clock()
	m.mu.Lock()
	generation := m.generation
	m.mu.Unlock()
	membership, err := m.log.Join(ctx, store.Join{Group: Group, Member: m.name, Topics: []string{Topic}, TTL: ttl, Generation: generation})
	if err != nil {
		m.logger.Warn("ownership.join_failed", zap.Int64("generation", generation), zap.Duration("since_confirmed", sent-m.confirmedAt()), zap.Error(err))
		return false
	}
	return m.applyMembership(membership, sent)
}

func (m *Member) applyMembership(membership store.Membership, sent time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	// Beyond its ttl another member may have held a unit in between.
	expired := m.joined && sent-m.confirmed > ttl && membership.Generation != m.generation
	if membership.Generation != m.generation {
		m.reacquisitions = 0
	}
	listed := map[int]bool{}
	changed := false
	for _, c := range membership.Claims {
		listed[c.Partition] = true
		if _, has := m.held[c.Partition]; !has || expired {
			m.held[c.Partition] = membership.Generation*epochsPerGeneration + m.reacquisitions
			changed = true
		}
	}
	for unit := range m.held {
		if !listed[unit] {
			delete(m.held, unit)
			changed = true
		}
	}
	if changed {
		m.logger.Info("ownership.changed", zap.Int64("generation", membership.Generation), zap.Int("units", len(m.held)), zap.Bool("after_lapse", expired))
	}
	m.generation, m.confirmed, m.joined = membership.Generation, sent, true
	return changed
}

func (m *Member) confirmedAt() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.confirmed
}

// Tenures returns what this daemon owns.
func (m *Member) Tenures() []Tenure {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Tenure
	for unit, epoch := range m.held {
		out = append(out, Tenure{Unit: unit, Epoch: epoch})
	}
	return out
}

// Holds says whether a tenure may still be acted on.
func (m *Member) Holds(t Tenure) bool { return m.HoldsWithin(t, Grace) }

// HoldsWithin says whether a tenure was confirmed within a time.
func (m *Member) HoldsWithin(t Tenure, within time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.joined && m.held[t.Unit] == t.Epoch && m.clock()-m.confirmed < within
}

// Forget gives up a tenure that was found fenced. If the store still deals the
// unit to this daemon, the next join begins a new tenure.
func (m *Member) Forget(t Tenure) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held[t.Unit] == t.Epoch {
		delete(m.held, t.Unit)
		m.reacquisitions = min(m.reacquisitions+1, epochsPerGeneration-1)
	}
}

// Leave hands all units back.
func (m *Member) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.held = map[int]int64{}
	m.joined = false
	m.mu.Unlock()
	return m.log.Leave(ctx, Group, m.name)
}

// Locate returns the address of a unit's owner, or "" if none is known. Refresh
// asks the store again where the answer has proved wrong.
func (m *Member) Locate(ctx context.Context, unit int, refresh bool) string {
	m.ownersMu.Lock()
	defer m.ownersMu.Unlock()
	age := m.clock() - m.ownersAt
	if age > ownersMaxAge || refresh && age > ownersMinAge {
		m.refreshOwners(ctx)
	}
	return m.owners[unit]
}

func (m *Member) refreshOwners(ctx context.Context) {
	if m.log.Away() > 0 {
		// The last list stands: whoever waits for a new one waits in vain.
		return
	}
	rows, err := m.log.Owners(ctx, Group)
	m.ownersAt = m.clock()
	if err != nil {
		m.logger.Warn("ownership.owners_unknown", zap.Error(err))
		return
	}
	owners := map[int]string{}
	stronger := map[string]bool{}
	var addresses []string
	for _, row := range rows {
		parts := strings.Split(row.Member, nameSeparator)
		owners[row.Partition] = parts[0]
		strength, err := strconv.ParseFloat(parts[len(parts)-1], 64)
		if err == nil && strength > strongerFactor*m.strength && !stronger[row.Member] {
			stronger[row.Member] = true
			addresses = append(addresses, parts[0])
		}
	}
	m.owners, m.stronger, m.ownersLoaded = owners, addresses, true
}

// Peers returns the addresses of the owners known last, without this daemon's.
func (m *Member) Peers() []string {
	m.ownersMu.Lock()
	defer m.ownersMu.Unlock()
	own, _, _ := strings.Cut(m.name, nameSeparator)
	known := map[string]bool{}
	for _, address := range m.owners {
		known[address] = address != "" && address != own
	}
	var peers []string
	for address, other := range known {
		if other {
			peers = append(peers, address)
		}
	}
	return peers
}

// Name returns the member's name.
func (m *Member) Name() string { return m.name }
