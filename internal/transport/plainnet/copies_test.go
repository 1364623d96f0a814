package plainnet

import (
	"bufio"
	"context"
	"errors"
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
	"time"

	"github.com/jackdawloom/jackdawloom/internal/transport/once"
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
			in := bufio.NewReader(c)
			if first, err := http.ReadRequest(in); err == nil {
				part := <-parts
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

// callOnce sends a call, and again if it got no connection, which happens on a busy machine.
func callOnce(t *testing.T, n *Net, address netip.AddrPort) (int, string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := n.RoundTrip(address, req)
	for errors.Is(err, once.ErrNotSent) && ctx.Err() == nil {
		resp, err = n.RoundTrip(address, req)
	}
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// Guards against a reply that ends early, by an orderly close or a reset, and counts as complete.
func TestCutReplies(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	type cutReply struct {
		chunked bool
		cut     int
		reset   bool
	}
	next := make(chan cutReply, 1)
	lengths := make(chan int, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if call, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				reply := <-next
				text := replyText(call, http.StatusOK, "0123456789", false)
				if reply.chunked {
					text = strings.Replace(text, "Content-Length: 10\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\na\r\n", 1) + "\r\n0\r\n\r\n"
				}
				lengths <- len(text)
				_, _ = io.WriteString(c, text[:min(reply.cut, len(text))])
				if reply.reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			}
			_ = c.Close()
		}
	}()
	for _, chunked := range []bool{false, true} {
		for _, reset := range []bool{false, true} {
			for cut, length := 0, 1; cut <= length; cut++ {
				n := New("", slog.New(slog.DiscardHandler))
				next <- cutReply{chunked, cut, reset}
				_, body, err := callOnce(t, n, l.Addr().(*net.TCPAddr).AddrPort())
				length = <-lengths
				if cut < length && err == nil || cut == length && !reset && (err != nil || body != "0123456789") {
					t.Errorf("chunked %t, reset %t, %d of %d bytes: %q, %v", chunked, reset, cut, length, body, err)
				}
				n.client.CloseIdleConnections()
			}
		}
	}
}
