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

// Load reads and validates a settings file and the TLS files that it names.
// Relative names of TLS files are resolved against the directory of the settings
// file. The error is a *finding.Error with all findings, or the error of reading
// the settings file itself.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s, found, locations := parse(path, b)
	s.resolvePaths(filepath.Dir(path))
	found.Append(s.checkFiles(locations))
	if err := found.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// Parse reads and validates settings without opening the files that they name.
// name is the file name that findings report.
func Parse(name string, b []byte) (*Settings, error) {
	s, found, _ := parse(name, b)
	if err := found.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func parse(name string, b []byte) (*Settings, finding.List, locator) {
	r := &decoder{settings: defaults(), locations: locator{file: name}, present: map[string]bool{}}
	r.settings.File = name
	if len(b) > MaxBytes {
		r.add("", "", fmt.Sprintf("%d bytes; the limit is %d", len(b), MaxBytes), "")
		return r.settings, r.findings, r.locations
	}
	var scanned finding.List
	r.locations, scanned = scan(name, b)
	r.findings.Append(scanned)
	r.decode(b)
	r.findings.Append(r.settings.validate(r.locations, r.present))
	return r.settings, r.findings, r.locations
}

// defaults returns settings in which every option has its default value.
func defaults() *Settings {
	s := &Settings{}
	for _, o := range options {
		if o.defaultValue == "" {
			continue
		}
		if err := o.set(s, o.defaultValue); err != nil {
			panic(fmt.Sprintf("settings: default of %s.%s: %v", o.section, o.key, err))
		}
	}
	return s
}

// decoder sets settings from the keys of a parsed INI file.
type decoder struct {
	settings  *Settings
	locations locator
	findings  finding.List
	// present records the options that have a value, valid or not, so that an
	// invalid value is not also reported as missing.
	present map[string]bool
}

func (r *decoder) add(section, key, problem, remedy string) {
	r.findings.Add(r.locations.location(section, key), problem, remedy)
}

func (r *decoder) decode(b []byte) {
	// scan has already reported unreadable lines. They are skipped here, so that
	// the rest of the file is checked in the same run.
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
		r.decodeSection(section)
	}
}

func (r *decoder) decodeSection(section *ini.Section) {
	known := knownKeys(section.Name())
	for _, key := range section.Keys() {
		if len(known) > 0 {
			r.decodeKey(section.Name(), key)
		}
	}
}

func (r *decoder) decodeKey(section string, key *ini.Key) {
	for _, o := range options {
		if o.section != section || o.key != key.Name() {
			continue
		}
		if r.locations.lines[section+"."+o.key] == 0 {
			// The INI library found a key that scan did not, so it has not been
			// checked for duplicates.
			r.add(section, o.key, "not a plain key = value line", "")
		}
		value := strings.TrimSpace(key.Value())
		r.present[section+"."+o.key] = true
		if o.required && value == "" {
			r.add(section, o.key, "empty", "expected "+o.format)
			return
		}
		if err := o.set(r.settings, value); err != nil {
			for line := range strings.SplitSeq(err.Error(), "\n") {
				r.add(section, o.key, line, "expected "+o.format)
			}
		}
		return
	}
}
