package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/coordination/coordinator"
	"github.com/jackdawloom/jackdawloom/internal/coordination/election"
	"github.com/jackdawloom/jackdawloom/internal/protocol/peer"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
	"github.com/jackdawloom/jackdawloom/internal/topo"
)

// Times of the coordinator's duty.
const (
	coordinatorTick = 25 * time.Millisecond
	// configPoll bounds how long a change of the configuration stays unseen
	// when the watch is silent.
	configPoll = 2 * time.Second
)

// office is this daemon's part in the coordination: the election, and the
// coordinator's machine while it holds the term.
type office struct {
	daemon *Daemon

	mu       sync.Mutex
	election *election.Machine
	machine  *coordinator.Machine // nil unless this daemon is the coordinator
	term     int64
	modRev   int64
	// loaded says that the store's documents were read in this term.
	loaded bool

	hintAddress string
	hintTerm    int64
}

func newOffice(d *Daemon) *office {
	return &office{daemon: d, election: election.New(d.run, d.net.Addr())}
}

// runElection makes the election's store calls until ctx ends, then resigns.
func (d *Daemon) runElection(ctx context.Context) error {
	ticker := time.NewTicker(coordinatorTick)
	defer ticker.Stop()
	for {
		d.office.electionStep(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			d.office.resign()
			return nil
		}
	}
}

func (o *office) electionStep(ctx context.Context) {
	o.mu.Lock()
	action := o.election.Next(time.Now())
	o.mu.Unlock()
	if action.Kind == election.None {
		return
	}
	result := o.carryOut(ctx, action)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.election.Done(result, time.Now())
	o.noteEntry(result)
	o.updateTerm(time.Now())
}

func (o *office) carryOut(ctx context.Context, a election.Action) election.Result {
	ctx, cancel := context.WithTimeout(ctx, election.CallTimeout)
	defer cancel()
	store := o.daemon.store
	r := election.Result{Seq: a.Seq}
	switch a.Kind {
	case election.Poll, election.ReadBack:
		r.Entry, r.Err = store.Get(ctx, topo.KeyCoordinator)
	case election.GrantLease:
		r.Lease, r.Err = store.GrantLease(ctx, a.TTL)
	case election.Campaign:
		_, r.Err = store.Commit(ctx, a.Txn)
	case election.KeepAlive:
		r.Err = store.KeepAlive(ctx, a.Lease)
	case election.Resign:
		r.Err = store.RevokeLease(ctx, a.Lease)
	case election.None:
	}
	return r
}

// noteEntry learns the coordinator's address from the store's answer.
func (o *office) noteEntry(r election.Result) {
	if r.Err != nil {
		return
	}
	if _, address, ok := election.Holder(r.Entry); ok && r.Entry.CreateRev > o.hintTerm {
		o.hintAddress, o.hintTerm = address, r.Entry.CreateRev
	}
}

// updateTerm starts or ends the coordinator's machine. The caller holds the
// mutex.
func (o *office) updateTerm(now time.Time) {
	holding := o.election.IsCoordinator(now)
	switch {
	case holding && o.term != o.election.Term():
		o.term = o.election.Term()
		o.machine = coordinator.New(o.term, now)
		o.loaded = false
		o.daemon.log.Info("became coordinator", slog.Int64("term", o.term))
		o.daemon.metrics.terms.Inc(1)
	case !holding && o.machine != nil && o.election.Term() != o.term:
		o.daemon.log.Info("no longer coordinator", slog.Int64("term", o.term))
		o.machine, o.term = nil, 0
	}
}

// active reports whether this daemon holds the coordinator's term.
func (o *office) active() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.machine != nil
}

// hurry looks for a new coordinator soon.
func (o *office) hurry() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.election.Hurry(time.Now())
}

func (o *office) resign() {
	o.mu.Lock()
	o.election.Resign()
	action := o.election.Next(time.Now())
	o.machine, o.term = nil, 0
	o.mu.Unlock()
	if action.Kind != election.None {
		o.carryOut(context.Background(), action)
	}
}

// runCoordinator decides tables while this daemon is the coordinator.
func (d *Daemon) runCoordinator(ctx context.Context) error {
	ticker := time.NewTicker(coordinatorTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-d.reported.Out():
		case <-ctx.Done():
			return nil
		}
		d.office.step(ctx)
	}
}

func (o *office) step(ctx context.Context) {
	if !o.load(ctx) {
		return
	}
	o.fenceSuspects()
	t, term, modRev := o.propose()
	if t == nil {
		return
	}
	if err := o.write(ctx, t, term, modRev); err != nil {
		o.daemon.metrics.writesFailed.Inc(1)
		o.daemon.log.Warn("table not written", slog.Uint64("revision", t.Revision), slog.Any("error", err))
		o.reload()
		sleep(ctx, writeRetry)
	}
}

// writeRetry is the wait after a failed write, so that an outage of the store
// does not turn into a busy loop.
const writeRetry = 100 * time.Millisecond

