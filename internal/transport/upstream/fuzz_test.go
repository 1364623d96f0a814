package upstream

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"testing"

	"github.com/jackdawloom/jackdawloom/internal/transport/bodybuf"
)

// readBytes reads the response to a request from the bytes that a connection delivers until it is
// closed. It returns the number of bytes that the response took, and whether it ends with the
// connection.
func readBytes(req *Request, b []byte) (body []byte, size int, untilClose bool, err error) {
	source := bytes.NewReader(b)
	c := &conn{bodies: bodybuf.NewBudget(testBodyMemory), incoming: &incomingReader{in: source}}
	c.in = bufio.NewReaderSize(c.incoming, readBufferSize)
	resp, err := c.read(req)
	if err != nil {
		return nil, 0, false, err
	}
	defer func() { _ = resp.Body.Close() }()
	length := resp.ContentLength
	if req.Method == http.MethodHead {
		length = 0
	}
	buf, err := c.bodies.Read(context.Background(), bodyReader{c, resp.Body}, length, maxResponseBytes)
	if err != nil {
		return nil, 0, false, err
	}
	size = len(b) - source.Len() - c.in.Buffered() - len(c.incoming.pending)
	return buf.Bytes(), size, length < 0 && len(resp.TransferEncoding) == 0, nil
}

// Guards against a response that is accepted although its connection has ended before its end, and
// against a panic.
func FuzzResponse(f *testing.F) {
	for _, r := range wholeResponses() {
		f.Add([]byte(r.text), r.method == http.MethodHead)
		f.Add([]byte(r.text[:len(r.text)/2]+r.text), r.method == http.MethodHead)
	}
	f.Fuzz(func(t *testing.T, b []byte, isHead bool) {
		if len(b) > readBufferSize {
			return
		}
		req := request("2")
		if isHead {
			req.Method = http.MethodHead
		}
		body, size, untilClose, err := readBytes(req, b)
		if err != nil {
			return
		}
		if untilClose {
			size -= len(body) // a cut in the body cannot be told from its end
		}
		for cut := range size {
			if cutBody, _, _, err := readBytes(req, b[:cut]); err == nil {
				t.Fatalf("accepted %q with body %q, a part of %q", b[:cut], cutBody, b)
			}
		}
	})
}
