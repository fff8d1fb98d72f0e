package configuration

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// Delta is the difference between two documents: for each section the entries
// to set and those to delete.
type Delta struct {
	DataCentres Changes[DataCentre] `json:"dataCentres,omitzero"`
	Services    Changes[Service]    `json:"services,omitzero"`
	Pools       Changes[Pool]       `json:"pools,omitzero"`
	Queues      Changes[Queue]      `json:"queues,omitzero"`
	Teams       Changes[Team]       `json:"teams,omitzero"`
	Keys        Changes[Key]        `json:"keys,omitzero"`
	Maintenance *Maintenance        `json:"maintenance,omitempty"`
}

// Changes are the differences in one section, by the entries' names.
type Changes[T any] struct {
	Set    map[string]T `json:"set,omitempty"`
	Delete []string     `json:"delete,omitempty"`
}

// IsZero reports whether the section is unchanged.
func (c Changes[T]) IsZero() bool { return len(c.Set) == 0 && len(c.Delete) == 0 }

// Diff returns the delta that turns one document into another.
func Diff(from, to *Document) Delta {
	d := Delta{
		DataCentres: diff(from.DataCentres, to.DataCentres),
		Services:    diff(from.Services, to.Services),
		Pools:       diff(from.Pools, to.Pools),
		Queues:      diff(from.Queues, to.Queues),
		Teams:       diff(from.Teams, to.Teams),
		Keys:        diff(from.Keys, to.Keys),
	}
	if from.Maintenance != to.Maintenance {
		m := to.Maintenance
		d.Maintenance = &m
	}
	return d
}

// IsZero reports whether the delta changes nothing.
func (d Delta) IsZero() bool {
	return d.DataCentres.IsZero() && d.Services.IsZero() && d.Pools.IsZero() &&
		d.Queues.IsZero() && d.Teams.IsZero() && d.Keys.IsZero() && d.Maintenance == nil
}

// Encode returns the delta as JSON, the form in which a record holds it.
func (d Delta) Encode() ([]byte, error) {
	data, err := json.Marshal(d)
	return data, errors.Wrap(err, "encode delta")
}

// DecodeDelta decodes what Delta.Encode returned. Unknown fields and trailing
// data are errors.
func DecodeDelta(data []byte) (Delta, error) {
	var d Delta
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return Delta{}, errors.Wrap(err, "decode delta")
	}
	if _, err := dec.Token(); err != io.EOF {
		return Delta{}, errors.New("decode delta: data after its end")
	}
	return d, nil
}

// Apply returns the document with a delta applied. It modifies neither; the
// returned document shares the maps of unchanged sections with doc.
func (doc *Document) Apply(d Delta) *Document {
	next := &Document{
		DataCentres: apply(doc.DataCentres, d.DataCentres),
		Services:    apply(doc.Services, d.Services),
		Pools:       apply(doc.Pools, d.Pools),
		Queues:      apply(doc.Queues, d.Queues),
		Teams:       apply(doc.Teams, d.Teams),
		Keys:        apply(doc.Keys, d.Keys),
		Maintenance: doc.Maintenance,
	}
	if d.Maintenance != nil {
		next.Maintenance = *d.Maintenance
	}
	return next
}

// Encode returns the document's canonical form: JSON with sorted keys, in which
// a nil section and an empty one are the same.
func (doc *Document) Encode() ([]byte, error) {
	canonical := Document{
		DataCentres: orEmpty(doc.DataCentres),
		Services:    orEmpty(doc.Services),
		Pools:       orEmpty(doc.Pools),
		Queues:      orEmpty(doc.Queues),
		Teams:       orEmpty(doc.Teams),
		Keys:        orEmpty(doc.Keys),
		Maintenance: doc.Maintenance,
	}
	data, err := json.Marshal(canonical)
	return data, errors.Wrap(err, "encode document")
}

// DecodeDocument decodes what Document.Encode returned.
func DecodeDocument(data []byte) (*Document, error) {
	var doc Document
	if err := json.Unmarshal(data, &doc); err != nil {
		return nil, errors.Wrap(err, "decode document")
	}
	return &doc, nil
}

// Digest returns the SHA-256 of the document's canonical form in hexadecimal,
// or "" if the document can't be encoded, for example when a share is NaN.
func (doc *Document) Digest() string {
	data, err := doc.Encode()
	if err != nil {
		return ""
	}
	return DigestOf(data)
}

// DigestOf returns the SHA-256 of a document's canonical form in hexadecimal.
func DigestOf(canonical []byte) string {
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:])
}

func orEmpty[T any](section map[string]T) map[string]T {
	if section == nil {
		return map[string]T{}
	}
	return section
}

func diff[T comparable](from, to map[string]T) Changes[T] {
	c := Changes[T]{}
	for name, v := range to {
		if old, ok := from[name]; ok && old == v {
			continue
		}
		if c.Set == nil {
			c.Set = map[string]T{}
		}
		c.Set[name] = v
	}
	for _, name := range slices.Sorted(maps.Keys(from)) {
		if _, ok := to[name]; !ok {
			c.Delete = append(c.Delete, name)
		}
	}
	return c
}

// apply returns the section with changes applied: the section's own map if
// there are none, otherwise a copy.
func apply[T any](section map[string]T, c Changes[T]) map[string]T {
	if c.IsZero() {
		return section
	}
	next := maps.Clone(section)
	if next == nil {
		next = map[string]T{}
	}
	for _, name := range c.Delete {
		delete(next, name)
	}
	maps.Copy(next, c.Set)
	return next
}
