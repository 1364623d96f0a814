package main

import (
	"bytes"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"time"
)

// share is a part of events, in thousandths.
type share struct{ thousandths atomic.Int32 }

func (s *share) hit() bool { return rand.Int32N(1000) < s.thousandths.Load() }

// A copy of a rejection follows it after leastDelay to mostDelay.
const (
	leastDelay = 20 * time.Millisecond
	mostDelay  = 120 * time.Millisecond
)

// copyingListener accepts connections on which some rejections are sent a second time, late.
type copyingListener struct {
	net.Listener
	e *endpoint
}

// Accept implements net.Listener.
func (l copyingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return copyingConn{c, l.e}, nil
}

type copyingConn struct {
	net.Conn
	e *endpoint
}

// Write implements net.Conn. net/http writes each of the answers, which are short, by one call.
func (c copyingConn) Write(b []byte) (int, error) {
	if bytes.HasPrefix(b, []byte("HTTP/1.1 503 ")) && c.e.copies.hit() {
		second := slices.Clone(b)
		delay := leastDelay + time.Duration(rand.Int64N(int64(mostDelay-leastDelay)))
		time.AfterFunc(delay, func() {
			c.e.rec.log("repeat %s at %s on the connection of %s", requestID(second), c.e.id, c.RemoteAddr())
			_, _ = c.Conn.Write(second)
		})
	}
	return c.Conn.Write(b)
}

// requestID returns the ID in the head of an answer.
func requestID(answer []byte) string {
	_, rest, _ := bytes.Cut(answer, []byte("X-Request-Id: "))
	id, _, _ := bytes.Cut(rest, []byte("\r\n"))
	return string(id)
}
