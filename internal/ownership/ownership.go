// Package ownership determines which units this daemon owns and which daemons own
// the others. It keeps the daemon's membership in a group of the platform's
// store, which assigns the units to the members.
//
// Each tenure, the time for which a daemon owns a unit, has an epoch of its own.
// The epoch fences all earlier tenures of the unit, at the store and at the
// instances.
package ownership

import (
	"context"
	"maps"
	"slices"
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
	// ttl is how long the store keeps a member that doesn't join again: half as
	// long again as the shortest that the platform allows, so that a lost join
	// doesn't cost the membership.
	ttl = 1500 * time.Millisecond
	// joinInterval allows four joins within the ttl.
	joinInterval = 300 * time.Millisecond
	// settlingInterval is the time between joins after the members have changed:
	// a unit passes on once its former owner, and then its next one, have joined
	// again.
	settlingInterval = 50 * time.Millisecond
	// settlingPeriod is how long the members take to pass units on: all join once
	// and, after them, the new owners.
	settlingPeriod = 2 * joinInterval
	// Grace is how long a tenure remains valid after the last confirmed join was
	// sent. A successor adds it to the time, counted from its takeover, after which
	// it treats leases as expired.
	Grace = 3 * time.Second
	// SoleGrace is how long after its last confirmed join was sent an owner is
	// guaranteed to be the only one: the store doesn't reassign its units within
	// the ttl, and what it has sent by then has half a second to arrive.
	SoleGrace = time.Second
	// epochsPerGeneration is the number of epochs reserved for each generation of
	// the group, for tenures that are reacquired within it.
	epochsPerGeneration = 64
	// verifyTimeout bounds the calls that ask whether units were held throughout, so that
	// the next join isn't late.
	verifyTimeout = 250 * time.Millisecond
	// ownersMaxAge is the age above which the list of owners is read again.
	ownersMaxAge = time.Second
	// ownersMinAge is the shortest time between two reads of the list that failed
	// calls request.
	ownersMinAge = 200 * time.Millisecond
	// nameSeparator separates the address, the incarnation and the strength in a
	// member's name.
	nameSeparator = "#"
)

// Topic is the topic whose partitions are the units.
const Topic = "keyed.jobs"

// Tenure is the time for which this daemon owns a unit, identified by its epoch.
type Tenure struct {
	Unit  int
	Epoch int64
}

// Member is this daemon's membership. Its methods may be called concurrently,
// except Run, which is called once.
type Member struct {
	// InUse reports whether a unit has work. A unit that has none gets a new tenure without
	// asking the store. Nil means that all units have; it may be set until Run is called.
	InUse func(unit int) bool

	log    *store.Relayed
	name   string
	clock  bootclock.Clock
	logger *zap.Logger

	strength float64
	// alive reports whether the owner at an address answers. The store may still
	// list owners that have stopped.
	alive func(ctx context.Context, address string) bool
	// standby is true while the daemon stays out of the group because a stronger
	// owner is alive, or because it doesn't know the owners yet. It belongs to Run's
	// goroutine, as do startedAt and electedAt.
	standby   bool
	startedAt time.Duration
	electedAt time.Duration
	// joinSoon requests a join before the next tick.
	joinSoon chan struct{}

	// mu protects the fields up to joined.
	mu         sync.Mutex
	generation int64
	// held is the epoch of each owned unit.
	held map[int]int64
	// verified is, by unit, the generation up to which the store has confirmed that this
	// member held the unit without a break.
	verified map[int]int64
	// reacquisitions counts the tenures given up as fenced in this generation.
	reacquisitions int64
	// confirmed is when the last confirmed join was sent, on the boot clock.
	confirmed time.Duration
	joined    bool
	// generationAt is when the generation was first seen, on the boot clock.
	generationAt time.Duration

	// ownersMu protects the fields below.
	ownersMu sync.Mutex
	// owners is the address of each unit's owner, read at ownersAt.
	owners   map[int]string
	ownersAt time.Duration
	// stronger holds the addresses of owners that are stronger than this daemon.
	stronger []string
	// ownersLoaded is true once the list has been read.
	ownersLoaded bool
}

// New returns a member whose peers reach it at the address. The incarnation
// distinguishes its name from that of an earlier process at the same address.
// Strength is its processor share: a weak daemon owns units only while no owner
// that is stronger by strongerFactor answers.
func New(log *store.Relayed, address, incarnation string, strength float64, alive func(context.Context, string) bool, clock bootclock.Clock, logger *zap.Logger) *Member {
	name := strings.Join([]string{address, incarnation, strconv.FormatFloat(strength, 'g', 4, 64)}, nameSeparator)
	return &Member{
		log: log, name: name, strength: strength, alive: alive, clock: clock, logger: logger,
		held: map[int]int64{}, verified: map[int]int64{}, owners: map[int]string{}, ownersAt: -ownersMaxAge, joinSoon: make(chan struct{}, 1),
	}
}

