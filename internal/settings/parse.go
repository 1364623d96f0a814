package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/jackdawloom/jackdawloom/internal/state/finding"
)

// MaxBytes bounds the size of a settings file.
const MaxBytes = 256 << 10

// Load reads and checks the settings file, and the files that it names. TLS
// files given by a relative name are taken from the directory of the settings
// file. The error is a *finding.Error with all findings, or an error of reading
// the file itself.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s, found, at := parse(path, b)
	s.resolve(filepath.Dir(path))
	found.Append(s.checkFiles(at))
	if err := found.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// Parse reads and checks settings without looking at the files that they name.
// name is the file name used in findings.
func Parse(name string, b []byte) (*Settings, error) {
	s, found, _ := parse(name, b)
	if err := found.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func parse(name string, b []byte) (*Settings, finding.List, locator) {
	r := &reader{settings: defaults(), at: locator{file: name}, set: map[string]bool{}}
	r.settings.File = name
	if len(b) > MaxBytes {
		r.add("", "", fmt.Sprintf("%d bytes; the limit is %d", len(b), MaxBytes), "")
		return r.settings, r.found, r.at
	}
	var scanned finding.List
	r.at, scanned = scan(name, b)
	r.found.Append(scanned)
	r.read(b)
	r.found.Append(r.settings.validate(r.at, r.set))
	return r.settings, r.found, r.at
}

// defaults returns settings in which every option has its preset.
func defaults() *Settings {
	s := &Settings{}
	for _, o := range options {
		if o.preset == "" {
			continue
		}
		if err := o.set(s, o.preset); err != nil {
			panic(fmt.Sprintf("settings: preset of %s.%s: %v", o.section, o.key, err))
		}
	}
	return s
}

// reader copies a parsed file into settings.
type reader struct {
	settings *Settings
	at       locator
	found    finding.List
	// set records the options that have a value, valid or not, so that a
	// wrong value is not reported as missing as well.
	set map[string]bool
}

func (r *reader) add(section, key, problem, remedy string) {
	r.found.Add(r.at.place(section, key), problem, remedy)
}

func (r *reader) read(b []byte) {
	// Unreadable lines have been reported by scan; skipping them lets the rest
	// of the file be checked at the same time.
	file, err := ini.LoadSources(ini.LoadOptions{
		SkipUnrecognizableLines:  true,
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
	}, b)
	if err != nil {
		r.add("", "", "not an INI file: "+err.Error(), "")
		return
	}
	for _, section := range file.Sections() {
		r.section(section)
	}
}

func (r *reader) section(section *ini.Section) {
	known := keysOf(section.Name())
	for _, key := range section.Keys() {
		if len(known) > 0 {
			r.key(section.Name(), key)
		}
	}
}

func (r *reader) key(section string, key *ini.Key) {
	for _, o := range options {
		if o.section != section || o.key != key.Name() {
			continue
		}
		if r.at.lines[section+"."+o.key] == 0 {
			// The library found a key where scan saw none, so it has not been
			// checked for repetition.
			r.add(section, o.key, "not a plain key = value line", "")
		}
		value := strings.TrimSpace(key.Value())
		r.set[section+"."+o.key] = true
		if o.required && value == "" {
			r.add(section, o.key, "empty", "expected "+o.form)
			return
		}
		if err := o.set(r.settings, value); err != nil {
			for line := range strings.SplitSeq(err.Error(), "\n") {
				r.add(section, o.key, line, "expected "+o.form)
			}
		}
		return
	}
}
