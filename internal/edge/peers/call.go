package peers

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/jackdawloom/jackdawloom/internal/transport/once"
)

// dialTimeout is far above the time of one round trip between failure domains.
const dialTimeout = 200 * time.Millisecond

// newTransport returns connections to other daemons.
func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}
}

// get reads from a daemon. It returns the status and the body, up to a size.
func get(ctx context.Context, t *http.Transport, address netip.AddrPort, path string, limit int64) (int, []byte, error) {
	return call(ctx, t, http.MethodGet, address, path, nil, limit)
}

// post sends a message to a daemon once. It returns the status and the body of the
// answer, up to a size.
func post(ctx context.Context, t *http.Transport, address netip.AddrPort, path string, message []byte, limit int64) (int, []byte, error) {
	return call(ctx, t, http.MethodPost, address, path, message, limit)
}

func call(ctx context.Context, t *http.Transport, method string, address netip.AddrPort, path string, message []byte, limit int64) (int, []byte, error) {
	var body io.Reader
	if message != nil {
		body = once.Body(message)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+path, body)
	if err != nil {
		return 0, nil, err
	}
	req.ContentLength = int64(len(message))
	resp, err := t.RoundTrip(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, limit))
	return resp.StatusCode, answer, err
}

// readMessage decodes the message of a request, up to a size.
func readMessage(w http.ResponseWriter, r *http.Request, limit int64, into any) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return err
	}
	return cbor.Unmarshal(body, into)
}

// NewHandler returns the handler of all calls from other daemons.
func NewHandler(feed *FeedHandler, relay *RelayHandler, handOver *HandOverHandler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+feedPath, feed)
	mux.Handle("POST "+relayPath, relay)
	mux.Handle("POST "+handOverPath, handOver)
	return mux
}
