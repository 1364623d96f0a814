package explain

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/edge/dispatch"
)

// ErrNotFound reports an ID that occurs in no log line as a request or a target.
var ErrNotFound = errors.New("no log line names a request or a target with this ID")

const (
	// windowBefore and windowAfter bound the time around the request from which
	// related lines are taken. windowBefore covers the grant of a lost target, which
	// lasts about four seconds.
	windowBefore = 4 * time.Second
	windowAfter  = time.Second
	// maxRelatedLines limits the related lines; those nearest to the end of the
	// request are kept.
	maxRelatedLines = 40
)

const (
	// sendFailedMessage is logged for a send without a successful response.
	sendFailedMessage = "send without success"
	// refusedMessage is logged for a request that the daemon answers with an error of
	// its own.
	refusedMessage = "request refused"
	// targetFailureMessage is logged for a request whose caller got the failure
	// response of the target.
	targetFailureMessage = "target's failure passed on"
	// unroutedMessage is logged for a request that no route of the configuration allows.
	unroutedMessage = "no route matches"
	// bodyRefusedMessage is logged for a request whose body the daemon did not accept.
	bodyRefusedMessage = "request body not accepted; refusing the request"
	// cutOffMessage is logged for a request that got no response because the process ended.
	cutOffMessage = "request cut off by the end of the grace period"
)

// maxTableLines limits the related lines about range tables of each source. A busy key can
// move many times a second, and the tables nearest to the end of the request matter.
const maxTableLines = 3

// Explanation holds the outcome of a request, or the events of a target, with the log
// lines that show it.
type Explanation struct {
	Request string `json:"request,omitempty"`
	// Target is set instead of Request if the ID is that of a target and of no request.
	Target string `json:"target,omitempty"`
	// Lines are the lines that name the request, or those of the target. Related are
	// lines of other events that may explain them. Both are ordered by time.
	Lines   []Line `json:"own"`
	Related []Line `json:"related"`
	// Cause and NextStep are empty if the request did not end with a refusal or with a
	// failure of its target.
	Cause      string `json:"cause,omitempty"`
	NextStep   string `json:"next,omitempty"`
	Status     int    `json:"status,omitempty"`
	Reason     string `json:"reason,omitempty"`
	MayHaveRun bool   `json:"may_have_run"`
	// Retries describes each failed send after which the request was sent again. The
	// log does not say whether the last send succeeded.
	Retries []string `json:"repeated,omitempty"`
	// Contradiction describes log lines that cannot both be true.
	Contradiction string           `json:"doubt,omitempty"`
	Omitted       int              `json:"lines_omitted"`
	Unreadable    []UnreadableLine `json:"unreadable,omitempty"`
}

// Explain explains a request, or a target if no request has the ID. The error is
// ErrNotFound if no line names the ID; besides the ID, the explanation then holds only
// the number of omitted lines and the unreadable lines.
func (l *Log) Explain(id string) (Explanation, error) {
	e := Explanation{Request: id, Unreadable: l.Unreadable}
	for _, line := range l.Lines {
		e.Omitted += line.Omitted
		if line.Request == id {
			e.Lines = append(e.Lines, line)
		}
	}
	if len(e.Lines) == 0 {
		e.Request, e.Target, e.Lines = "", id, l.targetLines(id)
		if len(e.Lines) > 0 {
			return e, nil
		}
		return e, fmt.Errorf("%w: searched for %s in %d lines of %d files", ErrNotFound, id, len(l.Lines), len(l.sources))
	}
	sortByTime(e.Lines)
	for _, line := range e.Lines {
		switch line.Message {
		case refusedMessage:
			e.addRefusal(line)
		case targetFailureMessage:
			e.addTargetFailure(line)
		case sendFailedMessage:
			e.addFailedSend(line)
		case unroutedMessage:
			e.addUnrouted(line)
		case bodyRefusedMessage:
			e.addBodyRefusal(line)
		case cutOffMessage:
			e.addCutOff(line)
		}
	}
	e.Related = l.relatedLines(e.Lines)
	return e, nil
}

func (e *Explanation) addRefusal(end Line) {
	a := adviceByReason[dispatch.Reason(end.Reason)]
	e.Status, e.Reason, e.MayHaveRun, e.Cause, e.NextStep = end.Status, end.Reason, end.MayHaveRun, a.cause, a.next
}

// addUnrouted records that no route allowed the request.
func (e *Explanation) addUnrouted(end Line) {
	e.Status, e.Reason = end.Status, unroutedMessage
	e.Cause = "no route of the configuration that was in force on the daemon matches the host and the path"
	e.NextStep = "compare the line's version with the configuration that has the route, and its host with the route's"
}

// addBodyRefusal records that the body of the request was not accepted.
func (e *Explanation) addBodyRefusal(end Line) {
	e.Status, e.Reason = end.Status, "body not accepted"
	e.Cause = "the caller's body was larger than allowed, malformed, or did not arrive before the deadline"
	e.NextStep = "413: compare it with the limits of the configuration; 408: the caller sent too slowly; 400: read the line's error"
}

