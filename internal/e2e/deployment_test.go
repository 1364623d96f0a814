package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/protocol/header"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
)

// TestExampleDeployments guards against a design that works only for deployments of three
// targets: both example manifests run with nine daemons, requests of every class are sent through every
// daemon with the deadline of the class, and one daemon is killed.
func TestExampleDeployments(t *testing.T) {
	for _, name := range []string{"muscat", "perinka"} {
		t.Run(name, func(t *testing.T) {
			file := "../../examples/" + name + ".json"
			b, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			m, err := manifest.Parse(file, b)
			if err != nil {
				t.Fatal(err)
			}
			f := newFleetOf(t, *m, 9)
			f.awaitSettled()
			var down atomic.Int64
			down.Store(-1)
			l := startClassLoad(f, name, func(i int) bool { return int64(i) == down.Load() })
			time.Sleep(2 * time.Second)
			killed := f.daemonToStop(0)
			down.Store(int64(killed))
			at := time.Now()
			f.daemons[killed].kill(t)
			time.Sleep(3 * time.Second)
			attempts := l.stop()
			checkRuns(t, f, attempts)
			bad := make(map[string]int)
			for _, a := range attempts {
				// Requests may fail only if they overlap the 2 s after the daemon was
				// killed: their deadline may be shorter than the recovery.
				lost := a.sentAt.Add(a.duration).After(at) && a.sentAt.Before(at.Add(2*time.Second))
				if !a.ok() && !lost {
					bad[fmt.Sprintf("%s: %d %s %s, sent %v after the kill, took %v", a.key, a.status, a.outcome, a.reason,
						a.sentAt.Sub(at).Round(time.Millisecond), a.duration.Round(time.Millisecond))]++
				}
			}
			if len(bad) > 0 {
				t.Errorf("requests failed outside the 2 s after the kill: %v", bad)
			}
		})
	}
}

// startClassLoad starts workers that send requests of every class of the manifest.
func startClassLoad(f *fleet, prefix string, skip func(int) bool) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel, prefix: prefix}
	for _, s := range f.manifest.Services {
		for _, c := range s.Classes {
			for w := range 2 {
				l.workers.Add(1)
				go func() {
					defer l.workers.Done()
					l.sendClass(ctx, f, s, c, w, skip)
				}()
			}
		}
	}
	return l
}

func (l *load) sendClass(ctx context.Context, f *fleet, s manifest.Service, c manifest.Class, w int, skip func(int) bool) {
	client := &http.Client{Transport: &http.Transport{}}
	for n := 0; ctx.Err() == nil; n++ {
		i := (w + n) % len(f.daemons)
		if skip(i) {
			continue
		}
		tag := fmt.Sprintf("%s-%s-%s-%d-%d", l.prefix, s.Name, c.Name, w, n)
		req := classRequest("http://"+f.daemons[i].callerAddress, s, c, fmt.Sprintf("key-%d", n%200), tag)
		a := attempt{tag: tag, key: s.Name + "/" + c.Name, neverRepeat: c.NeverRepeat(), sentAt: time.Now()}
		a.perform(client, req)
		l.mu.Lock()
		l.attempts = append(l.attempts, a)
		l.mu.Unlock()
		time.Sleep(2 * time.Millisecond) // paces the load
	}
}

// classRequest builds a request with the key in the place where the service expects it.
func classRequest(base string, s manifest.Service, c manifest.Class, key, tag string) *http.Request {
	var body io.Reader
	if c.NeverRepeat() {
		body = io.MultiReader(strings.NewReader("x")) // the HTTP client cannot retry it
	}
	url := base + s.PathPrefix + "/" + key + "?tag=" + tag
	if s.Key.From == manifest.KeyFromQuery {
		url += "&" + s.Key.Name + "=" + key
	}
	req, err := http.NewRequest(c.Methods[0], url, body)
	if err != nil {
		panic(err) // a bug in this test
	}
	if s.Key.From == manifest.KeyFromHeader {
		req.Header.Set(s.Key.Name, key)
	}
	return req
}

// perform sends the request and records the response.
func (a *attempt) perform(client *http.Client, req *http.Request) {
	defer func() { a.duration = time.Since(a.sentAt) }()
	resp, err := client.Do(req)
	if err != nil {
		a.incomplete, a.err = true, err
		return
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	a.outcome, a.reason = resp.Header.Get(header.Outcome), resp.Header.Get(header.Reason)
	if _, err := io.ReadAll(resp.Body); err != nil {
		a.incomplete, a.err = true, err
	}
}
