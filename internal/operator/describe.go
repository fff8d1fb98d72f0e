package operator

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/beryltide/beryltide/internal/configuration"
)

// Difference is one difference between two configurations.
type Difference struct {
	// Path is the path of an entry, or of an entry's field, such as
	// "teams.vets.limit".
	Path string `json:"path"`
	// From and To are JSON values. From is empty for an addition, To for a
	// deletion.
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// String returns the difference as one line.
func (d Difference) String() string {
	switch {
	case d.From == "":
		return fmt.Sprintf("+ %s %s", d.Path, d.To)
	case d.To == "":
		return fmt.Sprintf("- %s", d.Path)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", d.Path, d.From, d.To)
	}
}

// Describe returns the differences between two documents, sorted by section,
// entry and field.
func Describe(from, to *configuration.Document) []Difference {
	var differences []Difference
	before, after := changedSections(from, to)
	for _, section := range slices.Sorted(maps.Keys(after)) {
		differences = append(differences, describeSection(section, before[section], after[section])...)
	}
	return differences
}

// section holds the fields of each entry, by the entry's name.
type section map[string]fields

// fields holds JSON values by field name.
type fields map[string]json.RawMessage

// changedSections returns the sections of two documents without the entries that are
// equal in both, which are most of them and would take the most time to encode.
func changedSections(from, to *configuration.Document) (before, after map[string]section) {
	before, after = map[string]section{}, map[string]section{}
	addChanged(before, after, "dataCentres", from.DataCentres, to.DataCentres)
	addChanged(before, after, "services", from.Services, to.Services)
	addChanged(before, after, "pools", from.Pools, to.Pools)
	addChanged(before, after, "queues", from.Queues, to.Queues)
	addChanged(before, after, "teams", from.Teams, to.Teams)
	addChanged(before, after, "keys", from.Keys, to.Keys)
	before["maintenance"] = section{"": fieldsOf(from.Maintenance)}
	after["maintenance"] = section{"": fieldsOf(to.Maintenance)}
	return before, after
}

func addChanged[T comparable](before, after map[string]section, name string, from, to map[string]T) {
	before[name], after[name] = entriesBeside(from, to), entriesBeside(to, from)
}

// entriesBeside returns the entries that other doesn't hold with the same value.
func entriesBeside[T comparable](entries, other map[string]T) section {
	s := section{}
	for name, e := range entries {
		if o, ok := other[name]; !ok || o != e {
			s[name] = fieldsOf(e)
		}
	}
	return s
}

func fieldsOf(entry any) fields {
	f := fields{}
	data, err := json.Marshal(entry)
	if err != nil {
		return f
	}
	// JSON encoded from a struct always decodes into a map of its fields.
	_ = json.Unmarshal(data, &f)
	return f
}

func describeSection(name string, from, to section) []Difference {
	var differences []Difference
	names := maps.Clone(from)
	maps.Copy(names, to)
	for _, entry := range slices.Sorted(maps.Keys(names)) {
		path := name
		if entry != "" {
			path += "." + entry
		}
		before, inFrom := from[entry]
		after, inTo := to[entry]
		switch {
		case !inFrom:
			differences = append(differences, Difference{Path: path, To: encode(after)})
		case !inTo:
			differences = append(differences, Difference{Path: path, From: encode(before)})
		default:
			differences = append(differences, describeFields(path, before, after)...)
		}
	}
	return differences
}

func describeFields(path string, from, to fields) []Difference {
	var differences []Difference
	names := maps.Clone(from)
	maps.Copy(names, to)
	for _, f := range slices.Sorted(maps.Keys(names)) {
		before, after := orNull(from[f]), orNull(to[f])
		if before != after {
			differences = append(differences, Difference{Path: path + "." + f, From: before, To: after})
		}
	}
	return differences
}

func orNull(raw json.RawMessage) string {
	if raw == nil {
		return "null"
	}
	return string(raw)
}

func encode(f fields) string {
	// Raw JSON values always encode.
	data, _ := json.Marshal(f)
	return string(data)
}
