package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// maxNesting is the maximum nesting of objects and arrays in a configuration
// file.
const maxNesting = 16

// node is a parsed JSON value. Unlike a map decoded by encoding/json it keeps
// duplicate members, so that they can be reported.
type node struct {
	kind    nodeKind
	scalar  any
	members []member
}

type member struct {
	name  string
	value node
}

type nodeKind uint8

const (
	// scalarNode holds a string, json.Number, bool or nil.
	scalarNode nodeKind = iota
	objectNode
	arrayNode
)

// has reports whether an object has a member with the given name.
func (n node) has(name string) bool {
	return slices.ContainsFunc(n.members, func(m member) bool { return m.name == name })
}

// parser builds the tree of one file. The file must be valid JSON. It reads the bytes
// itself, since a json.Decoder takes several times as long for each token, and
// configurations may hold 100,000 entries.
type parser struct {
	data []byte
	pos  int
	err  error
}

// parseTree parses a file. A syntax error is reported with its line.
func parseTree(f File) (node, Faults) {
	if !json.Valid(f.Data) {
		var raw json.RawMessage
		return node{}, Faults{syntaxFault(f, json.Unmarshal(f.Data, &raw))}
	}
	p := parser{data: f.Data}
	n := p.value(0)
	if p.err != nil {
		return node{}, Faults{{File: f.Name, Problem: p.err.Error()}}
	}
	return n, nil
}

func syntaxFault(f File, err error) Fault {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return Fault{File: f.Name, Problem: err.Error()}
	}
	before := f.Data[:min(int(syntax.Offset), len(f.Data))]
	line := bytes.Count(before, []byte{'\n'}) + 1
	return Fault{File: f.Name, Path: fmt.Sprintf("line %d", line), Problem: syntax.Error()}
}

func (p *parser) value(depth int) node {
	first := p.peek()
	if first != '{' && first != '[' {
		return node{scalar: p.scalar(first)}
	}
	if depth >= maxNesting && p.err == nil {
		p.err = errors.Errorf("nested deeper than %d", maxNesting)
	}
	p.pos++
	if first == '[' {
		return p.array(depth)
	}
	return p.object(depth)
}

func (p *parser) object(depth int) node {
	n := node{kind: objectNode}
	for p.more() {
		p.peek()
		name := p.text()
		p.peek()
		p.pos++ // the colon
		n.members = append(n.members, member{name: name, value: p.value(depth + 1)})
	}
	return n
}

// array discards the items: a document has no arrays.
func (p *parser) array(depth int) node {
	for p.more() {
		p.value(depth + 1)
	}
	return node{kind: arrayNode}
}

// more skips a comma and reports whether the object or array has another item. If
// not, it skips the end.
func (p *parser) more() bool {
	if p.err != nil {
		return false
	}
	switch p.peek() {
	case ',':
		p.pos++
	case '}', ']':
		p.pos++
		return false
	}
	return true
}

// peek skips white space and returns the next byte.
func (p *parser) peek() byte {
	for p.data[p.pos] == ' ' || p.data[p.pos] == '\t' || p.data[p.pos] == '\n' || p.data[p.pos] == '\r' {
		p.pos++
	}
	return p.data[p.pos]
}

// scalar returns the next value, which starts with the given byte: a string,
// json.Number, bool or nil.
func (p *parser) scalar(first byte) any {
	switch first {
	case '"':
		return p.text()
	case 't':
		p.pos += len("true")
		return true
	case 'f':
		p.pos += len("false")
		return false
	case 'n':
		p.pos += len("null")
		return nil
	}
	start := p.pos
	for p.pos < len(p.data) && bytes.IndexByte([]byte("+-.0123456789Ee"), p.data[p.pos]) >= 0 {
		p.pos++
	}
	return json.Number(p.data[start:p.pos])
}

// text returns the next value, which must be a string.
func (p *parser) text() string {
	start, plain := p.pos, true
	for p.pos++; p.data[p.pos] != '"'; p.pos++ {
		switch c := p.data[p.pos]; {
		case c == '\\':
			plain = false
			p.pos++
		case c >= utf8.RuneSelf:
			plain = false
		}
	}
	p.pos++
	if plain {
		return string(p.data[start+1 : p.pos-1])
	}
	var s string
	// A string of a valid file always decodes.
	_ = json.Unmarshal(p.data[start:p.pos], &s)
	return s
}
