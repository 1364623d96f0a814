// Package finding collects problems found in a document together with their
// place, so that all of them are reported at once.
package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Location says where in a document a problem was found. Zero fields are left out
// of the report.
type Location struct {
	File    string `json:"file,omitempty"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Line    int    `json:"line,omitempty"`
}

// String formats the place as file:line: section.key.
func (p Location) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	name := strings.Trim(p.Section+"."+p.Key, ".")
	if b.Len() > 0 && name != "" {
		b.WriteString(": ")
	}
	b.WriteString(name)
	return b.String()
}

// Finding is one problem with its place and what to do about it.
type Finding struct {
	Location Location `json:"place"`
	Problem  string   `json:"problem"`
	Remedy   string   `json:"remedy,omitempty"`
}

// String formats the finding on one line.
func (f Finding) String() string {
	s := f.Location.String() + ": " + f.Problem
	if f.Remedy != "" {
		s += " (" + f.Remedy + ")"
	}
	return s
}

// List is a set of findings. The zero value is empty and ready to use.
type List struct {
	items []Finding
}

// Add records a problem at a place.
func (l *List) Add(p Location, problem, remedy string) {
	l.items = append(l.items, Finding{Location: p, Problem: problem, Remedy: remedy})
}

// Append adds every finding of other.
func (l *List) Append(other List) {
	l.items = append(l.items, other.items...)
}

// Items returns the findings ordered by file and line; findings without a line
// keep their order.
func (l *List) Items() []Finding {
	out := append([]Finding(nil), l.items...)
	sort.SliceStable(out, func(i, j int) bool {
		if out[i].Location.File != out[j].Location.File {
			return out[i].Location.File < out[j].Location.File
		}
		return out[i].Location.Line < out[j].Location.Line
	})
	return out
}

// Len returns the number of findings.
func (l *List) Len() int { return len(l.items) }

// Err returns an *Error holding all findings, or nil if there are none.
func (l *List) Err() error {
	if len(l.items) == 0 {
		return nil
	}
	return &Error{Findings: l.Items()}
}

// Error is the error form of a non-empty List.
type Error struct {
	Findings []Finding
}

// Error returns all findings, one a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
