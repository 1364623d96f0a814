package loadgen

import (
	"bytes"
	"context"
	"encoding/xml"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/protocol/header"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
)

func testManifest() *manifest.Manifest {
	objective := manifest.Objective{LatencyMs: 50, Ratio: 0.99}
	return &manifest.Manifest{Services: []manifest.Service{
		{
			Name: "display", PathPrefix: "/display", Key: manifest.KeySource{From: manifest.KeyFromPath, Segment: 1},
			Classes: []manifest.Class{{Name: "read", Methods: []string{"GET"}, Objective: objective}},
			Targets: []manifest.Target{{Slots: 3}},
		},
		{
			Name: "orders", PathPrefix: "/orders", Key: manifest.KeySource{From: manifest.KeyFromQuery, Name: "id"},
			Classes: []manifest.Class{
				{Name: "place", Methods: []string{"POST"}, PathPrefix: "/place", Objective: objective},
				{Name: "any", Objective: objective},
			},
			Targets: []manifest.Target{{Slots: 3}},
		},
	}}
}

func testConfig() Config {
	return Config{
		Addresses: []string{"127.0.0.1:1"}, Rate: 100, Duration: 10 * time.Second, Seed: 7,
		Keys: 1000, Zipf: 1.2, InFlight: 1000, Timeout: 20 * time.Second,
	}
}

func drawArrivals(t *testing.T, c Config) []arrival {
	t.Helper()
	p, err := newPlan(c, testManifest())
	if err != nil {
		t.Fatal(err)
	}
	var out []arrival
	for {
		a, ok := p.next()
		if !ok {
			return out
		}
		out = append(out, a)
	}
}

// Guards against plans that differ between runs with the same seed, which would make the
// runs incomparable, and against a rate, step or mix other than configured.
func TestPlanFollowsConfig(t *testing.T) {
	c := testConfig()
	c.Rate = 1000
	c.Profile = Profile{Factor: 3, Start: 4 * time.Second, End: 6 * time.Second}
	c.Stragglers = Stragglers{Ratio: 0.1, Work: 20 * time.Millisecond}
	all := drawArrivals(t, c)
	inStep, stragglers, posts := 0, 0, 0
	for i, a := range all {
		if i > 0 && a.at < all[i-1].at {
			t.Fatal("arrivals are not ordered by time")
		}
		if a.at >= c.Profile.Start && a.at < c.Profile.End {
			inStep++
		}
		if strings.Contains(a.url, "work_ms=20") {
			stragglers++
		}
		if a.class.method == http.MethodPost {
			posts++
		}
	}
	// 8 s at 1000/s and 2 s at 3000/s. The margins are six standard deviations, so only a
	// wrong rate exceeds them.
	expectWithin(t, "arrivals", len(all), 14_000, 6*119)
	expectWithin(t, "arrivals in the step", inStep, 6_000, 6*78)
	expectWithin(t, "stragglers", stragglers, 1_400, 6*36)
	expectWithin(t, "requests of orders/place, a quarter of the weight", posts, 3_500, 6*52)
	repeated := drawArrivals(t, c)
	if len(repeated) != len(all) {
		t.Fatal("the same seed gives a different number of requests")
	}
	for i := range all {
		if repeated[i].at != all[i].at || repeated[i].url != all[i].url {
			t.Fatalf("request %d differs with the same seed", i)
		}
	}
}

func expectWithin(t *testing.T, what string, got, want, margin int) {
	t.Helper()
	if got < want-margin || got > want+margin {
		t.Errorf("%d %s, expected %d ± %d", got, what, want, margin)
	}
}

// stallingTransport responds immediately, except during a stall: requests that arrive then
// get their responses at its end.
type stallingTransport struct {
	start                time.Time
	stallStart, stallEnd time.Duration
	refuse               bool
}

// RoundTrip implements http.RoundTripper.
func (s *stallingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if at := time.Since(s.start); at >= s.stallStart && at < s.stallEnd {
		time.Sleep(s.stallEnd - at)
	}
	resp := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("ok")), Request: r}
	if s.refuse && r.Method == http.MethodPost {
		resp.StatusCode = http.StatusServiceUnavailable
		resp.Header.Set(header.Reason, "no-owner")
		resp.Header.Set(header.Outcome, header.NotRun)
	}
	return resp, nil
}

func runWithStall(t *testing.T, c Config, s *stallingTransport) *Result {
	t.Helper()
	p, err := newPlan(c, testManifest())
	if err != nil {
		t.Fatal(err)
	}
	sender := newSender(c, p.classes)
	s.start = time.Now()
	sender.client.Transport = s
	sender.run(context.Background(), p)
	return sender.recorder.result(c, time.Since(sender.start))
}

