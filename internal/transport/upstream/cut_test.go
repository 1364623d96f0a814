package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/transport/bodybuf"
)

// wholeResponse is a response to the request with ID 2.
type wholeResponse struct {
	method string // GET if empty
	text   string
	body   string
	// untilClose means that the body has no length and ends with the connection.
	untilClose bool
}

// wholeResponses returns responses of all framings.
func wholeResponses() map[string]wholeResponse {
	const head = "HTTP/1.1 200 OK\r\nId: 2\r\nStamp: s\r\n"
	const chunked = head + "Transfer-Encoding: chunked\r\n"
	return map[string]wholeResponse{
		"length":                       {text: head + "Content-Length: 12\r\nOther: 1\r\n\r\n0123456789ab", body: "0123456789ab"},
		"length first":                 {text: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nId: 2\r\nStamp: s\r\n\r\nabc", body: "abc"},
		"empty body":                   {text: head + "Content-Length: 0\r\n\r\n"},
		"bare line feeds":              {text: "HTTP/1.1 200 OK\nId: 2\nStamp: s\nContent-Length: 3\n\nabc", body: "abc"},
		"folded field":                 {text: head + "Other: a\r\n b\r\nContent-Length: 3\r\n\r\nabc", body: "abc"},
		"HTTP/1.0 with length":         {text: "HTTP/1.0 200 OK\r\nId: 2\r\nStamp: s\r\nContent-Length: 3\r\n\r\nabc", body: "abc"},
		"HTTP/1.0 without length":      {text: "HTTP/1.0 200 OK\r\nId: 2\r\nStamp: s\r\n\r\nabc", body: "abc", untilClose: true},
		"without length":               {text: head + "\r\nabc", body: "abc", untilClose: true},
		"without length, to be closed": {text: head + "Connection: close\r\n\r\nabc", body: "abc", untilClose: true},
		"chunked":                      {text: chunked + "\r\n10\r\n0123456789abcdef\r\n3;a=b\r\nxyz\r\n0\r\n\r\n", body: "0123456789abcdefxyz"},
		"chunked, empty":               {text: chunked + "\r\n0\r\n\r\n"},
		"trailer":                      {text: chunked + "Trailer: T\r\n\r\n3\r\nabc\r\n0\r\nT: x\r\nU: y\r\n\r\n", body: "abc"},
		"interim heads":                {text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + head + "Content-Length: 3\r\n\r\nabc", body: "abc"},
		"interim head, without length": {text: "HTTP/1.1 103 Early Hints\r\nId: 2\r\n\r\n" + head + "\r\nabc", body: "abc", untilClose: true},
		"HEAD":                         {method: http.MethodHead, text: head + "Content-Length: 12\r\n\r\n"},
		"HEAD, chunked":                {method: http.MethodHead, text: chunked + "\r\n"},
		"HEAD without length":          {method: http.MethodHead, text: head + "\r\n"},
		"204":                          {text: "HTTP/1.1 204 No Content\r\nId: 2\r\nStamp: s\r\n\r\n"},
		"304":                          {text: "HTTP/1.1 304 Not Modified\r\nId: 2\r\nStamp: s\r\nContent-Length: 12\r\n\r\n"},
		"503":                          {text: "HTTP/1.1 503 Service Unavailable\r\nId: 2\r\nNot-Run: 1\r\nContent-Length: 3\r\n\r\nabc", body: "abc"},
	}
}

// Ways in which a target ends a response.
const (
	endClose   = "FIN"
	endReset   = "RST"
	endSilence = "silence"
)

// cutTarget answers a request with field Text by the first bytes of the response of that name.
func cutTarget(responses map[string]wholeResponse) func(int, net.Conn, *bufio.Reader) {
	return func(_ int, c net.Conn, in *bufio.Reader) {
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			name := r.Header.Get("Text")
			if name == "" {
				_, _ = io.WriteString(c, responseText(r.Header.Get("Id"), "first"))
				continue
			}
			cut, _ := strconv.Atoi(r.Header.Get("Cut"))
			_, _ = io.WriteString(c, responses[name].text[:cut])
			switch r.Header.Get("End") {
			case endReset:
				_ = c.(*net.TCPConn).SetLinger(0)
			case endSilence:
				_, _ = in.ReadByte() // until the sender has closed the connection
			}
			return
		}
	}
}

