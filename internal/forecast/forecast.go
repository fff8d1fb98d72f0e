// Package forecast tells how many cores a pool's arriving work will keep busy by
// the time a machine that is sent now has arrived. It does no I/O.
//
// The load it answers: a queue's turn begins as a ramp of some seconds. Machines
// that are sent once work waits arrive 1.5 s too late for its first jobs; those
// sent for what the ramp is about to bring are there in time.
package forecast

import (
	"time"
)

const (
	// bucketSpan is the resolution of what is remembered.
	bucketSpan = 125 * time.Millisecond
	// shortestWindow keeps the forecast from following single jobs.
	shortestWindow = 750 * time.Millisecond
	// longestWindow bounds the windows to what a turn lasts.
	longestWindow = 3 * time.Second
	// bucketCount covers two of the longest windows and the bucket being filled.
	bucketCount = int(2*longestWindow/bucketSpan) + 1
	// maxGrowth bounds the forecast in multiples of what arrives now.
	maxGrowth = 3
	// criticalPathWeight is the weight of a new job in the mean length of chains.
	criticalPathWeight = 0.1
)

// Arrivals is the work that has arrived lately.
type Arrivals struct {
	// work holds core-seconds by bucket, as a ring; last is the newest bucket's
	// number.
	work [bucketCount]float64
	last int64
	// criticalPath is the mean time that a job takes if nothing keeps it waiting.
	criticalPath time.Duration
}

// Add notes a job's work, in core-seconds, and how long it takes unhindered.
func (a *Arrivals) Add(now time.Time, coreSeconds float64, criticalPath time.Duration) {
	a.advance(now)
	a.work[a.last%int64(bucketCount)] += coreSeconds
	if a.criticalPath == 0 {
		a.criticalPath = criticalPath
	}
	a.criticalPath += time.Duration(criticalPathWeight * float64(criticalPath-a.criticalPath))
}

// advance empties the buckets between the newest one and now.
func (a *Arrivals) advance(now time.Time) {
	current := now.UnixNano() / int64(bucketSpan)
	for n := max(a.last+1, current-int64(bucketCount)+1); n <= current; n++ {
		a.work[n%int64(bucketCount)] = 0
	}
	a.last = max(a.last, current)
}

// Cores returns how many cores arriving work will keep busy after a time, if it
// goes on to grow as it does now.
func (a *Arrivals) Cores(now time.Time, after time.Duration) float64 {
	a.advance(now)
	window := min(max(a.criticalPath, shortestWindow), longestWindow)
	buckets := int64(window / bucketSpan)
	recent, earlier := a.sum(0, buckets), a.sum(buckets, 2*buckets)
	span := (time.Duration(buckets) * bucketSpan).Seconds()
	growth := max(recent-earlier, 0) / span * (after.Seconds() / span)
	return min(recent/span+growth, maxGrowth*recent/span)
}

// sum adds up the buckets of some ages, in buckets; that being filled is left out.
func (a *Arrivals) sum(from, to int64) float64 {
	var sum float64
	for age := from + 1; age <= to; age++ {
		sum += a.work[(a.last-age)%int64(bucketCount)]
	}
	return sum
}
