package memstore

import (
	"context"
	"sync"
	"time"
)

// SharedState makes a State safe for concurrent use, ends its leases on time and notifies
// its watches. It also holds the injected faults and the call counters. Close stops its
// timer.
type SharedState struct {
	mu             sync.Mutex
	state          *State
	rollback       *State // serves reads while RollbackTo is set
	faults         Faults
	outages        int           // number of times that Down has been set
	faultsReplaced chan struct{} // closed when the faults are replaced or the store is closed
	counters       Counters
	clockOffset    time.Duration
	changed        chan struct{} // closed and replaced at each change
	expiryTimer    *time.Timer
	closed         bool
}

// NewSharedState returns an empty store.
func NewSharedState(limits HistoryLimits) *SharedState {
	return &SharedState{
		state:          NewState(time.Now(), limits),
		changed:        make(chan struct{}),
		faultsReplaced: make(chan struct{}),
	}
}

// Close stops the timer and ends injected delays. Leases then expire only when the state
// is accessed.
func (s *SharedState) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	close(s.faultsReplaced)
	if s.expiryTimer != nil {
		s.expiryTimer.Stop()
	}
}

// Do runs fn on the state, with its time advanced to the current time.
func (s *SharedState) Do(fn func(*State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.doLocked(fn)
}

// doLocked implements Do; s.mu must be held.
func (s *SharedState) doLocked(fn func(*State)) {
	before := s.state.Rev()
	s.state.Advance(time.Now().Add(s.clockOffset))
	if s.faults.ExpireLeases {
		s.state.ExpireAll()
	}
	fn(s.state)
	if s.state.Rev() != before {
		s.notifyWatchers()
	}
	s.resetExpiryTimer()
}

// Read runs fn on the state that serves reads: the current one, or an old one while
// RollbackTo is set.
func (s *SharedState) Read(fn func(*State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.doLocked(func(state *State) {
		if s.rollback != nil {
			state = s.rollback
		}
		fn(state)
	})
}

// AdvanceClock moves the store's clock forward by d, which ends the leases that expire
// within that time.
func (s *SharedState) AdvanceClock(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clockOffset += d
	s.doLocked(func(*State) {})
}

// BeginCall counts a call and returns its injected faults.
func (s *SharedState) BeginCall(c Call) CallFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.count(c)
	return s.faults.consume(c)
}

// Faults returns the injected faults; those limited to a number of calls show how many are
// left.
func (s *SharedState) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the injected faults. It fails, and changes nothing, if a value is not
// valid or the state of RollbackTo is not available.
func (s *SharedState) SetFaults(f Faults) error {
	if err := f.Validate(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rollback, err := s.rollbackState(f.RollbackTo)
	if err != nil {
		return err
	}
	if f.Down != DownNone {
		s.outages++
	}
	s.faults = f
	s.rollback = rollback
	s.cancelDelays()
	s.doLocked(func(*State) {})
	s.notifyWatchers()
	return nil
}

// cancelDelays ends the delays in progress; s.mu must be held.
func (s *SharedState) cancelDelays() {
	if s.closed {
		return
	}
	close(s.faultsReplaced)
	s.faultsReplaced = make(chan struct{})
}

// Delay waits until d has passed, ctx ends, the faults are replaced or the store is
// closed.
func (s *SharedState) Delay(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	s.mu.Lock()
	replaced := s.faultsReplaced
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	select {
	case <-replaced:
	case <-ctx.Done():
	}
}

// rollbackState returns the state at revision rev, or nil if rev is 0. A state that is
// already in use stays usable after its history has been compacted.
func (s *SharedState) rollbackState(rev int64) (*State, error) {
	switch {
	case rev == 0:
		return nil, nil
	case s.rollback != nil && s.rollback.Rev() == rev:
		return s.rollback, nil
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

// notifyWatchers makes all watches poll again; s.mu must be held.
func (s *SharedState) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// resetExpiryTimer sets the timer to the next expiry of a lease; s.mu must be held.
func (s *SharedState) resetExpiryTimer() {
	if s.expiryTimer != nil {
		s.expiryTimer.Stop()
	}
	next, ok := s.state.NextExpiry()
	if !ok || s.closed {
		return
	}
	wait := time.Until(next.Add(-s.clockOffset))
	s.expiryTimer = time.AfterFunc(wait, func() { s.Do(func(*State) {}) })
}
