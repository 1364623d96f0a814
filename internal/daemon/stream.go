package daemon

import (
	"errors"
	"io"
	"sync"
)

// errAttemptEnded is what a transport reads that still sends the body of an
// attempt that has ended.
var errAttemptEnded = errors.New("attempt has ended")

// stream is a request body that is read as it comes. As long as no more than
// limit bytes were read, they are kept, so that another attempt can send them
// again.
type stream struct {
	mu       sync.Mutex
	source   io.Reader
	limit    int64
	kept     []byte
	overflow bool
}

func newStream(source io.Reader, limit int64) *stream {
	return &stream{source: source, limit: limit}
}

// rewindable reports whether everything read so far is kept.
func (s *stream) rewindable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.overflow
}

// reader starts an attempt's use of the body, from its beginning.
func (s *stream) reader() *streamReader { return &streamReader{stream: s} }

// readAt returns bytes of the body from the offset on. Attempts that overlap,
// because a transport still reads for an ended one, take no bytes from each
// other.
func (s *stream) readAt(p []byte, offset int) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if offset < len(s.kept) {
		return copy(p, s.kept[offset:]), nil
	}
	n, err := s.source.Read(p)
	s.keep(p[:n])
	return n, err
}

func (s *stream) keep(p []byte) {
	if s.overflow || int64(len(s.kept)+len(p)) > s.limit {
		s.overflow = true
		s.kept = nil
		return
	}
	s.kept = append(s.kept, p...)
}

// streamReader is one attempt's use of a stream.
type streamReader struct {
	stream *stream
	offset int

	mu     sync.Mutex
	sealed bool
}

// Read implements io.Reader.
func (r *streamReader) Read(p []byte) (int, error) {
	if r.isSealed() {
		return 0, errAttemptEnded
	}
	n, err := r.stream.readAt(p, r.offset)
	r.offset += n
	return n, err
}

// Close leaves the stream open for another attempt; the server closes it.
func (r *streamReader) Close() error { return nil }

func (r *streamReader) seal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sealed = true
}

func (r *streamReader) isSealed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sealed
}
