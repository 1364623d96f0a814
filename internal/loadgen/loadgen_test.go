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

func arrivals(t *testing.T, c Config) []arrival {
	t.Helper()
	p, err := newPlan(c, testManifest())
	if err != nil {
		t.Fatal(err)
	}
	var out []arrival
	for {
		a, more := p.next()
		if !more {
			return out
		}
		out = append(out, a)
	}
}

// Runs can be compared only if they send the same requests, and the load must
// have the rate, step and mix that were asked for.
func TestPlanFollowsConfig(t *testing.T) {
	c := testConfig()
	c.Rate = 1000
	c.Profile = Profile{Factor: 3, Start: 4 * time.Second, End: 6 * time.Second}
	c.Stragglers = Stragglers{Ratio: 0.1, Work: 20 * time.Millisecond}
	all := arrivals(t, c)
	inStep, stragglers, posts := 0, 0, 0
	for i, a := range all {
		if i > 0 && a.at < all[i-1].at {
			t.Fatal("arrivals are not in order")
		}
		if a.at >= c.Profile.Start && a.at < c.Profile.End {
			inStep++
		}
		if strings.Contains(a.url, "work_ms=20") {
			stragglers++
		}
		if a.kind.method == http.MethodPost {
			posts++
		}
	}
	// 8 s at 1000/s and 2 s at 3000/s. Bounds are six standard deviations, so
	// only a wrong rate leaves them.
	within(t, "arrivals", len(all), 14_000, 6*119)
	within(t, "arrivals in the step", inStep, 6_000, 6*78)
	within(t, "stragglers", stragglers, 1_400, 6*36)
	within(t, "requests of orders/place, a quarter of the weight", posts, 3_500, 6*52)
	again := arrivals(t, c)
	if len(again) != len(all) {
		t.Fatal("the same seed gives another number of requests")
	}
	for i := range all {
		if again[i].at != all[i].at || again[i].url != all[i].url {
			t.Fatalf("request %d differs with the same seed", i)
		}
	}
}

func within(t *testing.T, what string, got, want, margin int) {
	t.Helper()
	if got < want-margin || got > want+margin {
		t.Errorf("%d %s, expected %d ± %d", got, what, want, margin)
	}
}

// stalling answers at once, but not before the end of a stall.
type stalling struct {
	start    time.Time
	from, to time.Duration
	refuse   bool
}

// RoundTrip answers a request.
func (s *stalling) RoundTrip(r *http.Request) (*http.Response, error) {
	if at := time.Since(s.start); at >= s.from && at < s.to {
		time.Sleep(s.to - at)
	}
	resp := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("ok")), Request: r}
	if s.refuse && r.Method == http.MethodPost {
		resp.StatusCode = http.StatusServiceUnavailable
		resp.Header.Set(header.Reason, "no-owner")
		resp.Header.Set(header.Outcome, header.NotRun)
	}
	return resp, nil
}

func runStalled(t *testing.T, c Config, s *stalling) *Result {
	t.Helper()
	p, err := newPlan(c, testManifest())
	if err != nil {
		t.Fatal(err)
	}
	sender := newSender(c, p.kinds)
	s.start = time.Now()
	sender.client.Transport = s
	sender.run(context.Background(), p)
	return sender.recorder.result(c, time.Since(sender.start))
}

// Coordinated omission: a generator that waits for responses sends hardly
// anything during a stall and reports it as a few slow requests.
func TestStallIsSeenByEveryArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := testConfig()
		c.Weights = map[string]float64{"display/read": 1}
		r := runStalled(t, c, &stalling{from: 2 * time.Second, to: 5 * time.Second})
		got := r.Classes[0]
		if got.NotSent != 0 || got.Answered != got.Arrivals || r.SendDelayMaxMs > 1 {
			t.Fatalf("%+v, longest delay %v ms", got, r.SendDelayMaxMs)
		}
		// 3 of 10 s are stalled, so the 90th percentile lies a third into the
		// stall: about 2 s. In a closed loop it would be 0.
		if got.Latency.P50Ms > 1 || got.Latency.P90Ms < 1500 || got.Latency.MaxMs < 2800 {
			t.Errorf("latency %+v", got.Latency)
		}
		slow := got.Answered - got.Good
		within(t, "requests outside of the objective", int(slow), 295, 6*18)
		if s := r.Seconds[2]; s.P99Ms < 2500 || s.Good > 2 {
			t.Errorf("second of the stall: %+v", s)
		}
	})
}

// Arrivals above the bound must show up as not sent: sent later, they would
// turn the load into a closed loop; left out, they would flatter the system.
func TestBoundOfRequestsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := testConfig()
		c.InFlight = 50
		r := runStalled(t, c, &stalling{from: 2 * time.Second, to: 5 * time.Second, refuse: true})
		var total ClassResult
		for _, got := range r.Classes {
			if got.Arrivals != got.Sent+got.NotSent {
				t.Errorf("%s: %d arrivals, %d sent, %d not", got.Class, got.Arrivals, got.Sent, got.NotSent)
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
		if int(total.Arrivals) != len(arrivals(t, c)) {
			t.Errorf("%d of %d arrivals are counted", total.Arrivals, len(arrivals(t, c)))
		}
		within(t, "arrivals not sent", int(total.NotSent), 250, 6*18)
	})
}

// A load must not leave the machine by mistake, and a class that another one
// hides must not be measured under its name.
func TestUnusableLoadIsRefused(t *testing.T) {
	remote := testConfig()
	remote.Addresses = []string{"127.0.0.1:80", "192.0.2.1:80"}
	if _, err := newPlan(remote, testManifest()); !errors.Is(err, ErrRemote) {
		t.Errorf("remote address: %v", err)
	}
	remote.AllowRemote = true
	if _, err := newPlan(remote, testManifest()); err != nil {
		t.Errorf("remote address that is allowed: %v", err)
	}
	hidden := testManifest()
	hidden.Services[1].Classes[0].Methods = nil
	hidden.Services[1].Classes[1].PathPrefix = "/place/now"
	if _, err := newPlan(testConfig(), hidden); !errors.Is(err, ErrConfig) {
		t.Errorf("hidden class: %v", err)
	}
	for _, spoil := range []func(*Config){
		func(c *Config) { c.Rate = 0 }, func(c *Config) { c.Rate = MaxRate; c.Profile.Factor = 2 },
		func(c *Config) { c.Duration = 2 * MaxDuration }, func(c *Config) { c.Zipf = 0.9 },
		func(c *Config) { c.InFlight = 0 }, func(c *Config) { c.Addresses = nil },
		func(c *Config) { c.Weights = map[string]float64{"display/none": 1} },
	} {
		c := testConfig()
		spoil(&c)
		if _, err := newPlan(c, testManifest()); !errors.Is(err, ErrConfig) {
			t.Errorf("%+v: %v", c, err)
		}
	}
}

// A plot that is no well-formed SVG opens nowhere.
func TestPlotIsWellFormed(t *testing.T) {
	var b bytes.Buffer
	r := &Result{Seconds: []Second{{At: 0, Arrivals: 10, Good: 9, P99Ms: 12.5}, {At: 1}}}
	if err := Plot(&b, r); err != nil {
		t.Fatal(err)
	}
	if strings.Count(b.String(), "<polyline") != 3 {
		t.Errorf("not three curves in %s", b.String())
	}
	if err := xml.Unmarshal(b.Bytes(), new(struct{ XMLName xml.Name })); err != nil {
		t.Error(err)
	}
}
