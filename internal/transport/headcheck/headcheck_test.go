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
