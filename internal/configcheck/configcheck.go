// Package configcheck finds what is doubtful in a valid configuration: entries
// that can have no effect, and limits that contradict each other.
//
// It owns no rule of validity: internal/configuration decides what is accepted,
// and a finding here never refuses a document. It does no I/O.
package configcheck

import (
	"cmp"
	"slices"

	"github.com/beryltide/beryltide/internal/configuration"
)

// Kind is the class of a finding.
type Kind string

const (
	// Invalid is a fault for which the configuration would be refused.
	Invalid Kind = "invalid"
	// NoEffect is an entry that can have no effect.
	NoEffect Kind = "no-effect"
	// Contradiction is a limit that another value contradicts.
	Contradiction Kind = "contradiction"
)

// Finding is one result of a check.
type Finding struct {
	Kind Kind `json:"kind"`
	// File, Path, Value and Problem are those of a configuration.Fault.
	File    string `json:"file,omitempty"`
	Path    string `json:"path,omitempty"`
	Value   string `json:"value,omitempty"`
	Problem string `json:"problem"`
}

// String returns the finding as one line.
func (f Finding) String() string {
	fault := configuration.Fault{File: f.File, Path: f.Path, Value: f.Value, Problem: f.Problem}
	return string(f.Kind) + ": " + fault.Error()
}

// FromFaults returns the findings that stand for faults.
func FromFaults(faults configuration.Faults) []Finding {
	findings := make([]Finding, len(faults))
	for i, f := range faults {
		findings[i] = Finding{Kind: Invalid, File: f.File, Path: f.Path, Value: f.Value, Problem: f.Problem}
	}
	return findings
}

// Check returns the findings in a valid document, sorted by path. Its time is
// linear in the number of entries, apart from the sorting.
func Check(doc *configuration.Document, origins configuration.Origins) []Finding {
	c := checker{doc: doc, use: summarize(doc)}
	c.dataCentres()
	each(doc.Services, c.service)
	each(doc.Pools, c.pool)
	each(doc.Queues, c.queue)
	each(doc.Teams, c.team)
	each(doc.Keys, c.key)
	for i := range c.findings {
		c.findings[i].File = origins.FileOf(c.findings[i].Path)
	}
	slices.SortFunc(c.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Path, b.Path), cmp.Compare(a.Problem, b.Problem))
	})
	return c.findings
}

// use counts what refers to each entry.
type use struct {
	queuesOfService, queuesOfPool map[string]int
	// sizeOfService is the number of instances of a service's pools at normal
	// demand.
	sizeOfService map[string]int
	keysOfTeam    map[string]int
	openQueuesOf  map[string]int
	// aboveMinimum is the number of instances that all pools together have above
	// their minimum sizes at normal demand.
	aboveMinimum int
}

func summarize(doc *configuration.Document) use {
	u := use{
		queuesOfService: map[string]int{}, queuesOfPool: map[string]int{}, sizeOfService: map[string]int{},
		keysOfTeam: map[string]int{}, openQueuesOf: map[string]int{},
	}
	for _, q := range doc.Queues {
		u.queuesOfService[q.Service]++
		u.queuesOfPool[q.Pool]++
		if q.Open {
			u.openQueuesOf[q.OpenTeam]++
		}
	}
	for _, p := range doc.Pools {
		u.aboveMinimum += p.Size - p.MinSize
		if !p.Spare {
			u.sizeOfService[p.Service] += p.Size
		}
	}
	for _, k := range doc.Keys {
		u.keysOfTeam[k.Team]++
	}
	return u
}

func each[T any](section map[string]T, check func(name string, entry T)) {
	for name, entry := range section {
		check(name, entry)
	}
}
