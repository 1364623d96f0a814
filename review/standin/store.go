package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store, without faults.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision int64
	leases   map[int64]*lease
	lastID   int64
	changed  chan struct{}
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// startStore serves a store at a free port of a loopback address.
func startStore(ip string) (*store, string, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, "", err
	}
	s := &store{items: make(map[string]item), revision: 1, leases: make(map[int64]*lease), changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	go s.expire()
	return s, l.Addr().String(), nil
}

// put writes a key, or deletes it if the value is nil. s.mu must be held.
func (s *store) put(key string, value []byte, leaseID int64) {
	s.revision++
	e := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		e.Created = old.Created
	}
	s.items[key] = e
	if value == nil {
		delete(s.items, key)
		e = item{Key: key, Revision: s.revision, Deleted: true}
	}
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) write(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.until) {
				s.revoke(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) revoke(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, e := range s.items {
		if e.Lease == id {
			keys = append(keys, key)
		}
	}
	for _, key := range keys {
		s.put(key, nil, 0)
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	status, reply := s.handle(r, body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(reply)
}

func (s *store) handle(r *http.Request, body []byte) (int, any) {
	if r.URL.Path == "/kv-watch" {
		return s.watch(r)
	}
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _ := strconv.ParseInt(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], 10, 64)
	switch {
	case r.URL.Path == "/kv-key":
		if e, ok := s.items[query.Get("key")]; ok {
			return http.StatusOK, e
		}
		return http.StatusNotFound, map[string]int64{"at": s.revision}
	case r.URL.Path == "/kv-range":
		items := []item{}
		for key, e := range s.items {
			if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
				items = append(items, e)
			}
		}
		sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
		return http.StatusOK, map[string]any{"items": items, "has-more": false, "at": s.revision}
	case r.URL.Path == "/kv-txn":
		return s.txn(body)
	case r.URL.Path == "/kv-lease":
		var request struct {
			TTL int64 `json:"ttl-ms"`
		}
		if json.Unmarshal(body, &request) != nil {
			return http.StatusBadRequest, nil
		}
		s.lastID++
		ttl := time.Duration(request.TTL) * time.Millisecond
		s.leases[s.lastID] = &lease{ttl, time.Now().Add(ttl)}
		return http.StatusOK, map[string]int64{"lease": s.lastID, "ttl-ms": request.TTL}
	case s.leases[id] == nil:
		return http.StatusNotFound, nil
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		s.leases[id].until = time.Now().Add(s.leases[id].ttl)
		return http.StatusOK, map[string]int64{"ttl-ms": s.leases[id].ttl.Milliseconds()}
	default:
		s.revoke(id)
		return http.StatusOK, map[string]int64{}
	}
}

func (s *store) watch(r *http.Request) (int, any) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait-ms"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		at, changed := s.revision, s.changed
		events := []item{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, r.URL.Query().Get("prefix")) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			return http.StatusOK, map[string]any{"events": events, "at": at}
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return http.StatusOK, nil
		}
	}
}

func (s *store) txn(body []byte) (int, any) {
	var request struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected-rev"`
		Writes []item   `json:"writes"`
		Remove []string `json:"remove"`
	}
	if json.Unmarshal(body, &request) != nil {
		return http.StatusBadRequest, nil
	}
	for _, c := range request.Expected {
		if s.items[c.Key].Revision != c.Revision {
			return http.StatusPreconditionFailed, map[string]any{"items": []item{}}
		}
	}
	for _, e := range request.Writes {
		if e.Lease != 0 && s.leases[e.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	for _, e := range request.Writes {
		s.put(e.Key, e.Value, e.Lease)
	}
	for _, key := range request.Remove {
		if _, ok := s.items[key]; ok {
			s.put(key, nil, 0)
		}
	}
	return http.StatusOK, map[string]int64{"revision": s.revision}
}
