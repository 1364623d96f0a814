// Package explain reconstructs the outcome of a request from the log lines of several
// daemons. It does no I/O other than reading from the readers it is given.
package explain

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxLineBytes bounds one log line. Daemons write a few hundred bytes.
const maxLineBytes = 1 << 20

var errNoObject = errors.New("line contains no JSON object")

// Line is one log line of a daemon, with the attributes that explanations use.
type Line struct {
	// Source is the last word before the JSON object, where log collectors often put
	// the instance, or the name of the file if nothing precedes the object.
	Source string `json:"source"`
	// Position is the file name and the line number.
	Position string    `json:"place"`
	Time     time.Time `json:"time"`
	Message  string    `json:"message"`
	// Raw is the JSON object as it was written.
	Raw json.RawMessage `json:"line"`

	attributes
}

// attributes are the attributes by which lines are selected and evaluated.
type attributes struct {
	Request    string
	Service    string
	Target     string
	Reason     string
	Status     int
	Sends      int
	MayHaveRun bool
	// Again reports that the request was sent again after the send of this line.
	Again    bool
	Key      *uint16
	From, To *uint16
	Omitted  int
}

// rawLine is the JSON form of a log line.
type rawLine struct {
	Time       time.Time `json:"time"`
	Message    string    `json:"msg"`
	Request    string    `json:"request"`
	Service    string    `json:"service"`
	Target     string    `json:"target"`
	Reason     string    `json:"reason"`
	Status     int       `json:"status"`
	Sends      int       `json:"sends"`
	MayHaveRun bool      `json:"may_have_run"`
	Again      bool      `json:"again"`
	Key        *uint16   `json:"key"`
	From       *uint16   `json:"from"`
	To         *uint16   `json:"to"`
	Omitted    int       `json:"omitted_before"`
}

// UnreadableLine is a line that cannot be parsed as a log line of a daemon.
type UnreadableLine struct {
	Position string `json:"place"`
	Error    string `json:"error"`
}

// Log holds the lines of several daemons.
type Log struct {
	Lines      []Line
	Unreadable []UnreadableLine
	sources    []string
}

// Read adds the lines of a file. Lines that cannot be parsed are recorded in
// Unreadable and do not stop the reading. The error is that of the reader.
func (l *Log) Read(name string, r io.Reader) error {
	l.sources = append(l.sources, name)
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for n := 1; scanner.Scan(); n++ {
		text := strings.TrimSpace(scanner.Text())
		if text == "" {
			continue
		}
		position := fmt.Sprintf("%s:%d", name, n)
		line, err := parseLine(name, position, text)
		if err != nil {
			l.Unreadable = append(l.Unreadable, UnreadableLine{Position: position, Error: err.Error()})
			continue
		}
		l.Lines = append(l.Lines, line)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

func parseLine(name, position, text string) (Line, error) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, errNoObject
	}
	var raw rawLine
	object := []byte(text[start:])
	if err := json.Unmarshal(object, &raw); err != nil {
		return Line{}, err
	}
	if raw.Message == "" || raw.Time.IsZero() {
		return Line{}, errors.New("JSON object has no message or no time")
	}
	source := name
	if fields := strings.Fields(text[:start]); len(fields) > 0 {
		source = fields[len(fields)-1]
	}
	return Line{
		Source: source, Position: position, Time: raw.Time, Message: raw.Message, Raw: object,
		attributes: attributes{
			Request: raw.Request, Service: raw.Service, Target: raw.Target, Reason: raw.Reason, Status: raw.Status,
			Sends: raw.Sends, MayHaveRun: raw.MayHaveRun, Again: raw.Again, Key: raw.Key, From: raw.From, To: raw.To, Omitted: raw.Omitted,
		},
	}, nil
}

// summaryExcludes are the attributes that Summary omits, since the table that shows
// the summary has them elsewhere.
var summaryExcludes = map[string]bool{"time": true, "level": true, "msg": true, "request": true}

// Summary returns the message and the non-empty attributes, ordered by name.
func (l Line) Summary() string {
	var object map[string]json.RawMessage
	if json.Unmarshal(l.Raw, &object) != nil {
		return l.Message // not expected: parseLine has decoded the same bytes
	}
	names := slices.Sorted(maps.Keys(object))
	out := l.Message
	for _, name := range names {
		value := string(object[name])
		if summaryExcludes[name] || value == "null" || value == `""` {
			continue
		}
		out += " " + name + "=" + strings.Trim(value, `"`)
	}
	return out
}

// sortByTime sorts lines by time; lines with equal times keep their order.
func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}
