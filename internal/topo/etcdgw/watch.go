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

// Watch implements topo.Store. It returns after the store has confirmed the watch, so
// that no later change is missed. The channel is also closed if the store cancels the
// watch, for example because fromRev has been compacted, or if a message is invalid. The
// watch does not reconnect, and does not detect a store that stops sending.
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
	w.keys, w.minRev = r, fromRev
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

// openWatch sends the request and reads the confirmation within the client's timeout.
func (c *Client) openWatch(ctx context.Context, cancel context.CancelFunc, body []byte) (*watch, error) {
	timer := time.AfterFunc(c.timeout, cancel)
	res, err := c.open(ctx, request{transport: c.unpooled, method: http.MethodPost, path: etcdwire.PathWatch, body: body})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", topo.ErrUnavailable, err)
	}
	w, err := c.readConfirmation(res)
	if err == nil && !timer.Stop() {
		err = fmt.Errorf("%w: the store did not confirm the watch in time", topo.ErrUnavailable)
	}
	if err != nil {
		closeBody(res)
		return nil, err
	}
	return w, nil
}

// readConfirmation reads the first message of a watch, which must confirm it.
func (c *Client) readConfirmation(res *http.Response) (*watch, error) {
	if res.StatusCode != http.StatusOK {
		body, err := io.ReadAll(io.LimitReader(res.Body, c.maxReply))
		if err != nil {
			return nil, fmt.Errorf("%w: %w", topo.ErrUnavailable, err)
		}
		return nil, statusError(reply{status: res.StatusCode, body: body})
	}
	w := &watch{body: res.Body, max: c.maxReply}
	w.decoder = json.NewDecoder(w)
	first, err := w.readMessage()
	if err != nil {
		return nil, err
	}
	if !first.Created {
		return nil, badReply(errors.New("first message does not confirm the watch"))
	}
	w.canceled = first.Canceled
	return w, nil
}

// watch is the open stream of a watch.
type watch struct {
	body       io.ReadCloser
	decoder    *json.Decoder
	keys       keyrange.Range
	max        int64 // maximum size of a message
	bytesLeft  int64 // number of bytes that may still be read for the current message
	readFailed bool  // reading the body failed with an error other than io.EOF
	canceled   bool
	minRev     int64 // minimum revision of the next event
}

// Read reads the body. It fails with errReplyTooLarge if a message exceeds max.
func (w *watch) Read(p []byte) (int, error) {
	if w.bytesLeft <= 0 {
		return 0, errReplyTooLarge
	}
	if int64(len(p)) > w.bytesLeft {
		p = p[:w.bytesLeft]
	}
	n, err := w.body.Read(p)
	w.bytesLeft -= int64(n)
	w.readFailed = w.readFailed || (err != nil && !errors.Is(err, io.EOF))
	return n, err
}

// readMessage reads and checks the next message.
func (w *watch) readMessage() (etcdwire.WatchResponse, error) {
	w.bytesLeft = w.max
	var message etcdwire.Stream[etcdwire.WatchResponse]
	err := w.decoder.Decode(&message)
	switch {
	case err != nil && (w.readFailed || errors.Is(err, io.EOF)):
		return etcdwire.WatchResponse{}, fmt.Errorf("%w: %w", topo.ErrUnavailable, err)
	case err != nil:
		return etcdwire.WatchResponse{}, badReply(err)
	case message.Error != nil:
		return etcdwire.WatchResponse{}, fmt.Errorf("%w: %s", topo.ErrUnavailable, message.Error.Message)
	case message.Result == nil:
		return etcdwire.WatchResponse{}, badReply(errors.New("watch message has no result"))
	}
	if err := checkHeader(message.Result.Header); err != nil {
		return etcdwire.WatchResponse{}, badReply(err)
	}
	return *message.Result, nil
}

// deliver sends the events to the channel until the stream or ctx ends.
func (w *watch) deliver(ctx context.Context, cancel context.CancelFunc, events chan<- topo.Event) {
	defer close(events)
	defer cancel()
	defer func() { _ = w.body.Close() }() // the stream is no longer needed
	for !w.canceled {
		message, err := w.readMessage()
		if err != nil {
			return
		}
		w.canceled = message.Canceled
		if !w.sendEvents(ctx, message.Events, events) {
			return
		}
	}
}

// sendEvents sends the events of one message to the channel. It returns false if ctx has
// ended or if an event is invalid: outside the watched keys, below an earlier revision,
// or inconsistent.
func (w *watch) sendEvents(ctx context.Context, received []etcdwire.Event, events chan<- topo.Event) bool {
	for _, e := range received {
		if e.KV == nil || e.KV.ModRevision <= 0 || !w.keys.Contains(string(e.KV.Key)) {
			return false
		}
		if int64(e.KV.ModRevision) < w.minRev {
			return false
		}
		w.minRev = int64(e.KV.ModRevision)
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
