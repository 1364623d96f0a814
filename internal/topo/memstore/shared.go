package memstore

import (
	"context"
	"sync"
	"time"
)

// SharedState guards a State for concurrent use, ends its leases on time, wakes its
// watches, and holds the injected faults, the call counters and the instance
// list. Close ends its timer.
type SharedState struct {
	mu       sync.Mutex
	state    *State
	past     *State // serves reads while RollbackTo is set
	faults   Faults
	outages  int           // how often Down has been set
	replaced chan struct{} // closed when faults are replaced or the store is closed
	counters Counters
	skew     time.Duration
	changed  chan struct{} // closed and replaced at each change
	expiry   *time.Timer
	closed   bool
}

// NewSharedState returns an empty store.
func NewSharedState(limits HistoryLimits) *SharedState {
	return &SharedState{
		state:    NewState(time.Now(), limits),
		changed:  make(chan struct{}),
		replaced: make(chan struct{}),
	}
}

// Close stops the timer and ends delays; leases no longer end by themselves.
func (s *SharedState) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	close(s.replaced)
	if s.expiry != nil {
		s.expiry.Stop()
	}
}

// Do runs fn on the state, with its time advanced to the present.
func (s *SharedState) Do(fn func(*State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.do(fn)
}

func (s *SharedState) do(fn func(*State)) {
	before := s.state.Rev()
	s.state.Advance(time.Now().Add(s.skew))
	if s.faults.ExpireLeases {
		s.state.ExpireAll()
	}
	fn(s.state)
	if s.state.Rev() != before {
		s.wake()
	}
	s.arm()
}

// Read runs fn on the state that reads are served from.
func (s *SharedState) Read(fn func(*State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.do(func(present *State) {
		if s.past != nil {
			present = s.past
		}
		fn(present)
	})
}

// AdvanceClock moves the store's clock forward, which ends the leases that
// expire within d.
func (s *SharedState) AdvanceClock(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skew += d
	s.do(func(*State) {})
}

// BeginCall counts a call and returns its faults.
func (s *SharedState) BeginCall(c Call) CallFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.count(c)
	return s.faults.take(c)
}

// Faults returns the injected faults; limited ones show the calls left.
func (s *SharedState) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the injected faults. It fails, and changes nothing, if a
// value has no meaning or the state of RollbackTo is not available.
func (s *SharedState) SetFaults(f Faults) error {
	if err := f.Validate(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	past, err := s.pastFor(f.RollbackTo)
	if err != nil {
		return err
	}
	if f.Down != DownNone {
		s.outages++
	}
	s.faults = f
	s.past = past
	s.endDelays()
	s.do(func(*State) {})
	s.wake()
	return nil
}

func (s *SharedState) endDelays() {
	if s.closed {
		return
	}
	close(s.replaced)
	s.replaced = make(chan struct{})
}

// Delay waits for d, but no longer than until ctx ends, the faults are replaced
// or the store is closed.
func (s *SharedState) Delay(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	s.mu.Lock()
	replaced := s.replaced
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	select {
	case <-replaced:
	case <-ctx.Done():
	}
}

func (s *SharedState) pastFor(rev int64) (*State, error) {
	switch {
	case rev == 0:
		return nil, nil
	case s.past != nil && s.past.Rev() == rev:
		return s.past, nil
	default:
		return s.state.At(rev)
	}
}

// Counters returns a copy of the call counters.
func (s *SharedState) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters.clone()
}

// wake wakes all watches.
func (s *SharedState) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// arm sets the timer to the next expiry of a lease.
func (s *SharedState) arm() {
	if s.expiry != nil {
		s.expiry.Stop()
	}
	next, ok := s.state.NextExpiry()
	if !ok || s.closed {
		return
	}
	wait := time.Until(next.Add(-s.skew))
	s.expiry = time.AfterFunc(wait, func() { s.Do(func(*State) {}) })
}
