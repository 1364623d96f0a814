package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of playDescriptors.
const (
	daemonCount = 9 // as on the site
	clientCount = 500 * daemonCount
	// downTime is how long the killed processes are down; the site's node_kill has 3.5 s.
	downTime     = 3500 * time.Millisecond
	settleTime   = 6 * time.Second
	probeClients = 10
	probeTime    = 6 * time.Second
)

// client keeps one connection open, as long as the site's idle timeout allows.
type client struct {
	n    int
	conn net.Conn
	at   *daemon
}

// request sends one request on a connection and returns the status, or 0 if there is none.
func request(conn net.Conn, id string, wait time.Duration) int {
	_ = conn.SetDeadline(time.Now().Add(wait))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	if _, err := fmt.Fprintf(conn, "GET /lepu270/2f HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: %s\r\nX-Request-Deadline-Ms: %d\r\n\r\n", id, wait.Milliseconds()); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// playDescriptors loses all machines but one for 3.5 s. The clients of the others reconnect
// to the one that is left, which has more of them than it has descriptors. They leave again
// as soon as the others are back.
func playDescriptors(f *fleet, trouble bool) (bool, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < 2*clientCount {
		return false, fmt.Errorf("%d descriptors are too few for the clients: %v", limit.Cur, err)
	}
	if err := f.addDaemons(daemonCount); err != nil {
		return false, err
	}
	if err := f.configure([]routeSpec{{"jepu9.example", "/lepu270/", "safe", "huvo11a", 1500, 600}}); err != nil {
		return false, err
	}
	if err := f.addEndpoints("huvo11a", 14, 5*time.Millisecond); err != nil {
		return false, err
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	clients := make([]*client, clientCount)
	var wg sync.WaitGroup
	var served atomic.Int32
	for i := range clients {
		clients[i] = &client{n: i, at: f.daemons[i%daemonCount]}
		wg.Go(func() {
			c := clients[i]
			time.Sleep(time.Duration(rand.Float64() * 4 * float64(time.Second)))
			conn, err := net.DialTimeout("tcp4", c.at.front, time.Second)
			if err != nil {
				return
			}
			c.conn = conn
			if request(conn, fmt.Sprintf("a%015x", i), 1500*time.Millisecond) == http.StatusOK {
				served.Add(1)
			}
		})
	}
	wg.Wait()
	f.record.say("clients %d connected, %d each to %d daemons; %d served", clientCount, clientCount/daemonCount, daemonCount, served.Load())
	time.Sleep(time.Second)
	left := f.daemons[0]
	if trouble {
		if err := loseOthers(f, clients, left); err != nil {
			return false, err
		}
	}
	for _, c := range clients {
		if c.conn != nil && c.n%daemonCount != 0 {
			_ = c.conn.Close()
		}
	}
	f.record.say("clients of the other daemons leave %s", left.name)
	time.Sleep(settleTime)
	held := probe(f, left)
	if log, err := os.ReadFile(left.log); err == nil {
		for line := range strings.SplitSeq(string(log), "\n") {
			if strings.Contains(line, "listener failed") {
				f.record.say("log     %s", line)
			}
		}
	}
	return held, nil
}

// loseOthers kills all daemons but one, lets their clients reconnect, and starts them again.
func loseOthers(f *fleet, clients []*client, left *daemon) error {
	for _, d := range f.daemons {
		if d != left {
			d.signal(syscall.SIGKILL)
		}
	}
	lost := time.Now()
	f.record.say("process all but %s killed", left.name)
	var wg sync.WaitGroup
	var connected, answered atomic.Int32
	for _, c := range clients {
		if c.at == left {
			continue
		}
		wg.Go(func() {
			if c.conn != nil {
				_ = c.conn.Close()
			}
			c.conn = nil
			// The balancer takes a daemon out after two misses.
			time.Sleep(2*time.Second + time.Duration(rand.Float64()*float64(time.Second)))
			conn, err := net.DialTimeout("tcp4", left.front, time.Second)
			if err != nil {
				return
			}
			connected.Add(1)
			c.conn = conn
			if request(conn, fmt.Sprintf("b%015x", c.n), 1500*time.Millisecond) != 0 {
				answered.Add(1)
			}
		})
	}
	time.Sleep(time.Until(lost.Add(downTime)))
	for _, d := range f.daemons {
		if d == left {
			continue
		}
		<-d.ended
		if err := f.startDaemon(d); err != nil {
			return err
		}
	}
	wg.Wait()
	f.record.say("clients %d reconnected to %s, %d got an answer", connected.Load(), left.name, answered.Load())
	return nil
}

// probe lets clients open new connections to a daemon, and reports whether it took one within
// contact-ms while it said that it is ready.
func probe(f *fleet, d *daemon) bool {
	start := time.Now()
	var taken, tried atomic.Int32
	var wg sync.WaitGroup
	for i := range probeClients {
		wg.Go(func() {
			for n := 0; time.Since(start) < probeTime; n++ {
				id := fmt.Sprintf("c%07x%08x", i, n)
				conn, err := net.DialTimeout("tcp4", d.front, time.Second)
				if err != nil {
					f.record.line("sent    %s to %s: no connection: %v", id, d.name, err)
					time.Sleep(100 * time.Millisecond)
					continue
				}
				tried.Add(1)
				f.record.line("sent    %s to %s on a new connection", id, d.name)
				status := request(conn, id, time.Second)
				f.record.line("answer  %s: status %d", id, status)
				if status != 0 {
					taken.Add(1)
				}
				_ = conn.Close()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	ready, asked := 0, 0
	for time.Since(start) < probeTime {
		time.Sleep(time.Second)
		asked++
		if d.isReady() {
			ready++
		}
	}
	wg.Wait()
	f.record.say("probe   %d clients made %d new connections to %s in %.0f s, %d were answered; ready %d of %d times",
		probeClients, tried.Load(), d.name, probeTime.Seconds(), taken.Load(), ready, asked)
	return taken.Load() > 0 || ready < asked
}
