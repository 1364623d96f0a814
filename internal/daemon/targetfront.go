package daemon

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/coordination/admission"
	"github.com/jackdawloom/jackdawloom/internal/coordination/front"
	"github.com/jackdawloom/jackdawloom/internal/protocol/grant"
	"github.com/jackdawloom/jackdawloom/internal/protocol/peer"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
	"github.com/jackdawloom/jackdawloom/internal/transport/targetnet"
)

// Times of a front's duty.
const (
	// frontTick is the interval of the front's state machine.
	frontTick = 25 * time.Millisecond
	// silentFactor times a class's objective is how long a connection may
	// deliver no byte while a request waits.
	silentFactor = 4
	// retireLimit bounds how long a retired front waits for its requests.
	retireLimit = 30 * time.Second
)

// targetFront is the front of one target: its grant, limiter, queue and
// connections.
type targetFront struct {
	daemon  *Daemon
	key     targetKey
	pool    *targetnet.Pool
	granter *targetnet.Granter
	cancel  context.CancelFunc

	mu         sync.Mutex
	machine    *front.Machine
	controller *admission.Controller
	membership *membership
	declared   manifest.Target
	classes    []manifest.Class
	classIndex map[string]int
	waiting    map[uint64]chan verdict
	nextID     uint64
	boot       string
	missing    int // answers in a row that miss a request
	load       *loadMeter
	health     peer.TargetHealth
}

// verdict ends a request's wait in the queue: a nil refusal starts it.
type verdict struct {
	refused *refusal
}

func newTargetFront(d *Daemon, key targetKey, m *membership, s *manifest.Service, t *manifest.Target) *targetFront {
	f := &targetFront{
		daemon:     d,
		key:        key,
		membership: m,
		machine:    front.New(frontConfig(key, s, t)),
		declared:   *t,
		waiting:    make(map[uint64]chan verdict),
		load:       newLoadMeter(time.Now()),
	}
	f.pool = targetnet.New(targetnet.Config{
		Address: t.Address,
		// The granter and its probes use a connection of their own.
		MaxConnections: max(t.Connections-1, 1),
		OnSuspect:      func(targetnet.Suspect) { f.onSuspect() },
	})
	f.granter = targetnet.NewGranter(t.Address, nil)
	f.setClasses(s)
	ctx, cancel := context.WithCancel(d.life)
	f.cancel = cancel
	d.duties.Go(func() error { return f.run(ctx) })
	return f
}

func frontConfig(key targetKey, s *manifest.Service, t *manifest.Target) front.Config {
	return front.Config{
		Service:         key.service,
		Target:          key.target,
		ChecksGrants:    t.ChecksGrants,
		LongestDeadline: s.LongestDeadline(),
		Shards:          s.Shards,
	}
}

func (f *targetFront) setClasses(s *manifest.Service) {
	f.classes = s.Classes
	f.classIndex = classIndexes(s)
	config := admission.Config{Slots: f.declared.Slots}
	for i, c := range s.Classes {
		harm := len(s.Classes) - i
		if c.NeverRepeat() {
			harm += len(s.Classes)
		}
		config.Classes = append(config.Classes, admission.Class{
			Name: c.Name, NeverRepeat: c.NeverRepeat(), Deadline: c.Deadline(),
			Objective: time.Duration(c.Objective.LatencyMs) * time.Millisecond, Harm: harm,
		})
	}
	controller, err := admission.New(config)
	if err != nil {
		f.daemon.log.Error("limiter not created", slog.String("target", f.key.target), slog.Any("error", err))
		return
	}
	if f.controller != nil {
		f.apply(admission.Changes{Removed: f.controller.Abort(admission.ReasonDraining)})
	}
	f.controller = controller
}

// configure takes over a changed declaration.
func (f *targetFront) configure(s *manifest.Service, t *manifest.Target, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.machine.SetConfig(frontConfig(f.key, s, t))
	if !sameClasses(f.classes, s.Classes) {
		f.declared = *t
		f.setClasses(s)
		return
	}
	if t.Slots != f.declared.Slots {
		f.apply(f.controller.SetSlots(t.Slots, now))
	}
	f.declared = *t
}

func sameClasses(a, b []manifest.Class) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Name != b[i].Name || a[i].Repeat != b[i].Repeat ||
			a[i].DeadlineMs != b[i].DeadlineMs || a[i].Objective != b[i].Objective {
			return false
		}
	}
	return true
}

func (f *targetFront) assign(a front.Assignment, m *membership, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.membership = m
	f.machine.Assign(a, now)
}

// retire refuses what waits, lets what runs end, and closes the connections.
func (f *targetFront) retire(now time.Time) {
	f.mu.Lock()
	f.machine.Assign(front.Assignment{Front: false, Epoch: ^uint64(0)}, now)
	f.apply(admission.Changes{Removed: f.controller.Abort(admission.ReasonDraining)})
	f.mu.Unlock()
	f.cancel()
	f.daemon.duties.Go(func() error {
		f.awaitIdle()
		f.pool.Close()
		f.granter.Close()
		return nil
	})
}

