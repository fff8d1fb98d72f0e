package burn

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/beryltide/beryltide/internal/record"
)

// maxSources is the most sources of bad answers that one record names, so that
// its size stays within bounds when everything fails.
const maxSources = 64

// Counter counts the requests of one daemon until they are summed into the
// log. It is safe for concurrent use.
type Counter struct {
	mu     sync.Mutex
	start  time.Time
	counts map[Source]*Counts
}

// NewCounter returns a counter without counts.
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

// Start returns the time from which requests are counted.
func (c *Counter) Start() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.start
}

// Pending returns what is counted and not yet taken.
func (c *Counter) Pending() []record.BurnCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.summarize()
}

// Take returns what is counted, and starts a new period at now. It returns
// false, and starts none, when nothing is counted.
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

// summarize returns a service's good answers as one count, and its bad ones for the
// sources with most of them. The bad ones of all other sources are in the
// service's count too.
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
