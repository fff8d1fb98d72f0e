// Package memstore is an in-memory fake of the platform's store for tests: it has
// keyed topics, producers with epochs, groups whose members expire, and injected
// faults. It implements the Log of package store.
package memstore

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/beryltide/beryltide/internal/pause"
	"github.com/beryltide/beryltide/internal/store"
)

// Fault is an injected fault of a call.
type Fault int

// The faults.
const (
	// None executes the call and answers it.
	None Fault = iota
	// Refuse doesn't execute the call and returns store.ErrNotDone.
	Refuse
	// LoseCall doesn't execute the call and returns store.ErrUnknown.
	LoseCall
	// LoseAnswer executes the call and returns store.ErrUnknown.
	LoseAnswer
)

// pollInterval is how often a waiting read repeats.
const pollInterval = 5 * time.Millisecond

// Store holds the records and groups. Each daemon uses it through a Client of its
// own. Its exported fields aren't guarded by a lock.
type Store struct {
	// Latency is the time that each call takes.
	Latency time.Duration
	// Partitions is the number of partitions of each topic.
	Partitions int
	// ReadLimit is the highest number of records in a batch; 0 means no limit.
	ReadLimit int
	// Limits refuse larger records and appends; zero values stand for none.
	Limits store.Limits

	mu         sync.Mutex
	partitions map[partitionKey]*partition
	groups     map[string]*group
	// recordsRead is the number of records that reads have returned.
	recordsRead int
}

type partitionKey struct {
	topic string
	part  int
}

type partition struct {
	// first is the offset of records[0].
	first   int64
	records []store.Record
	// newest holds the newest record of each key that isn't deleted.
	newest map[string]store.Record
	// epoch is the highest epoch of an append.
	epoch int64
	// number is the newest sequence number of the epoch, if it has begun.
	number int64
	begun  bool
	// seen holds the epoch's sequence numbers: repeated appends have no effect.
	seen map[int64]bool
}

type group struct {
	generation int64
	// members holds by name when each membership expires.
	members map[string]time.Time
	// owners holds the members by partition, since the generation in which each got it last.
	owners map[int]string
	since  map[int]int64
	topic  string
}

// New returns an empty store.
func New(partitions int) *Store {
	return &Store{Partitions: partitions, Latency: time.Millisecond, partitions: map[partitionKey]*partition{}, groups: map[string]*group{}}
}

// Client is one daemon's connection to the store. It is safe for concurrent use.
type Client struct {
	store *Store
	mu    sync.Mutex
	fault func(call string) Fault
}

var _ store.Log = (*Client)(nil)

// Client returns a new connection to the store, without faults.
func (s *Store) Client() *Client { return &Client{store: s} }

// SetFault sets the function that returns the fault of each of this client's calls,
// by the name of the call; nil removes all faults.
func (c *Client) SetFault(fault func(call string) Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = fault
}

// call executes one call with the client's fault.
func (c *Client) call(ctx context.Context, name string, do func() error) error {
	c.mu.Lock()
	fault := c.fault
	c.mu.Unlock()
	outcome := None
	if fault != nil {
		outcome = fault(name)
	}
	if !pause.For(ctx, c.store.Latency) {
		return store.ErrUnknown
	}
	switch outcome {
	case Refuse:
		return store.ErrNotDone
	case LoseCall:
		return store.ErrUnknown
	}
	c.store.mu.Lock()
	err := do()
	c.store.mu.Unlock()
	if outcome == LoseAnswer {
		return store.ErrUnknown
	}
	return err
}

func (s *Store) partition(topic string, part int) *partition {
	key := partitionKey{topic, part}
	p := s.partitions[key]
	if p == nil {
		p = &partition{newest: map[string]store.Record{}, seen: map[int64]bool{}}
		s.partitions[key] = p
	}
	return p
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

func (p *partition) add(records []store.Record) {
	for _, r := range records {
		r.Offset = p.end()
		r.Value = slices.Clone(r.Value)
		p.records = append(p.records, r)
		if len(r.Value) == 0 {
			delete(p.newest, r.Key)
			continue
		}
		p.newest[r.Key] = r
	}
}

// Append implements store.Log.
func (c *Client) Append(ctx context.Context, topic string, part int, records []store.Record, seq *store.Sequence) error {
	return c.call(ctx, "append", func() error {
		if c.store.tooLarge(records) {
			return store.ErrNotDone
		}
		p := c.store.partition(topic, part)
		if seq == nil {
			p.add(records)
			return nil
		}
		return p.appendInSequence(records, seq)
	})
}

func (s *Store) tooLarge(records []store.Record) bool {
	for _, r := range records {
		if s.Limits.Record > 0 && r.Size() > s.Limits.Record {
			return true
		}
	}
	return s.Limits.Append > 0 && store.AppendSize(records) > s.Limits.Append
}

func (p *partition) appendInSequence(records []store.Record, seq *store.Sequence) error {
	switch {
	case seq.Epoch < p.epoch:
		return store.ErrFenced
	case seq.Epoch > p.epoch:
		p.epoch, p.begun, p.seen = seq.Epoch, false, map[int64]bool{}
	}
	if len(records) == 0 {
		return nil
	}
	if p.begun && p.seen[seq.Number] {
		return nil
	}
	if p.begun && seq.Number != p.number+1 {
		return &store.SequenceError{Expected: p.number + 1}
	}
	p.begun, p.number = true, seq.Number
	p.seen[seq.Number] = true
	p.add(records)
	return nil
}

// AppendAt implements store.Log.
func (c *Client) AppendAt(ctx context.Context, topic string, part int, records []store.Record, end int64) error {
	return c.call(ctx, "append", func() error {
		p := c.store.partition(topic, part)
		if p.end() != end {
			return store.ErrMoved
		}
		p.add(records)
		return nil
	})
}

// Read implements store.Log.
func (c *Client) Read(ctx context.Context, topic string, part int, from int64, wait time.Duration) (store.Batch, error) {
	var b store.Batch
	deadline := time.Now().Add(wait)
	for {
		err := c.call(ctx, "read", func() error {
			p := c.store.partition(topic, part)
			if from < p.first {
				return store.ErrExpired
			}
			b = store.Batch{Records: c.store.readFrom(p, from), End: p.end()}
			b.Next = from + int64(len(b.Records))
			return nil
		})
		if err != nil || len(b.Records) > 0 || !time.Now().Before(deadline) || !pause.For(ctx, pollInterval) {
			return b, err
		}
	}
}

// readFrom returns the records of one read from an offset, at most ReadLimit.
func (s *Store) readFrom(p *partition, from int64) []store.Record {
	records := p.records[from-p.first:]
	if s.ReadLimit > 0 && len(records) > s.ReadLimit {
		records = records[:s.ReadLimit]
	}
	s.recordsRead += len(records)
	return slices.Clone(records)
}

// RecordsRead returns the number of records that reads have returned.
func (s *Store) RecordsRead() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recordsRead
}