func (f *targetFront) awaitIdle() {
	ctx, cancel := context.WithTimeout(f.daemon.life, retireLimit)
	defer cancel()
	for f.running() > 0 && ctx.Err() == nil {
		sleep(ctx, frontTick)
	}
}

func (f *targetFront) running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine.Running()
}

// report returns what the member has to tell of the target.
func (f *targetFront) report(m *membership, now time.Time) (peer.TargetReport, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.membership != m {
		return peer.TargetReport{}, false
	}
	r := f.machine.Report(now)
	r.BusyMilli, r.HotKeys = f.load.busyMilli, f.load.hotKeys
	return r, true
}

// run drives the target's grant and queue until ctx ends.
func (f *targetFront) run(ctx context.Context) error {
	ticker := time.NewTicker(frontTick)
	defer ticker.Stop()
	for {
		f.tick(ctx, time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (f *targetFront) tick(ctx context.Context, now time.Time) {
	f.mu.Lock()
	action := f.machine.Tick(now, f.membership.authorityUntil())
	f.apply(f.controller.Tick(now))
	f.load.close(f.declared.Slots, now)
	changed := f.noteHealth(now)
	f.mu.Unlock()
	if changed {
		f.daemon.reportNow()
	}
	if action.Send {
		go f.exchange(ctx, action)
	}
}

// noteHealth logs a changed verdict and reports whether it changed.
func (f *targetFront) noteHealth(now time.Time) bool {
	health := f.machine.Report(now).Health
	if health == f.health {
		return false
	}
	f.daemon.log.Info("target verdict changed", slog.String("service", f.key.service),
		slog.String("target", f.key.target), slog.Int("from", int(f.health)), slog.Int("to", int(health)))
	f.health = health
	return true
}

// exchange makes one grant exchange or probe.
func (f *targetFront) exchange(ctx context.Context, a front.Action) {
	ctx, cancel := context.WithTimeout(ctx, front.ExchangeTimeout)
	defer cancel()
	if a.Probe {
		f.probe(ctx, a.Seq)
		return
	}
	reply, err := f.granter.Send(ctx, a.Request)
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.machine.GrantFailed(a.Seq, failureKind(err), now)
		return
	}
	f.noteBoot(reply)
	f.compareRunning(reply)
	f.machine.GrantReply(a.Seq, reply, now)
}

// noteBoot starts a restarted target cold.
func (f *targetFront) noteBoot(r grant.Reply) {
	if f.boot != "" && f.boot != r.Boot {
		f.controller.Cold()
	}
	f.boot = r.Boot
}

func (f *targetFront) probe(ctx context.Context, seq uint64) {
	err := f.granter.Probe(ctx)
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.machine.GrantFailed(seq, failureKind(err), now)
		return
	}
	f.machine.ProbeReply(seq, now)
}

func failureKind(err error) front.FailureKind {
	switch {
	case errors.Is(err, targetnet.ErrRefused):
		return front.ExchangeRefused
	case errors.Is(err, targetnet.ErrTimeout):
		return front.ExchangeTimedOut
	}
	return front.ExchangeOther
}

// onSuspect handles a connection that was silent for long. A request that runs
// long looks the same, and a target that does not check grants does not tell
// how many run; so its connections are closed only if all of several in use are
// silent.
func (f *targetFront) onSuspect() {
	f.daemon.metrics.suspects.Inc(1)
	f.mu.Lock()
	checks, running := f.declared.ChecksGrants, f.machine.Running()
	f.mu.Unlock()
	suspects := f.pool.Stats().Suspects
	if !checks && suspects >= 2 && suspects >= running {
		f.pool.CloseSuspects()
	}
}

// compareRunning closes suspect connections if the target, in two answers in a
// row, runs fewer requests than this front waits for: a request or its response
// is lost on the way, while grants on another connection are answered. The
// caller holds the mutex.
func (f *targetFront) compareRunning(r grant.Reply) {
	if r.Running >= f.machine.Running() {
		f.missing = 0
		return
	}
	f.missing++
	if f.missing >= 2 && f.pool.Stats().Suspects > 0 {
		f.missing = 0
		go f.pool.CloseSuspects()
	}
}

// apply hands the queue's changes to the waiting requests. The caller holds the
// mutex.
func (f *targetFront) apply(ch admission.Changes) {
	for _, s := range ch.Starts {
		f.wake(s.ID, verdict{})
	}
	for _, r := range ch.Removed {
		f.wake(r.ID, verdict{refused: admissionRefusal(r.Reason)})
	}
}

func (f *targetFront) wake(id uint64, v verdict) {
	if ch := f.waiting[id]; ch != nil {
		ch <- v
		delete(f.waiting, id)
	}
}
