package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// errInvalidRequest reports a request that cannot be written as a single request.
var errInvalidRequest = errors.New("request has an invalid method, target or host")

// framingFields are the fields that write sets itself.
var framingFields = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// write writes a valid request. Its target is written as the caller sent it; http.Request.Write
// changes one that begins with two slashes.
func (r *Request) write(w *bufio.Writer) error {
	if _, err := fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host); err != nil {
		return err
	}
	h := r.header()
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		if _, err := fmt.Fprintf(w, "Content-Length: %d\r\n", len(r.Body)); err != nil {
			return err
		}
	}
	if err := h.WriteSubset(w, framingFields); err != nil {
		return err
	}
	if _, err := w.WriteString("\r\n"); err != nil {
		return err
	}
	_, err := w.Write(r.Body)
	return err
}

// validate returns an error if the method, the target or the host would not stay in their place.
func (r *Request) validate() error {
	if !isVisible(r.Method) || !isVisible(r.URI) || !isVisible(r.Host) {
		return errInvalidRequest
	}
	return nil
}

// isVisible reports whether a part of the head is not empty and has neither spaces nor control
// characters.
func isVisible(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(c rune) bool { return c <= ' ' || c == '\x7f' })
}

// header returns the header to be sent.
func (r *Request) header() http.Header {
	h := r.Header.Clone()
	if h == nil {
		h = make(http.Header)
	}
	if r.Target != "" {
		h.Set(r.Names.ExpectTarget, r.Target)
	}
	if r.TimeLeft > 0 {
		h.Set(r.Names.TimeLeft, strconv.FormatInt(max(r.TimeLeft.Milliseconds(), 1), 10))
	}
	return h
}
