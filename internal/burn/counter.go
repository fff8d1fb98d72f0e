package burn

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/beryltide/beryltide/internal/record"
)

// maxSources is the maximum number of sources of bad answers in one record. It
// bounds the record's size when everything fails.
const maxSources = 64

// Counter counts the requests of one daemon until their sums are written to the
// log. It is safe for concurrent use.
type Counter struct {
	mu     sync.Mutex
	start  time.Time
	counts map[Source]*Counts
}

// NewCounter returns an empty counter whose first period starts at now.
func NewCounter(now time.Time) *Counter {
	return &Counter{start: now, counts: map[Source]*Counts{}}
}

// Observe counts one request.
func (c *Counter) Observe(s Source, o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts, ok := c.counts[s]
	if !ok {
		counts = &Counts{}
		c.counts[s] = counts
	}
	counts.add(o)
}

// Start returns the start of the current period.
func (c *Counter) Start() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.start
}

// Pending returns the counts of the current period.
func (c *Counter) Pending() []record.BurnCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.summarize()
}

// Take returns the counts of the current period and starts a new one at now. If
// there are no counts, it returns false and the period continues.
func (c *Counter) Take(now time.Time) (record.Burn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.counts) == 0 {
		return record.Burn{}, false
	}
	b := record.Burn{Start: c.start.Unix(), End: now.Unix(), Counts: c.summarize()}
	clear(c.counts)
	c.start = now
	return b, true
}

// summarize returns the counts, sorted by source. The good answers of a service
// are one count without data centre and pool. Bad answers are counted by source
// for the maxSources sources with most of them, and in the service's count for
// all others. The caller must hold the mutex.
func (c *Counter) summarize() []record.BurnCount {
	sums := map[Source]Counts{}
	for i, s := range c.worstFirst() {
		counts := *c.counts[s]
		service := Source{Service: s.Service}
		if counts.Bad() > 0 && i < maxSources {
			good := Counts{Good: counts.Good}
			counts.Good = 0
			sums[s] = counts
			counts = good
		}
		sums[service] = sums[service].Plus(counts)
	}
	list := make([]record.BurnCount, 0, len(sums))
	for _, s := range slices.SortedFunc(maps.Keys(sums), compareSources) {
		if sums[s].Total() > 0 {
			list = append(list, toRecord(s, sums[s]))
		}
	}
	return list
}

func (c *Counter) worstFirst() []Source {
	return slices.SortedFunc(maps.Keys(c.counts), func(a, b Source) int {
		return cmp.Or(cmp.Compare(c.counts[b].Bad(), c.counts[a].Bad()), compareSources(a, b))
	})
}

func sourceFrom(b record.BurnCount) Source {
	return Source{Service: b.Service, DataCentre: b.DataCentre, Pool: b.Pool}
}

func compareSources(a, b Source) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Pool, b.Pool))
}
