package daemon

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"testing"

	"github.com/jackdawloom/jackdawloom/internal/protocol/header"
)

// relayed returns what a caller gets through relay from the upstream handler.
func relayed(t *testing.T, ctx context.Context, upstream http.HandlerFunc) (*http.Response, string, error) {
	t.Helper()
	target := httptest.NewServer(upstream)
	t.Cleanup(target.Close)
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		early := &informational{w: w}
		req, err := http.NewRequestWithContext(early.trace(r.Context()), r.Method, target.URL, nil)
		if err != nil {
			t.Error(err)
			return
		}
		resp, err := http.DefaultTransport.RoundTrip(req)
		early.stop()
		if err != nil {
			t.Error(err)
			return
		}
		if !relay(w, resp) {
			panic(http.ErrAbortHandler)
		}
	}))
	front.Config.ErrorLog = nil
	t.Cleanup(front.Close)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, front.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

// Guards against trailers that are lost, and against fields that end at a hop
// or that only the router may set.
func TestRelayFieldsAndTrailers(t *testing.T) {
	resp, body, err := relayed(t, context.Background(), func(w http.ResponseWriter, _ *http.Request) {
		h := w.Header()
		h.Set("Trailer", "Digest")
		h.Set("Connection", "X-Hop")
		h.Set("X-Hop", "1")
		h.Set("X-End", "2")
		h.Set(header.Reason, "forged")
		_, _ = io.WriteString(w, "one ")
		_ = http.NewResponseController(w).Flush()
		_, _ = io.WriteString(w, "two")
		h.Set("Digest", "abc")
	})
	if err != nil || body != "one two" {
		t.Fatalf("body %q, %v", body, err)
	}
	if resp.Trailer.Get("Digest") != "abc" {
		t.Errorf("trailers %v", resp.Trailer)
	}
	if resp.Header.Get("X-Hop") != "" || resp.Header.Get(header.Reason) != "" || resp.Header.Get("X-End") != "2" {
		t.Errorf("fields %v", resp.Header)
	}
}

// Guards against a truncated body that ends like a whole one, with and without
// an announced length.
func TestRelayTruncation(t *testing.T) {
	for name, length := range map[string]string{"length": "1000", "chunked": ""} {
		t.Run(name, func(t *testing.T) {
			_, body, err := relayed(t, context.Background(), func(w http.ResponseWriter, _ *http.Request) {
				if length != "" {
					w.Header().Set("Content-Length", length)
				}
				_, _ = io.WriteString(w, strings.Repeat("x", 500))
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			})
			if err == nil {
				t.Errorf("truncated body of %d bytes ended without an error", len(body))
			}
		})
	}
}

// Guards against informational responses that are lost, or whose fields appear
// in the final response.
func TestRelayInformational(t *testing.T) {
	var links []string
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
			if code == http.StatusEarlyHints {
				links = append(links, h.Get("Link"))
			}
			return nil
		},
	})
	resp, body, err := relayed(t, ctx, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Link", "</style.css>")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("Link")
		_, _ = io.WriteString(w, "done")
	})
	if err != nil || body != "done" {
		t.Fatalf("body %q, %v", body, err)
	}
	if len(links) != 1 || links[0] != "</style.css>" || resp.Header.Get("Link") != "" {
		t.Errorf("early hints %v, final fields %v", links, resp.Header)
	}
}

// Guards against an ended attempt that takes bytes of the body away from the
// next one, and against repeating a body that is no longer whole.
func TestStreamIsRepeatedWhole(t *testing.T) {
	s := newStream(strings.NewReader("0123456789"), 8)
	first := s.reader()
	if _, err := io.ReadFull(first, make([]byte, 4)); err != nil {
		t.Fatal(err)
	}
	first.seal()
	if _, err := first.Read(make([]byte, 1)); err == nil {
		t.Error("an ended attempt reads on")
	}
	if !s.rewindable() {
		t.Fatal("4 of 8 bytes cannot be repeated")
	}
	b, err := io.ReadAll(s.reader())
	if err != nil || string(b) != "0123456789" {
		t.Errorf("second attempt read %q, %v", b, err)
	}
	if s.rewindable() {
		t.Error("10 bytes can be repeated with a limit of 8")
	}
}
