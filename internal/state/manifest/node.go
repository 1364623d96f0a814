package manifest

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
)

// maxDepth limits the nesting of a manifest. The deepest field is
// services[].classes[].objective.ratio, at six levels.
const maxDepth = 16

var errTooDeep = errors.New("nested too deeply")

// node is a JSON value with its line number.
type node struct {
	line   int
	value  any // nil, bool, json.Number or string; unset for containers
	fields []field
	items  []*node
	kind   nodeKind
}

type field struct {
	name string
	line int
	node *node
}

type nodeKind string

const (
	kindNull   nodeKind = "null"
	kindBool   nodeKind = "boolean"
	kindNumber nodeKind = "number"
	kindString nodeKind = "string"
	kindObject nodeKind = "object"
	kindArray  nodeKind = "array"
)

// lineIndex holds the byte offset at which each line starts.
type lineIndex []int

func newLineIndex(b []byte) lineIndex {
	starts := lineIndex{0}
	for i, c := range b {
		if c == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

func (x lineIndex) lineAt(offset int64) int {
	return sort.Search(len(x), func(i int) bool { return int64(x[i]) > offset })
}

// syntaxError is the first JSON syntax error of a document, or the point at which its
// nesting exceeds maxDepth.
type syntaxError struct {
	line int
	err  error
}

// readTree parses a document that consists of one JSON value.
func readTree(b []byte) (*node, *syntaxError) {
	lines := newLineIndex(b)
	if err := json.Unmarshal(b, new(json.RawMessage)); err != nil {
		return nil, &syntaxError{line: lines.lineAt(syntaxOffset(err, b)), err: err}
	}
	r := &treeReader{dec: json.NewDecoder(bytes.NewReader(b)), lines: lines}
	r.dec.UseNumber()
	n, err := r.readValue(0)
	if err != nil {
		return nil, &syntaxError{line: r.line(), err: err}
	}
	return n, nil
}

func syntaxOffset(err error, b []byte) int64 {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) && syntax.Offset > 0 {
		return syntax.Offset - 1
	}
	return int64(max(0, len(b)-1))
}

type treeReader struct {
	dec   *json.Decoder
	lines lineIndex
}

// line returns the line of the most recent token. JSON tokens do not span lines.
func (r *treeReader) line() int { return r.lines.lineAt(max(0, r.dec.InputOffset()-1)) }

func (r *treeReader) readValue(depth int) (*node, error) {
	if depth > maxDepth {
		return nil, errTooDeep
	}
	token, err := r.dec.Token()
	if err != nil {
		return nil, err
	}
	n := &node{line: r.line(), value: token}
	switch t := token.(type) {
	case nil:
		n.kind = kindNull
	case bool:
		n.kind = kindBool
	case json.Number:
		n.kind = kindNumber
	case string:
		n.kind = kindString
	case json.Delim:
		n.value = nil
		return n, r.readContainer(n, t, depth)
	default:
		return nil, fmt.Errorf("unexpected token %v", token)
	}
	return n, nil
}

func (r *treeReader) readContainer(n *node, delim json.Delim, depth int) error {
	n.kind = kindArray
	if delim == '{' {
		n.kind = kindObject
	}
	for r.dec.More() {
		if err := r.readElement(n, depth); err != nil {
			return err
		}
	}
	_, err := r.dec.Token()
	return err
}

func (r *treeReader) readElement(n *node, depth int) error {
	if n.kind == kindArray {
		item, err := r.readValue(depth + 1)
		n.items = append(n.items, item)
		return err
	}
	token, err := r.dec.Token()
	if err != nil {
		return err
	}
	name, _ := token.(string)
	f := field{name: name, line: r.line()}
	f.node, err = r.readValue(depth + 1)
	n.fields = append(n.fields, f)
	return err
}
