package peernet

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/pki"
)

func newNet(t *testing.T, server, client *pki.Authority, handler http.Handler) *Net {
	t.Helper()
	serverCert, err := server.Issue("server")
	if err != nil {
		t.Fatal(err)
	}
	clientCert, err := client.Issue("client")
	if err != nil {
		t.Fatal(err)
	}
	n, err := Listen("127.0.0.1:0", pki.ServerConfig(serverCert, server.Pool()),
		pki.ClientConfig(clientCert, client.Pool()), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	go n.Serve(handler)
	t.Cleanup(n.Close)
	return n
}

func newAuthority(t *testing.T) *pki.Authority {
	t.Helper()
	a, err := pki.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func send(t *testing.T, from *Net, to string) (*http.Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+to+"/x", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	return from.RoundTrip(to, req)
}

// Guards against a peer that has no certificate of the fleet's authority, in
// either direction, and against calling such a refusal unknown.
func TestForeignPeersAreRefused(t *testing.T) {
	ours, foreign := newAuthority(t), newAuthority(t)
	var served atomic.Int64
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) })
	server := newNet(t, ours, ours, handler)
	for name, client := range map[string]*Net{
		"foreign client": newNet(t, foreign, foreign, handler),
		"foreign server": newNet(t, foreign, ours, handler),
	} {
		to := server.Addr()
		if name == "foreign server" {
			to = client.Addr()
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

// Guards against a truncated response that ends like a whole one.
func TestAbortedResponseIsAnError(t *testing.T) {
	a := newAuthority(t)
	server := newNet(t, a, a, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 100_000))
		panic(http.ErrAbortHandler)
	}))
	client := newNet(t, a, a, http.NotFoundHandler())
	resp, err := send(t, client, server.Addr())
	if err != nil {
		return // aborted before the header arrived
	}
	defer resp.Body.Close()
	if b, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("aborted response of %d bytes ended without an error", len(b))
	}
}

// Guards against a request that is sent again after its connection broke, and
// against calling it not sent although the peer received it.
func TestBrokenConnectionIsUnknownAndSentOnce(t *testing.T) {
	a := newAuthority(t)
	var served atomic.Int64
	var server *Net
	server = newNet(t, a, a, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		served.Add(1)
		go server.Close() // waits for this handler, which ends with the connection
		<-r.Context().Done()
	}))
	client := newNet(t, a, a, http.NotFoundHandler())
	_, err := send(t, client, server.Addr()) //nolint:bodyclose // there is none
	if !errors.Is(err, ErrUnknown) || errors.Is(err, ErrNotSent) {
		t.Errorf("error of a request that the peer received: %v", err)
	}
	if n := served.Load(); n != 1 {
		t.Errorf("the request was served %d times", n)
	}
}

// Guards against an unreachable peer being called unknown: such a request can
// be sent elsewhere.
func TestUnreachablePeerIsNotSent(t *testing.T) {
	a := newAuthority(t)
	server := newNet(t, a, a, http.NotFoundHandler())
	address := server.Addr()
	server.Close()
	client := newNet(t, a, a, http.NotFoundHandler())
	_, err := send(t, client, address) //nolint:bodyclose // there is none
	if !errors.Is(err, ErrNotSent) {
		t.Errorf("error of a request to nobody: %v", err)
	}
}

// BenchmarkRoundTrip measures one exchange between two daemons.
func BenchmarkRoundTrip(b *testing.B) {
	a, err := pki.NewAuthority()
	if err != nil {
		b.Fatal(err)
	}
	body := strings.Repeat("x", 500)
	server := benchNet(b, a, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "500")
		_, _ = io.WriteString(w, body)
	}))
	client := benchNet(b, a, http.NotFoundHandler())
	for b.Loop() {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "https://"+server.Addr()+"/x", nil)
		if err != nil {
			b.Fatal(err)
		}
		resp, err := client.RoundTrip(server.Addr(), req)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}

func benchNet(b *testing.B, a *pki.Authority, handler http.Handler) *Net {
	b.Helper()
	cert, err := a.Issue("bench")
	if err != nil {
		b.Fatal(err)
	}
	n, err := Listen("127.0.0.1:0", pki.ServerConfig(cert, a.Pool()), pki.ClientConfig(cert, a.Pool()), slog.New(slog.DiscardHandler))
	if err != nil {
		b.Fatal(err)
	}
	go n.Serve(handler)
	b.Cleanup(n.Close)
	return n
}
