package targetsrv

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/protocol/grant"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

// Reasons for which a target refuses a request under its grant.
var (
	ErrNoGrant    = errors.New("no unexpired grant")
	ErrFrontEpoch = errors.New("front epoch is not the granted one")
	ErrUnit       = errors.New("unit is not granted")
	ErrUnitEpoch  = errors.New("unit epoch is not the granted one")
)

// Reasons for which a target refuses a grant.
var (
	ErrAddressee = errors.New("grant is addressed to another target")
	ErrOldRun    = errors.New("grant names another run of the target")
	ErrStale     = errors.New("grant is older than the newest one seen")
	ErrMalformed = errors.New("malformed grant")
)

// Grants is a target's view of what it owns. All times are on the target's own
// monotonic clock, which starts at zero with the run named by the boot id. It
// is not safe for concurrent use.
type Grants struct {
	target     string
	boot       string
	frontEpoch uint64
	version    uint64
	expires    time.Duration
	shards     map[uint32]uint32
	hot        map[uint64]uint32
}

// NewGrants returns the state of a target that has just started and owns
// nothing.
func NewGrants(target, boot string) *Grants {
	return &Grants{target: target, boot: boot}
}

// Apply takes a grant or answers a reading. A nil error means that the sender's
// front epoch is current and, unless it asked for a reading, that the grant is
// in force until its expiry. After an error nothing has changed.
func (g *Grants) Apply(r grant.Request) error {
	if r.Target != g.target {
		return ErrAddressee
	}
	if r.FrontEpoch < g.frontEpoch {
		return ErrStale
	}
	if r.ExpiresMs == 0 {
		return nil
	}
	if r.Boot != g.boot {
		return ErrOldRun
	}
	if r.Renew {
		return g.renew(r)
	}
	return g.replace(r)
}

// renew only ever extends: a renewal that was overtaken by a later one must not
// shorten what the front has already counted on.
func (g *Grants) renew(r grant.Request) error {
	if r.FrontEpoch != g.frontEpoch || r.Version != g.version {
		return ErrStale
	}
	g.expires = max(g.expires, expiry(r))
	return nil
}

func (g *Grants) replace(r grant.Request) error {
	if r.FrontEpoch == g.frontEpoch && r.Version <= g.version {
		return ErrStale
	}
	hot := make(map[uint64]uint32, len(r.HotKeys))
	for _, k := range r.HotKeys {
		hash, err := strconv.ParseUint(k.Hash, 16, 64)
		if err != nil {
			return fmt.Errorf("%w: hot key hash %q", ErrMalformed, k.Hash)
		}
		hot[hash] = k.Epoch
	}
	shards := make(map[uint32]uint32, len(r.Shards))
	for _, s := range r.Shards {
		shards[s.Shard] = s.Epoch
	}
	g.frontEpoch, g.version, g.expires = r.FrontEpoch, r.Version, expiry(r)
	g.shards, g.hot = shards, hot
	return nil
}

func expiry(r grant.Request) time.Duration {
	return time.Duration(r.ExpiresMs) * time.Millisecond
}

// Check returns nil if a request for the unit may run at the time now.
func (g *Grants) Check(now time.Duration, frontEpoch uint64, u table.Unit, unitEpoch uint32) error {
	if now >= g.expires {
		return ErrNoGrant
	}
	if frontEpoch != g.frontEpoch {
		return ErrFrontEpoch
	}
	epoch, ok := g.unitEpoch(u)
	if !ok {
		return ErrUnit
	}
	if epoch != unitEpoch {
		return ErrUnitEpoch
	}
	return nil
}

func (g *Grants) unitEpoch(u table.Unit) (uint32, bool) {
	if u.Hot {
		e, ok := g.hot[u.Hash]
		return e, ok
	}
	e, ok := g.shards[u.Shard]
	return e, ok
}

// FrontEpoch returns the highest front epoch accepted, and Version the version
// accepted within it.
func (g *Grants) FrontEpoch() uint64 { return g.frontEpoch }

// Version returns the version of the current grant.
func (g *Grants) Version() uint64 { return g.version }

// ParseUnit reads the header form of a unit, as table.Unit.String writes it.
func ParseUnit(s string) (table.Unit, error) {
	if len(s) < 2 {
		return table.Unit{}, fmt.Errorf("%w: unit %q", ErrMalformed, s)
	}
	switch s[0] {
	case 's':
		n, err := strconv.ParseUint(s[1:], 10, 32)
		if err == nil {
			return table.Unit{Shard: uint32(n)}, nil
		}
	case 'h':
		n, err := strconv.ParseUint(s[1:], 16, 64)
		if err == nil {
			return table.Unit{Hash: n, Hot: true}, nil
		}
	}
	return table.Unit{}, fmt.Errorf("%w: unit %q", ErrMalformed, s)
}
