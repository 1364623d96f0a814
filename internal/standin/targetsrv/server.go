package targetsrv

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/protocol/grant"
)

// Paths of the endpoints besides grant.Path. All other paths do work.
const (
	HealthPath = "/healthz"
	LoadPath   = "/load"
	RunsPath   = "/runs"
	FaultsPath = "/faults"
	StatsPath  = "/stats"
)

// Stats counts what the target has done since it started.
type Stats struct {
	Running int `json:"running"`
	Ran     int `json:"ran"`
	// Refused counts refusals under the grant, Shed those for want of a slot.
	Refused int `json:"refused"`
	Shed    int `json:"shed"`
	// Late counts requests refused because the target had drained for longer
	// than its grace.
	Late            int `json:"late"`
	OpenConnections int `json:"open_connections"`
	MostConnections int `json:"most_connections"`
	MostRunning     int `json:"most_running"`
}

// Server is one run of a stand-in target. A restarted target is a new Server on
// the same address.
type Server struct {
	config  Config
	boot    string
	started time.Time
	runs    *RunLog
	conns   *connTracker
	frozen  gate
	http    *http.Server
	served  chan struct{}
	stopped chan struct{}
	stop    sync.Once

	mu       sync.Mutex
	grants   *Grants
	faults   Faults
	stats    Stats
	random   *mathrand.Rand
	drainAt  time.Duration
	stale    loadReport
	idleWait chan struct{}  // closed when the last run ends; nil if nobody waits
	keys     map[uint16]int // running requests by key
	runEnded chan struct{}  // closed when the next run ends
}

// New returns a target that does not yet listen.
func New(c Config) *Server {
	c = c.withDefaults()
	boot := rand.Text()
	s := &Server{
		config:  c,
		boot:    boot,
		started: time.Now(),
		runs:    NewRunLog(c.RunLimit),
		conns:   &connTracker{open: make(map[*trackedConn]struct{})},
		served:  make(chan struct{}),
		stopped: make(chan struct{}),
		grants:  NewGrants(c.Name, boot),
		random:  mathrand.New(mathrand.NewPCG(c.Seed, c.Seed)),
		keys:    make(map[uint16]int), runEnded: make(chan struct{}),
	}
	s.http = &http.Server{Handler: s.handler(), IdleTimeout: c.IdleTimeout, ConnContext: withConn}
	return s
}

// Listen starts serving on a TCP address.
func (s *Server) Listen(ctx context.Context, address string) (net.Addr, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	s.Serve(l)
	return l.Addr(), nil
}

// Serve starts serving on the listener, which the server then owns. It must be
// called once.
func (s *Server) Serve(l net.Listener) {
	go func() {
		defer close(s.served)
		_ = s.http.Serve(trackedListener{l, s.conns})
	}()
}

// Close stops the target at once, like a process that disappears.
func (s *Server) Close() error {
	s.stop.Do(func() { close(s.stopped) })
	err := s.http.Close()
	<-s.served
	return err
}

// Drain makes the target announce that it leaves, and waits until nothing runs.
func (s *Server) Drain(ctx context.Context) error {
	s.UpdateFaults(func(f *Faults) { f.Draining = true })
	select {
	case <-s.idle():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Server) idle() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stats.Running == 0 {
		done := make(chan struct{})
		close(done)
		return done
	}
	if s.idleWait == nil {
		s.idleWait = make(chan struct{})
	}
	return s.idleWait
}

// Now returns the time on the target's monotonic clock.
func (s *Server) Now() time.Duration { return time.Since(s.started) }

// Boot returns the id of this run of the target.
func (s *Server) Boot() string { return s.boot }

// Runs returns the record of all runs.
func (s *Server) Runs() *RunLog { return s.runs }

// Stats returns the counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stats
	st.OpenConnections, st.MostConnections = s.conns.counts()
	return st
}

// Faults returns the faults that are set.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// UpdateFaults changes the faults.
func (s *Server) UpdateFaults(change func(*Faults)) { s.update(change, nil) }

// update leaves the connection that carries the change out of a silence.
func (s *Server) update(change func(*Faults), carrier net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.faults
	if change(&s.faults); s.faults.Report == ReportStale && before.Report != ReportStale {
		s.stale = s.loadLocked()
	}
	if s.faults.Draining && !before.Draining {
		s.drainAt = s.Now()
	}
	s.frozen.set(s.faults.Frozen)
	if s.faults.Silence && !before.Silence {
		s.conns.silence(carrier)
	}
	if !s.faults.Silence && before.Silence {
		s.conns.resume()
	}
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// handler routes by exact path. http.ServeMux is not used: it redirects paths
// that are not clean, and every other path must reach the work as it is.
func (s *Server) handler() http.Handler {
	endpoints := map[string]http.HandlerFunc{
		"POST " + grant.Path: s.serveGrant,
		"GET " + HealthPath:  s.serveHealth,
		"GET " + LoadPath:    s.serveLoad,
		"GET " + RunsPath:    s.serveRuns,
		"GET " + StatsPath:   s.serveStats,
		"GET " + FaultsPath:  s.serveFaults,
		"PUT " + FaultsPath:  s.putFaults,
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h, ok := endpoints[r.Method+" "+r.URL.Path]; ok {
			h(w, r)
			return
		}
		s.serveWork(w, r)
	})
}

// maxGrantBytes bounds a grant.
const maxGrantBytes = 4 << 10

func (s *Server) serveGrant(w http.ResponseWriter, r *http.Request) {
	var req grant.Request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxGrantBytes)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.awaitThaw()
	if s.Faults().IgnoreGrants {
		select {
		case <-r.Context().Done():
		case <-s.stopped:
		}
		panic(http.ErrAbortHandler)
	}
	reply := s.apply(req)
	if req.Release && reply.Outcome == grant.Done && !s.awaitUnused(r.Context(), req.From, req.To) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, reply)
}

func (s *Server) apply(req grant.Request) grant.Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := grant.Reply{
		Outcome: grant.Done, Target: s.config.Name, BootID: s.boot, NowMs: s.Now().Milliseconds(),
		Draining: s.faults.Draining, Running: s.stats.Running,
	}
	switch err := s.grants.Apply(req); {
	case errors.Is(err, ErrOtherRun):
		reply.Outcome = grant.OtherRun
	case errors.Is(err, ErrStale):
		reply.Outcome = grant.Fenced
	}
	return reply
}

// awaitUnused waits until no request for the keys runs, and reports whether that
// came about before the caller left.
func (s *Server) awaitUnused(ctx context.Context, from, to uint16) bool {
	for {
		s.mu.Lock()
		used := false
		for key := range s.keys {
			used = used || from <= key && key <= to
		}
		ended := s.runEnded
		s.mu.Unlock()
		if !used {
			return true
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return false
		case <-s.stopped:
			return false
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// awaitThaw waits while the target is frozen. A request that the target was
// closed with does not go on.
func (s *Server) awaitThaw() {
	s.frozen.wait(s.stopped)
	select {
	case <-s.stopped:
		panic(http.ErrAbortHandler)
	default:
	}
}
