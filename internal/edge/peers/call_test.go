package peers

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/jackdawloom/jackdawloom/internal/transport/plainnet"
)

// Guards against a response or a call of another daemon without an end that is read on.
func TestEndlessRepliesOfPeers(t *testing.T) {
	const limit = 64 << 10
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for {
			if _, err := w.Write(make([]byte, 32<<10)); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	network := plainnet.New("", slog.New(slog.DiscardHandler))
	if _, body, err := get(context.Background(), network, address, feedPath, limit); err != nil || len(body) != limit {
		t.Errorf("read %d bytes, %v, want %d", len(body), err, limit)
	}

	handler := NewHandler(&FeedHandler{}, &RelayHandler{Log: slog.New(slog.DiscardHandler)}, &HandoverHandler{Log: slog.New(slog.DiscardHandler)}, &TableHandler{Log: slog.New(slog.DiscardHandler)})
	for path, limit := range map[string]int{relayPath: maxRelaySize, handoverPath: maxHandoverSize} {
		body := &countingReader{}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, body))
		if w.Code != http.StatusBadRequest || body.read > 2*limit {
			t.Errorf("%s: status %d after %d bytes, want 400 after %d", path, w.Code, body.read, limit)
		}
	}
}

// countingReader is a body without an end.
type countingReader struct{ read int }

func (r *countingReader) Read(b []byte) (int, error) {
	r.read += len(b)
	return len(b), nil
}