// addCutOff records that the process ended before the request had a response.
func (e *Explanation) addCutOff(end Line) {
	e.Reason, e.MayHaveRun = "process ended", end.Sends > 0
	e.Cause = "the daemon was stopped, and its grace period was over before the request had a response"
	e.NextStep = "compare the time of 'stopping' with took_ms: a request that began early outlasted the grace period, one that began late should have been refused"
}

// addFailedSend records a failed send: a retry that followed it, and a contradiction
// between its reason and its outcome.
func (e *Explanation) addFailedSend(send Line) {
	if send.Reason == string(dispatch.ConnectionLost) && !send.MayHaveRun {
		e.Contradiction = "a send that ended without an answer is marked as not run: the daemon that wrote it is at fault"
	}
	if !send.Again {
		return
	}
	e.Retries = append(e.Retries, fmt.Sprintf("sent again after %q at %s", send.Reason, send.Target))
}

// targetLines returns the lines about a target that belong to no request.
func (l *Log) targetLines(id string) []Line {
	var out []Line
	for _, line := range l.Lines {
		if line.Target == id && line.Request == "" {
			out = append(out, line)
		}
	}
	sortByTime(out)
	return out
}

// addTargetFailure records that the target's own failure was passed on to the caller.
func (e *Explanation) addTargetFailure(end Line) {
	e.Status, e.Reason, e.MayHaveRun = end.Status, string(dispatch.InvalidResponse), true
	e.Cause = "the target answered with a failure of its own, which was passed on"
	e.NextStep = "read the target's log; 504 after about the time that the caller allowed means that the target was too slow"
}

// subject holds the sources, targets, services and key that the lines of a request
// name. It selects the related lines.
type subject struct {
	sources, targets, services map[string]bool
	key                        *uint16
}

func subjectOf(lines []Line) subject {
	s := subject{sources: make(map[string]bool), targets: make(map[string]bool), services: make(map[string]bool)}
	for _, line := range lines {
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

// daemonStateMessages are messages about the state of a daemon. They are related if
// they come from a source of the request's lines.
var daemonStateMessages = map[string]bool{
	"daemon started": true, "stopping": true, "daemon stopped": true, "settings in force": true,
	"configuration in force": true, "configuration not usable; keeping the one in force": true,
	"store reached": true, "store not reached": true, "store not reached through daemon": true,
	"started with the copy of another daemon": true, "hub not used; reading the store": true,
	"hub silent; choosing another": true, "store discarded its history; reading everything again": true,
	"range table not usable; keeping the one in force": true,
}

// coordinationMessages are messages about which daemon assigns keys. They are related
// whichever daemon wrote them.
var coordinationMessages = map[string]bool{
	"coordinator's lease won": true, "coordinator's lease lost": true, "coordinator's lease given back": true,
	"coordinator's lease not renewed; extending grants":       true,
	"coordinator's lease may have run out; assigning nothing": true, "coordinator's lease confirmed again": true,
	"told how long grants of the earlier coordinator last": true, "election not decided": true,
	"assigning keys": true, "range table written": true, "range table not written": true,
	"store answered from an earlier state": true,
}

// matches reports whether a line of another event may explain the request.
func (s subject) matches(line Line) bool {
	switch {
	case line.Request != "":
		return false
	case line.From != nil && line.To != nil:
		return s.key != nil && s.services[line.Service] && *line.From <= *s.key && *s.key <= *line.To
	case coordinationMessages[line.Message]:
		return s.key != nil && (line.Service == "" || s.services[line.Service])
	case line.Message == "range table in force":
		return s.sources[line.Source] && s.services[line.Service]
	case daemonStateMessages[line.Message]:
		return s.sources[line.Source]
	default:
		return s.sources[line.Source] && s.targets[line.Target]
	}
}

// limitTableLines keeps of each source the maxTableLines lines about range tables that are
// nearest to the end of the request.
func limitTableLines(lines []Line, end time.Time) []Line {
	var tables, out []Line
	for _, line := range lines {
		if line.Message == "range table in force" || line.Message == "range table written" {
			tables = append(tables, line)
		} else {
			out = append(out, line)
		}
	}
	slices.SortStableFunc(tables, func(a, b Line) int { return int(end.Sub(a.Time).Abs() - end.Sub(b.Time).Abs()) })
	kept := make(map[string]int)
	for _, line := range tables {
		if key := line.Source + line.Message; kept[key] < maxTableLines {
			kept[key]++
			out = append(out, line)
		}
	}
	return out
}

// relatedLines returns the lines of other events that may explain the request's own
// lines.
func (l *Log) relatedLines(lines []Line) []Line {
	s := subjectOf(lines)
	first, last := lines[0].Time, lines[len(lines)-1].Time
	var out []Line
	for _, line := range l.Lines {
		if line.Time.Before(first.Add(-windowBefore)) || line.Time.After(last.Add(windowAfter)) || !s.matches(line) {
			continue
		}
		out = append(out, line)
	}
	out = limitTableLines(out, last)
	if len(out) > maxRelatedLines {
		distance := func(line Line) time.Duration { return last.Sub(line.Time).Abs() }
		slices.SortStableFunc(out, func(a, b Line) int { return int(distance(a) - distance(b)) })
		out = out[:maxRelatedLines]
	}
	sortByTime(out)
	return out
}
