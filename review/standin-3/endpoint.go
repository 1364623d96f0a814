package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	keyCount     = 1 << 16
	heartbeat    = 1500 * time.Millisecond
	endpointSlot = 6
	endpointWait = 12
)

// run is one request that an endpoint has begun.
type run struct {
	id, endpoint, service, method string
	at                            time.Time
}

// ledger collects what the endpoints see.
type ledger struct {
	mu   sync.Mutex
	runs []run
}

// endpoint is a stand-in for one endpoint.
type endpoint struct {
	id, service, address, zone string
	keyed                      bool
	born                       int64
	work                       time.Duration
	rec                        *record
	led                        *ledger
	st                         *store
	server                     *http.Server

	busy      atomic.Int32
	slots     chan struct{}
	mu        sync.Mutex
	state     string
	beat      int64
	fences    []uint64
	heldUntil []time.Time // by key
	// shed is the share of the requests that are rejected although there is room, and copies the share of
	// these rejections that are sent a second time, late.
	shed, copies share
}

func startEndpoint(id, service, zone string, keyed bool, work time.Duration, st *store, rec *record, led *ledger) (*endpoint, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{id: id, service: service, zone: zone, keyed: keyed, work: work, rec: rec, led: led, st: st, state: "ready",
		address: l.Addr().String(), born: time.Now().UnixMilli(), slots: make(chan struct{}, endpointSlot),
		fences: make([]uint64, keyCount), heldUntil: make([]time.Time, keyCount)}
	e.server = &http.Server{Handler: e, IdleTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(copyingListener{l, e}) }()
	e.register()
	go func() {
		for {
			time.Sleep(heartbeat)
			e.register()
		}
	}()
	return e, nil
}

// register writes the endpoint's entry.
func (e *endpoint) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.beat++
	b, _ := json.Marshal(map[string]any{"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": endpointSlot,
		"state": e.state, "cold-remaining-ms": 0, "sequence": e.beat, "born": e.born})
	e.st.write("servers/"+e.id, b)
}

func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	w.Header().Set("X-Instance-Id", e.id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(421)
		return
	}
	switch r.URL.Path {
	case "/grant":
		e.serveGrant(w, r)
		return
	case "/release":
		e.serveRelease(w, r)
		return
	case "/health":
		w.WriteHeader(200)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(400)
		return
	}
	if e.keyed {
		key, err := strconv.Atoi(r.Header.Get("X-Shard-Key"))
		e.mu.Lock()
		held := err == nil && key >= 0 && key < keyCount && time.Now().Before(e.heldUntil[key])
		e.mu.Unlock()
		if !held {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(421)
			return
		}
	}
	if e.shed.hit() {
		e.rec.log("reject %s at %s on the connection of %s", id, e.id, r.RemoteAddr)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(503)
		return
	}
	if e.busy.Add(1) > endpointSlot+endpointWait {
		e.busy.Add(-1)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(503)
		return
	}
	defer e.busy.Add(-1)
	select {
	case e.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-e.slots }()
	e.led.mu.Lock()
	e.led.runs = append(e.led.runs, run{id, e.id, e.service, r.Method, time.Now()})
	e.led.mu.Unlock()
	e.rec.log("run %s at %s of %s (%s %s) on the connection of %s", id, e.id, e.service, r.Method, r.URL.Path, r.RemoteAddr)
	select {
	case <-time.After(e.work):
	case <-r.Context().Done():
		e.rec.log("run %s at %s cut", id, e.id)
		return
	}
	w.Header().Set("X-Response-Stamp", fmt.Sprintf("%s.%s", e.id, id))
	answer := fmt.Sprintf("%s %s %d", e.service, id, len(body))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(200)
	_, _ = io.WriteString(w, answer)
}

type order struct {
	From   int    `json:"from"`
	To     int    `json:"target"`
	Fence  uint64 `json:"fence"`
	HoldMs int64  `json:"hold-ms"`
}

func (e *endpoint) serveGrant(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	var g order
	if json.NewDecoder(r.Body).Decode(&g) != nil || g.From < 0 || g.To >= keyCount || g.To < g.From || g.HoldMs <= 0 || g.HoldMs > 10000 {
		w.WriteHeader(400)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for k := g.From; k <= g.To; k++ {
		if e.fences[k] > g.Fence {
			w.WriteHeader(409)
			return
		}
	}
	for k := g.From; k <= g.To; k++ {
		e.fences[k], e.heldUntil[k] = g.Fence, now.Add(time.Duration(g.HoldMs)*time.Millisecond)
	}
	e.rec.log("grant %d..%d fence %d for %d ms at %s", g.From, g.To, g.Fence, g.HoldMs, e.id)
	w.WriteHeader(200)
}

// holds reports whether the endpoint holds a key.
func (e *endpoint) holds(key int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.heldUntil[key])
}

func (e *endpoint) serveRelease(w http.ResponseWriter, r *http.Request) {
	var g order
	if json.NewDecoder(r.Body).Decode(&g) != nil || g.From < 0 || g.To >= keyCount {
		w.WriteHeader(400)
		return
	}
	e.mu.Lock()
	for k := g.From; k <= g.To; k++ {
		e.heldUntil[k] = time.Time{}
	}
	e.mu.Unlock()
	time.Sleep(e.work)
	e.rec.log("release %d..%d fence %d at %s", g.From, g.To, g.Fence, e.id)
	w.Header().Set("X-Duty-Handover", "5c0e7a21d94b36f8")
	w.WriteHeader(200)
}
