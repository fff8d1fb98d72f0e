package configuration

import (
	"strings"

	"github.com/pkg/errors"
)

// ErrStale reports a change that is based on a revision other than the active
// one.
var ErrStale = errors.New("the change is based on a stale revision")

// Fault is one error in a configuration.
type Fault struct {
	// File is the file's name, or "" for a document that wasn't read from
	// files.
	File string
	// Path is the path of the value, such as "queues.engraving.pool", or the
	// line of a syntax error.
	Path    string
	Value   string
	Problem string
}

// Error implements error.
func (f Fault) Error() string {
	var parts []string
	if f.File != "" {
		parts = append(parts, f.File)
	}
	where := f.Path
	if f.Value != "" {
		where += " = " + f.Value
	}
	if where != "" {
		parts = append(parts, where)
	}
	return strings.Join(append(parts, f.Problem), ": ")
}

// Faults are all the errors in a configuration.
type Faults []Fault

// Error implements error, with one line for each fault.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}
