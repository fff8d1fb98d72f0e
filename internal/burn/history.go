package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/beryltide/beryltide/internal/record"
)

// resolution is a width of buckets, and the number of buckets kept.
type resolution struct {
	width      time.Duration
	maxBuckets int
}

// Indices of a series' resolutions, from fine to coarse.
const (
	minutes = iota
	tenMinutes
	hours
	numResolutions
)

var resolutions = [numResolutions]resolution{
	minutes:    {time.Minute, 12},
	tenMinutes: {10 * time.Minute, 38},
	hours:      {time.Hour, 74},
}

// sourceResolution is the resolution of counts by source. It is coarse, since
// there may be as many sources as pools times data centres.
var sourceResolution = resolution{24 * time.Hour, 4}

// Bucket holds the counts of a period that begins at Start, in Unix seconds.
type Bucket struct {
	Start  int64  `json:"start" msgpack:"s"`
	Counts Counts `json:"counts" msgpack:"c"`
}

// buckets are sorted by start and never modified in place.
type buckets []Bucket

// add returns the buckets with counts added at a time in Unix seconds. It drops
// the oldest bucket if there are too many, whatever the time is, so that one
// daemon's wrong clock costs one bucket and not the history.
func (bs buckets) add(r resolution, at int64, c Counts) buckets {
	width := int64(r.width / time.Second)
	start := at - at%width
	i, found := slices.BinarySearchFunc(bs, start, func(b Bucket, s int64) int { return cmp.Compare(b.Start, s) })
	next := slices.Clone(bs)
	if found {
		next[i].Counts = next[i].Counts.Plus(c)
		return next
	}
	next = slices.Insert(next, i, Bucket{Start: start, Counts: c})
	if len(next) > r.maxBuckets {
		next = next[len(next)-r.maxBuckets:]
	}
	return next
}

// sumSince returns the sum of the buckets that end after from and start no later
// than now, both in Unix seconds.
func (bs buckets) sumSince(r resolution, from, now int64) Counts {
	var sum Counts
	for _, b := range bs {
		if b.Start+int64(r.width/time.Second) > from && b.Start <= now {
			sum = sum.Plus(b.Counts)
		}
	}
	return sum
}

// series holds the counts of one service at each resolution.
type series [numResolutions]buckets

// History holds the counts of all daemons, folded from the log. It is immutable.
type History struct {
	services map[string]*series
	sources  map[Source]buckets
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{services: map[string]*series{}, sources: map[Source]buckets{}}
}

// Add returns the history with the counts of a record added at the record's
// end. Counts of unknown services are left out, and a record whose end is
// negative is ignored.
func (h *History) Add(b record.Burn, known func(service string) bool) *History {
	if b.End < 0 {
		return h
	}
	next := &History{services: maps.Clone(h.services), sources: maps.Clone(h.sources)}
	sums := map[string]Counts{}
	for _, bc := range b.Counts {
		if !known(bc.Service) {
			continue
		}
		c := countsFrom(bc)
		sums[bc.Service] = sums[bc.Service].Plus(c)
		if s := sourceFrom(bc); c.Bad() > 0 {
			next.sources[s] = next.sources[s].add(sourceResolution, b.End, c)
		}
	}
	for service, c := range sums {
		next.addService(service, b.End, c)
	}
	return next
}

func (h *History) addService(service string, at int64, c Counts) {
	var next series
	if old := h.services[service]; old != nil {
		next = *old
	}
	for i := range next {
		next[i] = next[i].add(resolutions[i], at, c)
	}
	h.services[service] = &next
}

// Keep returns the history without unknown services.
func (h *History) Keep(known func(service string) bool) *History {
	next := &History{services: maps.Clone(h.services), sources: maps.Clone(h.sources)}
	maps.DeleteFunc(next.services, func(s string, _ *series) bool { return !known(s) })
	maps.DeleteFunc(next.sources, func(s Source, _ buckets) bool { return !known(s.Service) })
	return next
}

// State is the serialized form of a history, in a fixed order.
type State struct {
	Services []ServiceState `json:"services" msgpack:"v"`
	Sources  []SourceState  `json:"sources" msgpack:"s"`
}

// ServiceState is the serialized form of one service's counts.
type ServiceState struct {
	Service    string   `json:"service" msgpack:"n"`
	Minutes    []Bucket `json:"minutes" msgpack:"m"`
	TenMinutes []Bucket `json:"tenMinutes" msgpack:"t"`
	Hours      []Bucket `json:"hours" msgpack:"h"`
}

// SourceState is the serialized form of one source's counts.
type SourceState struct {
	Service    string   `json:"service" msgpack:"n"`
	DataCentre string   `json:"dataCentre" msgpack:"d"`
	Pool       string   `json:"pool" msgpack:"p"`
	Days       []Bucket `json:"days" msgpack:"b"`
}

// State returns the history's serialized form. It shares the buckets with the
// history: they must not be modified.
func (h *History) State() State {
	var st State
	for _, name := range slices.Sorted(maps.Keys(h.services)) {
		s := h.services[name]
		st.Services = append(st.Services, ServiceState{
			Service: name, Minutes: s[minutes], TenMinutes: s[tenMinutes], Hours: s[hours],
		})
	}
	for _, s := range slices.SortedFunc(maps.Keys(h.sources), compareSources) {
		st.Sources = append(st.Sources, SourceState{
			Service: s.Service, DataCentre: s.DataCentre, Pool: s.Pool, Days: h.sources[s],
		})
	}
	return st
}

// Restore returns the history of a serialized form, whose buckets must not be
// modified afterwards.
func Restore(st State) *History {
	h := NewHistory()
	for _, s := range st.Services {
		h.services[s.Service] = &series{minutes: s.Minutes, tenMinutes: s.TenMinutes, hours: s.Hours}
	}
	for _, s := range st.Sources {
		h.sources[Source{Service: s.Service, DataCentre: s.DataCentre, Pool: s.Pool}] = s.Days
	}
	return h
}
