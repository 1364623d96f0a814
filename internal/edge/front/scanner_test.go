package front

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
)

// FuzzFramingScanner guards against requests that the scanner finds unambiguous and that it and
// net/http delimit differently: a request hidden in another would run.
func FuzzFramingScanner(f *testing.F) {
	const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, text := range []string{
		get + get,
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" + get,
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + get,
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0;z\r\nT: x\r\n\r\n" + get,
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + get,
		"POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get,
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length :3\r\n\r\nabc" + get,
		"GET / HTTP/1.1\nHost: h\n\n" + get,
		"GET / HTTP/1.1\r\nHost: h\r\nLong: " + strings.Repeat("x", 2*maxLineBytes) + "\r\n\r\n" + get,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var scanner framingScanner
		rest := bytes.NewReader(text)
		in := bufio.NewReader(rest)
		scanned := 0
		for {
			r, err := http.ReadRequest(in)
			if err == nil {
				_, err = io.Copy(io.Discard, r.Body)
			}
			if err != nil {
				return
			}
			end := len(text) - rest.Len() - in.Buffered()
			if !scanner.scan(text[scanned:end]) {
				return
			}
			scanned = end
			if scanner.part != partRequestLine || len(scanner.line) > 0 {
				t.Fatalf("after %q the scanner is in part %d with %q", text[:end], scanner.part, scanner.line)
			}
		}
	})
}
