// Package departures remembers which backend servers are about to go.
//
// A backend server leaves once any signal says so: the directory's list or its
// own answer. Since lists lag and may come out of order, one signal counts for
// a while even when the next says otherwise. The package imports no I/O.
package departures

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/beryltide/beryltide/internal/platform"
)

// hold is how long a signal counts after it was last given.
const signalLifetime = 30 * time.Second

// Set is the leaving backend servers. It is safe for concurrent use.
type Set struct {
	mu    sync.RWMutex
	until map[string]time.Time
	// told are those that said so to this daemon itself.
	local map[string]time.Time
}

// New returns an empty set.
func New() *Set {
	return &Set{until: map[string]time.Time{}, local: map[string]time.Time{}}
}

// Listed takes a list of the directory, read at a time. What a list lacks is
// not thereby leaving: lists lag, and may be empty.
func (s *Set) Listed(instances []platform.Listing, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range instances {
		if i.Leaving {
			s.until[i.Instance] = now.Add(signalLifetime)
		}
	}
	for name, until := range s.until {
		if !now.Before(until) {
			delete(s.until, name)
		}
	}
}

// Answered takes what a backend server says of itself.
func (s *Set) Answered(instance string, leaving bool, now time.Time) {
	if !leaving {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until[instance] = now.Add(signalLifetime)
	s.local[instance] = now.Add(signalLifetime)
}

// Heard takes what a peer was told by a backend server.
func (s *Set) Heard(instance string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until[instance] = now.Add(signalLifetime)
}

// Told returns the instances that said that they leave to this daemon itself,
// sorted. Peers are told of these, and don't tell them on.
func (s *Set) Told(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.local, func(_ string, until time.Time) bool { return !now.Before(until) })
	return slices.Sorted(maps.Keys(s.local))
}

// Has tells whether an instance is leaving.
func (s *Set) Has(instance string, now time.Time) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	until, ok := s.until[instance]
	return ok && now.Before(until)
}
