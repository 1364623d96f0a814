package plainnet

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"
)

// replyText returns a reply to a call. The fields are sorted, or in reverse.
func replyText(call *http.Request, status int, body string, reverse bool) string {
	fields := []string{callIDField + ": " + call.Header.Get(callIDField), fmt.Sprint("Content-Length: ", len(body))}
	if reverse {
		fields[0], fields[1] = fields[1], fields[0]
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s\r\n\r\n%s", status, http.StatusText(status), strings.Join(fields, "\r\n"), body)
}

// servePairs answers the first call of each connection with 200, and the second with a part of a
// copy of that reply and a 503. parts holds the length of each part, and the order of the fields.
func servePairs(t *testing.T, parts chan [2]int) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			part := <-parts
			in := bufio.NewReader(c)
			if first, err := http.ReadRequest(in); err == nil {
				earlier := replyText(first, http.StatusOK, "first", part[1] == 1)
				_, _ = io.WriteString(c, earlier)
				if second, err := http.ReadRequest(in); err == nil {
					_, _ = io.WriteString(c, earlier[:min(part[0], len(earlier))]+replyText(second, http.StatusServiceUnavailable, "own", part[1] == 1))
				}
			}
			_ = c.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, in)
			_ = c.Close()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// Guards against taking a copy of an earlier reply, whole or cut, for that to another call of the
// same connection.
func TestRepliesBehindCopies(t *testing.T) {
	log.SetOutput(io.Discard) // where net/http reports the rest of each copied reply
	t.Cleanup(func() { log.SetOutput(os.Stderr) })
	parts := make(chan [2]int, 1)
	address := servePairs(t, parts)
	replies, wrong := 0, 0
	for cut := range 80 {
		for order := range 2 {
			n := New("", slog.New(slog.DiscardHandler))
			parts <- [2]int{cut, order}
			if status, body, err := callOnce(t, n, address); err != nil || status != http.StatusOK || body != "first" {
				t.Fatalf("first call: %d %q, %v", status, body, err)
			}
			status, body, err := callOnce(t, n, address)
			replies++
			if err == nil && (status != http.StatusServiceUnavailable || body != "own") || cut == 0 && err != nil {
				wrong++
				t.Logf("copy of %d bytes: %d %q, %v, want the own reply or an error", cut, status, body, err)
			}
			n.client.CloseIdleConnections()
		}
	}
	if wrong > 0 {
		t.Errorf("%d of %d replies read wrongly", wrong, replies)
	}
}

func callOnce(t *testing.T, n *Net, address netip.AddrPort) (int, string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := n.RoundTrip(address, req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}