// Run keeps the membership until the context ends, and calls changed with the
// tenures after each change.
func (m *Member) Run(ctx context.Context, changed func([]Tenure)) {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	m.startedAt = m.clock()
	m.electedAt = m.startedAt - electionInterval
	for {
		if m.elect(ctx) || m.renewGeneration(ctx) {
			changed(nil)
		}
		if !m.standby && m.join(ctx) {
			changed(m.Tenures())
		}
		if m.settling() {
			ticker.Reset(settlingInterval)
		} else {
			ticker.Reset(joinInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.joinSoon:
		}
	}
}

// renewGeneration leaves the group if the generation has no epoch left, so that the
// next join begins a new one. It reports whether the daemon has left.
func (m *Member) renewGeneration(ctx context.Context) bool {
	if !m.exhausted() {
		return false
	}
	if err := m.Leave(ctx); err != nil {
		m.logger.Warn("ownership.leave_failed", zap.Error(err))
	}
	return true
}

// JoinSoon renews the membership without waiting for the next interval: a peer has
// left, so its units may have been assigned to this daemon.
func (m *Member) JoinSoon() {
	select {
	case m.joinSoon <- struct{}{}:
	default:
	}
}

// settling reports whether the members have changed recently.
func (m *Member) settling() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.joined && m.clock()-m.generationAt < settlingPeriod
}

func (m *Member) isJoined() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.joined
}

// join renews the membership and reports whether the tenures changed.
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
	m.verifyHeld(ctx, membership)
	return m.applyMembership(membership, sent)
}

// applyMembership updates the tenures from a join's answer, and reports whether
// they changed. A unit that is listed again after missed generations gets a new tenure
// unless verifyHeld has confirmed the former one: another member may have owned the unit
// meanwhile, under a higher epoch.
func (m *Member) applyMembership(membership store.Membership, sent time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	// After the ttl another member may have owned a unit in the meantime.
	expired := m.joined && sent-m.confirmed > ttl && membership.Generation != m.generation
	if membership.Generation != m.generation {
		m.reacquisitions = 0
		m.generationAt = m.clock()
	}
	missed := m.missedGenerations(membership)
	listed := map[int]bool{}
	changed := false
	for _, c := range membership.Claims {
		listed[c.Partition] = true
		_, has := m.held[c.Partition]
		broken := expired || missed && m.verified[c.Partition] != membership.Generation
		if (!has || broken) && m.reacquisitions < epochsPerGeneration {
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
		m.logger.Info("ownership.changed", zap.Int64("generation", membership.Generation), zap.Ints("units", slices.Sorted(maps.Keys(m.held))), zap.Bool("after_lapse", expired), zap.Bool("after_missed", missed))
	}
	m.generation, m.confirmed, m.joined = membership.Generation, sent, true
	return changed
}

func (m *Member) confirmedAt() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.confirmed
}

// Tenures returns the units that this daemon owns, with their epochs.
func (m *Member) Tenures() []Tenure {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Tenure
	for unit, epoch := range m.held {
		out = append(out, Tenure{Unit: unit, Epoch: epoch})
	}
	return out
}

// Holds reports whether a tenure is still valid.
func (m *Member) Holds(t Tenure) bool { return m.HoldsWithin(t, Grace) }

// HoldsWithin reports whether a tenure was confirmed within the given time.
func (m *Member) HoldsWithin(t Tenure, within time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.joined && m.held[t.Unit] == t.Epoch && m.clock()-m.confirmed < within
}

// Discard gives up a tenure that was found fenced. If the store still assigns the
// unit to this daemon, the next join begins a new tenure.
func (m *Member) Discard(t Tenure) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held[t.Unit] == t.Epoch {
		delete(m.held, t.Unit)
		m.reacquisitions++
	}
}

// exhausted reports whether the generation has no epoch left for a new tenure.
func (m *Member) exhausted() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reacquisitions >= epochsPerGeneration
}

// Leave gives up all units and leaves the group.
func (m *Member) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.held = map[int]int64{}
	m.joined = false
	m.mu.Unlock()
	return m.log.Leave(ctx, Group, m.name)
}

// Locate returns the address of a unit's owner, or "" if none is known. With
// refresh, after a call to that address has failed, it reads a newer list.
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
		// Keep the last list: a read would only hold up its callers.
		return
	}
	rows, err := m.log.Owners(ctx, Group)
	m.ownersAt = m.clock()
	if err != nil {
		m.logger.Warn("ownership.owners_unknown", zap.Error(err))
		return
	}
	own, _, _ := strings.Cut(m.name, nameSeparator)
	owners := map[int]string{}
	stronger := map[string]bool{}
	var addresses []string
	for _, row := range rows {
		parts := strings.Split(row.Member, nameSeparator)
		owners[row.Partition] = parts[0]
		strength, err := strconv.ParseFloat(parts[len(parts)-1], 64)
		// A row of this daemon's address is of a former incarnation, for which this one
		// answers.
		if err == nil && parts[0] != own && strength > strongerFactor*m.strength && !stronger[row.Member] {
			stronger[row.Member] = true
			addresses = append(addresses, parts[0])
		}
	}
	m.owners, m.stronger, m.ownersLoaded = owners, addresses, true
}

// Peers returns the addresses of the last known owners other than this daemon.
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
