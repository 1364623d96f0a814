package manifest

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/jackdawloom/jackdawloom/internal/state/finding"
)

// Limits of a manifest's lists. They bound the number of counters that a daemon
// keeps per service and class.
const (
	MaxServices = 256
	MaxClasses  = 32
	MaxMethods  = 16
)

// MaxDeadlineMs bounds a class's deadline. A planned move waits for running
// requests, so a longer deadline would hold up a drain for minutes.
const MaxDeadlineMs = 60_000

// namePattern is the form of names. They appear in metrics labels, log lines
// and headers without quoting.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

const nameRemedy = "use 1 to 63 of a-z, 0-9, '.', '_' and '-', with a letter or digit at both ends"

// validator collects the findings of one manifest.
type validator struct {
	file  string
	lines map[string]int
	skip  map[string]bool
	found finding.List
	// addresses maps each target address to the path of its first use.
	addresses map[string]string
}

// add records a finding at the path, unless the field already has one that
// explains its value.
func (v *validator) add(path, problem, remedy string) {
	if v.skip[path] {
		return
	}
	section, key := splitPath(path)
	place := finding.Location{File: v.file, Section: section, Key: key, Line: v.line(path)}
	v.found.Add(place, problem, remedy)
}

// line returns the line of the path, or of its closest enclosing field.
func (v *validator) line(path string) int {
	for {
		if n, ok := v.lines[path]; ok || path == "" {
			return n
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
}

func (v *validator) manifest(m *Manifest) {
	v.addresses = map[string]string{}
	if m.Schema != Schema {
		v.add("schema", fmt.Sprintf("schema %d is not supported", m.Schema), fmt.Sprintf("set it to %d", Schema))
	}
	v.name("name", m.Name)
	services := m.Services[:v.count("services", len(m.Services), MaxServices)]
	for i := range services {
		v.service(index("services", i), &services[i])
	}
	v.unique("services", len(services), func(i int) string { return services[i].Name })
	v.overlaps(services)
}

func index(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

func (v *validator) name(path, name string) {
	switch {
	case name == "":
		v.add(path, "missing", nameRemedy)
	case !namePattern.MatchString(name):
		v.add(path, fmt.Sprintf("%q is not a valid name", name), nameRemedy)
	}
}

func (v *validator) unique(path string, n int, name func(int) string) {
	first := map[string]int{}
	for i := range n {
		if name(i) == "" {
			continue
		}
		if j, dup := first[name(i)]; dup {
			v.add(index(path, i)+".name", fmt.Sprintf("name %q is already used by %s", name(i), index(path, j)), "")
			continue
		}
		first[name(i)] = i
	}
}

// count checks the length of a list and returns how many entries to check.
// Entries beyond the limit are not checked: a document of the largest size could
// hold 100,000 of them, and some checks compare all pairs.
func (v *validator) count(path string, n, most int) int {
	if n < 1 || n > most {
		v.add(path, fmt.Sprintf("%d entries; expected 1 to %d", n, most), "")
	}
	return min(n, most)
}

func (v *validator) within(path string, n, least, most int, unit string) {
	if n < least || n > most {
		v.add(path, fmt.Sprintf("%d is out of range; expected %d to %d%s", n, least, most, unit), "")
	}
}

// overlaps reports services whose prefixes match a common path: which one a
// request belongs to would depend on their order.
func (v *validator) overlaps(services []Service) {
	for i := range services {
		for j := range i {
			a, b := services[j].PathPrefix, services[i].PathPrefix
			if a == "" || b == "" {
				continue
			}
			if !underPrefix(a, b) && !underPrefix(b, a) {
				continue
			}
			v.add(index("services", i)+".path_prefix",
				fmt.Sprintf("%q overlaps %q of service %q", b, a, services[j].Name), "use disjoint prefixes")
		}
	}
}

// underPrefix reports whether the path equals the prefix or lies below it,
// compared by whole segments.
func underPrefix(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

// prefix checks a literal path prefix. An empty optional prefix matches all.
func (v *validator) prefix(path, prefix string, optional bool) {
	if prefix == "" {
		if !optional {
			v.add(path, "missing", "give a path such as /display")
		}
		return
	}
	switch {
	case prefix[0] != '/':
		v.add(path, fmt.Sprintf("%q does not start with /", prefix), "")
	case len(prefix) > 1 && prefix[len(prefix)-1] == '/':
		v.add(path, fmt.Sprintf("%q ends with /", prefix), "remove the last /")
	case strings.ContainsAny(prefix, "?#%; ") || !plainPath(prefix):
		v.add(path, fmt.Sprintf("%q is not a plain path", prefix), "remove empty, . and .. segments, escapes, ?, #, ;, \\ and spaces")
	}
}
