package manifest

import (
	"fmt"
	"reflect"
	"strings"
)

// ChangeKind is the kind of difference between two manifests.
type ChangeKind string

// Values of ChangeKind.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two manifests. Paths identify list entries by
// name, so reordering targets is not a change. Effect describes a consequence that is
// not evident from the values.
type Change struct {
	Kind   ChangeKind `json:"kind"`
	Path   string     `json:"path"`
	Old    string     `json:"old,omitempty"`
	New    string     `json:"new,omitempty"`
	Effect string     `json:"effect,omitempty"`
}

// String formats the change on one line.
func (c Change) String() string {
	s := string(c.Kind) + " " + c.Path
	if c.Kind == Changed {
		s += ": " + c.Old + " -> " + c.New
	}
	if c.Effect != "" {
		s += " (" + c.Effect + ")"
	}
	return s
}

// Diff returns the changes from old to updated, in the order of the document.
// Defaults are applied to copies of both before they are compared.
func Diff(old, updated *Manifest) []Change {
	a, b := old.clone(), updated.clone()
	a.ApplyDefaults()
	b.ApplyDefaults()
	d := &differ{}
	d.compare("", reflect.ValueOf(a), reflect.ValueOf(b))
	return d.changes
}

type differ struct {
	changes []Change
}

func (d *differ) add(kind ChangeKind, path, old, updated string) {
	c := Change{Kind: kind, Path: path, Old: old, New: updated}
	c.Effect = effect(c)
	d.changes = append(d.changes, c)
}

func (d *differ) compare(path string, a, b reflect.Value) {
	switch {
	case a.Kind() == reflect.Struct:
		for i := range a.NumField() {
			d.compare(joinPath(path, jsonName(a.Type(), i)), a.Field(i), b.Field(i))
		}
	case a.Kind() == reflect.Slice && a.Type().Elem().Kind() == reflect.Struct:
		d.compareLists(path, a, b)
	case !reflect.DeepEqual(a.Interface(), b.Interface()):
		d.add(Changed, path, formatValue(a), formatValue(b))
	}
}

// compareLists compares two lists of structs with a Name field, matching entries by
// name.
func (d *differ) compareLists(path string, a, b reflect.Value) {
	before, after := entryNames(a), entryNames(b)
	var keptBefore []string
	for i, name := range before {
		entryPath := path + "[" + name + "]"
		j := indexOf(after, name)
		if j < 0 {
			d.add(Removed, entryPath, "", "")
			continue
		}
		keptBefore = append(keptBefore, name)
		d.compare(entryPath, a.Index(i), b.Index(j))
	}
	var keptAfter []string
	for _, name := range after {
		if indexOf(before, name) < 0 {
			d.add(Added, path+"["+name+"]", "", "")
			continue
		}
		keptAfter = append(keptAfter, name)
	}
	// The first matching class applies, so of all lists only the order of the classes
	// is significant.
	if a.Type().Elem() == reflect.TypeFor[Class]() && !reflect.DeepEqual(keptBefore, keptAfter) {
		d.add(Changed, path, strings.Join(keptBefore, ", "), strings.Join(keptAfter, ", "))
	}
}

func entryNames(list reflect.Value) []string {
	out := make([]string, list.Len())
	for i := range out {
		out[i] = list.Index(i).FieldByName("Name").String()
	}
	return out
}

func indexOf(list []string, name string) int {
	for i, l := range list {
		if l == name {
			return i
		}
	}
	return -1
}

func formatValue(v reflect.Value) string {
	if v.Kind() == reflect.Slice {
		return fmt.Sprintf("%v", v.Interface())
	}
	if v.Kind() == reflect.String {
		return fmt.Sprintf("%q", v.String())
	}
	return fmt.Sprint(v.Interface())
}

// effect returns a description of the consequence of a change, or "".
func effect(c Change) string {
	section, key := splitPath(c.Path)
	switch {
	case key == "shards":
		return "moves nearly every key of the service"
	case strings.HasSuffix(section, ".key"):
		return "changes the key of every request, and so its owner"
	case key == "repeat" && c.Old == `"never"`:
		return "requests that ran at most once may now be repeated"
	case key == "address":
		return "another process serves the target's keys"
	case key == "classes":
		return "the first matching class applies"
	case c.Kind == Removed && section == "":
		return "the service's requests are refused"
	case c.Kind != Changed && strings.HasPrefix(key, "targets["):
		return "moves roughly the target's share of the service's keys"
	}
	return ""
}
