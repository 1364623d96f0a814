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

	"github.com/jackdawloom/jackdawloom/internal/standin/partition"
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
		err := n.Serve(ctx, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(w, r.Body)
		}), func(b []byte) { hints <- string(b) })
		if err != nil {
			t.Error(err)
		}
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

// Guards against a call to another daemon that a partition holds up and that arrives after its
// caller has given it up.
func TestNoCallArrivesAfterItsTimeout(t *testing.T) {
	n := New("127.0.0.1:0", slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	if err := n.Listen(ctx); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := n.Serve(ctx, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), func([]byte) {}); err != nil {
			t.Error(err)
		}
	}()
	defer func() { cancel(); <-done }()
	link, err := partition.New(n.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = link.Close() }()
	client := New("", slog.New(slog.DiscardHandler))
	call := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "/x", strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := client.RoundTrip(netip.MustParseAddrPort(link.Address()), req)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		return err
	}
	if err := call(5 * time.Second); err != nil {
		t.Fatal(err)
	}
	link.Cut()
	if err := call(100 * time.Millisecond); err == nil {
		t.Fatal("a call through a partition was answered")
	}
	time.Sleep(50 * time.Millisecond)
	link.Heal()
	time.Sleep(100 * time.Millisecond)
	if held, late := link.Counts(); held == 0 || late > 0 {
		t.Errorf("%d bytes were held up, and %d of them arrived", held, late)
	}
}
