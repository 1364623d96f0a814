package targetnet

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/jackdawloom/jackdawloom/internal/protocol/header"
	"github.com/jackdawloom/jackdawloom/internal/standin/targetsrv"
)

func startTarget(tb testing.TB, c targetsrv.Config) (*targetsrv.Server, string) {
	tb.Helper()
	s := targetsrv.New(c)
	a, err := s.Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = s.Close() })
	return s, a.String()
}

func newRequest(id, query string) *http.Request {
	req, err := http.NewRequest(http.MethodPost, "/x?"+query, nil)
	if err != nil {
		panic(err)
	}
	req.Header.Set(header.RequestID, id)
	return req
}

func TestSmoke(t *testing.T) {
	_, a := startTarget(t, targetsrv.Config{Name: "a"})
	p := New(Config{Address: a, MaxConnections: 2})
	defer p.Close()
	for range 3 {
		resp, err := p.RoundTrip(context.Background(), newRequest("r1", "bytes=100000"), Options{})
		if err != nil {
			t.Fatal(err)
		}
		b, err := io.ReadAll(resp.Body)
		t.Log(len(b), err, resp.Reused, p.Stats())
	}
}
