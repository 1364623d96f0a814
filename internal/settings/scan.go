package settings

import (
	"slices"
	"strings"

	"github.com/jackdawloom/jackdawloom/internal/state/finding"
)

// locator knows the lines of sections and keys, which the INI library does not
// report. A section has the empty key.
type locator struct {
	file  string
	lines map[string]int
}

func (l locator) place(section, key string) finding.Location {
	line := l.lines[section+"."+key]
	if line == 0 {
		line = l.lines[section+"."]
	}
	return finding.Location{File: l.file, Section: section, Key: key, Line: line}
}

// scanner goes through the file line by line. It finds what the INI library
// accepts silently: unknown names, repeated keys and lines of no known form.
type scanner struct {
	at      locator
	found   finding.List
	section string
}

func scan(name string, b []byte) (locator, finding.List) {
	s := &scanner{at: locator{file: name, lines: map[string]int{}}}
	text := strings.TrimPrefix(string(b), "\uFEFF")
	number := 0
	for line := range strings.SplitSeq(text, "\n") {
		number++
		s.line(number, strings.TrimSpace(line))
	}
	return s.at, s.found
}

func (s *scanner) add(line int, key, problem, remedy string) {
	s.found.Add(finding.Location{File: s.at.file, Section: s.section, Key: key, Line: line}, problem, remedy)
}

func (s *scanner) line(number int, line string) {
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
	case line[0] == '[':
		s.header(number, line)
	default:
		s.pair(number, line)
	}
}

func (s *scanner) header(number int, line string) {
	name, rest, closed := strings.Cut(line[1:], "]")
	s.section = strings.TrimSpace(name)
	rest = strings.TrimSpace(rest)
	if !closed || (rest != "" && rest[0] != '#' && rest[0] != ';') {
		s.add(number, "", "not a section header", "write [section]")
		return
	}
	known := sections()
	if !slices.Contains(known, s.section) {
		s.add(number, "", "unknown section", finding.Suggest(s.section, known))
	}
	if s.at.lines[s.section+"."] == 0 {
		s.at.lines[s.section+"."] = number
	}
}

func (s *scanner) pair(number int, line string) {
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
	known := keysOf(s.section)
	if len(known) == 0 {
		return // the section itself is unknown and has been reported
	}
	if !slices.Contains(known, key) {
		s.add(number, key, "unknown key", s.suggest(key, known))
		return
	}
	if multiline(strings.TrimSpace(value)) {
		s.add(number, key, "values of several lines are not supported", "write the value on one line without quotes")
	}
	name := s.section + "." + key
	if first := s.at.lines[name]; first != 0 {
		s.add(number, key, "key given twice", "keep one")
		return
	}
	s.at.lines[name] = number
}

// suggest proposes a key of the section or else the section that has the key.
func (s *scanner) suggest(key string, known []string) string {
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

// multiline reports whether the INI library would read on behind this line.
func multiline(value string) bool {
	return strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`")
}
