package peernet

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/pki"
	"github.com/jackdawloom/jackdawloom/internal/transport/once"
)

func newNet(t testing.TB, server, client *pki.Authority, handler http.Handler, hints func([]byte)) (*Net, func()) {
	t.Helper()
	serverCert, err := server.Issue("server")
	if err != nil {
		t.Fatal(err)
	}
	clientCert, err := client.Issue("client")
	if err != nil {
		t.Fatal(err)
	}
	n := New("127.0.0.1:0", pki.ServerConfig(serverCert, server.Pool()), pki.ClientConfig(clientCert, client.Pool()), slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	if err := n.Listen(ctx); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := n.Serve(ctx, handler, hints); err != nil {
			t.Error(err)
		}
	}()
	stop := func() { cancel(); <-done }
	t.Cleanup(stop)
	return n, stop
}

func addressOf(n *Net) netip.AddrPort { return netip.MustParseAddrPort(n.Addr().String()) }

func newAuthority(t *testing.T) *pki.Authority {
	t.Helper()
	a, err := pki.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func send(t *testing.T, from *Net, to netip.AddrPort) (*http.Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "/x", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	return from.RoundTrip(to, req)
}

// Guards against accepting a peer without a certificate of the fleet's authority, as a client
// or as a server.
func TestForeignPeersAreRefused(t *testing.T) {
	ours, foreign := newAuthority(t), newAuthority(t)
	var served atomic.Int64
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) })
	server, _ := newNet(t, ours, ours, handler, nil)
	foreignClient, _ := newNet(t, foreign, foreign, handler, nil)
	foreignServer, _ := newNet(t, foreign, ours, handler, nil)
	for name, client := range map[string]*Net{"foreign client": foreignClient, "foreign server": foreignServer} {
		to := addressOf(server)
		if name == "foreign server" {
			to = addressOf(client)
			client = server
		}
		resp, err := send(t, client, to)
		if err == nil {
			resp.Body.Close()
			t.Errorf("%s was accepted", name)
		}
	}
	if n := served.Load(); n != 0 {
		t.Errorf("%d requests of foreign peers were served", n)
	}
}

// Guards against a truncated response that is reported as complete.
func TestAbortedResponseIsAnError(t *testing.T) {
	a := newAuthority(t)
	server, _ := newNet(t, a, a, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 100_000))
		panic(http.ErrAbortHandler)
	}), nil)
	client, _ := newNet(t, a, a, http.NotFoundHandler(), nil)
	resp, err := send(t, client, addressOf(server))
	if err != nil {
		return // aborted before the header arrived
	}
	defer resp.Body.Close()
	if b, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("aborted response of %d bytes ended without an error", len(b))
	}
}

// Guards against a request that is resent after its connection broke, and against reporting it
// as not sent although the peer received it.
func TestBrokenConnectionIsUnknownAndSentOnce(t *testing.T) {
	a := newAuthority(t)
	var served atomic.Int64
	var stop func()
	var server *Net
	server, stop = newNet(t, a, a, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		served.Add(1)
		go stop() // waits for this handler, which ends with the connection
		<-r.Context().Done()
	}), nil)
	client, _ := newNet(t, a, a, http.NotFoundHandler(), nil)
	_, err := send(t, client, addressOf(server)) //nolint:bodyclose // there is none
	if err == nil || errors.Is(err, once.ErrNotSent) {
		t.Errorf("error of a request that the peer received: %v", err)
	}
	if n := served.Load(); n != 1 {
		t.Errorf("the request was served %d times", n)
	}
}

// Guards against reporting the result of a request to an unreachable peer as unknown; such a
// request can be sent elsewhere.
func TestUnreachablePeerIsNotSent(t *testing.T) {
	a := newAuthority(t)
	server, stop := newNet(t, a, a, http.NotFoundHandler(), nil)
	address := addressOf(server)
	stop()
	client, _ := newNet(t, a, a, http.NotFoundHandler(), nil)
	_, err := send(t, client, address) //nolint:bodyclose // there is none
	if !errors.Is(err, once.ErrNotSent) {
		t.Errorf("error of a request to an unreachable peer: %v", err)
	}
}

// Guards against hints that are lost without any failure, and against accepting hints of
// daemons without a valid certificate.
func TestHintsArrive(t *testing.T) {
	ours, foreign := newAuthority(t), newAuthority(t)
	got := make(chan string, 10)
	server, _ := newNet(t, ours, ours, http.NotFoundHandler(), func(b []byte) { got <- string(b) })
	client, _ := newNet(t, ours, ours, http.NotFoundHandler(), nil)
	foreignClient, _ := newNet(t, foreign, foreign, http.NotFoundHandler(), nil)
	if err := foreignClient.SendHint(addressOf(server), []byte("forged")); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if err := client.SendHint(addressOf(server), []byte("hint")); err != nil {
			t.Fatal(err)
		}
	}
	for range 3 {
		select {
		case hint := <-got:
			if hint != "hint" {
				t.Errorf("got %q", hint)
			}
		case <-time.After(3 * time.Second):
			t.Fatal("hint not received")
		}
	}
}

// BenchmarkRoundTrip measures one call with a 500-byte response between two daemons.
func BenchmarkRoundTrip(b *testing.B) {
	a, err := pki.NewAuthority()
	if err != nil {
		b.Fatal(err)
	}
	body := strings.Repeat("x", 500)
	server, _ := newNet(b, a, a, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "500")
		_, _ = io.WriteString(w, body)
	}), nil)
	client, _ := newNet(b, a, a, http.NotFoundHandler(), nil)
	for b.Loop() {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "/x", nil)
		if err != nil {
			b.Fatal(err)
		}
		resp, err := client.RoundTrip(addressOf(server), req)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}
