package upstream

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// HeaderNames are the header names that daemons and targets exchange.
type HeaderNames struct {
	// RequestID names a request; targets return it.
	RequestID string
	// AssignID makes daemons name requests that their callers did not.
	AssignID bool
	// TimeLeft is the time in milliseconds after which a target stops work.
	TimeLeft string
	// ExpectTarget is the ID of the only target that may run the request.
	ExpectTarget string
	// NotRun marks an answer to a request that the target did not run, by its
	// presence or, if NotRunValue is set, by that value.
	NotRun, NotRunValue string
	// TargetID is the ID of the answering target.
	TargetID string
	// Key is the key of a request to a keyed service.
	Key string
	// Stamp is the target's signature of an answer. If it is empty, targets sign
	// none.
	Stamp string
	// Handover accompanies keys from one owner to the next.
	Handover string
	// Outcome and Reason tell callers of a refusal whether the request ran, and why
	// it was refused. If they are empty, the status tells the former.
	Outcome, Reason string
}

// Refused reports whether an answer says that the target did not run the request.
func (n *HeaderNames) Refused(h http.Header) bool {
	value := h.Get(n.NotRun)
	return value != "" && (n.NotRunValue == "" || value == n.NotRunValue)
}

// Request is a request to one target.
type Request struct {
	Names  *HeaderNames
	ID     string
	Method string
	// URI is the path and query as the caller wrote them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Target is the ID of the target that may run the request; empty for any.
	Target string
	// TimeLeft is the time that is left to the caller; 0 for no limit.
	TimeLeft time.Duration
}

// outgoing returns the request in the form that net/http writes.
func (r *Request) outgoing() *http.Request {
	h := r.Header.Clone()
	if h == nil {
		h = make(http.Header)
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	if r.Target != "" {
		h.Set(r.Names.ExpectTarget, r.Target)
	}
	if r.TimeLeft > 0 {
		h.Set(r.Names.TimeLeft, strconv.FormatInt(max(r.TimeLeft.Milliseconds(), 1), 10))
	}
	out := &http.Request{
		Method: r.Method, URL: &url.URL{Opaque: r.URI}, Host: r.Host, Header: h,
		ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	return out
}

// Response is the complete answer of a target.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Trailer are the fields after the body; nil if there are none.
	Trailer http.Header
}
