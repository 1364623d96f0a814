package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// fieldOrders are orders in which targets write the fields of a response.
var fieldOrders = [][]int{{0, 1, 2, 3}, {3, 2, 1, 0}, {1, 0, 3, 2}, {2, 3, 0, 1}}

// orderedResponse returns a response with its fields in one of fieldOrders.
func orderedResponse(status int, id, body string, order []int) string {
	fields := []string{"Id: " + id, "Not-Run: 1", "Stamp: s", fmt.Sprint("Content-Length: ", len(body))}
	if status == http.StatusOK {
		fields[1] = "Other: 1"
	}
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, i := range order {
		text += fields[i] + "\r\n"
	}
	return text + "\r\n" + body
}

// scriptedTarget responds to the first request of each connection as it should, and to the second
// with the next text of the channel.
type scriptedTarget struct{ second chan string }

func (s scriptedTarget) serve(_ int, c net.Conn, in *bufio.Reader) {
	if r, err := http.ReadRequest(in); err != nil {
		return
	} else if _, err := io.WriteString(c, responseText(r.Header.Get("Id"), "first")); err != nil {
		return
	}
	if _, err := http.ReadRequest(in); err == nil {
		_, _ = io.WriteString(c, <-s.second)
	}
}

// Guards against reading two responses as one: a late copy of an earlier response that breaks off
// at any byte gave its status to the next one, so that a request that had run was refused as not
// run, and a grant that was refused counted as accepted.
func TestCutCopies(t *testing.T) {
	target := scriptedTarget{make(chan string, 1)}
	p := serveTarget(t, target.serve)
	cuts := 0
	for _, copied := range []int{http.StatusServiceUnavailable, http.StatusMisdirectedRequest, http.StatusOK, http.StatusConflict} {
		own := http.StatusOK
		if copied == own {
			own = http.StatusServiceUnavailable
		}
		for _, order := range fieldOrders {
			earlier := orderedResponse(copied, "1", "body of the copy", order)
			for cut := range len(earlier) + 1 {
				for _, echoOptional := range []bool{false, true} {
					target.second <- earlier[:cut] + orderedResponse(own, "2", "own", order)
					r, err := sendTwice(t, p, echoOptional)
					if err != nil && !errors.Is(err, ErrOutcomeUnknown) || err == nil && (r.Status != own || string(r.Body) != "own") {
						t.Fatalf("copy cut after %q: got %+v, %v, want the own response or ErrOutcomeUnknown", earlier[:cut], r, err)
					}
					if (cut == 0 || cut == len(earlier)) && err != nil {
						t.Errorf("copy of %d bytes: %v, want the own response", cut, err)
					}
					cuts++
				}
			}
		}
	}
	t.Logf("%d responses behind a cut copy", cuts)
}

// sendTwice sends two requests on one connection and returns the response to the second.
func sendTwice(t *testing.T, p *Pool, echoOptional bool) (*Response, error) {
	t.Helper()
	p.CloseIdle()
	if _, err := send(t, p, "1", 5*time.Second); err != nil {
		t.Fatal(err)
	}
	req := request("2")
	req.EchoOptional = echoOptional
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return p.Send(ctx, req)
}

// Guards against a response whose meaning depends on which of two fields is read.
func TestRepeatedFields(t *testing.T) {
	for _, fields := range []string{
		"Id: 1\r\nId: 2\r\n", "Id: 2\r\nId: 1\r\n", "Id: 1\r\nNot-Run: 1\r\nNot-Run: 0\r\n", "Id: 1\r\nStamp: a\r\nStamp: b\r\n",
		"Id: 1\r\nRetry-After: 1\r\nRetry-After: 2\r\n",
	} {
		p := serveTarget(t, func(_ int, c net.Conn, in *bufio.Reader) {
			if _, err := http.ReadRequest(in); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"+fields+"\r\n")
			}
		})
		if r, err := send(t, p, "1", 5*time.Second); !errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("%q: got %+v, %v, want ErrOutcomeUnknown", fields, r, err)
		}
	}
}

// Guards against losing bytes of a response while its head is checked: heads larger than the read
// buffer, folded and bare lines, and bodies that arrive with the head or behind it.
func TestHeadsOfAllSizes(t *testing.T) {
	for _, size := range []int{0, 100, readBufferSize - 60, readBufferSize, 2 * readBufferSize, maxHeadBytes - 200} {
		for _, pause := range []time.Duration{0, time.Millisecond} {
			padding := ""
			for len(padding) < size {
				padding += "X-Padding: " + strings.Repeat("x", min(size-len(padding), 500)) + "\r\n"
			}
			body := strings.Repeat("0123456789", 2000)
			p := serveTarget(t, func(_ int, c net.Conn, in *bufio.Reader) {
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					head := fmt.Sprintf("HTTP/1.1 200 OK\nId: %s\r\n%sContent-Length: %d\r\n\r\n", r.Header.Get("Id"), padding, len(body))
					_, _ = io.WriteString(c, head[:len(head)/2])
					time.Sleep(pause)
					_, _ = io.WriteString(c, head[len(head)/2:]+body)
				}
			})
			for _, id := range []string{"1", "2", "3"} {
				if r, err := send(t, p, id, 5*time.Second); err != nil || string(r.Body) != body {
					t.Errorf("head of %d bytes: request %s: %v", size, id, err)
				}
			}
			if _, dialed := p.Counts(); dialed != 1 {
				t.Errorf("head of %d bytes: %d connections for three requests, want 1", size, dialed)
			}
		}
	}
}

// Guards against taking any response for that to a request without an ID, and against idle
// connections that keep such requests out of a full pool.
func TestRequestWithoutIDUsesNewConnection(t *testing.T) {
	p := serveTarget(t, echo)
	const requests = 20 // several times the limit of the pool
	for i := range requests {
		if _, err := send(t, p, "", 5*time.Second); err != nil {
			t.Fatalf("request %d: %v", i+1, err)
		}
	}
	if open, dialed := p.Counts(); dialed != requests || open > 4 {
		t.Errorf("%d connections for %d requests without an ID, %d open", dialed, requests, open)
	}
}

// Guards against taking a late copy of a reply to a grant for that to the next one, because
// neither of them carries an ID although the target returns IDs.
func TestReplyWithoutIDFromTargetThatReturnsIDs(t *testing.T) {
	target := scriptedTarget{make(chan string, 1)}
	p := serveTarget(t, target.serve)
	target.second <- "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" + orderedResponse(http.StatusConflict, "2", "", fieldOrders[0])
	if r, err := sendTwice(t, p, true); err != nil || r.Status != http.StatusConflict {
		t.Errorf("got %+v, %v, want the response with the ID", r, err)
	}
}

// Guards against waiting in vain for a response with an ID to a call that targets answer without
// one, on a connection that carried requests; and against taking a late copy for its response.
func TestReplyThatNeverCarriesID(t *testing.T) {
	for _, late := range []string{"", responseText("1", "late")} {
		target := scriptedTarget{make(chan string, 1)}
		p := serveTarget(t, target.serve)
		target.second <- late + "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
		if _, err := send(t, p, "1", 5*time.Second); err != nil {
			t.Fatal(err)
		}
		req := request("2")
		req.EchoNever = true
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if r, err := p.Send(ctx, req); err != nil || r.Status != http.StatusServiceUnavailable {
			t.Errorf("late copy %q: got %+v, %v, want the response without an ID", late, r, err)
		}
		cancel()
	}
}
