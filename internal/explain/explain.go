package explain

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/edge/dispatch"
)

// ErrNotFound reports an ID that no line names.
var ErrNotFound = errors.New("no line names the request, or a target of that ID")

const (
	// before and after bound the time around the request in which other lines may
	// explain it: a grant of a lost target lasts about four seconds.
	before = 4 * time.Second
	after  = time.Second
	// maxRelated bounds the other lines; the nearest in time are kept.
	maxRelated = 40
)

const (
	// sendMessage tells of a send that no target answered well.
	sendMessage = "send without success"
	// endMessage ends a request that no target answered well.
	endMessage = "request refused"
	// failureMessage ends one whose target failed.
	failureMessage = "target's failure passed on"
)

// Explanation is what became of a request, or what befell a target.
type Explanation struct {
	Request string `json:"request,omitempty"`
	// Target is set in place of Request if no request but a target has the ID.
	Target string `json:"target,omitempty"`
	// Lines are the lines that name the request, and Related those that may explain
	// them, both by time.
	Lines   []Line `json:"own"`
	Related []Line `json:"related"`
	// Cause and Next are empty if the request did not end with a refusal.
	Cause      string `json:"cause,omitempty"`
	NextStep   string `json:"next,omitempty"`
	Status     int    `json:"status,omitempty"`
	Reason     string `json:"reason,omitempty"`
	MayHaveRun bool   `json:"may_have_run"`
	// Retries tells after what the request was sent again. Of the last send no line
	// tells if it was answered.
	Retries []string `json:"repeated,omitempty"`
	// Contradiction tells what in the lines cannot be true together.
	Contradiction string           `json:"doubt,omitempty"`
	Omitted       int              `json:"lines_omitted"`
	Unreadable    []UnreadableLine `json:"unreadable,omitempty"`
}

// Explain returns the story of a request, or of a target if no request has the ID.
// The error is ErrNotFound if no line names it; the story then holds only what is
// known of the lines.
func (l *Log) Explain(id string) (Explanation, error) {
	s := Explanation{Request: id, Unreadable: l.Unreadable}
	for _, line := range l.Lines {
		s.Omitted += line.Omitted
		if line.Request == id {
			s.Lines = append(s.Lines, line)
		}
	}
	if len(s.Lines) == 0 {
		s.Request, s.Target, s.Lines = "", id, l.ofTarget(id)
		if len(s.Lines) > 0 {
			return s, nil
		}
		return s, fmt.Errorf("%w: %s in %d lines of %d files", ErrNotFound, id, len(l.Lines), len(l.sources))
	}
	sortByTime(s.Lines)
	for _, line := range s.Lines {
		switch line.Message {
		case endMessage:
			s.conclude(line)
		case failureMessage:
			s.passedOn(line)
		case sendMessage:
			s.sent(line)
		}
	}
	s.Related = l.related(s.Lines)
	return s, nil
}

func (s *Explanation) conclude(end Line) {
	a := advices[dispatch.Reason(end.Reason)]
	s.Status, s.Reason, s.MayHaveRun, s.Cause, s.NextStep = end.Status, end.Reason, end.MayHaveRun, a.cause, a.next
}

// sent notes a send that was repeated.
func (s *Explanation) sent(send Line) {
	if send.Reason == string(dispatch.ConnectionLost) && !send.MayHaveRun {
		s.Contradiction = "a send that ended without an answer is marked as not run: the daemon that wrote it is at fault"
	}
	if !send.Again {
		return
	}
	s.Retries = append(s.Retries, fmt.Sprintf("sent again after %q at %s", send.Reason, send.Target))
}

// ofTarget returns the lines about a target that no request explains better.
func (l *Log) ofTarget(id string) []Line {
	var out []Line
	for _, line := range l.Lines {
		if line.Target == id && line.Request == "" {
			out = append(out, line)
		}
	}
	sortByTime(out)
	return out
}

// passedOn concludes with a target's own failure, which the caller got.
func (s *Explanation) passedOn(end Line) {
	s.Status, s.Reason, s.MayHaveRun = end.Status, string(dispatch.InvalidResponse), true
	s.Cause = "the target answered with a failure of its own, which was passed on"
	s.NextStep = "read the target's log; 504 after about the time that the caller allowed means that the target was too slow"
}

// subject is what the lines of a request are about.
type subject struct {
	sources, targets, services map[string]bool
	key                        *uint16
}

func subjectOf(own []Line) subject {
	s := subject{sources: make(map[string]bool), targets: make(map[string]bool), services: make(map[string]bool)}
	for _, line := range own {
		s.sources[line.Source] = true
		if line.Target != "" {
			s.targets[line.Target] = true
		}
		if line.Service != "" {
			s.services[line.Service] = true
		}
		if line.Key != nil {
			s.key = line.Key
		}
	}
	return s
}

// beliefs are messages about what the daemon of the request believed.
var beliefs = map[string]bool{
	"daemon started": true, "stopping": true, "daemon stopped": true, "settings in force": true,
	"configuration in force": true, "configuration not usable; keeping the one in force": true,
	"store reached": true, "store not reached": true, "store not reached through daemon": true,
	"started with the copy of another daemon": true, "hub not used; reading the store": true,
	"hub silent; choosing another": true, "store discarded its history; reading everything again": true,
	"range table not usable; keeping the one in force": true,
}

// leases are messages about who assigns keys, wherever they were written.
var leases = map[string]bool{
	"coordinator's lease won": true, "coordinator's lease lost": true, "coordinator's lease given back": true,
	"coordinator's lease not renewed; extending grants":       true,
	"coordinator's lease may have run out; assigning nothing": true, "coordinator's lease confirmed again": true,
	"told how long grants of the earlier coordinator last": true, "election not decided": true,
	"assigning keys": true, "range table written": true, "range table not written": true,
	"store answered from an earlier state": true,
}

// concerns reports whether a line may explain the subject.
func (s subject) concerns(line Line) bool {
	switch {
	case line.Request != "":
		return false
	case line.From != nil && line.To != nil:
		return s.key != nil && s.services[line.Service] && *line.From <= *s.key && *s.key <= *line.To
	case leases[line.Message]:
		return s.key != nil && (line.Service == "" || s.services[line.Service])
	case line.Message == "range table in force":
		return s.sources[line.Source] && s.services[line.Service]
	case beliefs[line.Message]:
		return s.sources[line.Source]
	default:
		return s.sources[line.Source] && s.targets[line.Target]
	}
}

// related returns the lines of other events that may explain the request's.
func (l *Log) related(own []Line) []Line {
	s := subjectOf(own)
	first, last := own[0].Time, own[len(own)-1].Time
	var out []Line
	for _, line := range l.Lines {
		if line.Time.Before(first.Add(-before)) || line.Time.After(last.Add(after)) || !s.concerns(line) {
			continue
		}
		out = append(out, line)
	}
	if len(out) > maxRelated {
		distance := func(line Line) time.Duration { return last.Sub(line.Time).Abs() }
		slices.SortStableFunc(out, func(a, b Line) int { return int(distance(a) - distance(b)) })
		out = out[:maxRelated]
	}
	sortByTime(out)
	return out
}
