package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

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

// parser builds the tree of one file. The file must be valid JSON.
type parser struct {
	dec *json.Decoder
	err error
}

// parseTree parses a file. A syntax error is reported with its line.
func parseTree(f File) (node, Faults) {
	var raw json.RawMessage
	if err := json.Unmarshal(f.Data, &raw); err != nil {
		return node{}, Faults{syntaxFault(f, err)}
	}
	p := parser{dec: json.NewDecoder(bytes.NewReader(f.Data))}
	p.dec.UseNumber()
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
	tok := p.token()
	delim, ok := tok.(json.Delim)
	if !ok {
		return node{scalar: tok}
	}
	if depth >= maxNesting && p.err == nil {
		p.err = errors.Errorf("nested deeper than %d", maxNesting)
	}
	if delim == '[' {
		return p.array(depth)
	}
	return p.object(depth)
}

func (p *parser) object(depth int) node {
	n := node{kind: objectNode}
	for p.more() {
		name, _ := p.token().(string)
		n.members = append(n.members, member{name: name, value: p.value(depth + 1)})
	}
	p.token()
	return n
}

// array discards the items: a document has no arrays.
func (p *parser) array(depth int) node {
	for p.more() {
		p.value(depth + 1)
	}
	p.token()
	return node{kind: arrayNode}
}

func (p *parser) more() bool { return p.err == nil && p.dec.More() }

func (p *parser) token() json.Token {
	if p.err != nil {
		return nil
	}
	tok, err := p.dec.Token()
	p.err = err
	return tok
}
