package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeHistory is how long the store keeps its changes ("20 s of history").
const storeHistory = 20 * time.Second

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
}

type change struct {
	item    item
	deleted bool
	at      time.Time
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mu        sync.Mutex
	rev       int64
	items     map[string]item
	history   []change
	compacted int64 // changes up to this revision are discarded
	leases    map[int64]*lease
	lastLease int64
	changed   chan struct{}
	server    *http.Server
	address   string
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{rev: 100, items: make(map[string]item), leases: make(map[int64]*lease), lastLease: 7000, changed: make(chan struct{}), address: l.Addr().String(), compacted: 100}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			s.expire()
		}
	}()
	return s, nil
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
	for len(s.history) > 0 && now.Sub(s.history[0].at) > storeHistory {
		s.compacted = s.history[0].item.Revision
		s.history = s.history[1:]
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			s.remove(k)
		}
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(key string, value []byte, lease int64) {
	s.rev++
	i := item{Key: key, Value: value, Revision: s.rev, Created: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, change{item: i, at: time.Now()})
	s.wake()
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.history = append(s.history, change{item: item{Key: key, Revision: s.rev}, deleted: true, at: time.Now()})
	s.wake()
}

// write is a write of the operator, an endpoint or another writer. Its return is the acknowledgement.
func (s *store) write(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

func (s *store) reply(w http.ResponseWriter, status int, body any) {
	b, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.Header().Set("Store-Era", "0")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/kv-key":
		s.mu.Lock()
		i, ok := s.items[r.URL.Query().Get("key")]
		at := s.rev
		s.mu.Unlock()
		if !ok {
			s.reply(w, 404, map[string]any{"at": at})
			return
		}
		s.reply(w, 200, struct {
			item
			At int64 `json:"at"`
		}{i, at})
	case r.URL.Path == "/kv-range":
		s.serveRange(w, r)
	case r.URL.Path == "/kv-watch":
		s.serveWatch(w, r)
	case r.URL.Path == "/kv-txn":
		s.serveTxn(w, r)
	case r.URL.Path == "/kv-lease":
		var req struct {
			TTL int64 `json:"ttl-ms"`
		}
		if json.NewDecoder(r.Body).Decode(&req) != nil || req.TTL < 1000 {
			s.reply(w, 400, map[string]any{})
			return
		}
		s.mu.Lock()
		s.lastLease++
		id, ttl := s.lastLease, time.Duration(req.TTL)*time.Millisecond
		s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		s.reply(w, 200, map[string]any{"lease": id, "ttl-ms": req.TTL})
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		id, _ := strconv.ParseInt(r.URL.Path[len("/kv-keep/"):], 10, 64)
		s.mu.Lock()
		l := s.leases[id]
		if l != nil {
			l.expires = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if l == nil {
			s.reply(w, 404, map[string]any{})
			return
		}
		s.reply(w, 200, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
	case strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(r.URL.Path[len("/kv-lease-end/"):], 10, 64)
		s.mu.Lock()
		_, ok := s.leases[id]
		s.endLease(id)
		s.mu.Unlock()
		if !ok {
			s.reply(w, 404, map[string]any{})
			return
		}
		s.reply(w, 200, map[string]any{})
	default:
		s.reply(w, 404, map[string]any{})
	}
}

const (
	pageItems = 500
	pageBytes = 1 << 20
)

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	out, size := []item{}, 0
	for _, k := range keys {
		if len(out) >= pageItems || size > 0 && size+len(s.items[k].Value) > pageBytes {
			break
		}
		out = append(out, s.items[k])
		size += len(s.items[k].Value)
	}
	more, at := len(out) < len(keys), s.rev
	s.mu.Unlock()
	s.reply(w, 200, map[string]any{"items": out, "has-more": more, "at": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix := q.Get("prefix")
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait-ms"), 10, 64)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		if after < s.compacted || after > s.rev {
			s.mu.Unlock()
			s.reply(w, 410, map[string]any{})
			return
		}
		events := []any{}
		for _, c := range s.history {
			if c.item.Revision <= after || !strings.HasPrefix(c.item.Key, prefix) {
				continue
			}
			if c.deleted {
				events = append(events, map[string]any{"key": c.item.Key, "revision": c.item.Revision, "deleted": true})
			} else {
				events = append(events, c.item)
			}
		}
		at, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ctx.Err() != nil {
			s.reply(w, 200, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			if r.Context().Err() != nil {
				return
			}
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected-rev"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&req) != nil {
		s.reply(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []any{}, true
	for _, e := range req.Expected {
		i, ok := s.items[e.Key]
		if ok {
			current = append(current, i)
		} else {
			current = append(current, map[string]any{"key": e.Key, "revision": 0, "deleted": true})
		}
		holds = holds && i.Revision == e.Revision
	}
	if !holds {
		s.reply(w, 412, map[string]any{"items": current})
		return
	}
	for _, p := range req.Writes {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			s.reply(w, 403, map[string]any{})
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			s.reply(w, 404, map[string]any{})
			return
		}
	}
	for _, p := range req.Writes {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, k := range req.Remove {
		s.remove(k)
	}
	s.reply(w, 200, map[string]any{"revision": s.rev})
}