// load reads the store's documents once in a term and reports whether this
// daemon may decide.
func (o *office) load(ctx context.Context) bool {
	o.mu.Lock()
	active, loaded := o.machine != nil && o.election.IsCoordinator(time.Now()), o.loaded
	o.mu.Unlock()
	if !active || loaded {
		return active
	}
	if err := o.read(ctx); err != nil {
		o.daemon.log.Warn("store not read", slog.Any("error", err))
		sleep(ctx, writeRetry)
		return false
	}
	return true
}

func (o *office) reload() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.loaded = false
	if o.machine != nil {
		o.machine.Wake()
	}
}

func (o *office) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	config, err := o.daemon.store.Get(ctx, topo.KeyConfig)
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	stored, err := o.daemon.store.Get(ctx, topo.KeyTable)
	if err != nil {
		return fmt.Errorf("read table: %w", err)
	}
	if err := o.daemon.offerEntry(config); err != nil {
		return err
	}
	if err := o.daemon.offerTableEntry(stored); err != nil {
		return err
	}
	return o.adopt(stored)
}

// errStoreBehind reports a store answer from an older state than one that this
// daemon holds. Nothing is decided on it.
var errStoreBehind = errors.New("store answered with an older table than the one in force")

func (o *office) adopt(stored topo.Entry) error {
	held := o.daemon.docs.get()
	var t *table.Table
	if stored.Exists() {
		decoded, err := table.Decode(stored.Value)
		if err != nil {
			return err
		}
		t = decoded
	}
	if held.table != nil && (t == nil || t.Revision < held.table.Revision) {
		return errStoreBehind
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.machine == nil {
		return nil
	}
	o.machine.SetStored(t)
	o.modRev = stored.ModRev
	o.loaded = true
	return nil
}

// offerEntry takes a configuration read from the store. A missing one is no
// error.
func (d *Daemon) offerEntry(e topo.Entry) error {
	if !e.Exists() {
		return nil
	}
	return ignoreOld(d.docs.offerConfig(e.Value))
}

func (d *Daemon) offerTableEntry(e topo.Entry) error {
	if !e.Exists() {
		return nil
	}
	return ignoreOld(d.docs.offerTable(e.Value))
}

func (o *office) fenceSuspects() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.machine == nil {
		return
	}
	for _, id := range o.daemon.fencedMembers() {
		o.machine.Fenced(id)
	}
	for _, member := range o.machine.Suspects(time.Now()) {
		_ = o.daemon.suspects.TryPut(member)
	}
}

func (o *office) propose() (*table.Table, int64, int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	config := o.daemon.docs.get().config
	if o.machine == nil || !o.loaded || config == nil {
		return nil, 0, 0
	}
	o.machine.SetConfig(config)
	if !o.machine.Due(now) {
		return nil, 0, 0
	}
	o.machine.Forget(now)
	return o.machine.Propose(o.daemon.newRequestID(), now), o.term, o.modRev
}

// write stores a table under the term's guard and puts it in force. A lost
// answer is resolved by reading the table back.
func (o *office) write(ctx context.Context, t *table.Table, term, modRev int64) error {
	encoded, err := t.Encode()
	if err != nil {
		return fmt.Errorf("encode table: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	result, err := o.daemon.store.Commit(ctx, election.GuardedTable(term, modRev, encoded))
	rev := result.Rev
	if errors.Is(err, topo.ErrUnknownResult) {
		rev, err = o.readBack(ctx, t.Operation)
	} else if err == nil && !result.Succeeded {
		err = errWriteRefused
	}
	if err != nil {
		return err
	}
	o.stored(t, term, rev)
	if err := ignoreOld(o.daemon.docs.offerTable(encoded)); err != nil {
		return err
	}
	o.daemon.announce(ctx, peer.Documents{Table: encoded})
	return nil
}

// errWriteRefused reports a write whose guard did not hold: the term has ended
// or the table has changed.
var errWriteRefused = errors.New("store refused the write: term or table changed")

func (o *office) readBack(ctx context.Context, operation string) (int64, error) {
	entry, err := o.daemon.store.Get(ctx, topo.KeyTable)
	if err != nil {
		return 0, err
	}
	if !entry.Exists() {
		return 0, errWriteRefused
	}
	t, err := table.Decode(entry.Value)
	if err != nil {
		return 0, err
	}
	if t.Operation != operation {
		return 0, errWriteRefused
	}
	return entry.ModRev, nil
}

func (o *office) stored(t *table.Table, term, rev int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.daemon.metrics.tables.Inc(1)
	if o.machine == nil || o.term != term {
		return
	}
	o.machine.SetStored(t)
	o.modRev = rev
}

// takeReport takes a member's report.
func (d *Daemon) takeReport(r peer.Report) peer.ReportReply {
	o := d.office
	o.mu.Lock()
	reply := peer.ReportReply{Revisions: d.docs.get().revisions()}
	if o.machine != nil {
		o.machine.Report(r, time.Now())
		reply.Coordinator = true
		reply.Term = o.term
	}
	o.mu.Unlock()
	_ = d.reported.TryPut(struct{}{})
	return reply
}
