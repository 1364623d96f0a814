package manifest

import (
	"fmt"
	"reflect"

	"github.com/jackdawloom/jackdawloom/internal/state/finding"
)

// Parse reads an operator's manifest, applies defaults and validates it. name
// is the file name used in findings. The error is a *finding.Error that holds
// every problem of the document; the manifest is nil then. A document that is
// not JSON has one finding, since nothing after the fault can be trusted.
func Parse(name string, b []byte) (*Manifest, error) {
	bound := newBinder(name)
	if len(b) > MaxBytes {
		bound.add("", 0, fmt.Sprintf("%d bytes; the limit is %d", len(b), MaxBytes), "")
		return nil, bound.found.Err()
	}
	tree, syntax := readTree(b)
	if syntax != nil {
		bound.add("", syntax.line, "not valid JSON: "+syntax.err.Error(), "")
		return nil, bound.found.Err()
	}
	var m Manifest
	bound.bind("", tree, reflect.ValueOf(&m).Elem())
	if tree.kind != kindObject {
		return nil, bound.found.Err()
	}
	m.ApplyDefaults()
	v := &validator{file: name, lines: bound.lines, skip: bound.wrong}
	v.manifest(&m)
	bound.found.Append(v.found)
	if err := bound.found.Err(); err != nil {
		return nil, err
	}
	return &m, nil
}

// ApplyDefaults replaces unset fields by their defaults. Defaults are stored
// with the accepted manifest, so that a later release with another default
// moves no key.
func (m *Manifest) ApplyDefaults() {
	for i := range m.Services {
		if m.Services[i].Shards == 0 {
			m.Services[i].Shards = DefaultShards
		}
	}
}

// Validate returns every problem of the manifest. Findings carry the place but
// no line; Parse also gives lines.
func (m *Manifest) Validate(file string) finding.List {
	v := &validator{file: file}
	v.manifest(m)
	return v.found
}
