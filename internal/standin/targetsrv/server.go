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
	"github.com/jackdawloom/jackdawloom/internal/protocol/header"
)

// Paths of the endpoints besides grant.Path. Requests for all other paths run as work.
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
	// Refused counts requests that were for another target or not covered by a grant.
	// Shed counts requests that were refused because no slot was free.
	Refused int `json:"refused"`
	Shed    int `json:"shed"`
	// Late counts requests refused because the target had been draining for at least
	// its grace period.
	Late            int `json:"late"`
	OpenConnections int `json:"open_connections"`
	MostConnections int `json:"most_connections"`
	MostRunning     int `json:"most_running"`
}

// Server is one run of a stand-in target. A restarted target is represented by a new
// Server on the same address.
type Server struct {
	config     Config
	boot       string
	started    time.Time
	runs       *RunLog
	conns      *connTracker
	frozenGate gate
	http       *http.Server
	serveDone  chan struct{}
	stopped    chan struct{}
	stopOnce   sync.Once

	mu           sync.Mutex
	grants       *Grants
	faults       Faults
	stats        Stats
	random       *mathrand.Rand
	drainStart   time.Duration
	staleReport  loadReport
	idleNotify   chan struct{}  // closed when the last run ends; nil without a waiter
	runningByKey map[uint16]int // number of running requests by key
	runEnded     chan struct{}  // closed when the next run ends
}

// New returns a target that does not listen yet.
func New(c Config) *Server {
	c = c.withDefaults()
	boot := rand.Text()
	s := &Server{
		config:       c,
		boot:         boot,
		started:      time.Now(),
		runs:         NewRunLog(c.RunLimit),
		conns:        &connTracker{open: make(map[*trackedConn]struct{})},
		serveDone:    make(chan struct{}),
		stopped:      make(chan struct{}),
		grants:       NewGrants(c.Name, boot),
		random:       mathrand.New(mathrand.NewPCG(c.Seed, c.Seed)),
		runningByKey: make(map[uint16]int), runEnded: make(chan struct{}),
	}
	s.http = &http.Server{Handler: s.handler(), IdleTimeout: c.IdleTimeout, ConnContext: withConn}
	return s
}

// Listen listens on a TCP address and starts serving. It returns the bound address.
func (s *Server) Listen(ctx context.Context, address string) (net.Addr, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	s.Serve(l)
	return l.Addr(), nil
}

// Serve starts serving on the listener and takes ownership of it. It must be called
// once.
func (s *Server) Serve(l net.Listener) {
	go func() {
		defer close(s.serveDone)
		_ = s.http.Serve(trackedListener{l, s.conns})
	}()
}

// Close stops the target immediately, as if its process were killed.
func (s *Server) Close() error {
	s.stopOnce.Do(func() { close(s.stopped) })
	err := s.http.Close()
	<-s.serveDone
	return err
}

// Drain makes the target announce that it is leaving, and waits until no request runs.
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
	if s.idleNotify == nil {
		s.idleNotify = make(chan struct{})
	}
	return s.idleNotify
}

// Now returns the time on the target's monotonic clock.
func (s *Server) Now() time.Duration { return time.Since(s.started) }

// Boot returns the ID of this run of the target.
func (s *Server) Boot() string { return s.boot }

// Runs returns the log of all runs.
func (s *Server) Runs() *RunLog { return s.runs }

// Stats returns the counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stats
	st.OpenConnections, st.MostConnections = s.conns.counts()
	return st
}

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// UpdateFaults applies change to the faults.
func (s *Server) UpdateFaults(change func(*Faults)) { s.changeFaults(change, nil) }

// changeFaults applies change to the faults. If that begins a silence, controlConn, the
// connection over which the change was requested, is exempt.
func (s *Server) changeFaults(change func(*Faults), controlConn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.faults
	if change(&s.faults); s.faults.Report == ReportStale && before.Report != ReportStale {
		s.staleReport = s.currentLoadLocked()
	}
	if s.faults.Draining && !before.Draining {
		s.drainStart = s.Now()
	}
	s.frozenGate.setClosed(s.faults.Frozen)
	if s.faults.Silence && !before.Silence {
		s.conns.silenceAllExcept(controlConn)
	}
	if !s.faults.Silence && before.Silence {
		s.conns.resumeAll()
	}
}

type connContextKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

// handler routes by exact method and path. http.ServeMux is not used, because it
// redirects paths that are not clean, while serveWork must receive every other path
// unchanged.
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

// maxGrantBytes is the maximum size of the body of a grant request.
const maxGrantBytes = 4 << 10

func (s *Server) serveGrant(w http.ResponseWriter, r *http.Request) {
	var req grant.Request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxGrantBytes)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.awaitUnfrozen()
	if s.Faults().IgnoreGrants {
		select {
		case <-r.Context().Done():
		case <-s.stopped:
		}
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	s.setLeavingHeader(w)
	reply := s.applyGrant(req)
	if req.Release && reply.Outcome == grant.Done && !s.awaitKeysIdle(r.Context(), req.From, req.To) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, reply)
}

func (s *Server) applyGrant(req grant.Request) grant.Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := grant.Reply{
		Outcome: grant.Done, Target: s.config.Name, BootID: s.boot, NowMs: s.Now().Milliseconds(),
		Draining: s.faults.Draining, Running: s.stats.Running,
	}
	switch err := s.grants.Apply(req); {
	case errors.Is(err, ErrOtherRun):
		reply.Outcome = grant.OtherRun
	case errors.Is(err, ErrStaleFence):
		reply.Outcome = grant.Fenced
	}
	return reply
}

// awaitKeysIdle waits until no request for the keys runs. It returns false if ctx is
// cancelled or the target is closed before.
func (s *Server) awaitKeysIdle(ctx context.Context, from, to uint16) bool {
	for {
		s.mu.Lock()
		used := false
		for key := range s.runningByKey {
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

// awaitUnfrozen waits while the target is frozen. If the target is closed, it aborts
// the request.
func (s *Server) awaitUnfrozen() {
	s.frozenGate.wait(s.stopped)
	select {
	case <-s.stopped:
		panic(http.ErrAbortHandler)
	default:
	}
}
