// Package finding collects the problems of a document with their locations, so that
// all of them are reported at once.
package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Location is the place in a document where a problem was found. Zero fields are
// omitted from reports.
type Location struct {
	File    string `json:"file,omitempty"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Line    int    `json:"line,omitempty"`
}

// String formats the location as file:line: section.key.
func (l Location) String() string {
	var b strings.Builder
	b.WriteString(l.File)
	if l.Line > 0 {
		fmt.Fprintf(&b, ":%d", l.Line)
	}
	name := strings.Trim(l.Section+"."+l.Key, ".")
	if b.Len() > 0 && name != "" {
		b.WriteString(": ")
	}
	b.WriteString(name)
	return b.String()
}

// Finding is one problem with its location and, optionally, a remedy.
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

// List is a list of findings. The zero value is empty and ready to use.
type List struct {
	items []Finding
}

// Add appends a finding.
func (l *List) Add(location Location, problem, remedy string) {
	l.items = append(l.items, Finding{Location: location, Problem: problem, Remedy: remedy})
}

// Append appends all findings of other.
func (l *List) Append(other List) {
	l.items = append(l.items, other.items...)
}

// Items returns the findings ordered by file and line. Findings with the same file and
// line keep the order in which they were added.
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

// Err returns an *Error that holds all findings, or nil if there are none.
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

// Error returns all findings, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
