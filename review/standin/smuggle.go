package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// IDs of the requests of playSmuggle.
const (
	firstID  = "1111111111111111"
	secondID = "2222222222222222"
	hiddenID = "ffffffffffffffff" // never sent as a request of its own
)

const smuggleHead = "Host: hulo84.example\r\nX-Request-Deadline-Ms: 2000\r\n"

// playSmuggle sends a request with a chunked body, and behind it, in the same write, one with
// two contradicting lengths. By its Content-Length, the body of the second hides a third.
func playSmuggle(f *fleet, trouble bool) (bool, error) {
	if err := f.addDaemons(3); err != nil {
		return false, err
	}
	if err := f.configure([]routeSpec{{"hulo84.example", "/xapu221/", "unsafe", "wuno96b", 1500, 800}}); err != nil {
		return false, err
	}
	if err := f.addEndpoints("wuno96b", 9, 50*time.Millisecond); err != nil {
		return false, err
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	first := "POST /xapu221/1 HTTP/1.1\r\n" + smuggleHead + "X-Request-Id: " + firstID + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbook\r\n0\r\n\r\n"
	body := "four"
	extra := ""
	if trouble {
		body = "0\r\n\r\nPOST /xapu221/hidden HTTP/1.1\r\n" + smuggleHead + "X-Request-Id: " + hiddenID + "\r\nContent-Length: 0\r\n\r\n"
		extra = "Transfer-Encoding: chunked\r\n"
	}
	second := fmt.Sprintf("POST /xapu221/2 HTTP/1.1\r\n%sX-Request-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s", smuggleHead, secondID, len(body), extra, body)
	if trouble {
		f.record.say("sent    %s alone, to see that it is refused", secondID)
		if err := exchange(f, second); err != nil {
			return false, err
		}
		if n := f.runs(hiddenID); n > 0 {
			return false, nil
		}
	}
	f.record.say("sent    %s and %s in one write", firstID, secondID)
	if err := exchange(f, first+second); err != nil {
		return false, err
	}
	if f.runs(firstID) == 0 {
		return false, errors.New("the first request was not served")
	}
	n := f.runs(hiddenID)
	f.record.say("run     %s, which no client sent: %d times", hiddenID, n)
	return n == 0, nil
}

// exchange writes bytes to a new connection and records the answers.
func exchange(f *fleet, bytes string) error {
	conn, err := net.DialTimeout("tcp4", f.daemons[0].front, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	if _, err := conn.Write([]byte(bytes)); err != nil {
		return err
	}
	in := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(1500 * time.Millisecond))
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			f.record.say("answer  no further one: %v", err)
			return nil
		}
		buf := make([]byte, resp.ContentLength)
		if _, err := resp.Body.Read(buf); err != nil && resp.ContentLength > 0 && !strings.Contains(err.Error(), "EOF") {
			return err
		}
		f.record.say("answer  %d to %q: %q", resp.StatusCode, resp.Header.Get("X-Request-Id"), buf)
	}
}

// runs counts how often endpoints began to work on a request.
func (f *fleet) runs(id string) int {
	b, err := os.ReadFile(f.record.file.Name())
	if err != nil {
		return 0
	}
	return strings.Count(string(b), "run     "+id+" begins")
}
