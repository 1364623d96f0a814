package headcheck

import (
	"bufio"
	"errors"
	"net/http"
	"strings"
	"testing"
)

// Guards against a head that net/http accepts although another response begins in it, and against
// refusing a head that only mentions a version of HTTP.
func TestResponse(t *testing.T) {
	const second = "HTTP/1.1 412 Precondition Failed\r\nContent-Length: 0\r\n\r\n"
	const first = "HTTP/1.1 200 OK\r\nVia: 1.1 HTTP/1.1\r\nServer: a HTTP/2\r\nContent-Length: 0\r\n\r\n"
	accepted := 0
	for cut := range len(first) + 1 {
		text := first[:cut] + second
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		accepted++
		isWhole := cut == 0 || cut == len(first)
		if err := Response(resp); (err == nil) != isWhole || !isWhole && !errors.Is(err, ErrAmbiguous) {
			t.Errorf("%q: %v", text, err)
		}
	}
	if accepted <= 2 {
		t.Errorf("net/http accepted %d heads, want some that are cut", accepted)
	}
}

// Guards against a status that is none of HTTP in a reply that net/http's client has read: the
// store's 600 counted as a refusal without effect.
func TestStatus(t *testing.T) {
	for status, valid := range map[string]bool{
		"200": true, "412": true, "599": true, "100": true,
		"000": false, "099": false, "+99": false, "101": false, "600": false, "999": false,
	} {
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 "+status+" Text\r\n\r\n")), nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if err := Response(resp); (err == nil) != valid || !valid && !errors.Is(err, ErrInvalidStatus) {
			t.Errorf("status %s: %v", status, err)
		}
	}
}
