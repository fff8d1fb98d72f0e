// Package datacentre is the aggregate of data centres: which of them operators
// have taken out of service.
//
// The package does no I/O.
package datacentre

import (
	"maps"
	"slices"
)

// Set is the data centres of one configuration. It is immutable.
type Set struct {
	inService map[string]bool
}

// NewSet returns a set of data centres, by name; true is in service.
func NewSet(inService map[string]bool) Set {
	return Set{inService: maps.Clone(inService)}
}

// InService reports whether work may start in a data centre. A data centre that
// the configuration doesn't name is out of service.
func (s Set) InService(name string) bool { return s.inService[name] }

// Names returns all data centres, sorted.
func (s Set) Names() []string { return slices.Sorted(maps.Keys(s.inService)) }
