package manifest

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/jackdawloom/jackdawloom/internal/state/finding"
)

// Limits on the lengths of a manifest's lists. They bound the number of counters that
// a daemon keeps per service and class.
const (
	MaxServices = 256
	MaxClasses  = 32
	MaxMethods  = 16
)

// MaxDeadlineMs is the maximum deadline of a class. A planned move waits for running
// requests, so a longer deadline could delay a drain by minutes.
const MaxDeadlineMs = 60_000

// namePattern is the syntax of names. It needs no quoting, because names appear
// unquoted in metric labels, log lines and headers.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

const nameRemedy = "use 1 to 63 of a-z, 0-9, '.', '_' and '-', with a letter or digit at both ends"

// validator collects the findings of one manifest.
type validator struct {
	file    string
	lines   map[string]int
	invalid map[string]bool
	found   finding.List
	// addresses maps each target address to the path of the first target that has it.
	addresses map[string]string
}

// add records a finding for the field at path, unless decoding already reported one
// for it.
func (v *validator) add(path, problem, remedy string) {
	if v.invalid[path] {
		return
	}
	section, key := splitPath(path)
	place := finding.Location{File: v.file, Section: section, Key: key, Line: v.line(path)}
	v.found.Add(place, problem, remedy)
}

// line returns the line of the field at path, or of the closest enclosing field whose
// line is known.
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
	services := m.Services[:v.checkLength("services", len(m.Services), MaxServices)]
	for i := range services {
		v.service(indexedPath("services", i), &services[i])
	}
	v.unique("services", len(services), func(i int) string { return services[i].Name })
	v.overlaps(services)
}

func indexedPath(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

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
			v.add(indexedPath(path, i)+".name", fmt.Sprintf("name %q is already used by %s", name(i), indexedPath(path, j)), "")
			continue
		}
		first[name(i)] = i
	}
}

// checkLength checks the length of a list and returns the number of entries to check.
// Entries beyond the limit are not checked: a document of the maximum size could
// contain 100,000 of them, and some checks compare all pairs.
func (v *validator) checkLength(path string, n, limit int) int {
	if n < 1 || n > limit {
		v.add(path, fmt.Sprintf("%d entries; expected 1 to %d", n, limit), "")
	}
	return min(n, limit)
}

func (v *validator) inRange(path string, n, lower, upper int, unit string) {
	if n < lower || n > upper {
		v.add(path, fmt.Sprintf("%d is out of range; expected %d to %d%s", n, lower, upper, unit), "")
	}
}

// overlaps reports services whose prefixes match a common path. The service of such a
// request would depend on the order of the services.
func (v *validator) overlaps(services []Service) {
	for i := range services {
		for j := range i {
			a, b := services[j].PathPrefix, services[i].PathPrefix
			if a == "" || b == "" {
				continue
			}
			if !hasPathPrefix(a, b) && !hasPathPrefix(b, a) {
				continue
			}
			v.add(indexedPath("services", i)+".path_prefix",
				fmt.Sprintf("%q overlaps %q of service %q", b, a, services[j].Name), "use disjoint prefixes")
		}
	}
}

// hasPathPrefix reports whether the path equals the prefix or is below it. It compares
// whole segments.
func hasPathPrefix(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

// prefix checks a literal path prefix. An optional prefix may be empty and then matches
// every path.
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
	case strings.ContainsAny(prefix, "?#%; ") || !isPlainPath(prefix):
		v.add(path, fmt.Sprintf("%q is not a plain path", prefix), "remove empty, . and .. segments, escapes, ?, #, ;, \\ and spaces")
	}
}
