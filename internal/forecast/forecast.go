// Package forecast extrapolates how many cores a pool's arriving work will use at
// the time at which a machine ordered now would arrive. It does no I/O and depends
// on no other package.
//
// It is designed for demand peaks that begin with a ramp of some seconds. Machines
// ordered for work that already waits arrive 1.5 s too late for the first jobs;
// those ordered for the extrapolated ramp arrive in time.
package forecast

import (
	"time"
)

const (
	// bucketSpan is the resolution of the history.
	bucketSpan = 125 * time.Millisecond
	// shortestWindow keeps single jobs from dominating the forecast.
	shortestWindow = 750 * time.Millisecond
	// longestWindow keeps the windows shorter than a demand peak.
	longestWindow = 3 * time.Second
	// bucketCount covers two of the longest windows and the current bucket.
	bucketCount = int(2*longestWindow/bucketSpan) + 1
	// maxGrowth bounds the forecast, as a multiple of the current rate.
	maxGrowth = 3
	// criticalPathWeight is the weight of a new job in the moving average of
	// critical paths.
	criticalPathWeight = 0.1
)

// Arrivals is the recent history of a pool's arriving work. The zero value is ready
// to use. It isn't safe for concurrent use.
type Arrivals struct {
	// work is a ring of core-seconds by bucket.
	work [bucketCount]float64
	// last is the number of the newest bucket.
	last int64
	// criticalPath is the moving average of the jobs' critical paths: the time that
	// a job takes if its tasks never wait.
	criticalPath time.Duration
}

// Add records the arrival of a job, with its work in core-seconds and the length of
// its critical path.
func (a *Arrivals) Add(now time.Time, coreSeconds float64, criticalPath time.Duration) {
	a.advance(now)
	a.work[a.last%int64(bucketCount)] += coreSeconds
	if a.criticalPath == 0 {
		a.criticalPath = criticalPath
	}
	a.criticalPath += time.Duration(criticalPathWeight * float64(criticalPath-a.criticalPath))
}

// advance clears the buckets between the newest one and now.
func (a *Arrivals) advance(now time.Time) {
	current := now.UnixNano() / int64(bucketSpan)
	for n := max(a.last+1, current-int64(bucketCount)+1); n <= current; n++ {
		a.work[n%int64(bucketCount)] = 0
	}
	a.last = max(a.last, current)
}

// Cores returns how many cores arriving work will use after a time, by linear
// extrapolation of the growth between the last two windows, for as long as the rate
// rises: the windows show the end of a ramp only later.
func (a *Arrivals) Cores(now time.Time, after time.Duration) float64 {
	a.advance(now)
	window := min(max(a.criticalPath, shortestWindow), longestWindow)
	buckets := int64(window / bucketSpan)
	recent, earlier := a.sum(0, buckets), a.sum(buckets, 2*buckets)
	span := (time.Duration(buckets) * bucketSpan).Seconds()
	growth := max(recent-earlier, 0) / span * (after.Seconds() / span)
	if newest := int64(shortestWindow / bucketSpan); a.sum(0, newest) < a.sum(newest, 2*newest) {
		growth = 0
	}
	return min(recent/span+growth, maxGrowth*recent/span)
}

// sum returns the work of the buckets whose ages, in buckets, are in [from, to). The
// current bucket isn't counted; the one before it has age 0.
func (a *Arrivals) sum(from, to int64) float64 {
	var sum float64
	for age := from + 1; age <= to; age++ {
		sum += a.work[(a.last-age)%int64(bucketCount)]
	}
	return sum
}
