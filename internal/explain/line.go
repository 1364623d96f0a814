// Package explain tells from the log lines of several daemons what became of a
// request. It is pure: lines are read from readers.
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

// errNoObject reports a line without a JSON object.
var errNoObject = errors.New("no JSON object")

// Line is one log line of a daemon, with the attributes that explanations use.
type Line struct {
	// Source is the file that the line is from, and what stands before the JSON
	// object in it: collectors often put the instance there.
	Source string `json:"source"`
	// Position is the file and the number of the line.
	Position string    `json:"place"`
	Time     time.Time `json:"time"`
	Message  string    `json:"message"`
	// Raw is the JSON object as it was written.
	Raw json.RawMessage `json:"line"`

	attributes
}

// attributes are those that lines are chosen and summed up by.
type attributes struct {
	Request    string
	Service    string
	Target     string
	Reason     string
	Status     int
	Sends      int
	MayHaveRun bool
	// Again tells that a request was sent again after the send that a line is about.
	Again    bool
	Key      *uint16
	From, To *uint16
	Omitted  int
}

// rawLine is a log line as daemons write it.
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

// UnreadableLine is a line that is no log line of a daemon.
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

// Read adds the lines of a file. A line that cannot be read is noted with its
// place; the others hold. The error is that of the reader.
func (l *Log) Read(name string, r io.Reader) error {
	l.sources = append(l.sources, name)
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for n := 1; scanner.Scan(); n++ {
		text := strings.TrimSpace(scanner.Text())
		if text == "" {
			continue
		}
		place := fmt.Sprintf("%s:%d", name, n)
		line, err := parse(name, place, text)
		if err != nil {
			l.Unreadable = append(l.Unreadable, UnreadableLine{Position: place, Error: err.Error()})
			continue
		}
		l.Lines = append(l.Lines, line)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

func parse(name, place, text string) (Line, error) {
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
		return Line{}, errors.New("no message or time")
	}
	source := name
	if words := strings.Fields(text[:start]); len(words) > 0 {
		source = words[len(words)-1]
	}
	return Line{
		Source: source, Position: place, Time: raw.Time, Message: raw.Message, Raw: object,
		attributes: attributes{
			Request: raw.Request, Service: raw.Service, Target: raw.Target, Reason: raw.Reason, Status: raw.Status,
			Sends: raw.Sends, MayHaveRun: raw.MayHaveRun, Again: raw.Again, Key: raw.Key, From: raw.From, To: raw.To, Omitted: raw.Omitted,
		},
	}, nil
}

// leftOut are the attributes that a summary leaves out: the table around it has them.
var leftOut = map[string]bool{"time": true, "level": true, "msg": true, "request": true}

// Summary returns the message and the attributes that say something, by name.
func (l Line) Summary() string {
	var object map[string]json.RawMessage
	if json.Unmarshal(l.Raw, &object) != nil {
		return l.Message // parse has read the same bytes
	}
	names := slices.Sorted(maps.Keys(object))
	out := l.Message
	for _, name := range names {
		value := string(object[name])
		if leftOut[name] || value == "null" || value == `""` {
			continue
		}
		out += " " + name + "=" + strings.Trim(value, `"`)
	}
	return out
}

// sortByTime orders lines by time; those of one moment keep their order.
func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}
