package storesrv

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/jackdawloom/jackdawloom/internal/topo/etcdwire"
	"github.com/jackdawloom/jackdawloom/internal/topo/memstore"
)

// serveWatch streams the events of one watch until the caller leaves. As with
// the gateway, the first message of the request opens the watch.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	body, bad, ok := readBody(r)
	faults := s.shared.BeginCall(memstore.CallWatch)
	if faults.Down != memstore.DownNone {
		reset(w)
	}
	if faults.Stall && s.isOld(r) {
		s.hang(r)
	}
	s.shared.Delay(s.done, faults.Delay)
	if faults.Malformed != memstore.MalformedNone {
		s.writeNonsense(w, faults.Malformed)
		return
	}
	if !ok {
		bad.write(w)
		return
	}
	var req etcdwire.WatchRequest
	err := etcdwire.Decode(body, &req)
	if err != nil || req.CreateRequest == nil {
		refusal(http.StatusBadRequest, etcdwire.CodeInvalidArgument, "watch without create_request").write(w)
		return
	}
	s.stream(w, r, *req.CreateRequest)
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, req etcdwire.WatchCreateRequest) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(s.done, cancel)()

	follower := s.shared.Watch(rangeOf(req.Key, req.RangeEnd), int64(req.StartRevision))
	defer follower.Close()
	out := watchWriter{w: w, control: http.NewResponseController(w)}
	w.Header().Set("Content-Type", "application/json")
	err := out.send(etcdwire.WatchResponse{Header: header(follower.Rev()), Created: true})
	for err == nil {
		var batch memstore.Batch
		batch, err = follower.Next(ctx)
		if errors.Is(err, memstore.ErrCompacted) {
			_ = out.send(compacted(batch)) // the stream ends either way
			return
		}
		if errors.Is(err, memstore.ErrDown) {
			panic(http.ErrAbortHandler)
		}
		if s.shared.Faults().StallOpen && s.isOld(r) {
			s.hang(r)
		}
		if err == nil {
			err = out.send(eventsResponse(batch, req.PrevKV))
		}
	}
}

func compacted(b memstore.Batch) etcdwire.WatchResponse {
	return etcdwire.WatchResponse{
		Header:          header(b.Rev),
		Canceled:        true,
		CompactRevision: etcdwire.Int64(b.CompactRev),
		CancelReason:    "etcdserver: mvcc: required revision has been compacted",
	}
}

func eventsResponse(b memstore.Batch, prev bool) etcdwire.WatchResponse {
	res := etcdwire.WatchResponse{Header: header(b.Rev)}
	for _, e := range b.Events {
		res.Events = append(res.Events, eventOf(e, prev))
	}
	return res
}

func eventOf(e memstore.Event, prev bool) etcdwire.Event {
	kv := keyValue(e.KV)
	out := etcdwire.Event{KV: &kv}
	if e.Kind == memstore.EventDelete {
		out.Type = etcdwire.EventDelete
	}
	if prev && e.Prev != nil {
		old := keyValue(*e.Prev)
		out.PrevKV = &old
	}
	return out
}

// watchWriter writes the messages of a stream, one a line.
type watchWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
}

func (w watchWriter) send(res etcdwire.WatchResponse) error {
	message := etcdwire.Stream[etcdwire.WatchResponse]{Result: &res}
	if err := json.NewEncoder(w.w).Encode(message); err != nil {
		return err
	}
	return w.control.Flush()
}
