package plainnet

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/transport/once"
)

// Guards against calls and hints that do not arrive, against an unreachable daemon whose call
// is not reported as not sent, and against a network that does not stop with its daemon.
func TestCallsAndHints(t *testing.T) {
	n := New("127.0.0.1:0", slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := n.Listen(ctx); err != nil {
		t.Fatal(err)
	}
	address := n.Addr()
	hints := make(chan string, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.Serve(ctx, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(w, r.Body)
		}), func(b []byte) { hints <- string(b) })
	}()
	client := New("", slog.New(slog.DiscardHandler))
	call := func(to netip.AddrPort) (*http.Response, error) {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "/x?y=z", strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		return client.RoundTrip(to, req)
	}
	resp, err := call(address)
	if err != nil {
		t.Fatal(err)
	}
	if b, _ := io.ReadAll(resp.Body); string(b) != "body" {
		t.Errorf("response %q", b)
	}
	_ = resp.Body.Close()
	if err := n.SendHint(address, []byte("hint")); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-hints:
		if got != "hint" {
			t.Errorf("hint %q", got)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("hint not received")
	}
	if err := client.SendHint(address, []byte("x")); err == nil {
		t.Error("a network that does not listen sent a hint")
	}
	cancel()
	<-done
	client = New("", slog.New(slog.DiscardHandler))                // without a kept connection
	if _, err := call(address); !errors.Is(err, once.ErrNotSent) { //nolint:bodyclose // there is none
		t.Errorf("call to an address without a listener: %v", err)
	}
}
