package configuration

import (
	"maps"
	"reflect"
	"slices"
	"strings"
)

// File is one configuration file: its name, for errors, and its bytes.
type File struct {
	Name string
	Data []byte
}

// Compose decodes files and merges them into one valid document. A file may
// hold any of the document's sections, and each entry belongs to one file. The
// error is a Faults that lists every fault with its file, path and value.
func Compose(files []File) (*Document, error) {
	doc, _, err := ComposeWithOrigins(files)
	return doc, err
}

// Origins maps the path of each entry to the name of the file that holds it.
type Origins map[string]string

// FileOf returns the file of the longest prefix of path that has an origin, or
// "" if none has.
func (o Origins) FileOf(path string) string {
	for path != "" {
		if file, ok := o[path]; ok {
			return file
		}
		path = path[:max(0, strings.LastIndexByte(path, '.'))]
	}
	return ""
}

// ComposeWithOrigins is Compose, and also returns which file holds each entry.
func ComposeWithOrigins(files []File) (*Document, Origins, error) {
	c := composer{doc: &Document{}, origin: Origins{}}
	for _, f := range files {
		c.add(f)
	}
	if len(c.faults) > 0 {
		return nil, nil, c.faults
	}
	// A document that failed to decode isn't validated: each reference to an
	// entry that didn't decode would be reported as a fault too.
	faults := Validate(c.doc)
	for i := range faults {
		faults[i].File = c.origin.FileOf(faults[i].Path)
	}
	if len(faults) > 0 {
		return nil, nil, faults
	}
	return c.doc, c.origin, nil
}

// composer merges files.
type composer struct {
	doc    *Document
	origin Origins
	faults Faults
}

func (c *composer) add(f File) {
	root, faults := parseTree(f)
	if len(faults) > 0 {
		c.faults = append(c.faults, faults...)
		return
	}
	var part Document
	b := binder{file: f.Name, fields: map[reflect.Type]map[string]int{}}
	b.bind("", root, reflect.ValueOf(&part).Elem())
	c.faults = append(c.faults, b.faults...)
	c.merge(f.Name, &part)
	if root.has("maintenance") && c.recordOrigin(f.Name, "maintenance") {
		c.doc.Maintenance = part.Maintenance
	}
}

func (c *composer) merge(file string, part *Document) {
	mergeSection(c, file, "dataCentres", &c.doc.DataCentres, part.DataCentres)
	mergeSection(c, file, "services", &c.doc.Services, part.Services)
	mergeSection(c, file, "pools", &c.doc.Pools, part.Pools)
	mergeSection(c, file, "queues", &c.doc.Queues, part.Queues)
	mergeSection(c, file, "teams", &c.doc.Teams, part.Teams)
	mergeSection(c, file, "keys", &c.doc.Keys, part.Keys)
}

func mergeSection[T any](c *composer, file, section string, into *map[string]T, from map[string]T) {
	if *into == nil {
		*into = make(map[string]T, len(from))
	}
	for _, name := range slices.Sorted(maps.Keys(from)) {
		if c.recordOrigin(file, join(section, name)) {
			(*into)[name] = from[name]
		}
	}
}

// recordOrigin records the file of an entry. If the entry is in another file
// already, it adds a fault and returns false.
func (c *composer) recordOrigin(file, path string) bool {
	if other, ok := c.origin[path]; ok {
		c.faults = append(c.faults, Fault{File: file, Path: path, Problem: "defined in " + other + " already"})
		return false
	}
	c.origin[path] = file
	return true
}
