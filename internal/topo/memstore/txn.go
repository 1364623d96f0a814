package memstore

import (
	"bytes"
	"cmp"

	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/keyrange"
)

// MaxOps is the largest number of compares, and of operations in each branch, of a
// transaction; the value is etcd's default.
const MaxOps = 128

// Put writes one key and returns the entry that it replaced, if any.
func (s *State) Put(p Put) (prev []KV, err error) {
	if err := s.checkPut(p); err != nil {
		return nil, err
	}
	w := s.begin()
	prev = w.put(p)
	w.commit()
	return prev, nil
}

// Delete removes the keys in r and returns the removed entries. It creates a new revision
// only if there are any.
func (s *State) Delete(r keyrange.Range) ([]KV, error) {
	if r.Key == "" {
		return nil, ErrEmptyKey
	}
	w := s.begin()
	removed := w.delete(r)
	w.commit()
	return removed, nil
}

// Commit runs a transaction. All its changes have the same revision.
func (s *State) Commit(t Txn) (TxnResult, error) {
	if err := checkTxn(t); err != nil {
		return TxnResult{}, err
	}
	ok := s.holds(t.Compares)
	ops := t.Failure
	if ok {
		ops = t.Success
	}
	if err := s.checkLeases(ops); err != nil {
		return TxnResult{}, err
	}
	return TxnResult{Succeeded: ok, Results: s.runOps(ops)}, nil
}

func (s *State) runOps(ops []Op) []OpResult {
	w := s.begin()
	results := make([]OpResult, len(ops))
	for i, op := range ops {
		results[i] = w.apply(op)
	}
	w.commit()
	return results
}

func (s *State) holds(compares []Compare) bool {
	for _, c := range compares {
		if !c.holds(s.keys[c.Key]) {
			return false
		}
	}
	return true
}

func (c Compare) holds(kv KV) bool {
	if c.Target == TargetValue && kv.CreateRev == 0 {
		return false
	}
	return c.Result.holds(c.compareField(kv))
}

// compareField compares the selected field of kv with the operand of the condition.
func (c Compare) compareField(kv KV) int {
	switch c.Target {
	case TargetCreateRev:
		return cmp.Compare(kv.CreateRev, c.Number)
	case TargetModRev:
		return cmp.Compare(kv.ModRev, c.Number)
	case TargetLease:
		return cmp.Compare(int64(kv.Lease), c.Number)
	case TargetValue:
		return bytes.Compare(kv.Value, c.Value)
	default:
		return cmp.Compare(kv.Version, c.Number)
	}
}

func (r CompareResult) holds(order int) bool {
	switch r {
	case ResultGreater:
		return order > 0
	case ResultLess:
		return order < 0
	case ResultNotEqual:
		return order != 0
	default:
		return order == 0
	}
}

func (s *State) checkPut(p Put) error {
	if err := checkKeyAndSize(p); err != nil {
		return err
	}
	if p.Lease != 0 && s.leases[p.Lease] == nil {
		return topo.ErrLeaseNotFound
	}
	return nil
}

func checkKeyAndSize(p Put) error {
	if p.Key == "" {
		return ErrEmptyKey
	}
	if len(p.Value) > topo.MaxValueBytes {
		return ErrValueTooLarge
	}
	return nil
}

func (s *State) checkLeases(ops []Op) error {
	for _, op := range ops {
		if op.Put == nil {
			continue
		}
		if err := s.checkPut(*op.Put); err != nil {
			return err
		}
	}
	return nil
}

func checkTxn(t Txn) error {
	if max(len(t.Compares), len(t.Success), len(t.Failure)) > MaxOps {
		return ErrTooManyOps
	}
	for _, c := range t.Compares {
		if c.Key == "" {
			return ErrEmptyKey
		}
	}
	if err := checkOps(t.Success); err != nil {
		return err
	}
	return checkOps(t.Failure)
}

// checkOps rejects a branch that writes a key twice. Deletions may overlap each other, but
// not a put.
func checkOps(ops []Op) error {
	puts := make(map[string]bool)
	var deletes []keyrange.Range
	for _, op := range ops {
		if err := checkOp(op); err != nil {
			return err
		}
		if op.Delete != nil {
			deletes = append(deletes, *op.Delete)
		}
		if op.Put == nil {
			continue
		}
		if puts[op.Put.Key] {
			return ErrDuplicateKey
		}
		puts[op.Put.Key] = true
	}
	return checkOverlap(puts, deletes)
}

func checkOp(op Op) error {
	if op.Put != nil {
		return checkKeyAndSize(*op.Put)
	}
	if op.Delete != nil && op.Delete.Key == "" {
		return ErrEmptyKey
	}
	if op.Range != nil && op.Range.Key == "" {
		return ErrEmptyKey
	}
	return nil
}

func checkOverlap(puts map[string]bool, deletes []keyrange.Range) error {
	for key := range puts {
		for _, r := range deletes {
			if r.Contains(key) {
				return ErrDuplicateKey
			}
		}
	}
	return nil
}

// writer collects the changes of one revision.
type writer struct {
	s      *State
	rev    int64
	events []Event
}

func (s *State) begin() *writer { return &writer{s: s, rev: s.rev + 1} }

// commit creates the new revision, unless nothing was changed.
func (w *writer) commit() {
	if len(w.events) == 0 {
		return
	}
	w.s.rev = w.rev
	w.s.history.add(w.events)
}

func (w *writer) apply(op Op) OpResult {
	switch {
	case op.Put != nil:
		return OpResult{Prev: w.put(*op.Put)}
	case op.Delete != nil:
		return OpResult{Prev: w.delete(*op.Delete)}
	case op.Range != nil:
		return OpResult{Found: w.s.Range(*op.Range)}
	default:
		return OpResult{}
	}
}

func (w *writer) put(p Put) []KV {
	prev := w.s.Range(keyrange.One(p.Key))
	kv := KV{Key: p.Key, Value: bytes.Clone(p.Value), CreateRev: w.rev, ModRev: w.rev, Version: 1, Lease: p.Lease}
	event := Event{Kind: EventPut}
	if len(prev) > 0 {
		event.Prev = &prev[0]
		kv.CreateRev = prev[0].CreateRev
		kv.Version = prev[0].Version + 1
		w.s.detach(prev[0])
	}
	event.KV = kv
	w.s.keys[p.Key] = kv
	w.s.attach(kv)
	w.events = append(w.events, event)
	return prev
}

func (w *writer) delete(r keyrange.Range) []KV {
	removed := w.s.Range(r)
	for i, kv := range removed {
		delete(w.s.keys, kv.Key)
		w.s.detach(kv)
		tombstone := KV{Key: kv.Key, ModRev: w.rev}
		w.events = append(w.events, Event{Kind: EventDelete, KV: tombstone, Prev: &removed[i]})
	}
	return removed
}

func (s *State) attach(kv KV) {
	if l := s.leases[kv.Lease]; l != nil {
		l.keys[kv.Key] = struct{}{}
	}
}

func (s *State) detach(kv KV) {
	if l := s.leases[kv.Lease]; l != nil {
		delete(l.keys, kv.Key)
	}
}
