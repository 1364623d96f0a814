package manifest

import (
	"fmt"
	"reflect"
	"strings"
)

// ChangeKind tells how an entry differs between two manifests.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two manifests. Entries of lists are named by
// their names, so that a new order of targets is no change. Effect warns of
// consequences that the value alone does not show.
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
// Both have their defaults applied first.
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
			d.compare(join(path, jsonName(a.Type(), i)), a.Field(i), b.Field(i))
		}
	case a.Kind() == reflect.Slice && a.Type().Elem().Kind() == reflect.Struct:
		d.lists(path, a, b)
	case !reflect.DeepEqual(a.Interface(), b.Interface()):
		d.add(Changed, path, show(a), show(b))
	}
}

// lists compares two lists of entries that have a Name.
func (d *differ) lists(path string, a, b reflect.Value) {
	before, after := names(a), names(b)
	var kept []string
	for i, name := range before {
		where := path + "[" + name + "]"
		j := position(after, name)
		if j < 0 {
			d.add(Removed, where, "", "")
			continue
		}
		kept = append(kept, name)
		d.compare(where, a.Index(i), b.Index(j))
	}
	var keptAfter []string
	for _, name := range after {
		if position(before, name) < 0 {
			d.add(Added, path+"["+name+"]", "", "")
			continue
		}
		keptAfter = append(keptAfter, name)
	}
	// The first matching class applies, so only their order has a meaning.
	if a.Type().Elem() == reflect.TypeFor[Class]() && !reflect.DeepEqual(kept, keptAfter) {
		d.add(Changed, path, strings.Join(kept, ", "), strings.Join(keptAfter, ", "))
	}
}

func names(list reflect.Value) []string {
	out := make([]string, list.Len())
	for i := range out {
		out[i] = list.Index(i).FieldByName("Name").String()
	}
	return out
}

func position(list []string, name string) int {
	for i, l := range list {
		if l == name {
			return i
		}
	}
	return -1
}

func show(v reflect.Value) string {
	if v.Kind() == reflect.Slice {
		return fmt.Sprintf("%v", v.Interface())
	}
	if v.Kind() == reflect.String {
		return fmt.Sprintf("%q", v.String())
	}
	return fmt.Sprint(v.Interface())
}

// effect returns the warning that belongs to a change.
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
		return "moves about its share of the service's keys"
	}
	return ""
}
