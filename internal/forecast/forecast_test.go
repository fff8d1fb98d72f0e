package forecast

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// begin is any time well after the first bucket.
var begin = time.Unix(1_700_000_000, 0)

// addJobs adds jobs of 5 core-seconds and a critical path of 1 s, at a rate in jobs
// per second, and returns the end of the span.
func addJobs(a *Arrivals, span time.Duration, rate func(at time.Duration) float64) time.Time {
	return addJobsOf(a, time.Second, span, rate)
}

// addJobsOf is addJobs with another critical path.
func addJobsOf(a *Arrivals, criticalPath, span time.Duration, rate func(at time.Duration) float64) time.Time {
	const tick = 5 * time.Millisecond
	due := 0.0
	for at := time.Duration(0); at < span; at += tick {
		for due += rate(at) * tick.Seconds(); due >= 1; due-- {
			a.Add(begin.Add(at), 5, criticalPath)
		}
	}
	return begin.Add(span)
}

func near(is *is.I, got, want, tolerance float64) {
	is.Helper()
	is.True(got > want*(1-tolerance) && got < want*(1+tolerance))
}

func TestSteadyArrivals(t *testing.T) {
	is := is.New(t)
	var a Arrivals
	now := addJobs(&a, 8*time.Second, func(time.Duration) float64 { return 20 })
	near(is, a.Cores(now, 1500*time.Millisecond), 100, 0.1)
}

// A ramp from 0 to 60 jobs a second in 4 s reaches 45 a second after 3 s, and 67 by
// the time that a machine ordered then arrives.
func TestRampIsExtrapolated(t *testing.T) {
	is := is.New(t)
	var a Arrivals
	now := addJobs(&a, 3*time.Second, func(at time.Duration) float64 { return 15 * at.Seconds() })
	near(is, a.Cores(now, 1500*time.Millisecond), 5*15*4.5, 0.25)
}

func TestForecastFallsToZeroAfterTheLastArrival(t *testing.T) {
	is := is.New(t)
	var a Arrivals
	now := addJobs(&a, 3*time.Second, func(time.Duration) float64 { return 20 })
	is.Equal(a.Cores(now.Add(2*longestWindow), time.Second), 0.0)
	is.Equal(a.Cores(now.Add(time.Hour), time.Second), 0.0)
}

// One large job isn't extrapolated like the beginning of a peak.
func TestOneJobIsNotExtrapolated(t *testing.T) {
	is := is.New(t)
	var a Arrivals
	a.Add(begin, 60, 4*time.Second) // 15 cores for 4 s
	most := 0.0
	for at := time.Duration(0); at < 5*time.Second; at += 50 * time.Millisecond {
		most = max(most, a.Cores(begin.Add(at), 1500*time.Millisecond))
	}
	is.True(most <= maxGrowth*60/longestWindow.Seconds())
}

// The forecast must not go on rising after a ramp has ended: while the windows still
// grew, 300 machines too many were sent for to a pool whose peak was over.
func TestGrowthEndsWithTheRamp(t *testing.T) {
	is := is.New(t)
	var a Arrivals
	now := addJobsOf(&a, 3*time.Second, 4500*time.Millisecond, func(at time.Duration) float64 {
		return 60 - 20*(at-3*time.Second).Abs().Seconds() // rises for 3 s, then falls as it rose
	})
	// The last 3 s brought more than the 3 s before them, but work arrives ever slower.
	is.True(a.Cores(now, 1500*time.Millisecond) <= 5*60)
}
