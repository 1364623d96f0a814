package targetsrv

import (
	"errors"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/protocol/grant"
)

// Reasons for which a target refuses a request under its grants.
var (
	ErrNoKey   = errors.New("request without a key")
	ErrNotHeld = errors.New("key is not granted")
	ErrTarget  = errors.New("request is for another target")
)

// Reasons for which a target refuses a grant.
var (
	ErrOtherRun = errors.New("grant names another target or another run of it")
	ErrStale    = errors.New("grant has a lower fence than one seen before")
)

// span is a run of keys with what was last granted.
type span struct {
	from, to uint16
	fence    uint64
	expires  time.Duration
	// released spans are not taken again under their fence.
	released bool
}

// Grants is a target's view of what it owns. All times are on the target's own
// monotonic clock, which starts at zero with the run named by the boot id. It
// is not safe for concurrent use.
type Grants struct {
	target, boot string
	spans        []span // ordered, not overlapping
}

// NewGrants returns the state of a target that has just started and owns
// nothing.
func NewGrants(target, boot string) *Grants {
	return &Grants{target: target, boot: boot}
}

// Apply takes a grant or a release, or answers a reading. After an error nothing has
// changed.
func (g *Grants) Apply(r grant.Request) error {
	if r.Target != g.target {
		return ErrOtherRun
	}
	if r.ExpiresMs == 0 && !r.Release {
		return nil
	}
	if r.BootID != g.boot {
		return ErrOtherRun
	}
	for _, s := range g.spans {
		if s.to < r.From || r.To < s.from {
			continue
		}
		if s.fence > r.Fence || s.released && !r.Release && s.fence == r.Fence {
			return ErrStale
		}
	}
	g.set(span{from: r.From, to: r.To, fence: r.Fence, expires: time.Duration(r.ExpiresMs) * time.Millisecond, released: r.Release})
	return nil
}

// set puts a span in place of what was granted for its keys. An earlier grant under
// the same fence may last longer: the present one was then overtaken on its way.
func (g *Grants) set(next span) {
	var out []span
	at := int(next.from)
	fill := func(to int) {
		if at <= to {
			p := next
			p.from, p.to = uint16(at), uint16(to)
			out = append(out, p)
		}
		at = max(at, to+1)
	}
	for _, s := range g.spans {
		switch {
		case s.to < next.from:
			out = append(out, s)
			continue
		case s.from > next.to:
			fill(int(next.to))
			out = append(out, s)
			continue
		}
		if s.from < next.from {
			left := s
			left.to = next.from - 1
			out = append(out, left)
		}
		fill(int(s.from) - 1)
		p := next
		p.from, p.to = max(s.from, next.from), min(s.to, next.to)
		if s.fence == next.fence && !next.released {
			p.expires = max(p.expires, s.expires)
		}
		out = append(out, p)
		at = int(p.to) + 1
		if s.to > next.to {
			right := s
			right.from = next.to + 1
			out = append(out, right)
		}
	}
	fill(int(next.to))
	g.spans = joined(out)
}

// joined joins neighbouring spans that differ in nothing but their keys.
func joined(spans []span) []span {
	out := spans[:0]
	for _, s := range spans {
		if n := len(out); n > 0 {
			last := &out[n-1]
			same := last.fence == s.fence && last.expires == s.expires && last.released == s.released
			if same && int(last.to)+1 == int(s.from) {
				last.to = s.to
				continue
			}
		}
		out = append(out, s)
	}
	return out
}

// Fence returns the fence under which a request for the key may run at the time
// now, or 0 if it may not.
func (g *Grants) Fence(now time.Duration, key uint16) uint64 {
	for _, s := range g.spans {
		if s.from <= key && key <= s.to && !s.released && now < s.expires {
			return s.fence
		}
	}
	return 0
}
