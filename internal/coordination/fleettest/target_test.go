package fleettest

import (
	"fmt"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/protocol/grant"
	"github.com/jackdawloom/jackdawloom/internal/standin/targetsrv"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

type targetKey struct{ service, target string }

func (k targetKey) address() string { return "target:" + k.service + "/" + k.target }

// target is one served process, which keeps the real rules for grants.
type target struct {
	w        *world
	key      targetKey
	checks   bool
	down     bool
	frozen   bool
	draining bool
	boots    int
	started  time.Duration // true time of its boot
	ppm      int64
	grants   *targetsrv.Grants
	running  map[int]*work
	inbox    []func()
	// vacated is when a table last took its units away as those of a lost target.
	vacated time.Duration
}

// work is one request that runs at a target.
type work struct {
	unit  table.Unit
	begun time.Duration
	ends  time.Duration // by the deadline at the latest
}

func newTarget(w *world, key targetKey, checks bool) *target {
	t := &target{w: w, key: key, checks: checks, ppm: w.rng.Int63n(9800) - 4900, vacated: -time.Hour}
	t.boot()
	w.targets[key] = t
	return t
}

func (t *target) bootID() string { return fmt.Sprintf("%s#%d", t.key.target, t.boots) }

func (t *target) boot() {
	t.boots++
	t.started = t.w.now
	t.running = make(map[int]*work)
	t.inbox = nil
	t.grants = targetsrv.NewGrants(t.key.target, t.bootID())
}

// restart ends the process with all its requests and starts it anew.
func (t *target) restart() {
	t.frozen = false
	t.boot()
}

func (t *target) heal() {
	t.down, t.draining = false, false
	t.thaw()
}

func (t *target) thaw() {
	t.frozen = false
	pending := t.inbox
	t.inbox = nil
	for _, fn := range pending {
		fn()
	}
}

// clock is the target's monotonic clock.
func (t *target) clock() time.Duration {
	d := t.w.now - t.started
	return d + d*time.Duration(t.ppm)/1_000_000
}

// reach runs fn at the target's process, at once or when it is thawed. It
// reports false for a refused connection.
func (t *target) reach(fn func()) bool {
	if t.down {
		return false
	}
	if !t.frozen {
		fn()
		return true
	}
	boots := t.boots
	t.inbox = append(t.inbox, func() {
		if t.boots == boots {
			fn()
		}
	})
	return true
}

func (t *target) apply(r grant.Request) grant.Reply {
	err := t.grants.Apply(r)
	return grant.Reply{
		Accepted: err == nil && r.ExpiresMs != 0, FrontEpoch: max(t.grants.FrontEpoch(), 0), Version: t.grants.Version(),
		NowMs: t.clock().Milliseconds(), Boot: t.bootID(), Draining: t.draining, Running: len(t.running),
	}
}

// mayStart reports whether the target would start a request now.
func (t *target) mayStart(frontEpoch uint64, u table.Unit, unitEpoch uint32) bool {
	return !t.checks || t.grants.Check(t.clock(), frontEpoch, u, unitEpoch) == nil
}

// start runs a request for at most the duration, and finish at its end.
func (t *target) start(u table.Unit, epoch uint32, length time.Duration, finish func()) {
	t.w.checkStart(t, u, epoch)
	t.w.runs++
	id, boots := t.w.runs, t.boots
	t.running[id] = &work{unit: u, begun: t.w.now, ends: t.w.now + length}
	t.w.after(length, func() {
		if t.boots != boots || t.down {
			return
		}
		t.reach(func() {
			delete(t.running, id)
			finish()
		})
	})
}
