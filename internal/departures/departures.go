// Package departures records which backend servers are about to leave.
//
// A backend server counts as leaving once any signal reports it: the
// directory's list, its own answer, or a peer that got such an answer. Lists
// lag and may arrive out of order, so a signal stays valid for a fixed time
// even when the next list contradicts it. The package performs no I/O.
package departures

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/beryltide/beryltide/internal/platform"
)

// signalLifetime is how long a signal stays valid after it was last received.
const signalLifetime = 30 * time.Second

// Set holds the backend servers that are leaving. It is safe for concurrent
// use.
type Set struct {
	mu sync.RWMutex
	// until is when the last signal of each backend server expires.
	until map[string]time.Time
	// local is the same for those that reported it in an answer to this daemon.
	local map[string]time.Time
}

// New returns an empty set.
func New() *Set {
	return &Set{until: map[string]time.Time{}, local: map[string]time.Time{}}
}

// RecordList processes a list of the directory, read at the time now. An
// instance that is missing from the list doesn't count as leaving: lists lag,
// and may be empty.
func (s *Set) RecordList(instances []platform.Listing, now time.Time) {
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

// RecordAnswer processes a backend server's own answer to this daemon, which
// reports whether the server is about to leave.
func (s *Set) RecordAnswer(instance string, leaving bool, now time.Time) {
	if !leaving {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until[instance] = now.Add(signalLifetime)
	s.local[instance] = now.Add(signalLifetime)
}

// RecordPeerReport processes a peer's report that a backend server is leaving.
func (s *Set) RecordPeerReport(instance string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until[instance] = now.Add(signalLifetime)
}

// LocalReports returns the instances that reported to this daemon itself that
// they are leaving, sorted. Only these are sent to peers, so that a peer's
// report is not relayed and thereby renewed without end.
func (s *Set) LocalReports(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.local, func(_ string, until time.Time) bool { return !now.Before(until) })
	return slices.Sorted(maps.Keys(s.local))
}

// Has reports whether an instance is leaving.
func (s *Set) Has(instance string, now time.Time) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	until, ok := s.until[instance]
	return ok && now.Before(until)
}
