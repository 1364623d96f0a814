package etcdgw

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/etcdwire"
	"github.com/jackdawloom/jackdawloom/internal/topo/keyrange"
)

// Watch implements topo.Store. It returns after the store has confirmed the
// watch, so that a change made later is not missed. The channel is also closed
// if the store cancels the watch, for example because fromRev has been
// compacted, or if a message is not understood. The watch does not reconnect
// and does not notice a store that has become silent.
func (c *Client) Watch(ctx context.Context, prefix string, fromRev int64) (<-chan topo.Event, error) {
	r := keyrange.Prefix(prefix)
	body, err := json.Marshal(watchRequest(r, fromRev))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", topo.ErrRefused, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	w, err := c.openWatch(ctx, cancel, body)
	if err != nil {
		cancel()
		return nil, err
	}
	w.r, w.last = r, fromRev
	events := make(chan topo.Event)
	go w.deliver(ctx, cancel, events)
	return events, nil
}

func watchRequest(r keyrange.Range, fromRev int64) etcdwire.WatchRequest {
	return etcdwire.WatchRequest{CreateRequest: &etcdwire.WatchCreateRequest{
		Key:           []byte(r.Key),
		RangeEnd:      []byte(r.End),
		StartRevision: etcdwire.Int64(fromRev),
	}}
}

// openWatch sends the request and reads the confirmation, within the client's
// timeout.
func (c *Client) openWatch(ctx context.Context, cancel context.CancelFunc, body []byte) (*watch, error) {
	timer := time.AfterFunc(c.timeout, cancel)
	res, err := c.open(ctx, request{transport: c.fresh, method: http.MethodPost, path: etcdwire.PathWatch, body: body})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", topo.ErrUnavailable, err)
	}
	w, err := c.confirm(res)
	if err == nil && !timer.Stop() {
		err = fmt.Errorf("%w: watch not confirmed in time", topo.ErrUnavailable)
	}
	if err != nil {
		closeBody(res)
		return nil, err
	}
	return w, nil
}

// confirm reads the first message of a watch.
func (c *Client) confirm(res *http.Response) (*watch, error) {
	if res.StatusCode != http.StatusOK {
		text, err := io.ReadAll(io.LimitReader(res.Body, c.maxReply))
		if err != nil {
			return nil, fmt.Errorf("%w: %w", topo.ErrUnavailable, err)
		}
		return nil, refusal(reply{status: res.StatusCode, body: text})
	}
	w := &watch{body: res.Body, max: c.maxReply}
	w.decoder = json.NewDecoder(w)
	first, err := w.next()
	if err != nil {
		return nil, err
	}
	if !first.Created {
		return nil, badReply(errors.New("watch not confirmed"))
	}
	w.canceled = first.Canceled
	return w, nil
}

// watch is the stream of one watch.
type watch struct {
	body     io.ReadCloser
	decoder  *json.Decoder
	r        keyrange.Range
	max      int64 // largest message
	left     int64 // bytes that may still be read for the current message
	broken   bool  // the body has ended before its end
	canceled bool
	last     int64 // no event may have a lower revision
}

// Read reads the body, within the bound of one message.
func (w *watch) Read(p []byte) (int, error) {
	if w.left <= 0 {
		return 0, errReplyTooLarge
	}
	if int64(len(p)) > w.left {
		p = p[:w.left]
	}
	n, err := w.body.Read(p)
	w.left -= int64(n)
	w.broken = w.broken || (err != nil && !errors.Is(err, io.EOF))
	return n, err
}

// next reads the next message.
func (w *watch) next() (etcdwire.WatchResponse, error) {
	w.left = w.max
	var message etcdwire.Stream[etcdwire.WatchResponse]
	err := w.decoder.Decode(&message)
	switch {
	case err != nil && (w.broken || errors.Is(err, io.EOF)):
		return etcdwire.WatchResponse{}, fmt.Errorf("%w: %w", topo.ErrUnavailable, err)
	case err != nil:
		return etcdwire.WatchResponse{}, badReply(err)
	case message.Error != nil:
		return etcdwire.WatchResponse{}, fmt.Errorf("%w: %s", topo.ErrUnavailable, message.Error.Message)
	case message.Result == nil:
		return etcdwire.WatchResponse{}, badReply(errors.New("message without a result"))
	}
	if err := checkHeader(message.Result.Header); err != nil {
		return etcdwire.WatchResponse{}, badReply(err)
	}
	return *message.Result, nil
}

// deliver sends the events until the stream or ctx ends.
func (w *watch) deliver(ctx context.Context, cancel context.CancelFunc, events chan<- topo.Event) {
	defer close(events)
	defer cancel()
	defer func() { _ = w.body.Close() }() // the stream ends either way
	for !w.canceled {
		message, err := w.next()
		if err != nil {
			return
		}
		w.canceled = message.Canceled
		if !w.forward(ctx, message.Events, events) {
			return
		}
	}
}

// forward sends the events of one message. It returns false if ctx has ended or
// an event is not one of the watch.
func (w *watch) forward(ctx context.Context, list []etcdwire.Event, events chan<- topo.Event) bool {
	for _, e := range list {
		if e.KV == nil || e.KV.ModRevision <= 0 || !w.r.Contains(string(e.KV.Key)) {
			return false
		}
		if int64(e.KV.ModRevision) < w.last {
			return false
		}
		w.last = int64(e.KV.ModRevision)
		if (e.Type == etcdwire.EventDelete) != (e.KV.CreateRevision == 0) {
			return false
		}
		select {
		case events <- topo.Event{Entry: entry(*e.KV)}:
		case <-ctx.Done():
			return false
		}
	}
	return true
}
