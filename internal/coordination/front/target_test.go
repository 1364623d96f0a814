package front

import (
	"time"

	"github.com/jackdawloom/jackdawloom/internal/proptest"
	"github.com/jackdawloom/jackdawloom/internal/protocol/grant"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
	"pgregory.net/rapid"
)

// target is a target that checks grants, or runs everything if it does not.
type target struct {
	w       *world
	clock   proptest.Clock
	boot    int
	epoch   uint64
	version uint64
	units   map[table.Unit]uint32
	expires int64
	frozen  bool
	running map[unitEpoch]time.Time // end of the last request
}

func (g *target) now() time.Time { return g.clock.At(g.w.now) }

func (g *target) ms() int64 { return g.now().UnixMilli() }

func (g *target) holds() bool { return g.ms() < g.expires }

func (g *target) restart() {
	*g = target{w: g.w, clock: proptest.DrawClock(g.w.t, "restarted"), boot: g.boot + 1}
}

func (g *target) grant(r grant.Request) grant.Reply {
	boot := string(rune('a' + g.boot))
	newer := r.FrontEpoch > g.epoch || r.FrontEpoch == g.epoch && r.Version > g.version
	same := r.FrontEpoch == g.epoch && r.Version == g.version
	ok := r.ExpiresMs > g.ms() && r.Boot == boot && (r.Renew && same || !r.Renew && newer)
	if ok {
		g.epoch, g.version, g.expires = r.FrontEpoch, r.Version, r.ExpiresMs
	}
	if ok && !r.Renew {
		g.units = map[table.Unit]uint32{}
		for _, s := range r.Shards {
			g.units[table.Unit{Shard: s.Shard}] = s.Epoch
		}
		for _, h := range r.HotKeys {
			g.units[table.Unit{Hot: true, Hash: uint64(h.Hash[15] - '0')}] = h.Epoch
		}
	}
	return grant.Reply{Accepted: ok, FrontEpoch: g.epoch, Version: g.version, NowMs: g.ms(), Boot: boot, Running: g.load()}
}

func (g *target) load() int {
	n := 0
	for _, end := range g.running {
		if g.now().Before(end) {
			n++
		}
	}
	return n
}

func (g *target) request(front uint64, u unitEpoch) Result {
	if g.w.cfg.ChecksGrants && (front != g.epoch || g.units[u.unit] != u.epoch || !g.holds()) {
		return Rejected
	}
	if g.w.given[u] {
		g.w.t.Fatalf("request of %s epoch %d started after it was given away", u.unit, u.epoch)
	}
	if g.running == nil {
		g.running = map[unitEpoch]time.Time{}
	}
	length := rapid.SampledFrom([]time.Duration{0, g.w.cfg.LongestDeadline}).Draw(g.w.t, "length")
	g.running[u] = latest(g.running[u], g.now().Add(length))
	if length > 0 {
		return Silent
	}
	return rapid.SampledFrom([]Result{Success, Failure}).Draw(g.w.t, "result")
}

// stopped asserts that no request of the unit runs at a target that does not
// check grants.
func (g *target) stopped(u unitEpoch) {
	if left := g.running[u].Sub(g.now()); !g.w.cfg.ChecksGrants && left > 0 {
		g.w.t.Fatalf("%s epoch %d given away while a request runs for %s", u.unit, u.epoch, left)
	}
}
