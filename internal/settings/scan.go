package settings

import (
	"slices"
	"strings"

	"github.com/jackdawloom/jackdawloom/internal/state/finding"
)

// locator maps sections and keys to their line numbers, which the INI library does
// not report. A section is recorded under the empty key.
type locator struct {
	file  string
	lines map[string]int
}

func (l locator) location(section, key string) finding.Location {
	line := l.lines[section+"."+key]
	if line == 0 {
		line = l.lines[section+"."]
	}
	return finding.Location{File: l.file, Section: section, Key: key, Line: line}
}

// scanner reads the file line by line. It reports what the INI library accepts
// silently: unknown sections and keys, duplicate keys and malformed lines.
type scanner struct {
	locations locator
	findings  finding.List
	section   string
}

func scan(name string, b []byte) (locator, finding.List) {
	s := &scanner{locations: locator{file: name, lines: map[string]int{}}}
	text := strings.TrimPrefix(string(b), "\uFEFF")
	number := 0
	for line := range strings.SplitSeq(text, "\n") {
		number++
		s.scanLine(number, strings.TrimSpace(line))
	}
	return s.locations, s.findings
}

func (s *scanner) add(line int, key, problem, remedy string) {
	s.findings.Add(finding.Location{File: s.locations.file, Section: s.section, Key: key, Line: line}, problem, remedy)
}

func (s *scanner) scanLine(number int, line string) {
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
	case line[0] == '[':
		s.scanHeader(number, line)
	default:
		s.scanPair(number, line)
	}
}

func (s *scanner) scanHeader(number int, line string) {
	name, rest, closed := strings.Cut(line[1:], "]")
	s.section = strings.TrimSpace(name)
	rest = strings.TrimSpace(rest)
	if !closed || (rest != "" && rest[0] != '#' && rest[0] != ';') {
		s.add(number, "", "not a section header", "write [section]")
		return
	}
	known := knownSections()
	if !slices.Contains(known, s.section) {
		s.add(number, "", "unknown section", finding.Suggest(s.section, known))
	}
	if s.locations.lines[s.section+"."] == 0 {
		s.locations.lines[s.section+"."] = number
	}
}

func (s *scanner) scanPair(number int, line string) {
	key, value, found := strings.Cut(line, "=")
	key = strings.TrimSpace(key)
	if !found || key == "" {
		s.add(number, "", "not a key = value line", "")
		return
	}
	if s.section == "" {
		s.add(number, key, "key before the first section", "")
		return
	}
	known := knownKeys(s.section)
	if len(known) == 0 {
		return // the section itself is unknown and has been reported
	}
	if !slices.Contains(known, key) {
		s.add(number, key, "unknown key", s.suggestKey(key, known))
		return
	}
	if startsMultiline(strings.TrimSpace(value)) {
		s.add(number, key, "multi-line values are not supported", "write the value on one line without quotes")
	}
	name := s.section + "." + key
	if first := s.locations.lines[name]; first != 0 {
		s.add(number, key, "key given twice", "keep one")
		return
	}
	s.locations.lines[name] = number
}

// suggestKey returns a remedy that proposes a similar key of the section, or else the
// section that has the key. It returns "" if there is neither.
func (s *scanner) suggestKey(key string, known []string) string {
	if remedy := finding.Suggest(key, known); remedy != "" {
		return remedy
	}
	for _, o := range options {
		if o.key == key {
			return "it belongs to section [" + o.section + "]"
		}
	}
	return ""
}

// startsMultiline reports whether the INI library would continue the value on the
// following lines.
func startsMultiline(value string) bool {
	return strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`")
}
