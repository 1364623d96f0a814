package bodybuf

import (
	"cmp"
	"context"
	"slices"
	"sync"
)

// memory counts the bytes that bodies hold. Bodies of known length take their memory step by
// step and wait if there is none. A step is granted only if all bodies that have begun could
// still be completed one after the other (the banker's algorithm), as bodies that each hold a
// part and wait for the rest would otherwise wait forever.
type memory struct {
	limit int64
	// closed is done once no step waits any more.
	closed   context.Context
	endWaits context.CancelFunc

	mu      sync.Mutex
	used    int64
	growing map[*growth]struct{}
	missing int64 // what the growing bodies do not hold yet
	waiting []*step
}

// growth is a body of known length that does not hold all of its memory yet.
type growth struct{ held, length int64 }

// step is a request for memory that waits.
type step struct {
	body    *growth
	size    int64
	granted chan struct{}
}

func newMemory(limit int64) *memory {
	m := &memory{limit: limit, growing: make(map[*growth]struct{})}
	m.closed, m.endWaits = context.WithCancel(context.Background())
	return m
}

// TryAcquire takes memory for a body of unknown length, and reports whether there was enough.
func (m *memory) TryAcquire(size int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.used+size > m.limit {
		return false
	}
	m.used += size
	return true
}

// acquire takes memory for the next step of a body, and waits for it until ctx is done or the
// waits are ended.
func (m *memory) acquire(ctx context.Context, g *growth, size int64) error {
	m.mu.Lock()
	if m.grant(g, size) {
		m.mu.Unlock()
		return nil
	}
	s := &step{body: g, size: size, granted: make(chan struct{})}
	m.waiting = append(m.waiting, s)
	m.mu.Unlock()
	select {
	case <-s.granted:
		return nil
	case <-ctx.Done():
	case <-m.closed.Done():
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	i := slices.Index(m.waiting, s)
	if i < 0 {
		return nil // granted meanwhile
	}
	m.waiting = slices.Delete(m.waiting, i, i+1)
	return cmp.Or(ctx.Err(), m.closed.Err())
}

// release returns memory. g is the body that it belonged to, or nil if the body was complete or
// of unknown length.
func (m *memory) release(g *growth, size int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= size
	m.track(g, false)
	// A grant may be what a step before it waits for, as it completes a body.
	for i := 0; i < len(m.waiting); {
		s := m.waiting[i]
		if !m.grant(s.body, s.size) {
			i++
			continue
		}
		m.waiting = slices.Delete(m.waiting, i, i+1)
		close(s.granted)
		if s.body.held == s.body.length {
			i = 0
		}
	}
}

// grant takes memory for a step if it is free and all bodies can still be completed. The mutex
// must be held.
func (m *memory) grant(g *growth, size int64) bool {
	if m.used+size > m.limit {
		return false
	}
	_, begun := m.growing[g]
	m.take(g, size, g.held+size < g.length)
	if g.held < g.length && !m.canComplete() {
		m.take(g, -size, begun)
		return false
	}
	return true
}

// take counts a step, and records whether the body grows on.
func (m *memory) take(g *growth, size int64, grows bool) {
	m.track(g, false)
	g.held += size
	m.used += size
	m.track(g, grows)
}

// track records whether a body grows. Its sizes change only while it is not recorded.
func (m *memory) track(g *growth, grows bool) {
	_, tracked := m.growing[g]
	switch {
	case grows && !tracked:
		m.growing[g] = struct{}{}
		m.missing += g.length - g.held
	case !grows && tracked:
		delete(m.growing, g)
		m.missing -= g.length - g.held
	}
}

// canComplete reports whether the growing bodies can be completed one after the other, those
// that need least first. Bodies that hold all of their memory are expected to return it.
func (m *memory) canComplete() bool {
	if m.used+m.missing <= m.limit {
		return true
	}
	free := m.limit
	bodies := make([]*growth, 0, len(m.growing))
	for g := range m.growing {
		free -= g.held
		bodies = append(bodies, g)
	}
	slices.SortFunc(bodies, func(a, b *growth) int { return cmp.Compare(a.length-a.held, b.length-b.held) })
	for _, g := range bodies {
		if g.length-g.held > free {
			return false
		}
		free += g.held
	}
	return true
}
