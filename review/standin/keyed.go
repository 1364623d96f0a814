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

const keyCount = 1 << 16

// keyedEndpoint is an endpoint of a service that is divided by key.
type keyedEndpoint struct {
	id      string
	address string
	born    int64
	work    time.Duration
	check   *ownerCheck
	running atomic.Int32

	mu    sync.Mutex
	seen  [keyCount]uint64 // highest fence of a grant
	freed [keyCount]uint64 // highest fence of a release
	until [keyCount]time.Time
	busy  map[int]int
}

type spanCall struct {
	From   int    `json:"from"`
	To     int    `json:"target"`
	Fence  uint64 `json:"fence"`
	HoldMs int64  `json:"hold-ms"`
}

func startKeyedEndpoint(id, ip string, work time.Duration, check *ownerCheck) (*keyedEndpoint, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	e := &keyedEndpoint{id: id, address: l.Addr().String(), born: time.Now().UnixMilli(), work: work, check: check, busy: make(map[int]int)}
	check.endpoints = append(check.endpoints, e)
	go func() { _ = http.Serve(l, e) }()
	return e, nil
}

func (e *keyedEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path != "/grant" && r.URL.Path != "/release" {
		e.run(w, r)
		return
	}
	var s spanCall
	if json.Unmarshal(body, &s) != nil || s.From < 0 || s.To >= keyCount || s.From > s.To {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.URL.Path == "/release" {
		e.release(s)
		w.Header().Set("X-Duty-Handover", "5c0e7a21d94b36f8")
		return
	}
	if !e.grant(s, arrived) {
		w.WriteHeader(http.StatusConflict)
	}
}

// grant takes the keys, unless a higher fence was seen on one of them.
func (e *keyedEndpoint) grant(s spanCall, arrived time.Time) bool {
	e.mu.Lock()
	for k := s.From; k <= s.To; k++ {
		if e.seen[k] > s.Fence {
			e.mu.Unlock()
			return false
		}
	}
	until := arrived.Add(time.Duration(s.HoldMs) * time.Millisecond)
	for k := s.From; k <= s.To; k++ {
		e.seen[k] = s.Fence
		if e.freed[k] < s.Fence {
			e.until[k] = until
		}
	}
	e.mu.Unlock()
	e.check.taken(e, s)
	return true
}

// release gives the keys up and returns when no request for them is at work.
func (e *keyedEndpoint) release(s spanCall) {
	e.mu.Lock()
	for k := s.From; k <= s.To; k++ {
		if e.seen[k] <= s.Fence {
			e.until[k], e.freed[k] = time.Time{}, s.Fence
		}
	}
	e.mu.Unlock()
	for {
		n := 0
		e.mu.Lock()
		for k, c := range e.busy {
			if s.From <= k && k <= s.To {
				n += c
			}
		}
		e.mu.Unlock()
		if n == 0 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (e *keyedEndpoint) holds(key int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.until[key])
}

func (e *keyedEndpoint) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	key, err := strconv.Atoi(r.Header.Get("X-Shard-Key"))
	if err != nil || key < 0 || key >= keyCount || !e.holds(key) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.running.Add(1) > slots+queue {
		e.running.Add(-1)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.running.Add(-1)
	e.mu.Lock()
	e.busy[key]++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.busy[key]--
		e.mu.Unlock()
	}()
	e.check.began(e, id, key)
	time.Sleep(e.work)
	w.Header().Set("X-Response-Stamp", "stamp-"+id)
	_, _ = fmt.Fprint(w, "answer to ", id)
}

// ownerCheck checks that a key is taken only with a fence above all that other endpoints had
// it with, and that two endpoints don't hold it at the same time and both begin requests.
type ownerCheck struct {
	record    *record
	endpoints []*keyedEndpoint

	mu       sync.Mutex
	healed   time.Time // grants within thaw-ms after it don't count
	top      [keyCount]uint64
	topOwner [keyCount]*keyedEndpoint
	lowFence int
	shared   map[[2]*keyedEndpoint]int // requests begun by the first on keys that the second holds too
}

// bothBegan counts the requests that began on keys that two endpoints held, for pairs of
// endpoints that both began such requests. c.mu must be held.
func (c *ownerCheck) bothBegan() int {
	total := 0
	for pair, n := range c.shared {
		if c.shared[[2]*keyedEndpoint{pair[1], pair[0]}] > 0 {
			total += n
		}
	}
	return total
}

const thawTime = 300 * time.Millisecond

func (c *ownerCheck) taken(e *keyedEndpoint, s spanCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if excused := time.Since(c.healed) < thawTime; !excused && c.topOwner[s.From] != nil && c.topOwner[s.From] != e && c.top[s.From] > s.Fence {
		c.lowFence++
		c.record.say("BROKEN  keys %d to %d go to %s with fence %d; %s had key %d with fence %d", s.From, s.To, e.id, s.Fence, c.topOwner[s.From].id, s.From, c.top[s.From])
	}
	for k := s.From; k <= s.To; k++ {
		if s.Fence > c.top[k] {
			c.top[k], c.topOwner[k] = s.Fence, e
		}
	}
	c.record.line("grant   keys %d to %d to %s with fence %d for %d ms", s.From, s.To, e.id, s.Fence, s.HoldMs)
}

func (c *ownerCheck) began(e *keyedEndpoint, id string, key int) {
	c.record.line("run     %s begins at endpoint %s, key %d", id, e.id, key)
	for _, other := range c.endpoints {
		if other != e && other.holds(key) {
			c.mu.Lock()
			if c.shared == nil {
				c.shared = make(map[[2]*keyedEndpoint]int)
			}
			pair := [2]*keyedEndpoint{e, other}
			if c.shared[pair]++; c.shared[pair] <= 3 {
				c.record.say("BROKEN  %s begins %s for key %d, which %s holds too", e.id, id, key, other.id)
			}
			c.mu.Unlock()
		}
	}
}
