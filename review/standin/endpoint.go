package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// endpoint is a stand-in for an endpoint of a service that is not divided by key.
type endpoint struct {
	id, service, zone, address string
	born                       int64
	work                       time.Duration
	running                    atomic.Int32
	record                     *record
}

const slots, queue = 3, 12

func startEndpoint(id, service, zone, ip string, work time.Duration, rec *record) (*endpoint, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		id: id, service: service, zone: zone, address: l.Addr().String(), born: time.Now().UnixMilli(), work: work, record: rec,
	}
	go func() { _ = http.Serve(l, e) }()
	return e, nil
}

func (e *endpoint) entry() []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold-remaining-ms":0,"sequence":1,"born":%d}`,
		e.service, e.address, e.zone, slots, e.born)
}

func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("X-Instance-Id", e.id)
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
	e.record.line("run     %s begins at endpoint %s (%s)", id, e.id, e.service)
	select {
	case <-time.After(e.work):
		e.record.line("run     %s ends at endpoint %s", id, e.id)
	case <-r.Context().Done():
		e.record.line("run     %s cut off at endpoint %s: the connection has closed", id, e.id)
		return
	}
	w.Header().Set("X-Response-Stamp", "stamp-"+id)
	_, _ = fmt.Fprint(w, "answer to ", id)
}
