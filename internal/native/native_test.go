package native

import (
	"encoding/json"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/jackdawloom/jackdawloom/internal/coordination/ownership"
	"github.com/jackdawloom/jackdawloom/internal/protocol/grant"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
	"github.com/jackdawloom/jackdawloom/internal/state/route"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
	"github.com/jackdawloom/jackdawloom/internal/transport/upstream"
)

func encodedManifest(t *testing.T) []byte {
	t.Helper()
	m := manifest.Manifest{Schema: manifest.Schema, Name: "m", Services: []manifest.Service{{
		Name: "display", PathPrefix: "/display", Shards: 16, Key: manifest.KeySource{From: manifest.KeyFromPath},
		Classes: []manifest.Class{
			{Name: "read", Methods: []string{"GET"}, Repeat: manifest.RepeatIdempotent, DeadlineMs: 500, Objective: manifest.Objective{LatencyMs: 50, Ratio: 0.99}},
			{Name: "book", Methods: []string{"POST"}, Repeat: manifest.RepeatNever, DeadlineMs: 900, Objective: manifest.Objective{LatencyMs: 200, Ratio: 0.99}},
		},
		Targets: []manifest.Target{
			{Name: "a", Address: "127.0.0.1:1", Domain: "x", Slots: 3, Connections: 40, ChecksGrants: true},
			{Name: "b", Address: "127.0.0.1:2", Domain: "x", Slots: 3, Connections: 20, ChecksGrants: true},
		},
	}}}
	b, err := manifest.EncodeAccepted(manifest.Accepted{Revision: 7, Operation: "op", Manifest: m})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Guards against repeating requests of a class that must not be repeated, and against
// routing a request that matches no class to a target.
func TestConfigFromManifest(t *testing.T) {
	c, err := Documents{Limits: Limits{HeaderBytes: 1 << 10, KeyBytes: 8, BodyBytes: 1 << 10}}.DecodeConfig(encodedManifest(t))
	if err != nil {
		t.Fatal(err)
	}
	if s := c.Services["display"]; c.Version != 7 || !s.Keyed || !s.ShedsLoad || s.MaxConnections != 20 {
		t.Errorf("version %d, service %+v", c.Version, s)
	}
	read, err := c.Match(route.Query{Method: http.MethodGet, Path: "/display/k1"})
	if err != nil || !read.HasKey || !read.Route.Idempotent || read.Route.Timeout != 500*time.Millisecond || read.Route.AttemptTimeout != minAttemptTimeout {
		t.Errorf("read: %+v, %+v, %v", read, read.Route, err)
	}
	book, err := c.Match(route.Query{Method: http.MethodPost, Path: "/display/k1"})
	if err != nil || book.Route.Idempotent || book.Route.AttemptTimeout != 0 || book.Route.MaxAttempts != 1 || book.Key != read.Key {
		t.Errorf("book: %+v, %+v, %v", book, book.Route, err)
	}
	for _, q := range []struct {
		route.Query
		status int
		reason string
	}{
		{route.Query{Method: "GET", Path: "/other/k"}, http.StatusNotFound, "unknown-service"},
		{route.Query{Method: "DELETE", Path: "/display/k"}, http.StatusMethodNotAllowed, "no-class"},
		{route.Query{Method: "GET", Path: "/display"}, http.StatusBadRequest, "missing-key"},
		{route.Query{Method: "GET", Path: "/display/longer-than-8"}, http.StatusBadRequest, "key-too-long"},
		{route.Query{Method: "GET", Path: "/display/a/../b"}, http.StatusBadRequest, "bad-path"},
	} {
		_, err := c.Match(q.Query)
		var m *route.MismatchError
		if !errors.As(err, &m) || m.Status != q.status || m.Reason != q.reason {
			t.Errorf("%s %s: %v", q.Method, q.Path, err)
		}
	}
}

// Guards against accepting a malformed entry as the registration of a target, and against
// two runs of a target that cannot be told apart.
func TestRegistrations(t *testing.T) {
	encode := func(r Registration) []byte {
		b, err := cbor.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	registration := Registration{Address: "127.0.0.1:1", Domain: "x", Slots: 3, Boot: "one"}
	first, err := Documents{}.DecodeTarget(TargetKey("s/a"), encode(registration))
	if err != nil || first.ID != "s/a" || first.Service != "s" || first.State != target.Ready {
		t.Errorf("%+v, %v", first, err)
	}
	restarted := registration
	restarted.Boot, restarted.Leaving = "two", true
	second, err := Documents{}.DecodeTarget(TargetKey("s/a"), encode(restarted))
	if err != nil || second.Incarnation() == first.Incarnation() || second.State != target.Leaving {
		t.Errorf("%+v, %v", second, err)
	}
	for name, b := range map[string][]byte{"s/a": []byte("x"), "s/": encode(registration), "a": encode(registration), "s/b": encode(Registration{Boot: "b"})} {
		if _, err := (Documents{}).DecodeTarget(TargetKey(name), b); !errors.Is(err, errInvalidRegistration) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against a grant that lasts longer on the target's clock than the coordinator
// assumes, that another run of the target accepts, or that is made without a recent reading
// of the target's clock.
func TestGrantExpiresByTargetClock(t *testing.T) {
	readings := NewClockReadings()
	protocol := GrantProtocol{Readings: readings}
	span := ranges.Span{From: 3, To: 9, Owner: "s/a", Epoch: epochOf("one"), Fence: 4}
	g := ownership.Grant{Span: span, Duration: time.Second}
	if _, err := protocol.GrantRequest(g); !errors.Is(err, errNoClockReading) {
		t.Errorf("without a reading: %v", err)
	}
	readings.Record("s/a", grant.Reply{BootID: "one", NowMs: 5000})
	time.Sleep(50 * time.Millisecond)
	req, err := protocol.GrantRequest(g)
	if err != nil {
		t.Fatal(err)
	}
	var r grant.Request
	if err := json.Unmarshal(req.Body, &r); err != nil {
		t.Fatal(err)
	}
	// The target's clock shows at least 5050 ms now, less the allowance for drift.
	if r.Service != "s" || r.Target != "a" || r.BootID != "one" || r.From != 3 || r.To != 9 || r.Fence != 4 || r.ExpiresMs < 6045 || r.ExpiresMs > 6500 {
		t.Errorf("%+v", r)
	}
	other := g
	other.Span.Epoch = epochOf("two")
	if _, err := protocol.GrantRequest(other); !errors.Is(err, errNoClockReading) {
		t.Errorf("for another run: %v", err)
	}
}

// Guards against mistaking a response for a successful grant: keys that a target has not
// confirmed must not be counted as served.
func TestGrantResult(t *testing.T) {
	for _, c := range []struct {
		status int
		body   string
		want   ownership.Result
	}{
		{http.StatusOK, `{"outcome":"done"}`, ownership.OK},
		{http.StatusOK, `{"outcome":"fenced"}`, ownership.Fenced},
		{http.StatusOK, `{"outcome":"other-run"}`, ownership.NotSent},
		{http.StatusOK, `{"outcome":"later"}`, ownership.Failed},
		{http.StatusOK, `done`, ownership.Failed},
		{http.StatusNotFound, `{"outcome":"done"}`, ownership.Failed},
	} {
		if got, _ := (GrantProtocol{}).ParseResult(&upstream.Response{Status: c.status, Body: []byte(c.body)}); got != c.want {
			t.Errorf("%d %s: result %d, want %d", c.status, c.body, got, c.want)
		}
	}
}
