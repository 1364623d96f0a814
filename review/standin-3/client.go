package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answer is what became of one client attempt.
type answer struct {
	id, route, daemon string
	sent              time.Time
	took              time.Duration
	status            int // 0: no complete answer
	service           string
}

// clients send requests to the daemons.
type clients struct {
	rec  *record
	http *http.Client

	mu      sync.Mutex
	answers []answer
	wg      sync.WaitGroup
}

func newClients(rec *record) *clients {
	return &clients{rec: rec, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20, DisableCompression: true}}}
}

// send makes one client attempt and records its outcome. key is negative for requests without one.
func (c *clients) send(d *daemon, method, host, path string, key int, deadline time.Duration) answer {
	a := answer{id: fmt.Sprintf("%016x", rand.Uint64()), route: host, daemon: d.name, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var body io.Reader
	if method != http.MethodGet {
		body = struct{ io.Reader }{strings.NewReader(strings.Repeat("x", 300))} // not sent again by the transport
	}
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+d.front+path, body)
	if body != nil {
		req.ContentLength = 300
	}
	req.Host = host
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Request-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key >= 0 {
		req.Header.Set("X-Shard-Key", strconv.Itoa(key))
	}
	c.rec.log("send %s %s %s%s to %s", a.id, method, host, path, d.name)
	resp, err := c.http.Do(req)
	cause := ""
	if err == nil {
		var b []byte
		b, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			a.status = resp.StatusCode
			a.service, _, _ = strings.Cut(string(b), " ")
		}
	}
	if err != nil {
		cause = " " + err.Error()
	}
	a.took = time.Since(a.sent)
	c.rec.log("answer %s %d %s after %d ms from %s%s", a.id, a.status, a.service, a.took.Milliseconds(), d.name, cause)
	c.mu.Lock()
	c.answers = append(c.answers, a)
	c.mu.Unlock()
	return a
}

// press sends requests at a rate to random daemons until the context ends.
func (c *clients) press(ctx context.Context, f *fleet, perSecond int, method, host, path string, keyed bool, deadline time.Duration) {
	c.pressKeys(ctx, f, perSecond, method, host, path, deadline, func() int {
		if keyed {
			return rand.IntN(keyCount)
		}
		return -1
	})
}

// pressKeys is press with keys of the caller's choice, which are negative for requests without one.
func (c *clients) pressKeys(ctx context.Context, f *fleet, perSecond int, method, host, path string, deadline time.Duration, next func() int) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			key := next()
			c.wg.Add(1)
			go func() {
				defer c.wg.Done()
				c.send(f.daemons[rand.IntN(len(f.daemons))], method, host, path, key, deadline)
			}()
		}
	}()
}
