package store

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestOutageDetection(t *testing.T) {
	for _, c := range []struct {
		name string
		// calls holds for each call, 200 ms apart, whether it is served.
		calls []bool
		away  bool
	}{
		{"no calls yet", nil, false},
		{"one answer in three lost", []bool{true, false, true, true, false, true, true, false}, false},
		{"two lost in a row", []bool{true, false, false}, false},
		{"four failures in a row", []bool{true, false, false, false, false}, true},
		{"back", []bool{false, false, false, false, true}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Duration(0)
			h := NewHealth(func() time.Duration { return now }, outageFailures)
			for _, served := range c.calls {
				now += 200 * time.Millisecond
				h.Observe(served)
			}
			is.Equal(h.Away() > 0, c.away)
		})
	}
}

func TestSimultaneousFailuresArentAnOutage(t *testing.T) {
	is := is.New(t)
	now := time.Second
	h := NewHealth(func() time.Duration { return now }, outageFailures)
	for range 10 {
		h.Observe(false) // connections reset at the same moment
	}
	is.Equal(h.Away(), time.Duration(0))
	now += outageSilence
	is.Equal(h.Away(), time.Duration(0)) // no call since
	h.Observe(false)
	is.True(h.Away() > 0)
}

// Old failures of calls that are seldom made aren't an outage.
func TestOldFailuresDontCount(t *testing.T) {
	is := is.New(t)
	now := time.Second
	h := NewHealth(func() time.Duration { return now }, 2)
	h.Observe(false)
	now += outageSilence
	h.Observe(false)
	is.True(h.Away() > 0)
	now += failureTTL + time.Millisecond
	is.Equal(h.Away(), time.Duration(0))
}
