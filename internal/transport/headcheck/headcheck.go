// Package headcheck refuses response heads that net/http accepts although they are no response, or
// parts of two. A peer that breaks off within a response and goes on with the next one on the same
// connection produces a head with the status and the first fields of one response, and the other
// fields and the body of another.
package headcheck

import (
	"errors"
	"fmt"
	"net/http"
	"regexp"
)

// ErrAmbiguous reports a head that may consist of parts of two responses.
var ErrAmbiguous = errors.New("response head is ambiguous")

// ErrInvalidStatus reports a status that no HTTP response may have where it was received.
var ErrInvalidStatus = errors.New("invalid response status")

// statusLine matches the beginning of a response, whatever its status.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [-+0-9][0-9]{2}(?:[ \r\n]|$)`)

// maxStatus is the highest status of HTTP (RFC 9110, section 15).
const maxStatus = 599

// Status returns an error if the status is none of HTTP, if it switches the protocol, which no
// request asks for, or if an interim response has a body. net/http accepts all of them, and the
// bytes behind an interim response are read as the next response.
func Status(resp *http.Response) error {
	code := resp.StatusCode
	switch {
	case code < http.StatusContinue || code > maxStatus || code == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: %q", ErrInvalidStatus, resp.Status)
	case code < http.StatusOK && hasBody(resp):
		return fmt.Errorf("%w: %q with a body", ErrInvalidStatus, resp.Status)
	}
	return nil
}

// hasBody reports whether the fields of an interim response announce a body.
func hasBody(resp *http.Response) bool {
	length := resp.Header.Get("Content-Length")
	return length != "" && length != "0" || len(resp.TransferEncoding) > 0
}

// Raw returns an error if another response begins in a head.
func Raw(head []byte) error {
	if len(head) > 0 && statusLine.Match(head[1:]) {
		return fmt.Errorf("%w: another response begins in it", ErrAmbiguous)
	}
	return nil
}

// SingleFields returns an error if one of the fields is repeated.
func SingleFields(h http.Header, names ...string) error {
	for _, name := range names {
		if name != "" && len(h.Values(name)) > 1 {
			return fmt.Errorf("%w: %s is repeated", ErrAmbiguous, name)
		}
	}
	return nil
}

// Response returns an error if the head of a response that net/http's client has read has an
// invalid status, or if another response begins in it.
func Response(resp *http.Response) error {
	if err := Status(resp); err != nil {
		return err
	}
	found := statusLine.MatchString(resp.Status)
	for name, values := range resp.Header {
		found = found || statusLine.MatchString(name)
		for _, value := range values {
			found = found || statusLine.MatchString(value)
		}
	}
	if found {
		return fmt.Errorf("%w: another response begins in it", ErrAmbiguous)
	}
	return nil
}
