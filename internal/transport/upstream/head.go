package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"slices"

	"github.com/jackdawloom/jackdawloom/internal/transport/headcheck"
)

// readHead reads the head of the next response. A head with an invalid status, or that may consist
// of parts of two responses, is refused.
func (c *conn) readHead(req *Request) (*http.Response, error) {
	c.incoming.left = maxHeadBytes - c.in.Buffered() - len(c.incoming.pending)
	head, err := c.readHeadBytes()
	if err != nil {
		return nil, err
	}
	if err := headcheck.Raw(head); err != nil {
		return nil, err
	}
	c.unread(head)
	if cap(c.head) > readBufferSize {
		c.head = nil // an idle connection keeps no large buffer
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: req.Method})
	c.incoming.left = maxFramingBytes
	if err != nil {
		return nil, err
	}
	return resp, errors.Join(headcheck.Status(resp), req.Names.checkSingleFields(resp.Header))
}

// readHeadBytes reads up to the end of the first empty line. The result is valid until the next
// call.
func (c *conn) readHeadBytes() ([]byte, error) {
	c.head = c.head[:0]
	for {
		lineStart := len(c.head)
		for {
			part, err := c.in.ReadSlice('\n')
			c.head = append(c.head, part...)
			if err == nil {
				break
			}
			if !errors.Is(err, bufio.ErrBufferFull) {
				return nil, unexpectedEOF(err)
			}
		}
		if len(c.head) > maxHeadBytes {
			return nil, errResponseTooLarge
		}
		if len(bytes.TrimRight(c.head[lineStart:], "\r\n")) == 0 {
			return c.head, nil
		}
	}
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// unread puts bytes back in front of those that were not read yet.
func (c *conn) unread(b []byte) {
	buffered, _ := c.in.Peek(c.in.Buffered()) // no more than what is buffered
	c.incoming.pending = slices.Concat(b, buffered, c.incoming.pending)
	c.in.Reset(c.incoming)
}

// hasUnread reports whether bytes were received that no one has read.
func (c *conn) hasUnread() bool { return c.in.Buffered() > 0 || len(c.incoming.pending) > 0 }

// checkSingleFields returns an error if a field that decides what a response means is repeated.
func (n *HeaderNames) checkSingleFields(h http.Header) error {
	return headcheck.SingleFields(h, n.RequestID, n.NotRun, n.TargetID, n.Stamp, n.Leaving, n.Handover, "Content-Length", "Retry-After")
}
