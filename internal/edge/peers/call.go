package peers

import (
	"context"
	"io"
	"net/http"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"github.com/jackdawloom/jackdawloom/internal/transport/once"
)

// Network carries calls and hints between daemons. A hint is a message that is sent
// without a response and may be lost.
type Network interface {
	// Listen opens the daemon's address.
	Listen(ctx context.Context) error
	// Serve passes calls and hints to the handlers until ctx ends. It returns an error if it
	// ends before. The bytes of a hint are valid only until the function returns.
	Serve(ctx context.Context, calls http.Handler, hints func([]byte)) error
	// RoundTrip sends a call to a daemon once. It sets the scheme and host of the URL. The
	// error wraps once.ErrNotSent if no byte of the call left this daemon.
	RoundTrip(address netip.AddrPort, req *http.Request) (*http.Response, error)
	// SendHint sends a hint of at most maxDatagram bytes to a daemon. The hint may be lost.
	SendHint(address netip.AddrPort, hint []byte) error
}

// get reads from a daemon. It returns the status and at most limit bytes of the response
// body.
func get(ctx context.Context, n Network, address netip.AddrPort, path string, limit int64) (int, []byte, error) {
	return call(ctx, n, http.MethodGet, address, path, nil, limit)
}

// post sends a message to a daemon once. It returns the status and at most limit bytes of
// the response body.
func post(ctx context.Context, n Network, address netip.AddrPort, path string, message []byte, limit int64) (int, []byte, error) {
	return call(ctx, n, http.MethodPost, address, path, message, limit)
}

func call(ctx context.Context, n Network, method string, address netip.AddrPort, path string, message []byte, limit int64) (int, []byte, error) {
	var body io.Reader
	if message != nil {
		body = once.Body(message)
	}
	req, err := http.NewRequestWithContext(ctx, method, path, body)
	if err != nil {
		return 0, nil, err
	}
	req.ContentLength = int64(len(message))
	resp, err := n.RoundTrip(address, req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, limit))
	return resp.StatusCode, respBody, err
}

// readMessage decodes the body of a request. A body of more than limit bytes is an error.
func readMessage(w http.ResponseWriter, r *http.Request, limit int64, into any) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return err
	}
	return cbor.Unmarshal(body, into)
}

// NewHandler returns the handler of all calls from other daemons.
func NewHandler(feed *FeedHandler, relay *RelayHandler, handover *HandoverHandler, table *TableHandler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+feedPath, feed)
	mux.Handle("POST "+relayPath, relay)
	mux.Handle("POST "+handoverPath, handover)
	mux.Handle("GET "+tablePath, table)
	return mux
}
