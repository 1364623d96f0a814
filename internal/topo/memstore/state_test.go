package memstore_test

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jackdawloom/jackdawloom/internal/proptest"
	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/keyrange"
	"github.com/jackdawloom/jackdawloom/internal/topo/memstore"
)

const (
	modelSeed   = 20261204
	modelChecks = 300
	historySize = 12 // small, so that most cases reach compaction
)

// model is a reference implementation that keeps a full copy of every revision. It is kept
// as simple as possible.
type model struct {
	t         *rapid.T
	state     *memstore.State
	now       time.Time
	revisions []map[string]memstore.KV // by revision
	expires   map[topo.LeaseID]time.Time
	ttl       map[topo.LeaseID]time.Duration
	compacted int64 // highest revision compacted by request
}

// Guards against a State that differs from etcd's documented behavior: revisions, atomic
// transactions, leases, reads of old revisions, and the events and compaction of the
// history.
func TestStateAgainstModel(t *testing.T) {
	proptest.Check(t, modelSeed, modelChecks, func(t *rapid.T) {
		start := time.Unix(1_000_000, 0)
		m := &model{
			t:         t,
			state:     memstore.NewState(start, memstore.HistoryLimits{Events: historySize}),
			now:       start,
			revisions: []map[string]memstore.KV{nil, {}},
			expires:   map[topo.LeaseID]time.Time{},
			ttl:       map[topo.LeaseID]time.Duration{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"put":       m.put,
			"delete":    m.delete,
			"txn":       m.txn,
			"grant":     m.grant,
			"keepAlive": m.keepAlive,
			"revoke":    m.revoke,
			"advance":   m.advance,
			"compact":   m.compactHistory,
			"":          m.check,
		})
	})
}

func (m *model) rev() int64 { return int64(len(m.revisions)) - 1 }

func (m *model) current() map[string]memstore.KV { return m.revisions[m.rev()] }

// change creates a new revision from the changes that fn makes, if there are any.
func (m *model) change(fn func(next map[string]memstore.KV, rev int64)) {
	next := maps.Clone(m.current())
	fn(next, m.rev()+1)
	if !reflect.DeepEqual(next, m.current()) {
		m.revisions = append(m.revisions, next)
	}
}

func applyPut(next map[string]memstore.KV, rev int64, p memstore.Put) {
	kv := next[p.Key]
	if kv.CreateRev == 0 {
		kv.CreateRev = rev
	}
	kv.Key, kv.Value, kv.Lease = p.Key, p.Value, p.Lease
	kv.ModRev = rev
	kv.Version++
	next[p.Key] = kv
}

var keys = rapid.SampledFrom([]string{"a", "a/", "a/1", "a/2", "a0", "b", "\xff"})

func (m *model) drawRange(label string) keyrange.Range {
	key := keys.Draw(m.t, label)
	switch rapid.IntRange(0, 2).Draw(m.t, label+" kind") {
	case 0:
		return keyrange.One(key)
	case 1:
		return keyrange.Prefix(key)
	default:
		return keyrange.Range{Key: key, End: keys.Draw(m.t, label+" end")}
	}
}

// drawLease draws 0 for no lease, the ID of an existing lease or one that does not exist.
func (m *model) drawLease() topo.LeaseID {
	live := slices.Sorted(maps.Keys(m.expires))
	return rapid.SampledFrom(append(live, 0, 7)).Draw(m.t, "lease")
}

func (m *model) drawPut() memstore.Put {
	value := rapid.StringMatching(`[xy]`).Draw(m.t, "value")
	return memstore.Put{Key: keys.Draw(m.t, "key"), Value: []byte(value), Lease: m.drawLease()}
}

func (m *model) leaseUsable(id topo.LeaseID) bool {
	_, ok := m.expires[id]
	return ok || id == 0
}

func (m *model) wantLeaseError(err error, ok bool) {
	if ok == errors.Is(err, topo.ErrLeaseNotFound) || (ok && err != nil) {
		m.t.Fatalf("error %v, lease exists: %v", err, ok)
	}
}

func (m *model) put(*rapid.T) {
	p := m.drawPut()
	_, err := m.state.Put(p)
	m.wantLeaseError(err, m.leaseUsable(p.Lease))
	if err == nil {
		m.change(func(next map[string]memstore.KV, rev int64) { applyPut(next, rev, p) })
	}
}

func inRange(r keyrange.Range, key string) bool {
	switch r.End {
	case "":
		return key == r.Key
	case "\x00":
		return key >= r.Key
	default:
		return r.Key <= key && key < r.End
	}
}