// Guards against coordinated omission: a generator that waits for responses sends hardly
// any requests during a stall and reports the stall as a few slow requests.
func TestStallDelaysEveryArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := testConfig()
		c.Weights = map[string]float64{"display/read": 1}
		r := runWithStall(t, c, &stallingTransport{stallStart: 2 * time.Second, stallEnd: 5 * time.Second})
		got := r.Classes[0]
		if got.NotSent != 0 || got.Answered != got.Arrivals || r.SendDelayMaxMs > 1 {
			t.Fatalf("%+v, longest delay %v ms", got, r.SendDelayMaxMs)
		}
		// The stall covers 3 of 10 s, so the 90th percentile is the latency of a request
		// that arrives a third into the stall: about 2 s. In a closed loop it would be 0.
		if got.Latency.P50Ms > 1 || got.Latency.P90Ms < 1500 || got.Latency.MaxMs < 2800 {
			t.Errorf("latency %+v", got.Latency)
		}
		slow := got.Answered - got.Good
		expectWithin(t, "requests outside of the objective", int(slow), 295, 6*18)
		if s := r.Seconds[2]; s.P99Ms < 2500 || s.Good > 2 {
			t.Errorf("second of the stall: %+v", s)
		}
	})
}

// Arrivals above the limit of requests in flight must be counted as not sent. If they were
// sent later, the load would become a closed loop; if they were left out, the results
// would be too good.
func TestInFlightLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := testConfig()
		c.InFlight = 50
		r := runWithStall(t, c, &stallingTransport{stallStart: 2 * time.Second, stallEnd: 5 * time.Second, refuse: true})
		var total ClassResult
		for _, got := range r.Classes {
			if got.Arrivals != got.Sent+got.NotSent {
				t.Errorf("%s: %d arrivals, %d sent, %d not sent", got.Class, got.Arrivals, got.Sent, got.NotSent)
			}
			total.Arrivals += got.Arrivals
			total.NotSent += got.NotSent
			if got.Class != "orders/place" {
				continue
			}
			want := RefusalCount{Refusal: Refusal{Status: 503, Outcome: "not-run", Reason: "no-owner"}, Count: got.Sent}
			if len(got.Refused) != 1 || got.Refused[0] != want || got.Answered != 0 || got.Good != 0 {
				t.Errorf("refused requests: %+v", got)
			}
		}
		if int(total.Arrivals) != len(drawArrivals(t, c)) {
			t.Errorf("%d of %d arrivals counted", total.Arrivals, len(drawArrivals(t, c)))
		}
		expectWithin(t, "arrivals not sent", int(total.NotSent), 250, 6*18)
	})
}

// Guards against load that is sent to another machine by mistake, and against requests that
// are attributed to a class although the router assigns them to an earlier one.
func TestInvalidConfigIsRejected(t *testing.T) {
	remote := testConfig()
	remote.Addresses = []string{"127.0.0.1:80", "192.0.2.1:80"}
	if _, err := newPlan(remote, testManifest()); !errors.Is(err, ErrRemote) {
		t.Errorf("remote address: %v", err)
	}
	remote.AllowRemote = true
	if _, err := newPlan(remote, testManifest()); err != nil {
		t.Errorf("allowed remote address: %v", err)
	}
	shadowed := testManifest()
	shadowed.Services[1].Classes[0].Methods = nil
	shadowed.Services[1].Classes[1].PathPrefix = "/place/now"
	if _, err := newPlan(testConfig(), shadowed); !errors.Is(err, ErrConfig) {
		t.Errorf("shadowed class: %v", err)
	}
	for _, invalidate := range []func(*Config){
		func(c *Config) { c.Rate = 0 }, func(c *Config) { c.Rate = MaxRate; c.Profile.Factor = 2 },
		func(c *Config) { c.Duration = 2 * MaxDuration }, func(c *Config) { c.Zipf = 0.9 },
		func(c *Config) { c.InFlight = 0 }, func(c *Config) { c.Addresses = nil },
		func(c *Config) { c.Weights = map[string]float64{"display/none": 1} },
	} {
		c := testConfig()
		invalidate(&c)
		if _, err := newPlan(c, testManifest()); !errors.Is(err, ErrConfig) {
			t.Errorf("%+v: %v", c, err)
		}
	}
}

// Guards against a plot that is not well-formed XML, which no viewer opens.
func TestPlotIsWellFormed(t *testing.T) {
	var b bytes.Buffer
	r := &Result{Seconds: []Second{{At: 0, Arrivals: 10, Good: 9, P99Ms: 12.5}, {At: 1}}}
	if err := Plot(&b, r); err != nil {
		t.Fatal(err)
	}
	if strings.Count(b.String(), "<polyline") != 3 {
		t.Errorf("expected three curves in %s", b.String())
	}
	if err := xml.Unmarshal(b.Bytes(), new(struct{ XMLName xml.Name })); err != nil {
		t.Error(err)
	}
}
