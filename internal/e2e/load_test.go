package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/protocol/header"
)

// attempt is one request and its result as observed by the caller.
type attempt struct {
	tag         string
	key         string
	neverRepeat bool
	sentAt      time.Time
	duration    time.Duration
	status      int
	outcome     string
	reason      string
	incomplete  bool // no complete response was received
	err         error
}

func (a attempt) ok() bool { return !a.incomplete && a.status == http.StatusOK }

// load sends requests to daemons until it is stopped.
type load struct {
	mu       sync.Mutex
	attempts []attempt
	cancel   context.CancelFunc
	workers  sync.WaitGroup
	prefix   string
}

const loadKeys = 48

// startLoad starts workers that send requests to the daemons in turn, half of them
// never-repeat. They omit a daemon while skip returns true for its index, as the
// platform's load balancer does with a daemon that is down.
func startLoad(f *fleet, prefix string, workers int, skip func(i int) bool) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel, prefix: prefix}
	for w := range workers {
		l.workers.Add(1)
		go func() {
			defer l.workers.Done()
			client := &http.Client{Transport: &http.Transport{}, Timeout: 8 * time.Second}
			for n := 0; ctx.Err() == nil; n++ {
				i := (w + n) % len(f.daemons)
				if skip != nil && skip(i) {
					continue
				}
				l.send(f, client, f.daemons[i].callerAddress, w, n)
				time.Sleep(2 * time.Millisecond) // paces the load
			}
		}()
	}
	return l
}

func (l *load) send(f *fleet, client *http.Client, address string, w, n int) {
	a := attempt{tag: fmt.Sprintf("%s-%d-%d", l.prefix, w, n), neverRepeat: n%2 == 1, sentAt: time.Now()}
	// Each key is sent to every daemon in turn.
	a.key = fmt.Sprintf("key-%d", (w*7+n/len(f.daemons))%loadKeys)
	method := http.MethodGet
	if a.neverRepeat {
		method = http.MethodPost
	}
	url := fmt.Sprintf("http://%s/display/%s?tag=%s&bytes=2000", address, a.key, a.tag)
	// A body that cannot be rewound keeps the HTTP client from retrying the request.
	var body io.Reader
	if a.neverRepeat {
		body = io.MultiReader(strings.NewReader("x"))
	}
	req, _ := http.NewRequest(method, url, body)
	resp, err := client.Do(req)
	if err != nil {
		a.incomplete, a.err = true, err
	} else {
		a.status = resp.StatusCode
		a.outcome = resp.Header.Get(header.Outcome)
		a.reason = resp.Header.Get(header.Reason)
		b, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		a.incomplete = err != nil || (a.status == http.StatusOK && len(b) != 2000)
		a.err = err
	}
	a.duration = time.Since(a.sentAt)
	l.mu.Lock()
	l.attempts = append(l.attempts, a)
	l.mu.Unlock()
}

func (l *load) stop() []attempt {
	l.cancel()
	l.workers.Wait()
	return l.attempts
}

// checkRuns compares the results that callers observed with the requests that the targets
// ran.
func checkRuns(t *testing.T, f *fleet, attempts []attempt) {
	t.Helper()
	runs := f.runs()
	var ok, notRun, unknown int
	reasons := make(map[string]int)
	for _, a := range attempts {
		n := runs[a.tag]
		switch {
		case a.neverRepeat && n > 1:
			t.Errorf("never-repeat request %s ran %d times", a.tag, n)
		case a.outcome == header.NotRun && n > 0:
			t.Errorf("request %s was reported as not-run (%s) and ran %d times", a.tag, a.reason, n)
		case a.ok() && n == 0:
			t.Errorf("request %s was answered and never ran", a.tag)
		}
		if !a.ok() {
			reasons[fmt.Sprintf("%d %s %s", a.status, a.outcome, a.reason)]++
		}
		switch {
		case a.ok():
			ok++
		case a.outcome == header.NotRun:
			notRun++
		default:
			unknown++
		}
	}
	t.Logf("%d requests: %d answered, %d refused as not run, %d unknown or broken; by reason: %v", len(attempts), ok, notRun, unknown, reasons)
}
