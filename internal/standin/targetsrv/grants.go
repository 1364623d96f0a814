package targetsrv

import (
	"errors"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/protocol/grant"
)

// Reasons for which a target refuses a request.
var (
	ErrNoKey       = errors.New("request without a key")
	ErrNotHeld     = errors.New("key is not granted")
	ErrWrongTarget = errors.New("request is for another target")
)

// Reasons for which a target refuses a grant.
var (
	ErrOtherRun   = errors.New("grant is for another target or another run of this one")
	ErrStaleFence = errors.New("grant has a lower fence than one seen before")
)

// span is a contiguous range of keys with the state of its latest grant.
type span struct {
	from, to uint16
	fence    uint64
	expires  time.Duration
	// released spans are not granted again under the same fence.
	released bool
}

// Grants holds the grants that a target has received. All times are on the target's
// own monotonic clock, which starts at zero in each run of its process; the boot ID
// identifies the run. It is not safe for concurrent use.
type Grants struct {
	target, boot string
	spans        []span // sorted, not overlapping
}

// NewGrants returns the state of a target that has just started and has no grants.
func NewGrants(target, boot string) *Grants {
	return &Grants{target: target, boot: boot}
}

// Apply applies a grant or a release. For a clock query it only checks the target.
// After an error nothing has changed.
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
			return ErrStaleFence
		}
	}
	g.replace(span{from: r.From, to: r.To, fence: r.Fence, expires: time.Duration(r.ExpiresMs) * time.Millisecond, released: r.Release})
	return nil
}

// replace replaces the state of the keys of update. If an earlier grant under the same
// fence expires later, its expiry is kept: the messages arrived out of order.
func (g *Grants) replace(update span) {
	var out []span
	nextKey := int(update.from)
	fillGap := func(to int) {
		if nextKey <= to {
			p := update
			p.from, p.to = uint16(nextKey), uint16(to)
			out = append(out, p)
		}
		nextKey = max(nextKey, to+1)
	}
	for _, s := range g.spans {
		switch {
		case s.to < update.from:
			out = append(out, s)
			continue
		case s.from > update.to:
			fillGap(int(update.to))
			out = append(out, s)
			continue
		}
		if s.from < update.from {
			left := s
			left.to = update.from - 1
			out = append(out, left)
		}
		fillGap(int(s.from) - 1)
		p := update
		p.from, p.to = max(s.from, update.from), min(s.to, update.to)
		if s.fence == update.fence && !update.released {
			p.expires = max(p.expires, s.expires)
		}
		out = append(out, p)
		nextKey = int(p.to) + 1
		if s.to > update.to {
			right := s
			right.from = update.to + 1
			out = append(out, right)
		}
	}
	fillGap(int(update.to))
	g.spans = mergeAdjacent(out)
}

// mergeAdjacent merges adjacent spans whose state is equal.
func mergeAdjacent(spans []span) []span {
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

// Fence returns the fence under which a request for the key may run at time now, or 0
// if it may not run.
func (g *Grants) Fence(now time.Duration, key uint16) uint64 {
	for _, s := range g.spans {
		if s.from <= key && key <= s.to && !s.released && now < s.expires {
			return s.fence
		}
	}
	return 0
}
