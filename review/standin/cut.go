package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// link is the path to one endpoint. While it is cut, bytes on open connections are held up,
// and new connections are refused. Bytes that are held up are lost if their sender resets the
// connection; otherwise they arrive when they are sent again after the cut.
type link struct {
	address, upstream string

	mu       sync.Mutex
	listener net.Listener
	cutAt    time.Time // zero if the link is not cut
	healed   chan struct{}
}

func startLink(ip, upstream string) (*link, error) {
	k := &link{upstream: upstream, address: ip + ":0"}
	if err := k.listen(); err != nil {
		return nil, err
	}
	return k, nil
}

func (k *link) listen() error {
	l, err := net.Listen("tcp4", k.address)
	if err != nil {
		return err
	}
	k.listener, k.address = l, l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
	return nil
}

func (k *link) serve(near net.Conn) {
	far, err := net.Dial("tcp4", k.upstream)
	if err != nil {
		_ = near.Close()
		return
	}
	go k.pump(near, far)
	k.pump(far, near)
}

// pump passes bytes on from one side to the other.
func (k *link) pump(from, to net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		sent := time.Now()
		var lost bool
		if n > 0 {
			held := append([]byte(nil), buf[:n]...)
			if healed := k.cut(); healed != nil {
				lost = k.hold(from, healed, sent)
			}
			if !lost {
				_, _ = to.Write(held)
			}
		}
		if err != nil || lost {
			_ = from.Close()
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

// cut returns a channel that is closed at the end of the cut, or nil.
func (k *link) cut() chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cutAt.IsZero() {
		return nil
	}
	return k.healed
}

// retransmitTime is the first pause before bytes without an acknowledgement are sent again.
// It doubles each time.
const retransmitTime = 200 * time.Millisecond

// hold waits until bytes that were sent during a cut arrive. It reports whether their sender
// has reset the connection meanwhile.
func (k *link) hold(from net.Conn, healed chan struct{}, sent time.Time) bool {
	<-healed
	at, pause := sent.Add(retransmitTime), 2*retransmitTime
	for at.Before(time.Now()) {
		at, pause = at.Add(pause), 2*pause
	}
	time.Sleep(time.Until(at))
	_ = from.SetReadDeadline(time.Now().Add(time.Millisecond))
	defer func() { _ = from.SetReadDeadline(time.Time{}) }()
	var b [1]byte
	_, err := from.Read(b[:])
	if nerr, ok := err.(net.Error); err == nil || err == io.EOF || ok && nerr.Timeout() {
		return false
	}
	return true
}

func (k *link) startCut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cutAt, k.healed = time.Now(), make(chan struct{})
	_ = k.listener.Close()
}

func (k *link) endCut() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cutAt = time.Time{}
	err := k.listen()
	close(k.healed)
	return err
}

// Figures of playCut.
const (
	keyedEndpoints = 6
	cutTime        = 5 * time.Second
	cutClients     = 24
)

// playCut cuts one of six endpoints off from the router's machines for 5 s.
func playCut(f *fleet, trouble bool) (bool, error) {
	if err := f.addDaemons(3); err != nil {
		return false, err
	}
	f.sharded = true
	if err := f.configure([]routeSpec{{"jepu9.example", "/lepu270/", "safe", "huvo11a", 1500, 600}}); err != nil {
		return false, err
	}
	check := &ownerCheck{record: f.record}
	var links []*link
	for i := range keyedEndpoints {
		e, err := startKeyedEndpoint(fmt.Sprintf("i-huvo11a-%d", i), f.ip(201+i), 20*time.Millisecond, check)
		if err != nil {
			return false, err
		}
		k, err := startLink(f.ip(221+i), e.address)
		if err != nil {
			return false, err
		}
		links = append(links, k)
		f.store.write("servers/"+e.id, fmt.Appendf(nil,
			`{"service":"huvo11a","address":%q,"zone":"muscat-a","version":"v1","slots":%d,"state":"ready","cold-remaining-ms":0,"sequence":1,"born":%d}`,
			k.address, slots, e.born))
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var served, sent atomic.Int32
	for i := range cutClients {
		wg.Go(func() { keyedClient(f, i, stop, &sent, &served) })
	}
	time.Sleep(3 * time.Second)
	if trouble {
		links[0].startCut()
		f.record.say("cut     i-huvo11a-0 from all machines")
	}
	time.Sleep(cutTime)
	if trouble {
		if err := links[0].endCut(); err != nil {
			return false, err
		}
		check.mu.Lock()
		check.healed = time.Now()
		check.mu.Unlock()
		f.record.say("cut     ends after %.1f s", cutTime.Seconds())
	}
	time.Sleep(8 * time.Second)
	close(stop)
	wg.Wait()
	f.record.say("clients %d requests, %d served", sent.Load(), served.Load())
	check.mu.Lock()
	defer check.mu.Unlock()
	both := check.bothBegan()
	f.record.say("check   %d times keys went to an endpoint with too low a fence, %d requests began on keys that two endpoints held, both of which began some", check.lowFence, both)
	if served.Load() == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return check.lowFence == 0 && both == 0, nil
}

// keyedClient sends requests for random keys to random daemons.
func keyedClient(f *fleet, n int, stop chan struct{}, sent, served *atomic.Int32) {
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(150 * time.Millisecond):
		}
		id := fmt.Sprintf("e%07x%08x", n, i)
		req, err := http.NewRequest(http.MethodGet, "http://"+f.daemons[rand.IntN(3)].front+"/lepu270/2f", nil)
		if err != nil {
			return
		}
		key := rand.IntN(keyCount)
		req.Host = "jepu9.example"
		req.Header.Set("X-Request-Id", id)
		req.Header.Set("X-Request-Deadline-Ms", "1500")
		req.Header.Set("X-Shard-Key", fmt.Sprint(key))
		sent.Add(1)
		resp, err := client.Do(req)
		if err != nil {
			f.record.line("answer  none to %s, key %d: %v", id, key, err)
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			served.Add(1)
		}
		f.record.line("answer  %d to %s, key %d", resp.StatusCode, id, key)
	}
}
