package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// startLineTarget answers each request with the given status, and a body that is itself a
// complete response to the request.
func startLineTarget(status, fields string) func(int, net.Conn, *bufio.Reader) {
	return func(_ int, c net.Conn, in *bufio.Reader) {
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			id := r.Header.Get("Id")
			body := responseText(id, "inner")
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %s Text\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, fields, len(body), body)
		}
	}
}

// Guards against a response whose status is not one of a final response: 000 was skipped like an
// interim response, so that bytes of its body were read as the response to the request, and 600 and
// above were returned as they were.
func TestInvalidStatusIsUnknown(t *testing.T) {
	for _, status := range []string{
		"000", "001", "099", "+99", "-99", "+00", "600", "799", "999", "20", "2000", "0200", "2x0",
		"101",        // no request asks for another protocol
		"100", "199", // interim responses have no body
	} {
		for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodHead} {
			for _, fields := range []string{"", "Not-Run: 1\r\n", "Stamp: s\r\n"} {
				p := serveTarget(t, startLineTarget(status, fields))
				req := request("1")
				req.Method = method
				resp, err := p.Send(t.Context(), req)
				if !errors.Is(err, ErrOutcomeUnknown) {
					t.Errorf("%s with status %s: got %+v, %v, want ErrOutcomeUnknown", method, status, resp, err)
				}
				if open, _ := p.Counts(); open != 0 {
					t.Errorf("%s with status %s: the connection is kept", method, status)
				}
			}
		}
	}
}

// Guards against refusing the statuses that targets may use, also those without a name, and
// interim responses.
func TestValidStatuses(t *testing.T) {
	for _, status := range []string{"200", "204", "299", "304", "399", "418", "499", "500", "599"} {
		p := serveTarget(t, func(_ int, c net.Conn, in *bufio.Reader) {
			if _, err := http.ReadRequest(in); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 "+status+" \r\nId: 1\r\nContent-Length: 0\r\n\r\n")
			}
		})
		if r, err := send(t, p, "1", 5*time.Second); err != nil || fmt.Sprint(r.Status) != status {
			t.Errorf("status %s: got %+v, %v", status, r, err)
		}
	}
}

// Guards against taking the fields of a response with an invalid status for those of an earlier
// response that broke off in front of it.
func TestInvalidStatusBehindCutCopy(t *testing.T) {
	target := scriptedTarget{make(chan string, 1)}
	p := serveTarget(t, target.serve)
	for _, status := range []string{"000", "+99"} {
		earlier := orderedResponse(http.StatusServiceUnavailable, "1", "", fieldOrders[0])
		for cut := range len(earlier) {
			target.second <- earlier[:cut] + "HTTP/1.1 " + status + " Text\r\nId: 2\r\nContent-Length: 0\r\n\r\n"
			if r, err := sendTwice(t, p, false); !errors.Is(err, ErrOutcomeUnknown) {
				t.Fatalf("status %s behind %q: got %+v, %v, want ErrOutcomeUnknown", status, earlier[:cut], r, err)
			}
		}
	}
}