// Guards against a response that is cut at any byte, in its head or its body, and counts as
// complete: callers get a success with a part of the body, framed as the whole.
func TestResponsesCutAtEachByte(t *testing.T) {
	responses := wholeResponses()
	address := serveTarget(t, cutTarget(responses)).Address()
	sends := 0
	var wg sync.WaitGroup
	defer wg.Wait()
	limit := make(chan struct{}, concurrentCuts)
	for name, whole := range responses {
		for cut := range len(whole.text) + 1 {
			for _, end := range []string{endClose, endReset, endSilence} {
				for _, reused := range []bool{false, true} {
					sends++
					limit <- struct{}{}
					wg.Go(func() {
						defer func() { <-limit }()
						checkCut(t, address, name, whole, cutResponse{cut, end, reused})
					})
				}
			}
		}
	}
	t.Logf("%d responses", sends)
}

const (
	concurrentCuts = 32
	// silenceTimeout is the deadline of requests whose response does not go on.
	silenceTimeout = 20 * time.Millisecond
	// cutAttempts bounds the attempts of a send, which on a busy machine may not get a
	// connection in time.
	cutAttempts = 20
)

// cutResponse tells after how many bytes and how a response ends, and whether its connection was
// used before.
type cutResponse struct {
	at     int
	end    string
	reused bool
}

func checkCut(t *testing.T, address, name string, whole wholeResponse, cut cutResponse) {
	t.Helper()
	label := fmt.Sprintf("%s, cut after %q, %s, reused %t", name, whole.text[:cut.at], cut.end, cut.reused)
	r, err := sendCut(t, address, name, whole.method, cut)
	isWhole := cut.at == len(whole.text) && !whole.untilClose
	// Without a length, the target decides by closing the connection where the body ends.
	headEnd := len(whole.text) - len(whole.body)
	endsByClose := whole.untilClose && cut.end == endClose && cut.at >= headEnd
	switch {
	case isWhole && cut.end == endClose && (err != nil || string(r.Body) != whole.body):
		t.Errorf("%s: %+v, %v, want the whole response", label, r, err)
	case isWhole && err == nil && string(r.Body) != whole.body:
		t.Errorf("%s: body %q", label, r.Body)
	case endsByClose && (err != nil || string(r.Body) != whole.text[headEnd:cut.at]):
		t.Errorf("%s: %+v, %v, want all bytes that were sent", label, r, err)
	case !isWhole && !endsByClose && !errors.Is(err, ErrOutcomeUnknown):
		t.Errorf("%s: %+v, %v, want ErrOutcomeUnknown", label, r, err)
	}
}

// sendCut sends a request that is answered with a cut response, once more if it got no connection.
func sendCut(t *testing.T, address, name, method string, cut cutResponse) (*Response, error) {
	t.Helper()
	timeout := 5 * time.Second
	if cut.end == endSilence {
		timeout = silenceTimeout
	}
	req := request("2")
	req.Header.Set("Text", name)
	req.Header.Set("Cut", strconv.Itoa(cut.at))
	req.Header.Set("End", cut.end)
	if method != "" {
		req.Method = method
	}
	for attempt := 1; ; attempt++ {
		p := NewPool(address, 1, bodybuf.NewBudget(testBodyMemory))
		var err error
		if cut.reused {
			_, err = send(t, p, "1", 5*time.Second)
		}
		var r *Response
		if err == nil {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			r, err = p.Send(ctx, req)
			cancel()
		}
		p.Close()
		if !errors.Is(err, ErrNotSent) || attempt == cutAttempts {
			return r, err
		}
	}
}
