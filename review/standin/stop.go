package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"
)

// Times of playLateStop, after the SIGTERM.
const (
	lateConnect = 1900 * time.Millisecond // the platform may still forward connections: no second miss yet
	lateSend    = 4650 * time.Millisecond // within header-timeout-ms of the connection
	lateWork    = 1200 * time.Millisecond // within the route's timeout
)

// playLateStop sends one request on a connection that was opened shortly after a SIGTERM. The
// client takes most of the header timeout before it sends.
func playLateStop(f *fleet, trouble bool) (bool, error) {
	if err := f.addDaemons(3); err != nil {
		return false, err
	}
	if err := f.configure([]routeSpec{{"hulo84.example", "/xapu221/", "unsafe", "wuno96b", 1500, 800}}); err != nil {
		return false, err
	}
	if err := f.addEndpoints("wuno96b", 9, lateWork); err != nil {
		return false, err
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	d := f.daemons[0]
	start := time.Now()
	if trouble {
		d.signal(syscall.SIGTERM)
		f.record.say("process %s gets SIGTERM, grace-s is %d", d.name, graceS)
	}
	time.Sleep(time.Until(start.Add(lateConnect)))
	conn, err := net.DialTimeout("tcp4", d.front, time.Second)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	f.record.say("client  connects %.2f s after", time.Since(start).Seconds())
	time.Sleep(time.Until(start.Add(lateSend)))
	const id = "9c41d07be2a35f68"
	if closedByPeer(conn) {
		f.record.say("client  sees that its connection was closed, and sends nothing")
		return true, nil
	}
	if _, err := fmt.Fprintf(conn, "POST /xapu221/1 HTTP/1.1\r\nHost: hulo84.example\r\nX-Request-Id: %s\r\nX-Request-Deadline-Ms: 2000\r\nContent-Length: 4\r\n\r\nbook", id); err != nil {
		return false, fmt.Errorf("connection closed before the request was sent: %w", err)
	}
	sent := time.Now()
	f.record.say("sent    %s %.2f s after", id, sent.Sub(start).Seconds())
	_ = conn.SetReadDeadline(sent.Add(2 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	took := time.Since(sent)
	if err != nil {
		f.record.say("answer  none: %v, %.2f s after, %d ms after the request was sent", err, time.Since(start).Seconds(), took.Milliseconds())
		time.Sleep(500 * time.Millisecond)
		if f.runs(id) == 0 {
			f.record.say("run     %s was not passed on to an endpoint", id)
			return true, nil
		}
		return false, nil
	}
	_ = resp.Body.Close()
	f.record.say("answer  %d stamp %q, %.2f s after", resp.StatusCode, resp.Header.Get("X-Response-Stamp"), time.Since(start).Seconds())
	return true, nil
}

// closedByPeer reports whether the other side has ended a connection on which nothing was
// received.
func closedByPeer(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	var b [1]byte
	_, err := conn.Read(b[:])
	nerr, ok := err.(net.Error)
	return err != nil && !(ok && nerr.Timeout())
}
