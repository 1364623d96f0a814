package manifest

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/jackdawloom/jackdawloom/internal/state/finding"
)

// binder decodes a JSON tree into a struct. It records a finding for every value that
// does not match the struct, and the line of every field.
type binder struct {
	file    string
	lines   map[string]int
	invalid map[string]bool // paths with a finding; their values are not validated
	found   finding.List
}

func newBinder(file string) *binder {
	return &binder{file: file, lines: map[string]int{}, invalid: map[string]bool{}}
}

func (b *binder) add(path string, line int, problem, remedy string) {
	section, key := splitPath(path)
	b.invalid[path] = true
	b.found.Add(finding.Location{File: b.file, Section: section, Key: key, Line: line}, problem, remedy)
}

// splitPath splits a path such as services[0].targets[1].slots at its last dot. Dots
// within brackets are part of a name.
func splitPath(path string) (section, key string) {
	depth := 0
	for i := len(path) - 1; i >= 0; i-- {
		switch path[i] {
		case ']':
			depth++
		case '[':
			depth--
		case '.':
			if depth == 0 {
				return path[:i], path[i+1:]
			}
		}
	}
	return "", path
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func (b *binder) bind(path string, n *node, v reflect.Value) {
	b.lines[path] = n.line
	switch v.Kind() {
	case reflect.Struct:
		b.bindObject(path, n, v)
	case reflect.Slice:
		b.bindArray(path, n, v)
	case reflect.String:
		b.bindString(path, n, v)
	case reflect.Bool:
		b.bindBool(path, n, v)
	case reflect.Int:
		b.bindInt(path, n, v)
	case reflect.Float64:
		b.bindFloat(path, n, v)
	default:
		panic("manifest: no binding for " + v.Kind().String())
	}
}

func (b *binder) expectKind(path string, n *node, want nodeKind) bool {
	if n.kind == want {
		return true
	}
	b.add(path, n.line, fmt.Sprintf("is of type %s; expected %s", n.kind, want), "")
	return false
}

func (b *binder) bindObject(path string, n *node, v reflect.Value) {
	if !b.expectKind(path, n, kindObject) {
		return
	}
	index, known := fieldIndex(v.Type())
	seen := map[string]bool{}
	for _, f := range n.fields {
		i, ok := index[f.name]
		fieldPath := joinPath(path, f.name)
		switch {
		case !ok:
			b.add(fieldPath, f.line, "unknown field", finding.Suggest(f.name, known))
		case seen[f.name]:
			b.add(fieldPath, f.line, "field given twice", "keep one")
		default:
			b.bind(fieldPath, f.node, v.Field(i))
		}
		seen[f.name] = true
	}
}

// fieldIndex maps the JSON names of a struct's fields to their indexes, and also
// returns the names in the order of the fields.
func fieldIndex(t reflect.Type) (map[string]int, []string) {
	index := make(map[string]int, t.NumField())
	var known []string
	for i := range t.NumField() {
		name := jsonName(t, i)
		index[name] = i
		known = append(known, name)
	}
	return index, known
}

func jsonName(t reflect.Type, field int) string {
	name, _, _ := strings.Cut(t.Field(field).Tag.Get("json"), ",")
	return name
}

func (b *binder) bindArray(path string, n *node, v reflect.Value) {
	if !b.expectKind(path, n, kindArray) {
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.items), len(n.items)))
	// No list may have more than MaxTargets entries. The validator reports longer
	// lists by their length, so the entries beyond the limit are not decoded.
	for i, item := range n.items[:min(len(n.items), MaxTargets)] {
		b.bind(path+"["+strconv.Itoa(i)+"]", item, v.Index(i))
	}
}

func (b *binder) bindString(path string, n *node, v reflect.Value) {
	if b.expectKind(path, n, kindString) {
		v.SetString(n.value.(string))
	}
}

func (b *binder) bindBool(path string, n *node, v reflect.Value) {
	if b.expectKind(path, n, kindBool) {
		v.SetBool(n.value.(bool))
	}
}

func (b *binder) bindInt(path string, n *node, v reflect.Value) {
	if !b.expectKind(path, n, kindNumber) {
		return
	}
	i, err := strconv.ParseInt(n.value.(json.Number).String(), 10, 32)
	if err != nil {
		b.add(path, n.line, fmt.Sprintf("%s is not a 32-bit whole number", n.value), "")
		return
	}
	v.SetInt(i)
}

func (b *binder) bindFloat(path string, n *node, v reflect.Value) {
	if !b.expectKind(path, n, kindNumber) {
		return
	}
	f, err := n.value.(json.Number).Float64()
	if err != nil {
		b.add(path, n.line, fmt.Sprintf("%s is out of range", n.value), "")
		return
	}
	v.SetFloat(f)
}
