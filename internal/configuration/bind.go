package configuration

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// maxQuotedBytes is the length above which a value quoted in a fault is cut.
const maxQuotedBytes = 80

// binder decodes a parsed file into typed values and collects every fault.
type binder struct {
	file   string
	faults Faults
	// fields holds fieldsOf each type bound so far: a file has many entries of few types.
	fields map[reflect.Type]map[string]int
	// secret is true while a field is bound that may hold a secret by mistake.
	secret bool
}

func (b *binder) addFault(path, value, problem string) {
	b.faults = append(b.faults, Fault{File: b.file, Path: path, Value: value, Problem: problem})
}

func (b *binder) wrongType(path string, n node, want string) {
	b.addFault(path, b.shown(n), "want "+want)
}

// shown returns what a fault shows of a value: nothing of the fields that may hold a
// secret.
func (b *binder) shown(n node) string {
	if !b.secret {
		return n.String()
	}
	text, _ := n.scalar.(string)
	return string(redactedHash(text))
}

func (b *binder) bind(path string, n node, into reflect.Value) {
	if into.Type() == reflect.TypeFor[Duration]() {
		b.bindDuration(path, n, into)
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		b.bindStruct(path, n, into)
	case reflect.Map:
		b.bindMap(path, n, into)
	default:
		b.bindScalar(path, n, into)
	}
}

func (b *binder) bindStruct(path string, n node, into reflect.Value) {
	if n.kind != objectNode {
		b.wrongType(path, n, "an object")
		return
	}
	fields := b.fields[into.Type()]
	if fields == nil {
		fields = fieldsOf(into.Type())
		b.fields[into.Type()] = fields
	}
	seen := map[string]bool{}
	for _, m := range n.members {
		memberPath := join(path, m.name)
		i, known := fields[m.name]
		b.secret = known && into.Type().Field(i).Tag.Get("secret") == "true"
		switch {
		case seen[m.name]:
			b.addFault(memberPath, b.shown(m.value), "duplicate key")
		case !known:
			b.addFault(memberPath, "", "unknown field")
		default:
			b.bind(memberPath, m.value, into.Field(i))
		}
		b.secret = false
		seen[m.name] = true
	}
	for i := range into.NumField() {
		field := into.Type().Field(i)
		if field.Tag.Get("required") == "true" && !seen[jsonName(field)] {
			b.addFault(join(path, jsonName(field)), "", "missing field")
		}
	}
}

func (b *binder) bindMap(path string, n node, into reflect.Value) {
	if n.kind != objectNode {
		b.wrongType(path, n, "an object")
		return
	}
	into.Set(reflect.MakeMapWithSize(into.Type(), len(n.members)))
	seen := map[string]bool{}
	for _, m := range n.members {
		memberPath := join(path, m.name)
		if seen[m.name] {
			b.addFault(memberPath, "", "duplicate key")
			continue
		}
		seen[m.name] = true
		entry := reflect.New(into.Type().Elem()).Elem()
		b.bind(memberPath, m.value, entry)
		into.SetMapIndex(reflect.ValueOf(m.name), entry)
	}
}

func (b *binder) bindScalar(path string, n node, into reflect.Value) {
	switch into.Kind() {
	case reflect.String:
		s, ok := n.scalar.(string)
		if !ok {
			b.wrongType(path, n, "a string")
		}
		into.SetString(s)
	case reflect.Bool:
		v, ok := n.scalar.(bool)
		if !ok {
			b.wrongType(path, n, "true or false")
		}
		into.SetBool(v)
	case reflect.Int, reflect.Int64:
		num, _ := n.scalar.(json.Number)
		v, err := strconv.ParseInt(num.String(), 10, 64)
		if err != nil {
			b.wrongType(path, n, "a whole number")
		}
		into.SetInt(v)
	case reflect.Float64:
		num, _ := n.scalar.(json.Number)
		v, err := strconv.ParseFloat(num.String(), 64)
		if err != nil {
			b.wrongType(path, n, "a number")
		}
		into.SetFloat(v)
	default:
		panic(fmt.Sprintf("configuration: no binding for %s", into.Type()))
	}
}

func (b *binder) bindDuration(path string, n node, into reflect.Value) {
	s, ok := n.scalar.(string)
	d, err := parseDuration(s)
	if !ok || err != nil {
		b.wrongType(path, n, "a duration with a unit, such as \"1.5s\"")
		return
	}
	into.SetInt(int64(d))
}

// String returns a scalar as JSON, cut to maxQuotedBytes, and a placeholder for
// an object or an array.
func (n node) String() string {
	switch n.kind {
	case objectNode:
		return "{…}"
	case arrayNode:
		return "[…]"
	default:
		return quote(n.scalar)
	}
}

// quote returns a scalar as JSON, cut to maxQuotedBytes.
func quote(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	if len(data) > maxQuotedBytes {
		return string(data[:maxQuotedBytes]) + "…"
	}
	return string(data)
}

// fieldsOf returns the indices of a struct's fields by their names in files.
func fieldsOf(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		fields[jsonName(t.Field(i))] = i
	}
	return fields
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
