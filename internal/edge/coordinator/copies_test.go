package coordinator

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/mirror"
)

// copyingTargets are two targets that return no IDs. Target t1 is at work on its keys for a while
// when they are released. On a connection that has carried a call before, it sends the response to
// that call once more meanwhile.
type copyingTargets struct {
	mu       sync.Mutex
	carried  map[string]bool // by the caller's address
	releases int
	released bool // t1 has answered a release
	early    int  // grants to t2 before that
	granted  int  // grants to t2
}

const workAfterRelease = 300 * time.Millisecond

func (c *copyingTargets) serve(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	carried := c.carried[r.RemoteAddr]
	c.carried[r.RemoteAddr] = true
	if r.URL.Path == "/release" {
		c.releases++
	}
	if r.URL.Path == "/grant" && r.Header.Get("Expect-Target") == "t2" {
		c.granted++
		if !c.released {
			c.early++
		}
	}
	c.mu.Unlock()
	if r.URL.Path != "/release" {
		return
	}
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if carried {
		_, _ = io.WriteString(conn, response)
	}
	time.Sleep(workAfterRelease)
	c.mu.Lock()
	c.released = true
	c.mu.Unlock()
	_, _ = io.WriteString(conn, response)
}

// Guards against taking a late copy of the response to a grant for that to a release: keys went to
// another target while their owner was still at work on them.
func TestReleaseIsNotConfirmedByCopyOfGrant(t *testing.T) {
	targets := &copyingTargets{carried: make(map[string]bool)}
	f := startWithTarget(t, targets.serve, func(*fixture, *Config) {})
	f.await(t, "grants", func() bool { return f.grants.Load() > 3 })
	f.views.Apply(mirror.Change{Entries: []topo.Entry{{Key: "targets/t2", CreateRev: 2, ModRev: 2}}})
	f.await(t, "grant to the second target", func() bool {
		targets.mu.Lock()
		defer targets.mu.Unlock()
		return targets.granted > 0
	})
	targets.mu.Lock()
	defer targets.mu.Unlock()
	if targets.releases == 0 || targets.early > 0 {
		t.Errorf("%d releases, %d grants to another target before the first was answered, want none", targets.releases, targets.early)
	}
}
