package storesrv

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/jackdawloom/jackdawloom/internal/topo/etcdwire"
	"github.com/jackdawloom/jackdawloom/internal/topo/memstore"
)

// serveWatch streams the events of one watch until the caller leaves. As in the gateway,
// the first message of the request creates the watch.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	body, errResp, ok := readBody(r)
	faults := s.shared.BeginCall(memstore.CallWatch)
	if faults.Down != memstore.DownNone {
		resetConn(w)
	}
	if faults.Stall && s.openedBeforeStall(r) {
		s.hang(r)
	}
	s.shared.Delay(s.done, faults.Delay)
	if faults.Malformed != memstore.MalformedNone {
		s.writeMalformed(w, faults.Malformed)
		return
	}
	if !ok {
		errResp.write(w)
		return
	}
	var req etcdwire.WatchRequest
	err := etcdwire.Decode(body, &req)
	if err != nil || req.CreateRequest == nil {
		errorResponse(http.StatusBadRequest, etcdwire.CodeInvalidArgument, "watch without create_request").write(w)
		return
	}
	s.stream(w, r, *req.CreateRequest)
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, req etcdwire.WatchCreateRequest) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(s.done, cancel)()

	watcher := s.shared.Watch(rangeOf(req.Key, req.RangeEnd), int64(req.StartRevision))
	defer watcher.Close()
	out := watchWriter{w: w, controller: http.NewResponseController(w)}
	w.Header().Set("Content-Type", "application/json")
	err := out.send(etcdwire.WatchResponse{Header: header(watcher.Rev()), Created: true})
	for err == nil {
		var batch memstore.Batch
		batch, err = watcher.Next(ctx)
		if errors.Is(err, memstore.ErrCompacted) {
			_ = out.send(compactedResponse(batch)) // the stream ends even if this message cannot be sent
			return
		}
		if errors.Is(err, memstore.ErrDown) {
			panic(http.ErrAbortHandler)
		}
		if s.shared.Faults().StallOpen && s.openedBeforeStall(r) {
			s.hang(r)
		}
		if err == nil {
			err = out.send(eventsResponse(batch, req.PrevKV))
		}
	}
}

func compactedResponse(b memstore.Batch) etcdwire.WatchResponse {
	return etcdwire.WatchResponse{
		Header:          header(b.Rev),
		Canceled:        true,
		CompactRevision: etcdwire.Int64(b.CompactRev),
		CancelReason:    "etcdserver: mvcc: required revision has been compacted",
	}
}

func eventsResponse(b memstore.Batch, withPrev bool) etcdwire.WatchResponse {
	res := etcdwire.WatchResponse{Header: header(b.Rev)}
	for _, e := range b.Events {
		res.Events = append(res.Events, eventOf(e, withPrev))
	}
	return res
}

func eventOf(e memstore.Event, withPrev bool) etcdwire.Event {
	kv := keyValue(e.KV)
	out := etcdwire.Event{KV: &kv}
	if e.Kind == memstore.EventDelete {
		out.Type = etcdwire.EventDelete
	}
	if withPrev && e.Prev != nil {
		old := keyValue(*e.Prev)
		out.PrevKV = &old
	}
	return out
}

// watchWriter writes the messages of a stream, one per line.
type watchWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
}

func (w watchWriter) send(res etcdwire.WatchResponse) error {
	message := etcdwire.Stream[etcdwire.WatchResponse]{Result: &res}
	if err := json.NewEncoder(w.w).Encode(message); err != nil {
		return err
	}
	return w.controller.Flush()
}
