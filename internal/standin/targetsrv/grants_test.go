package targetsrv

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jackdawloom/jackdawloom/internal/proptest"
	"github.com/jackdawloom/jackdawloom/internal/protocol/grant"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

// grantWorld is a target with restarts, and grants that arrive late, twice and
// out of order. Real time is apart from the target's clock.
type grantWorld struct {
	grants *Grants
	boot   string
	boots  int
	now    time.Duration // real time
	start  time.Duration // real time at which the target's clock was zero
	sent   []grant.Request
	// readAt is the real time of the newest reading of each front epoch, from
	// which alone expiries may be derived.
	readAt map[uint64]time.Duration
	// units is what each front granted under each version.
	units map[[2]uint64]grant.Shard
	// newest is the highest epoch accepted by the present run, and version the
	// one accepted within it.
	newest, version uint64
}

func (w *grantWorld) clock() time.Duration { return w.now - w.start }

func (w *grantWorld) restart() {
	w.boots++
	w.boot = string(rune('a' + w.boots))
	w.start = w.now
	w.grants = NewGrants("t", w.boot)
	w.newest, w.version = 0, 0
}

// send reads the target's clock and puts a grant derived from it on the wire.
func (w *grantWorld) send(epoch, version uint64, renew bool) {
	key := [2]uint64{epoch, version}
	if _, known := w.units[key]; !known {
		w.units[key] = grant.Shard{Shard: uint32(len(w.units)), Epoch: uint32(version)}
	}
	r := grant.Request{Target: "t", Boot: w.boot, FrontEpoch: epoch, Version: version, Renew: renew}
	r.ExpiresMs = (w.clock() + table.GrantLife).Milliseconds()
	if !renew {
		r.Shards = []grant.Shard{w.units[key]}
	}
	w.readAt[epoch] = w.now
	w.sent = append(w.sent, r)
}

func (w *grantWorld) deliver(t *rapid.T, r grant.Request) {
	err := w.grants.Apply(r)
	if err != nil {
		return
	}
	if r.FrontEpoch < w.newest {
		t.Fatalf("accepted epoch %d after %d", r.FrontEpoch, w.newest)
	}
	if r.FrontEpoch == w.newest && (r.Version < w.version || !r.Renew && r.Version == w.version) {
		t.Fatalf("accepted version %d after %d (renew %v)", r.Version, w.version, r.Renew)
	}
	w.newest, w.version = r.FrontEpoch, r.Version
}

// check asks for every unit ever granted. At most the units of the newest
// accepted grant may run, and none once the front knows that it has expired.
func (w *grantWorld) check(t *rapid.T) {
	for key, unit := range w.units {
		err := w.grants.Check(w.clock(), key[0], table.Unit{Shard: unit.Shard}, unit.Epoch)
		if err != nil {
			continue
		}
		if key != [2]uint64{w.newest, w.version} {
			t.Fatalf("unit of grant %v may run under grant %d.%d", key, w.newest, w.version)
		}
		if w.now >= w.readAt[key[0]]+table.GrantLife {
			t.Fatalf("grant %v in force %v after its front's last reading", key, w.now-w.readAt[key[0]])
		}
		if w.grants.Check(w.clock(), key[0], table.Unit{Shard: unit.Shard}, unit.Epoch+1) == nil {
			t.Fatalf("unit of grant %v may run at another epoch", key)
		}
		if w.grants.Check(w.clock(), key[0]+1, table.Unit{Shard: unit.Shard}, unit.Epoch) == nil {
			t.Fatalf("unit of grant %v may run for another front epoch", key)
		}
	}
}

// Guards against a target that serves under a superseded grant, or under one
// that its front counts as expired: after delays, duplicates, reordering and
// restarts of the target. Restarts matter: an expiry on an earlier run's clock
// may lie hours ahead on the new one.
func TestGrantsNeverOutliveTheFrontsKnowledge(t *testing.T) {
	proptest.Check(t, 11, 3000, func(t *rapid.T) {
		w := &grantWorld{readAt: map[uint64]time.Duration{}, units: map[[2]uint64]grant.Shard{}}
		w.restart()
		epoch := rapid.Uint64Range(1, 3)
		t.Repeat(map[string]func(*rapid.T){
			"pass":    func(t *rapid.T) { w.now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond },
			"restart": func(*rapid.T) { w.restart() },
			"send": func(t *rapid.T) {
				w.send(epoch.Draw(t, "epoch"), rapid.Uint64Range(1, 4).Draw(t, "version"), rapid.Bool().Draw(t, "renew"))
			},
			"deliver": func(t *rapid.T) {
				if len(w.sent) > 0 {
					w.deliver(t, rapid.SampledFrom(w.sent).Draw(t, "grant"))
				}
			},
			"": w.check,
		})
	})
}

// Guards against a target that refuses everything, which the property above
// would accept, and against grants that reach the wrong target.
func TestGrantsServeWhatIsGranted(t *testing.T) {
	g := NewGrants("t", "b")
	hot := table.Unit{Hash: 0xabc, Hot: true}
	full := grant.Request{Target: "t", Boot: "b", FrontEpoch: 2, Version: 1, ExpiresMs: 1000,
		Shards: []grant.Shard{{Shard: 7, Epoch: 3}}, HotKeys: []grant.HotKey{{Hash: "0000000000000abc", Epoch: 4}}}
	wrong := full
	wrong.Target = "u"
	if g.Apply(wrong) == nil {
		t.Fatal("accepted a grant for another target")
	}
	if err := g.Apply(full); err != nil {
		t.Fatal(err)
	}
	renewal := grant.Request{Target: "t", Boot: "b", FrontEpoch: 2, Version: 1, ExpiresMs: 1500, Renew: true}
	if err := g.Apply(renewal); err != nil {
		t.Fatal(err)
	}
	overtaken := renewal
	overtaken.ExpiresMs = 1200
	if err := g.Apply(overtaken); err != nil {
		t.Fatal(err)
	}
	for _, u := range []struct {
		unit  table.Unit
		epoch uint32
	}{{table.Unit{Shard: 7}, 3}, {hot, 4}} {
		parsed, err := ParseUnit(u.unit.String())
		if err != nil || parsed != u.unit {
			t.Fatalf("unit %v parsed as %v, %v", u.unit, parsed, err)
		}
		if err := g.Check(1499*time.Millisecond, 2, u.unit, u.epoch); err != nil {
			t.Errorf("unit %v: %v", u.unit, err)
		}
		if err := g.Check(1500*time.Millisecond, 2, u.unit, u.epoch); err == nil {
			t.Errorf("unit %v runs after its expiry", u.unit)
		}
	}
}
