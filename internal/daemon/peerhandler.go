package daemon

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/protocol/header"
	"github.com/jackdawloom/jackdawloom/internal/protocol/peer"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

// callTimeout bounds a control message between daemons. An answer that comes
// later than this could renew a vote by little.
const callTimeout = 500 * time.Millisecond

// errPeerStatus reports a control message that the peer did not accept.
var errPeerStatus = errors.New("peer refused the message")

// call sends one control message and decodes the reply.
func (d *Daemon) call(ctx context.Context, address, path string, message, reply any) error {
	encoded, err := peer.Encode(message)
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	return d.send(ctx, address, path, encoded, reply)
}

// send sends an encoded control message and decodes the reply.
func (d *Daemon) send(ctx context.Context, address, path string, encoded []byte, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	resp, err := d.net.RoundTrip(address, req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %s: %s", errPeerStatus, path, resp.Status)
	}
	d.metrics.controlBytes.Inc(int64(len(encoded)))
	return peer.Decode(resp.Body, reply)
}

// peerHandler serves the other daemons.
func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+peer.PathHeartbeat, func(w http.ResponseWriter, r *http.Request) {
		serveMessage(w, r, func(b peer.Heartbeat) any { return d.heartbeat(b, r.RemoteAddr) })
	})
	mux.HandleFunc("POST "+peer.PathFence, func(w http.ResponseWriter, r *http.Request) {
		serveMessage(w, r, func(f peer.FenceRequest) any { return d.agree(f) })
	})
	mux.HandleFunc("POST "+peer.PathReport, func(w http.ResponseWriter, r *http.Request) {
		serveMessage(w, r, func(m peer.Report) any { return d.takeReport(m) })
	})
	mux.HandleFunc("POST "+peer.PathDocument, func(w http.ResponseWriter, r *http.Request) {
		serveMessage(w, r, func(m peer.Documents) any { return d.exchangeDocuments(m, r.RemoteAddr) })
	})
	mux.HandleFunc("POST "+peer.PathMove, func(w http.ResponseWriter, r *http.Request) {
		serveMessage(w, r, func(m peer.MoveRequest) any { return d.takeMove(m) })
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The mux would redirect forwarded paths that it finds unclean.
		if strings.HasPrefix(r.URL.Path, peer.PathForward+"/") {
			d.serveForward(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// serveMessage decodes a message, and encodes the answer of handle.
func serveMessage[M any](w http.ResponseWriter, r *http.Request, handle func(M) any) {
	var message M
	if err := peer.Decode(r.Body, &message); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	encoded, err := peer.Encode(handle(message))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	_, _ = w.Write(encoded)
}

// exchangeDocuments takes announced documents and returns newer ones.
func (d *Daemon) exchangeDocuments(m peer.Documents, from string) peer.Documents {
	if err := d.docs.offer(m); err != nil {
		d.metrics.badDocuments.Inc(1)
		d.log.Warn("announced document rejected", "error", err)
	}
	// An announcement carries one document; the other may be missing here.
	d.compareRevisions(from, m.Revisions)
	return d.docs.newerThan(m.Revisions)
}

// serveForward serves a request that another daemon forwards to the front of
// its key's owner.
func (d *Daemon) serveForward(w http.ResponseWriter, r *http.Request) {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	info, err := header.ParseForward(r.Header.Get(header.Forward))
	if err != nil {
		(&refusal{status: http.StatusBadRequest, outcome: notRun, reason: reasonMalformed, cause: err}).write(w)
		return
	}
	c := d.readForward(info)
	f, unit := d.locateForwarded(r.Context(), info)
	if f == nil {
		(&refusal{status: http.StatusServiceUnavailable, outcome: notRun, reason: reasonNotFront}).write(w)
		return
	}
	c.unit = unit
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	early := &informational{w: w}
	ctx = early.trace(ctx)
	c.request = forwardedRequest(ctx, r, info.Host)
	resp, err := f.do(ctx, c) //nolint:bodyclose // relay closes it
	early.stop()
	if err != nil {
		asRefusal(err).write(w)
		return
	}
	if !relay(w, resp) {
		panic(http.ErrAbortHandler)
	}
}

// Times of a wait for the table that a peer has already.
const (
	tableWait = 100 * time.Millisecond
	tablePoll = 2 * time.Millisecond
)

// locateForwarded finds the front of a forwarded request. If the peer routed it
// by a newer table, that one is waited for: it is on its way here too.
func (d *Daemon) locateForwarded(ctx context.Context, info header.ForwardInfo) (*targetFront, table.Unit) {
	ctx, cancel := context.WithTimeout(ctx, tableWait)
	defer cancel()
	for {
		f, unit := d.fronts.locate(info.Service, info.KeyHash)
		if f != nil || ctx.Err() != nil || d.fronts.revision() >= info.TableRevision {
			return f, unit
		}
		sleep(ctx, tablePoll)
	}
}

// readForward turns a forwarded request's properties into a call.
func (d *Daemon) readForward(info header.ForwardInfo) call {
	c := call{
		service:   info.Service,
		class:     info.Class,
		hash:      info.KeyHash,
		caller:    info.Caller,
		requestID: info.RequestID,
		deadline:  time.Now().Add(info.Left),
	}
	// An unknown class is refused later; until then the safe side is taken.
	c.neverRepeat = true
	if svc := d.docs.get().service(c.service); svc != nil {
		for _, class := range svc.Classes {
			if class.Name == c.class {
				c.neverRepeat = class.NeverRepeat()
			}
		}
	}
	return c
}

// forwardedRequest returns the request as the caller sent it.
func forwardedRequest(ctx context.Context, r *http.Request, host string) *http.Request {
	out := r.Clone(ctx)
	out.Host = host
	out.URL.Path = strings.TrimPrefix(out.URL.Path, peer.PathForward)
	out.URL.RawPath = strings.TrimPrefix(out.URL.RawPath, peer.PathForward)
	if r.ContentLength == 0 || r.Body == http.NoBody {
		out.Body = nil
		out.ContentLength = 0
		return out
	}
	out.Body = io.NopCloser(r.Body)
	return out
}
