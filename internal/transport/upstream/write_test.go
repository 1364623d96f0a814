package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

// FuzzRequestTarget guards against a request target that is changed on its way, or that makes one
// request into two.
func FuzzRequestTarget(f *testing.F) {
	for _, target := range []string{
		"/", "//a/b", "///", "/a//b", "/?", "/a?", "/a?b=c;d", "/a;b=c/d", "/%2F%2f", "/%00", "/a#b", "/\xff\xc3\xa9", "/a b", "/a\r\nX: y",
		"*", "http://h/a", "/" + strings.Repeat("x", maxHeadBytes),
	} {
		f.Add("GET", target, "h", []byte("body"))
	}
	f.Fuzz(func(t *testing.T, method, target, host string, body []byte) {
		req := &Request{Names: testNames, ID: "1", Method: method, URI: target, Host: host, Header: http.Header{"Id": {"1"}}, Body: body}
		var out bytes.Buffer
		w := bufio.NewWriter(&out)
		if req.validate() != nil {
			return
		}
		if err := errors.Join(req.write(w), w.Flush()); err != nil {
			t.Fatal(err)
		}
		line, rest, _ := strings.Cut(out.String(), "\r\n")
		if line != method+" "+target+" HTTP/1.1" {
			t.Fatalf("request line %q", line)
		}
		in := bufio.NewReader(strings.NewReader("GET / HTTP/1.1\r\n" + rest))
		got, err := http.ReadRequest(in)
		if err != nil {
			return // the host is one that net/http refuses
		}
		if b, err := io.ReadAll(got.Body); method == http.MethodPost && (err != nil || !bytes.Equal(b, body)) {
			t.Fatalf("body %q, %v, want %q", b, err, body)
		}
	})
}
