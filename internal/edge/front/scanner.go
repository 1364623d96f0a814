package front

import (
	"bytes"
	"strconv"
	"strings"
)

// framingScanner follows the framing of the requests on a connection and finds those that another
// server could delimit otherwise. It is stricter than net/http, which accepts a head with both
// lengths, lines that end in a bare line feed, and folded fields.
type framingScanner struct {
	part      requestPart
	line      []byte
	truncated bool  // the line is longer than what is kept of it
	bodyLeft  int64 // remaining bytes of the body or of the current chunk
	ended     int64 // number of complete requests

	// Of the current head:
	http11           bool
	contentLength    int64
	hasContentLength bool
	chunked          bool
}

// requestPart is the part of a request that the next byte belongs to.
type requestPart uint8

const (
	partRequestLine requestPart = iota
	partFields
	partBody
	partChunkSize
	partChunk
	partChunkEnd // the line end behind the bytes of a chunk
	partTrailer
)

// maxLineBytes limits the buffered part of one line.
const maxLineBytes = 256

// scan follows the bytes, and returns false if they are ambiguous: those of the requests that have
// ended are not. It must not be called again then.
func (s *framingScanner) scan(b []byte) bool {
	for len(b) > 0 {
		if s.part == partBody || s.part == partChunk {
			n := min(s.bodyLeft, int64(len(b)))
			b = b[n:]
			if s.bodyLeft -= n; s.bodyLeft == 0 {
				s.endBytes()
			}
			continue
		}
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			s.appendLine(b)
			return true
		}
		s.appendLine(b[:end])
		b = b[end+1:]
		line, hasCR := bytes.CutSuffix(s.line, []byte("\r"))
		if !hasCR || bytes.IndexByte(line, '\r') >= 0 || !s.endLine(string(line)) {
			return false
		}
		s.line, s.truncated = s.line[:0], false
	}
	return true
}

// inRequest reports whether the last byte belongs to a request that has not ended.
func (s *framingScanner) inRequest() bool { return s.part != partRequestLine || len(s.line) > 0 }

// endBytes is called at the end of a body with a length or of a chunk.
func (s *framingScanner) endBytes() {
	if s.part == partChunk {
		s.part = partChunkEnd
		return
	}
	s.endRequest()
}

func (s *framingScanner) endRequest() {
	s.part = partRequestLine
	s.ended++
}

// appendLine appends to the current line. Of a long line the beginning and the last byte are kept,
// which tells a bare line feed from CRLF, and of a long request line the end with the version.
func (s *framingScanner) appendLine(b []byte) {
	if s.part == partRequestLine {
		s.line = append(s.line, b[max(len(b)-maxLineBytes, 0):]...)
		s.line = s.line[max(len(s.line)-maxLineBytes, 0):]
		return
	}
	if room := maxLineBytes - len(s.line); len(b) > room {
		s.truncated = true
		s.line = append(s.line, b[:max(room-1, 0)]...)
		b = b[len(b)-1:]
		s.line = s.line[:min(len(s.line), maxLineBytes-1)]
	}
	s.line = append(s.line, b...)
}

// endLine parses a complete line, and returns false if it is ambiguous.
func (s *framingScanner) endLine(line string) bool {
	switch s.part {
	case partRequestLine:
		if line != "" { // net/http tolerates empty lines between requests
			s.part, s.http11 = partFields, strings.HasSuffix(line, " HTTP/1.1")
		}
		return true
	case partFields:
		if line == "" {
			return s.endHead()
		}
		return s.endField(line)
	case partChunkSize:
		return s.endChunkSize(line)
	case partChunkEnd:
		s.part = partChunkSize
		return line == ""
	case partTrailer:
		if line == "" {
			s.endRequest()
			return true
		}
		return isField(line)
	default: // parts without lines
		return false
	}
}

// isField reports whether a line is a field that is not folded and has no space before its colon.
func isField(line string) bool {
	name, _, found := strings.Cut(line, ":")
	return found && name != "" && !strings.ContainsAny(name, " \t")
}

// endField parses a field of the head.
func (s *framingScanner) endField(line string) bool {
	if !isField(line) {
		return false
	}
	name, value, _ := strings.Cut(line, ":")
	value = strings.Trim(value, " \t")
	switch strings.ToLower(name) {
	case "content-length":
		n, err := strconv.ParseUint(value, 10, 63)
		if s.hasContentLength || s.truncated || err != nil {
			return false
		}
		s.contentLength, s.hasContentLength = int64(n), true
	case "transfer-encoding":
		if s.chunked || s.truncated || !strings.EqualFold(value, "chunked") {
			return false
		}
		s.chunked = true
	}
	return true
}

// endHead begins the body.
func (s *framingScanner) endHead() bool {
	// net/http ignores the transfer encoding of other versions.
	if s.chunked && (s.hasContentLength || !s.http11) {
		return false
	}
	switch {
	case s.chunked:
		s.part = partChunkSize
	case s.contentLength > 0:
		s.part, s.bodyLeft = partBody, s.contentLength
	default:
		s.endRequest()
	}
	s.contentLength, s.hasContentLength, s.chunked = 0, false, false
	return true
}

// maxChunkSizeDigits keeps the size of a chunk in range.
const maxChunkSizeDigits = 15

// endChunkSize parses the line before a chunk.
func (s *framingScanner) endChunkSize(line string) bool {
	size, _, _ := strings.Cut(line, ";")
	size = strings.TrimRight(size, " \t")
	n, err := strconv.ParseUint(size, 16, 63)
	if err != nil || len(size) > maxChunkSizeDigits {
		return false
	}
	if s.bodyLeft = int64(n); n == 0 {
		s.part = partTrailer
		return true
	}
	s.part = partChunk
	return true
}
