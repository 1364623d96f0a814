package native

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/coordination/ownership"
	"github.com/jackdawloom/jackdawloom/internal/protocol/grant"
	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
	"github.com/jackdawloom/jackdawloom/internal/transport/upstream"
)

const (
	// maxClockDrift is the fraction by which a target's clock may run slower than this
	// daemon's.
	maxClockDrift = 0.02
	// maxReadingAge is the maximum age of a reading from which an expiry is computed.
	maxReadingAge = 5 * time.Second
)

// errNoClockReading reports a target run without a recent reading of its clock.
var errNoClockReading = errors.New("no recent reading of target's clock")

// clockReading is a reading of a target's clock.
type clockReading struct {
	boot       string
	clock      time.Duration
	receivedAt time.Duration // when the reply with the reading arrived
}

// ClockReadings holds the latest reading of each target's clock. It is safe for concurrent
// use.
type ClockReadings struct {
	mu   sync.Mutex
	byID map[string]clockReading
}

// NewClockReadings returns an empty set of readings.
func NewClockReadings() *ClockReadings { return &ClockReadings{byID: make(map[string]clockReading)} }

// Record stores the clock reading in a target's reply.
func (r *ClockReadings) Record(id string, reply grant.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id] = clockReading{boot: reply.BootID, clock: time.Duration(reply.NowMs) * time.Millisecond, receivedAt: clock.Now()}
}

// expiry returns the time on the clock of the span's owner at which a grant of the given
// duration expires, and the owner's boot ID. The age of the reading is reduced by the
// maximum clock drift, so that a slow clock does not extend the grant.
func (r *ClockReadings) expiry(span ranges.Span, duration time.Duration) (time.Duration, string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, known := r.byID[span.Owner]
	age := clock.Now() - last.receivedAt
	if !known || age > maxReadingAge || epochOf(last.boot) != span.Epoch {
		return 0, "", fmt.Errorf("%w: %s", errNoClockReading, span.Owner)
	}
	return last.clock + age - time.Duration(maxClockDrift*float64(age)) + duration, last.boot, nil
}

// GrantProtocol encodes the calls that grant key ranges to targets and release them, and
// decodes the responses. It implements coordinator.GrantProtocol.
type GrantProtocol struct{ Readings *ClockReadings }

// GrantRequest returns the call that grants a span of keys to a target or renews the
// grant.
func (p GrantProtocol) GrantRequest(g ownership.Grant) (*upstream.Request, error) {
	expires, boot, err := p.Readings.expiry(g.Span, g.Duration)
	if err != nil {
		return nil, err
	}
	return newGrantRequest(g.Span, grant.Request{BootID: boot, ExpiresMs: expires.Milliseconds()})
}

// ReleaseRequest returns the call that withdraws a span of keys from a target.
func (p GrantProtocol) ReleaseRequest(r ownership.Release) (*upstream.Request, error) {
	_, boot, err := p.Readings.expiry(r.Span, 0)
	if err != nil {
		return nil, err
	}
	return newGrantRequest(r.Span, grant.Request{BootID: boot, Release: true})
}

func newGrantRequest(span ranges.Span, r grant.Request) (*upstream.Request, error) {
	r.Service, r.Target, _ = strings.Cut(span.Owner, "/")
	r.From, r.To, r.Fence = span.From, span.To, span.Fence
	body, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	return &upstream.Request{
		Names: &HeaderNames, Method: http.MethodPost, URI: grant.Path, Body: body,
		Header: http.Header{"Content-Type": {"application/json"}},
	}, nil
}

// ParseResult decodes the response to a call. This protocol has no handover.
func (p GrantProtocol) ParseResult(a *upstream.Response) (ownership.Result, string) {
	var reply grant.Reply
	if a.Status != http.StatusOK || json.Unmarshal(a.Body, &reply) != nil {
		return ownership.Failed, ""
	}
	switch reply.Outcome {
	case grant.Done:
		return ownership.OK, ""
	case grant.Fenced:
		return ownership.Fenced, ""
	case grant.OtherRun:
		// The reply comes from another run, which has changed nothing.
		return ownership.NotSent, ""
	}
	return ownership.Failed, ""
}