func (m *model) delete(*rapid.T) {
	r := m.drawRange("delete")
	removed, err := m.state.Delete(r)
	if err != nil {
		m.t.Fatal(err)
	}
	before := len(m.current())
	m.change(func(next map[string]memstore.KV, _ int64) {
		maps.DeleteFunc(next, func(key string, _ memstore.KV) bool { return inRange(r, key) })
	})
	if len(removed) != before-len(m.current()) {
		m.t.Fatalf("delete of %+v removed %v", r, removed)
	}
}

// txn compares a revision and, on success, runs a put, a deletion and a read.
func (m *model) txn(*rapid.T) {
	put, del := m.drawPut(), keyrange.One(keys.Draw(m.t, "deleted"))
	all := keyrange.Prefix("")
	c := memstore.Compare{Key: keys.Draw(m.t, "compared"), Number: rapid.Int64Range(0, m.rev()).Draw(m.t, "number")}
	kv := m.current()[c.Key]
	actual := kv.CreateRev
	c.Target = memstore.TargetCreateRev
	if rapid.Bool().Draw(m.t, "mod revision") {
		c.Target, actual = memstore.TargetModRev, kv.ModRev
	}
	if rapid.Bool().Draw(m.t, "matching") {
		c.Number = actual
	}
	res, err := m.state.Commit(memstore.Txn{
		Compares: []memstore.Compare{c},
		Success:  []memstore.Op{{Put: &put}, {Delete: &del}, {Range: &all}},
	})
	if put.Key == del.Key {
		if !errors.Is(err, memstore.ErrDuplicateKey) {
			m.t.Fatalf("duplicate key: %v", err)
		}
		return
	}
	holds := actual == c.Number
	m.wantLeaseError(err, !holds || m.leaseUsable(put.Lease))
	if res.Succeeded != (err == nil && holds) {
		m.t.Fatalf("transaction %+v, comparison holds: %v", res, holds)
	}
	if !res.Succeeded {
		return
	}
	m.change(func(next map[string]memstore.KV, rev int64) {
		applyPut(next, rev, put)
		delete(next, del.Key)
	})
	m.requireEntries("read in transaction", res.Results[2].Found, m.current())
}

func (m *model) grant(*rapid.T) {
	ttl := rapid.Int64Range(1, 5).Draw(m.t, "ttl")
	id, err := m.state.Grant(0, ttl)
	if _, used := m.ttl[id]; err != nil || used {
		m.t.Fatalf("lease %d, used before: %v, error %v", id, used, err)
	}
	m.ttl[id] = time.Duration(ttl) * time.Second
	m.expires[id] = m.now.Add(m.ttl[id])
}

func (m *model) keepAlive(*rapid.T) {
	id := m.drawLease()
	_, err := m.state.KeepAlive(id)
	m.wantLeaseError(err, id != 0 && m.leaseUsable(id))
	if err == nil {
		m.expires[id] = m.now.Add(m.ttl[id])
	}
}

func (m *model) revoke(*rapid.T) {
	id := m.drawLease()
	err := m.state.Revoke(id)
	m.wantLeaseError(err, id != 0 && m.leaseUsable(id))
	if err == nil {
		m.endLease(id)
	}
}

func (m *model) endLease(id topo.LeaseID) {
	delete(m.expires, id)
	m.change(func(next map[string]memstore.KV, _ int64) {
		maps.DeleteFunc(next, func(_ string, kv memstore.KV) bool { return kv.Lease == id })
	})
}

func (m *model) advance(*rapid.T) {
	ms := rapid.Int64Range(-500, 3000).Draw(m.t, "ms")
	m.state.Advance(m.now.Add(time.Duration(ms) * time.Millisecond))
	m.now = m.now.Add(time.Duration(max(ms, 0)) * time.Millisecond)
	for _, id := range slices.Sorted(maps.Keys(m.expires)) {
		if !m.expires[id].After(m.now) {
			m.endLease(id)
		}
	}
}

func (m *model) compactHistory(*rapid.T) {
	rev := rapid.Int64Range(1, m.rev()+1).Draw(m.t, "compact")
	err := m.state.Compact(rev)
	if (rev > m.rev()) != errors.Is(err, memstore.ErrFutureRev) {
		m.t.Fatalf("compaction at %d of %d: %v", rev, m.rev(), err)
	}
	if rev <= m.rev() {
		m.compacted = max(m.compacted, rev)
	}
}

func (m *model) requireEntries(what string, got []memstore.KV, want map[string]memstore.KV) {
	sorted := slices.SortedFunc(maps.Values(want), func(a, b memstore.KV) int { return strings.Compare(a.Key, b.Key) })
	if fmt.Sprint(got) != fmt.Sprint(sorted) {
		m.t.Fatalf("%s: %v, want %v", what, got, sorted)
	}
}

