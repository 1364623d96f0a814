package manifest

import (
	"fmt"
	"reflect"

	"github.com/jackdawloom/jackdawloom/internal/state/finding"
)

// Parse decodes an operator's manifest, applies defaults and validates it. name
// is the file name used in findings. On failure it returns a nil manifest and a
// *finding.Error that holds every problem of the document. A document that is not
// valid JSON has a single finding, since nothing after the syntax error is reliable.
func Parse(name string, b []byte) (*Manifest, error) {
	bindings := newBinder(name)
	if len(b) > MaxBytes {
		bindings.add("", 0, fmt.Sprintf("%d bytes; the limit is %d", len(b), MaxBytes), "")
		return nil, bindings.found.Err()
	}
	tree, syntax := readTree(b)
	if syntax != nil {
		bindings.add("", syntax.line, "not valid JSON: "+syntax.err.Error(), "")
		return nil, bindings.found.Err()
	}
	var m Manifest
	bindings.bind("", tree, reflect.ValueOf(&m).Elem())
	if tree.kind != kindObject {
		return nil, bindings.found.Err()
	}
	m.ApplyDefaults()
	v := &validator{file: name, lines: bindings.lines, invalid: bindings.invalid}
	v.manifest(&m)
	bindings.found.Append(v.found)
	if err := bindings.found.Err(); err != nil {
		return nil, err
	}
	return &m, nil
}

// ApplyDefaults sets unset fields to their defaults. Defaults are stored with the
// accepted manifest, so that a later release with a different default moves no keys.
func (m *Manifest) ApplyDefaults() {
	for i := range m.Services {
		if m.Services[i].Shards == 0 {
			m.Services[i].Shards = DefaultShards
		}
	}
}

// Validate returns every problem of the manifest. Its findings name the field but no
// line; those of Parse also have line numbers.
func (m *Manifest) Validate(file string) finding.List {
	v := &validator{file: file}
	v.manifest(m)
	return v.found
}
