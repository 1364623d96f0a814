package targetsrv

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jackdawloom/jackdawloom/internal/proptest"
	"github.com/jackdawloom/jackdawloom/internal/protocol/grant"
)

// testKeys returns the keys from which grants are drawn. It includes both ends of the
// key space.
func testKeys() []uint16 {
	return []uint16{0, 1, 2, 3, 4, 5, 6, 7, 65533, 65534, 65535}
}

// keyState is the expected state of one key.
type keyState struct {
	fence    uint64
	expires  time.Duration
	released bool
}

// grantMachine is the state of the property test: a target that restarts, and grants and
// releases that arrive late, twice and out of order. The model stores each key separately.
type grantMachine struct {
	grants *Grants
	boot   string
	boots  int
	now    time.Duration // on the target's clock
	sent   []grant.Request
	model  map[uint16]keyState
}

func (w *grantMachine) restart() {
	w.boots++
	w.boot = string(rune('a' + w.boots))
	w.now = 0
	w.grants = NewGrants("t", w.boot)
	w.model = make(map[uint16]keyState)
}

func (w *grantMachine) send(t *rapid.T) {
	keys := testKeys()
	from := rapid.IntRange(0, len(keys)-1).Draw(t, "from")
	to := rapid.IntRange(from, len(keys)-1).Draw(t, "to")
	r := grant.Request{
		Target: "t", BootID: w.boot, From: keys[from], To: keys[to], Fence: rapid.Uint64Range(1, 5).Draw(t, "fence"),
		Release: rapid.IntRange(0, 3).Draw(t, "kind") == 0,
	}
	if !r.Release {
		r.ExpiresMs = w.now.Milliseconds() + rapid.Int64Range(1, 1000).Draw(t, "hold")
	}
	w.sent = append(w.sent, r)
}

// deliver applies a message and compares the result with the model's.
func (w *grantMachine) deliver(t *rapid.T, r grant.Request) {
	accepted := r.BootID == w.boot
	for _, k := range testKeys() {
		if k < r.From || r.To < k {
			continue
		}
		h := w.model[k]
		if h.fence > r.Fence || h.released && !r.Release && h.fence == r.Fence {
			accepted = false
		}
	}
	if err := w.grants.Apply(r); (err == nil) != accepted {
		t.Fatalf("%+v: %v, want accepted %t", r, err, accepted)
	}
	if !accepted {
		return
	}
	for _, k := range testKeys() {
		if k < r.From || r.To < k {
			continue
		}
		next := keyState{fence: r.Fence, expires: time.Duration(r.ExpiresMs) * time.Millisecond, released: r.Release}
		if h := w.model[k]; h.fence == r.Fence && !r.Release {
			next.expires = max(next.expires, h.expires)
		}
		w.model[k] = next
	}
}

func (w *grantMachine) checkModel(t *rapid.T) {
	for _, k := range testKeys() {
		want := uint64(0)
		if h := w.model[k]; !h.released && w.now < h.expires {
			want = h.fence
		}
		if got := w.grants.Fence(w.now, k); got != want {
			t.Fatalf("key %d may run under fence %d, want %d", k, got, want)
		}
	}
}

// Guards against a target that serves a key under a superseded, released or expired
// grant, or that loses adjacent keys when it applies a grant. Messages are delayed,
// duplicated and reordered, and the target restarts: an expiry on the clock of an
// earlier run may lie hours ahead on the clock of the new one.
func TestGrantsMatchPerKeyModel(t *testing.T) {
	proptest.Check(t, 11, 3000, func(t *rapid.T) {
		w := &grantMachine{}
		w.restart()
		t.Repeat(map[string]func(*rapid.T){
			"pass":    func(t *rapid.T) { w.now += time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond },
			"restart": func(*rapid.T) { w.restart() },
			"send":    w.send,
			"deliver": func(t *rapid.T) {
				if len(w.sent) > 0 {
					w.deliver(t, rapid.SampledFrom(w.sent).Draw(t, "message"))
				}
			},
			"": w.checkModel,
		})
	})
}

// Guards against a target that refuses everything, which the property test above would
// not detect, and against accepting a grant for another target.
func TestGrantedKeysMayRun(t *testing.T) {
	g := NewGrants("t", "b")
	full := grant.Request{Target: "t", BootID: "b", From: 7, To: 65535, Fence: 2, ExpiresMs: 1000}
	wrong := full
	wrong.Target = "u"
	if g.Apply(wrong) == nil {
		t.Fatal("accepted a grant for another target")
	}
	for _, expires := range []int64{1000, 1500, 1200} { // the last one arrived out of order
		full.ExpiresMs = expires
		if err := g.Apply(full); err != nil {
			t.Fatal(err)
		}
	}
	for _, key := range []uint16{7, 65535} {
		if got := g.Fence(1499*time.Millisecond, key); got != 2 {
			t.Errorf("key %d has fence %d", key, got)
		}
		if got := g.Fence(1500*time.Millisecond, key); got != 0 {
			t.Errorf("key %d may run after the grant expired", key)
		}
	}
	if got := g.Fence(0, 6); got != 0 {
		t.Errorf("key 6, which was not granted, has fence %d", got)
	}
	if len(g.spans) != 1 {
		t.Errorf("one grant is stored as %d spans", len(g.spans))
	}
}
