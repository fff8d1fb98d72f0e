package forecast

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// begin is any time well after the first bucket.
var begin = time.Unix(1_700_000_000, 0)

// addJobs adds jobs of 5 core-seconds and a chain of a second, as many a second
// as the rate says at each time, and returns the time after them.
func addJobs(a *Arrivals, span time.Duration, rate func(at time.Duration) float64) time.Time {
	const tick = 5 * time.Millisecond
	due := 0.0
	for at := time.Duration(0); at < span; at += tick {
		for due += rate(at) * tick.Seconds(); due >= 1; due-- {
			a.Add(begin.Add(at), 5, time.Second)
		}
	}
	return begin.Add(span)
}

func near(is *is.I, got, want, tolerance float64) {
	is.Helper()
	is.True(got > want*(1-tolerance) && got < want*(1+tolerance))
}

func TestSteadyWorkKeepsItsCoresBusy(t *testing.T) {
	is := is.New(t)
	var a Arrivals
	now := addJobs(&a, 8*time.Second, func(time.Duration) float64 { return 20 })
	near(is, a.Cores(now, 1500*time.Millisecond), 100, 0.1)
}

// A ramp from 0 to 60 jobs a second in 4 s brings 45 a second at its third
// second, and 67 by the time that a machine sent then arrives.
func TestRampIsForeseen(t *testing.T) {
	is := is.New(t)
	var a Arrivals
	now := addJobs(&a, 3*time.Second, func(at time.Duration) float64 { return 15 * at.Seconds() })
	near(is, a.Cores(now, 1500*time.Millisecond), 5*15*4.5, 0.25)
}

func TestWorkThatEndsIsForgotten(t *testing.T) {
	is := is.New(t)
	var a Arrivals
	now := addJobs(&a, 3*time.Second, func(time.Duration) float64 { return 20 })
	is.Equal(a.Cores(now.Add(2*longestWindow), time.Second), 0.0)
	is.Equal(a.Cores(now.Add(time.Hour), time.Second), 0.0)
}

// One job isn't the beginning of a peak.
func TestOneJobCountsOverItsOwnTime(t *testing.T) {
	is := is.New(t)
	var a Arrivals
	a.Add(begin, 60, 4*time.Second) // 15 cores for 4 s
	most := 0.0
	for at := time.Duration(0); at < 5*time.Second; at += 50 * time.Millisecond {
		most = max(most, a.Cores(begin.Add(at), 1500*time.Millisecond))
	}
	is.True(most <= maxGrowth*60/longestWindow.Seconds())
}
