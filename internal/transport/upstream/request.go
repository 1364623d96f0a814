package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/transport/bodybuf"
)

// HeaderNames are the names of the header fields that daemons and targets exchange.
type HeaderNames struct {
	// RequestID carries the ID of a request; targets return it.
	RequestID string
	// AssignID makes daemons assign an ID to requests that arrive without one.
	AssignID bool
	// TimeLeft carries the time in milliseconds after which the target stops work.
	TimeLeft string
	// ExpectTarget carries the ID of the only target that may run the request.
	ExpectTarget string
	// NotRun marks a response to a request that the target did not run: by its presence or, if
	// NotRunValue is set, by that value.
	NotRun, NotRunValue string
	// TargetID carries the ID of the target that responds.
	TargetID string
	// Key carries the key of a request to a keyed service.
	Key string
	// Leaving marks the responses of a target that is leaving; empty if targets do not mark
	// them.
	Leaving string
	// Stamp carries the target's signature of a response. It is empty if targets do not sign
	// responses.
	Stamp string
	// Load carries a target's load report, and ColdRemaining the milliseconds for which the
	// target stays cold; empty if targets do not report them.
	Load, ColdRemaining string
	// Handover carries the value that accompanies keys from one owner to the next.
	Handover string
	// Outcome and Reason tell callers whether a refused request ran, and why it was refused. If
	// they are empty, only the status tells whether it ran.
	Outcome, Reason string
}

// Refused reports whether a response says that the target did not run the request.
func (n *HeaderNames) Refused(h http.Header) bool {
	value := h.Get(n.NotRun)
	return value != "" && (n.NotRunValue == "" || value == n.NotRunValue)
}

// Request is a request to one target.
type Request struct {
	Names *HeaderNames
	ID    string
	// EchoOptional accepts responses without an ID. Responses with another ID are still
	// taken for those to other requests.
	EchoOptional bool
	// EchoNever also accepts responses without an ID on a connection on which the target has
	// returned IDs to other requests. A late copy of the response to a request of this kind may
	// then be taken for the response, so it must do no harm.
	EchoNever bool
	// OwnConnection sends the request on a new connection, which is closed after the response. No
	// late copy of another response can be taken for the response, whether the target returns IDs
	// or not.
	OwnConnection bool
	Method        string
	// URI is the path and the query as sent by the caller, which go on byte for byte.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Target is the ID of the target that may run the request; empty for any.
	Target string
	// TimeLeft is the time until the caller's deadline; 0 means no limit.
	TimeLeft time.Duration
	// NotAfter is the time on package clock after which the request must not be sent; 0 means
	// no limit. It is checked after a connection was opened, which may have taken a while.
	NotAfter time.Duration
}

// Response is the complete response of a target. Its body counts against the memory budget
// of the pool until Release is called.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Trailer holds the trailer fields; nil if there are none.
	Trailer http.Header

	body *bodybuf.Buffer
}

// Release returns the memory of the body, which must not be used afterwards. It may be called
// on nil.
func (r *Response) Release() {
	if r == nil {
		return
	}
	r.Body = nil
	r.body.Release()
}

// IsLeaving reports whether the header of a response says that the target is leaving.
func (n *HeaderNames) IsLeaving(h http.Header) bool {
	return n.Leaving != "" && h.Get(n.Leaving) == "1"
}

// maxPause bounds the time for which a target may ask for no requests. A target that is
// registered but wants nothing for longer is asked again then.
const maxPause = 5 * time.Minute

// Pause returns the time for which the target that sent a response wants no requests: the
// Retry-After of a 503, in seconds that may have fractions. It returns 0 if there is none or
// the value is not a positive number of seconds. A date is not used, because the clocks that
// it depends on may jump.
func (r *Response) Pause() time.Duration {
	if r == nil || r.Status != http.StatusServiceUnavailable {
		return 0
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(r.Header.Get("Retry-After")), 64)
	if err != nil || !(seconds > 0) { // also false for NaN
		return 0
	}
	return time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second))
}
