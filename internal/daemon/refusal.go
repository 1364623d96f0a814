package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/coordination/admission"
	"github.com/jackdawloom/jackdawloom/internal/coordination/front"
	"github.com/jackdawloom/jackdawloom/internal/coordination/retry"
	"github.com/jackdawloom/jackdawloom/internal/protocol/header"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
)

const (
	notRun  = retry.NotRun
	unknown = retry.Unknown
	ran     = retry.Ran
)

// reason names why a request was refused. It is the value of header.Reason.
type reason string

const (
	reasonUnknownService reason = "unknown-service"
	reasonNoClass        reason = "no-class"
	reasonBadPath        reason = "bad-path"
	reasonMissingKey     reason = "missing-key"
	reasonAmbiguousKey   reason = "ambiguous-key"
	reasonKeyTooLong     reason = "key-too-long"
	reasonBodyTooLarge   reason = "body-too-large"
	reasonBadBody        reason = "body-not-read"
	reasonNoConfig       reason = "no-configuration"
	reasonOldConfig      reason = "old-configuration"
	reasonNoOwner        reason = "no-owner"
	reasonNotFront       reason = "not-front"
	reasonDispatch       reason = "not-dispatchable"
	reasonUnreachable    reason = "unreachable"
	reasonDeadline       reason = "deadline"
	reasonCancelled      reason = "cancelled"
	reasonConnection     reason = "connection-lost"
	reasonTargetShed     reason = "target-shed"
	reasonTargetGrant    reason = "target-refused-grant"
	reasonPeerUnknown    reason = "peer-connection-lost"
	reasonMalformed      reason = "malformed-forward"
)

// refusal is a request's end without a complete response of its target.
type refusal struct {
	status     int
	outcome    retry.Outcome
	reason     reason
	overload   bool
	retryAfter time.Duration
	cause      error
}

// Error describes the refusal.
func (r *refusal) Error() string {
	s := fmt.Sprintf("%s (%s)", r.reason, r.outcome)
	if r.cause != nil {
		s += ": " + r.cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (r *refusal) Unwrap() error { return r.cause }

// asRefusal returns err as a refusal; any other error leaves the outcome
// unknown.
func asRefusal(err error) *refusal {
	var r *refusal
	if errors.As(err, &r) {
		return r
	}
	return &refusal{status: http.StatusBadGateway, outcome: unknown, reason: reasonConnection, cause: err}
}

// write sends the refusal to the caller or the forwarding peer.
func (r *refusal) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set(header.Outcome, string(r.outcome))
	h.Set(header.Reason, string(r.reason))
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("X-Content-Type-Options", "nosniff")
	if r.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((r.retryAfter+time.Second-1)/time.Second)))
	}
	w.WriteHeader(r.status)
	_, _ = fmt.Fprintf(w, "request refused: %s; outcome: %s\n", r.reason, r.outcome)
}

// readRefusal returns the refusal that a peer's response carries, or nil if the
// response comes from a target.
func readRefusal(resp *http.Response) *refusal {
	name := resp.Header.Get(header.Reason)
	if name == "" {
		return nil
	}
	r := &refusal{status: resp.StatusCode, reason: reason(name), outcome: unknown}
	if o := retry.Outcome(resp.Header.Get(header.Outcome)); o == notRun || o == ran {
		r.outcome = o
	}
	r.overload = r.reason.overload()
	r.retryAfter = parseRetryAfter(resp.Header)
	return r
}

// overload reports whether the reason is load. Retries after such refusals
// count against the budget.
func (r reason) overload() bool {
	switch r {
	case reasonTargetShed, reason(admission.ReasonQueueFull), reason(admission.ReasonFairShare), reason(admission.ReasonShed):
		return true
	}
	return false
}

func parseRetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 || seconds > 3600 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// matchRefusal explains why a request fits no class of the configuration.
func matchRefusal(err error) *refusal {
	r := &refusal{status: http.StatusBadRequest, outcome: notRun, cause: err}
	switch {
	case errors.Is(err, manifest.ErrUnknownService):
		r.status, r.reason = http.StatusNotFound, reasonUnknownService
	case errors.Is(err, manifest.ErrNoClass):
		r.status, r.reason = http.StatusMethodNotAllowed, reasonNoClass
	case errors.Is(err, manifest.ErrMissingKey):
		r.reason = reasonMissingKey
	case errors.Is(err, manifest.ErrAmbiguousKey):
		r.reason = reasonAmbiguousKey
	case errors.Is(err, manifest.ErrKeyTooLong):
		r.reason = reasonKeyTooLong
	default:
		r.reason = reasonBadPath
	}
	return r
}

// dispatchErrors are the reasons for which a front does not dispatch.
var dispatchErrors = []error{
	front.ErrNoAuthority, front.ErrNotOwner, front.ErrMoving, front.ErrNotGranted,
	front.ErrTargetLost, front.ErrReleased, front.ErrDraining, errExpired,
}

func isDispatchError(err error) bool {
	for _, e := range dispatchErrors {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

func dispatchRefusal(err error) *refusal {
	if errors.Is(err, errExpired) {
		return &refusal{status: http.StatusGatewayTimeout, outcome: notRun, reason: reasonDeadline, cause: err}
	}
	return &refusal{status: http.StatusServiceUnavailable, outcome: notRun, reason: reasonDispatch, cause: err}
}

func admissionRefusal(why admission.Reason) *refusal {
	r := &refusal{status: http.StatusServiceUnavailable, outcome: notRun, reason: reason(why)}
	switch why {
	case admission.ReasonDeadline:
		r.status = http.StatusGatewayTimeout
	case admission.ReasonFairShare:
		r.status = http.StatusTooManyRequests
	}
	r.overload = r.reason.overload()
	return r
}

// contextRefusal explains the end of a request that waited and did not run.
func contextRefusal(ctx context.Context) *refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &refusal{status: http.StatusGatewayTimeout, outcome: notRun, reason: reasonDeadline}
	}
	return &refusal{status: http.StatusServiceUnavailable, outcome: notRun, reason: reasonCancelled}
}
