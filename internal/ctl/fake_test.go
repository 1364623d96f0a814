package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/jackdawloom/jackdawloom/internal/protocol/adminapi"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
)

// outcome is the output and the exit code of a command line.
type outcome struct {
	code        int
	out, errOut string
}

func runCommand(args ...string) outcome {
	var out, errOut bytes.Buffer
	code := Run(context.Background(), append([]string{"jackdawctl"}, args...), &out, &errOut)
	return outcome{code: code, out: out.String(), errOut: errOut.String()}
}

// want checks the exit code and that the standard output or standard error contains each
// of the texts.
func (o outcome) want(t *testing.T, code int, texts ...string) {
	t.Helper()
	if o.code != code {
		t.Errorf("exit code %d, expected %d", o.code, code)
	}
	for _, text := range texts {
		if !strings.Contains(o.out+o.errOut, text) {
			t.Errorf("output does not contain %q", text)
		}
	}
	if code != ExitOK && !strings.Contains(o.errOut, "what to do: ") {
		t.Error("the error does not contain a remedy")
	}
	if t.Failed() {
		t.Fatalf("output:\n%s\nerrors:\n%s", o.out, o.errOut)
	}
}

func testManifest(targets ...string) manifest.Manifest {
	s := manifest.Service{
		Name: "display", PathPrefix: "/display", Shards: 32, Key: manifest.KeySource{From: manifest.KeyFromPath},
		Classes: []manifest.Class{{
			Name: "read", Repeat: manifest.RepeatIdempotent, DeadlineMs: 1000,
			Objective: manifest.Objective{LatencyMs: 100, Ratio: 0.99},
		}},
	}
	for i, address := range targets {
		s.Targets = append(s.Targets, manifest.Target{
			Name: "display-" + string(rune('a'+i)), Address: address, Domain: "x", Slots: 3, Connections: 8, ChecksGrants: true,
		})
	}
	return manifest.Manifest{Schema: manifest.Schema, Name: "test", Services: []manifest.Service{s}}
}

func manifestFile(t *testing.T, m manifest.Manifest) string {
	t.Helper()
	b, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	name := filepath.Join(t.TempDir(), "manifest.json")
	if err := os.WriteFile(name, b, 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

// fakeDaemon serves the administrative interface and lets a test decide how writes fail.
type fakeDaemon struct {
	*httptest.Server
	mu      sync.Mutex
	config  manifest.Accepted
	writes  int
	reads   int
	inForce uint64 // revision reported as in force; 0 for that of config
	onWrite func(w http.ResponseWriter, a adminapi.Apply)
	onRead  func()
}

func newFakeDaemon(t *testing.T) *fakeDaemon {
	f := &fakeDaemon{config: manifest.Accepted{Revision: 7, Operation: "earlier", Manifest: testManifest("127.0.0.1:9001")}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+adminapi.PathConfig, f.withLock(f.getConfig))
	mux.HandleFunc("PUT "+adminapi.PathConfig, f.withLock(f.putConfig))
	mux.HandleFunc("GET "+adminapi.PathTable, f.withLock(f.getTable))
	mux.HandleFunc("GET "+adminapi.PathState, f.withLock(f.getState))
	f.Server = httptest.NewServer(mux)
	t.Cleanup(f.Close)
	return f
}

func (f *fakeDaemon) admin() string { return f.Listener.Addr().String() }

func (f *fakeDaemon) withLock(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		next(w, r)
	}
}

func (f *fakeDaemon) getConfig(w http.ResponseWriter, _ *http.Request) {
	f.reads++
	if f.onRead != nil {
		f.onRead()
	}
	_ = json.NewEncoder(w).Encode(f.config)
}

func (f *fakeDaemon) putConfig(w http.ResponseWriter, r *http.Request) {
	var a adminapi.Apply
	_ = json.NewDecoder(r.Body).Decode(&a)
	f.writes++
	f.onWrite(w, a)
}

// store saves the change as the next revision.
func (f *fakeDaemon) store(a adminapi.Apply) {
	f.config.Revision++
	f.config.Operation = a.Operation
	_ = json.Unmarshal(a.Manifest, &f.config.Manifest)
}

func (f *fakeDaemon) getTable(w http.ResponseWriter, _ *http.Request) {
	member := adminapi.Member{RunID: "run", Daemon: "loom-1", AdminAddress: f.admin()}
	_ = json.NewEncoder(w).Encode(adminapi.Table{ConfigRevision: 1, Members: []adminapi.Member{member}})
}

func (f *fakeDaemon) getState(w http.ResponseWriter, _ *http.Request) {
	s := adminapi.State{RunID: "run", ConfigRevision: f.config.Revision}
	if f.inForce != 0 {
		s.ConfigRevision = f.inForce
	}
	_ = json.NewEncoder(w).Encode(s)
}

// abortConnection closes the connection without a response.
func abortConnection(http.ResponseWriter) { panic(http.ErrAbortHandler) }

func gatewayTimeout(w http.ResponseWriter) {
	w.WriteHeader(http.StatusGatewayTimeout)
	_ = json.NewEncoder(w).Encode(adminapi.Error{Message: "store write result unknown"})
}
