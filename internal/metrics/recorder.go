package metrics

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/beryltide/beryltide/internal/status"
)

// Exponential buckets of request durations.
const (
	firstBucket  = 500 * time.Microsecond
	bucketFactor = 2
	bucketCount  = 18
)

// Recorder writes a daemon's metrics to a scope. It is safe for concurrent
// use.
type Recorder struct {
	scope   tally.Scope
	buckets tally.Buckets

	mu sync.Mutex
	// shown holds the tagged gauges of the last status, so that those missing from
	// the next one are set to 0, and because the lookup of a tagged scope is slow.
	shown map[gauge]tally.Gauge
}

// gauge identifies a gauge by its name and one or two tags with their values.
type gauge struct {
	name, tag, value, tag2, value2 string
}

// NewRecorder returns a recorder and counts the start of the process.
func NewRecorder(scope tally.Scope) *Recorder {
	scope.Counter(nameStarts).Inc(1)
	return &Recorder{
		scope:   scope,
		buckets: tally.MustMakeExponentialDurationBuckets(firstBucket, bucketFactor, bucketCount),
		shown:   map[gauge]tally.Gauge{},
	}
}

// Request counts one request to a known queue.
func (r *Recorder) Request(queue, outcome string, took time.Duration) {
	scope := r.scope.Tagged(map[string]string{tagQueue: queue})
	scope.Histogram(nameRequestDuration, r.buckets).RecordDuration(took)
	scope.Tagged(map[string]string{tagOutcome: outcome}).Counter(nameRequests).Inc(1)
}

// Status sets all gauges.
func (r *Recorder) Status(s status.Status) {
	ready := 0.0
	if s.Ready {
		ready = 1
	}
	r.scope.Gauge(nameReady).Update(ready)
	r.scope.Gauge(nameRevision).Update(float64(s.Revision))
	r.scope.Gauge(nameLogOffset).Update(float64(s.Next))
	r.scope.Gauge(nameLogAge).Update((time.Duration(s.LogAge) * time.Millisecond).Seconds())
	r.scope.Gauge(nameMembers).Update(float64(len(s.Members)))
	r.set(taggedGauges(s))
}

// taggedGauges returns the values of all gauges with tags.
func taggedGauges(s status.Status) map[gauge]float64 {
	values := map[gauge]float64{}
	type poolPhase struct{ pool, phase string }
	instances := map[poolPhase]int{}
	for _, i := range s.Instances {
		instances[poolPhase{i.Pool, i.Phase}]++
	}
	for k, n := range instances {
		values[gauge{nameInstances, tagPool, k.pool, tagPhase, k.phase}] = float64(n)
	}
	for _, t := range s.Teams {
		values[gauge{name: nameTeamLimit, tag: tagTeam, value: t.Name}] = float64(t.Limit)
		values[gauge{name: nameTeamGranted, tag: tagTeam, value: t.Name}] = float64(t.Granted)
		values[gauge{name: nameTeamRunning, tag: tagTeam, value: t.Name}] = float64(t.Running)
		values[gauge{name: nameTeamWaiting, tag: tagTeam, value: t.Name}] = float64(t.Waiting)
	}
	for kind, b := range s.Control {
		values[gauge{nameControlBytes, tagConnection, kind, tagDirection, "in"}] = float64(b.In)
		values[gauge{nameControlBytes, tagConnection, kind, tagDirection, "out"}] = float64(b.Out)
	}
	return values
}

// set updates the tagged gauges and sets those missing from values to 0.
func (r *Recorder) set(values map[gauge]float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for g, handle := range r.shown {
		if _, ok := values[g]; !ok {
			handle.Update(0)
			delete(r.shown, g)
		}
	}
	for g, v := range values {
		handle, ok := r.shown[g]
		if !ok {
			handle = r.gauge(g)
			r.shown[g] = handle
		}
		handle.Update(v)
	}
}

func (r *Recorder) gauge(g gauge) tally.Gauge {
	tags := map[string]string{g.tag: g.value}
	if g.tag2 != "" {
		tags[g.tag2] = g.value2
	}
	return r.scope.Tagged(tags).Gauge(g.name)
}