// Newest implements store.Log. It returns a single page.
func (c *Client) Newest(ctx context.Context, topic string, part int, _ string) (store.Page, error) {
	var page store.Page
	err := c.call(ctx, "newest", func() error {
		p := c.store.partition(topic, part)
		page.End = p.end()
		for _, key := range slices.Sorted(maps.Keys(p.newest)) {
			page.Records = append(page.Records, p.newest[key])
		}
		return nil
	})
	return page, err
}

// Join implements store.Log.
func (c *Client) Join(ctx context.Context, join store.Join) (store.Membership, error) {
	var m store.Membership
	err := c.call(ctx, "join", func() error {
		g := c.store.group(join.Group)
		g.topic = join.Topics[0]
		now := time.Now()
		_, known := g.members[join.Member]
		g.members[join.Member] = now.Add(join.TTL)
		changed := !known
		for member, until := range g.members {
			if now.After(until) {
				delete(g.members, member)
				changed = true
			}
		}
		if changed {
			g.assign(c.store.Partitions)
		}
		m.Generation = g.generation
		for part, owner := range g.owners {
			if owner == join.Member {
				m.Claims = append(m.Claims, store.Claim{Topic: g.topic, Partition: part})
			}
		}
		return nil
	})
	return m, err
}

func (s *Store) group(name string) *group {
	if s.groups[name] == nil {
		s.groups[name] = &group{members: map[string]time.Time{}, owners: map[int]string{}, since: map[int]int64{}}
	}
	return s.groups[name]
}

// assign assigns the partitions evenly to the members, in a new generation. Each
// generation shifts the assignment by one member.
func (g *group) assign(partitions int) {
	g.generation++
	names := slices.Sorted(maps.Keys(g.members))
	for part := range partitions {
		if len(names) == 0 {
			delete(g.owners, part)
			continue
		}
		owner := names[(part+int(g.generation))%len(names)]
		if g.owners[part] != owner {
			g.since[part] = g.generation
		}
		g.owners[part] = owner
	}
}

// Reassign makes a new assignment of all partitions of a group, and reports whether
// one of them has another owner now.
func (s *Store) Reassign(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(name)
	before := maps.Clone(g.owners)
	g.assign(s.Partitions)
	return !maps.Equal(before, g.owners)
}

// Swap gives two members of a group each other's partitions, in a new generation.
func (s *Store) Swap(name, a, b string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(name)
	g.generation++
	for part, owner := range g.owners {
		switch owner {
		case a:
			g.owners[part], g.since[part] = b, g.generation
		case b:
			g.owners[part], g.since[part] = a, g.generation
		}
	}
}

// Compact drops the history of all partitions: reads from earlier offsets fail with
// store.ErrExpired, and Newest still lists the newest record of each key. It returns
// the number of records dropped.
func (s *Store) Compact() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	dropped := 0
	for _, p := range s.partitions {
		dropped += len(p.records)
		p.first, p.records = p.end(), nil
	}
	return dropped
}

// Held implements store.Log.
func (c *Client) Held(ctx context.Context, h store.Holding) error {
	return c.call(ctx, "held", func() error {
		g := c.store.group(h.Group)
		if g.owners[h.Partition] != h.Member || h.Generation < g.since[h.Partition] {
			return store.ErrNotHeld
		}
		return nil
	})
}

// Leave implements store.Log.
func (c *Client) Leave(ctx context.Context, name, member string) error {
	return c.call(ctx, "leave", func() error {
		g := c.store.group(name)
		delete(g.members, member)
		g.assign(c.store.Partitions)
		return nil
	})
}

// Owners implements store.Log.
func (c *Client) Owners(ctx context.Context, name string) ([]store.Owner, error) {
	var owners []store.Owner
	err := c.call(ctx, "owners", func() error {
		g := c.store.group(name)
		for part, member := range g.owners {
			owners = append(owners, store.Owner{Topic: g.topic, Partition: part, Member: member})
		}
		return nil
	})
	return owners, err
}
