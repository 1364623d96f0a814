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
	// drift is the share by which a target's clock may run slow against this
	// daemon's.
	drift = 0.02
	// maxReadingAge bounds the age of the reading that an expiry is made from.
	maxReadingAge = 5 * time.Second
)

// errNoReading reports a target whose clock was not read lately.
var errNoReading = errors.New("target's clock not read")

// reading is what a target's clock showed.
type reading struct {
	boot  string
	clock time.Duration
	at    time.Duration // when its answer had arrived
}

// ClockReadings are the newest readings of the clocks of targets. They are safe for
// concurrent use.
type ClockReadings struct {
	mu   sync.Mutex
	byID map[string]reading
}

// NewClockReadings returns no readings.
func NewClockReadings() *ClockReadings { return &ClockReadings{byID: make(map[string]reading)} }

// Record takes a target's answer.
func (r *ClockReadings) Record(id string, reply grant.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id] = reading{boot: reply.Boot, clock: time.Duration(reply.NowMs) * time.Millisecond, at: clock.Now()}
}

// expiry returns what a run's clock shows when a time has passed, at the latest by
// that time, and the run's name.
func (r *ClockReadings) expiry(span ranges.Span, hold time.Duration) (time.Duration, string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x, known := r.byID[span.Owner]
	age := clock.Now() - x.at
	if !known || age > maxReadingAge || bornOf(x.boot) != span.Epoch {
		return 0, "", fmt.Errorf("%w: %s", errNoReading, span.Owner)
	}
	return x.clock + age - time.Duration(drift*float64(age)) + hold, x.boot, nil
}

// GrantProtocol makes the calls by which targets are given keys. It implements
// coordinator.Calls.
type GrantProtocol struct{ Readings *ClockReadings }

// Grant returns the call that gives keys to a target or renews that.
func (k GrantProtocol) Grant(g ownership.Grant) (*upstream.Request, error) {
	expires, boot, err := k.Readings.expiry(g.Span, g.Duration)
	if err != nil {
		return nil, err
	}
	return call(g.Span, grant.Request{Boot: boot, ExpiresMs: expires.Milliseconds()})
}

// Release returns the call that takes keys back.
func (k GrantProtocol) Release(r ownership.Release) (*upstream.Request, error) {
	_, boot, err := k.Readings.expiry(r.Span, 0)
	if err != nil {
		return nil, err
	}
	return call(r.Span, grant.Request{Boot: boot, Release: true})
}

func call(span ranges.Span, r grant.Request) (*upstream.Request, error) {
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

// Result reads the answer to a call. Targets of this protocol hand nothing over.
func (k GrantProtocol) Result(a *upstream.Response) (ownership.Result, string) {
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
		// Nothing changed at the target that answered.
		return ownership.NotSent, ""
	}
	return ownership.Failed, ""
}