// check compares the whole observable state with the model.
func (m *model) check(*rapid.T) {
	if m.state.Rev() != m.rev() {
		m.t.Fatalf("revision %d, want %d", m.state.Rev(), m.rev())
	}
	m.requireEntries("current entries", m.state.Range(keyrange.Prefix("")), m.current())
	from := m.compactRev()
	if got := m.state.CompactRev(); got != from {
		m.t.Fatalf("compacted at %d, want %d", got, from)
	}
	rev := rapid.Int64Range(1, m.rev()).Draw(m.t, "old revision")
	old, err := m.state.At(rev)
	if (rev < from) != errors.Is(err, memstore.ErrCompacted) {
		m.t.Fatalf("read at %d, compacted at %d: %v", rev, from, err)
	}
	if err == nil {
		m.requireEntries("entries at old revision", old.Range(keyrange.Prefix("")), m.revisions[rev])
	}
	m.checkEvents(rev)
}

// compactRev returns the revision before which events must have been discarded: the newest
// complete revisions within the limit stay, and at least one.
func (m *model) compactRev() int64 {
	events := 0
	for rev := m.rev(); rev > 1; rev-- {
		events += len(m.changes(rev))
		if events > historySize && rev < m.rev() {
			return max(m.compacted, rev+1)
		}
	}
	return m.compacted
}

// changes returns the keys that differ between rev and the revision before it.
func (m *model) changes(rev int64) map[string]bool {
	changed := map[string]bool{}
	for key, kv := range m.revisions[rev] {
		if m.revisions[rev-1][key].ModRev != kv.ModRev {
			changed[key] = true
		}
	}
	for key := range m.revisions[rev-1] {
		if _, ok := m.revisions[rev][key]; !ok {
			changed[key] = true
		}
	}
	return changed
}

// checkEvents requires that the events of a range, starting at rev, are exactly the
// changes since then.
func (m *model) checkEvents(rev int64) {
	r := m.drawRange("watched")
	events, next, err := m.state.EventsFrom(r, rev)
	if rev < m.state.CompactRev() {
		if !errors.Is(err, memstore.ErrCompacted) {
			m.t.Fatalf("events from %d: %v", rev, err)
		}
		return
	}
	if err != nil || next != m.rev()+1 {
		m.t.Fatalf("events from %d continue at %d: %v", rev, next, err)
	}
	for rev = max(rev, 2); rev <= m.rev(); rev++ {
		want := m.changes(rev)
		maps.DeleteFunc(want, func(key string, _ bool) bool { return !inRange(r, key) })
		n := len(want)
		for _, e := range events[:min(n, len(events))] {
			m.checkEvent(e, rev)
			delete(want, e.KV.Key)
		}
		if len(want) > 0 {
			m.t.Fatalf("no event at %d for %v", rev, want)
		}
		events = events[n:]
	}
	if len(events) > 0 {
		m.t.Fatalf("extra events %v", events)
	}
}

func (m *model) checkEvent(e memstore.Event, rev int64) {
	before, existed := m.revisions[rev-1][e.KV.Key]
	after, exists := m.revisions[rev][e.KV.Key]
	want := memstore.Event{Kind: memstore.EventPut, KV: after}
	if !exists {
		want = memstore.Event{Kind: memstore.EventDelete, KV: memstore.KV{Key: e.KV.Key, ModRev: rev}}
	}
	if existed {
		want.Prev = &before
	}
	if !reflect.DeepEqual(e, want) {
		m.t.Fatalf("event %+v at %d, want %+v", e, rev, want)
	}
}

// Guards against a batch of events that splits a transaction, which a reader would take for
// two states of the store, and against unbounded batches.
func TestEventBatches(t *testing.T) {
	const txns, ops = 8, 100 // the bound of a batch is not a multiple of ops
	s := memstore.NewState(time.Unix(0, 0), memstore.HistoryLimits{})
	for range txns {
		var txn memstore.Txn
		for i := range ops {
			put := memstore.Put{Key: fmt.Sprint(i), Value: []byte("x")}
			txn.Success = append(txn.Success, memstore.Op{Put: &put})
		}
		if _, err := s.Commit(txn); err != nil {
			t.Fatal(err)
		}
	}
	batches, total := 0, 0
	for next := int64(1); next <= s.Rev() && batches < txns; batches++ {
		var events []memstore.Event
		var err error
		events, next, err = s.EventsFrom(keyrange.Prefix(""), next)
		if err != nil || len(events)%ops != 0 || len(events) == 0 {
			t.Fatalf("batch of %d events, %v", len(events), err)
		}
		total += len(events)
	}
	if batches < 2 || total != txns*ops {
		t.Fatalf("%d events in %d batches", total, batches)
	}
}
