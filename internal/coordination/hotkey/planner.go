package hotkey

import (
	"cmp"
	"slices"
	"time"
)

// Config holds the thresholds of a Planner. Zero values mean the defaults.
type Config struct {
	// EnterShare is the share of its owner's capacity from which a key may be
	// moved, and NeverRepeatShare that for keys with never-repeat requests.
	EnterShare, NeverRepeatShare float64
	// LeaveShare is the share below which a key goes back to its shard.
	LeaveShare float64
	// EnterAfter and LeaveAfter are the consecutive intervals for which that
	// must hold. LeaveAfter is multiplied by neverRepeatPatience for keys with
	// never-repeat requests.
	EnterAfter, LeaveAfter int
	// MinGap is the least time between two moves of one key.
	MinGap time.Duration
	// MaxMoves bounds the moves per interval, and MaxOverrides the overrides.
	MaxMoves, MaxOverrides int
}

// Defaults of Config.
const (
	// DefaultEnterShare: below a quarter of a target, moving shards balances as
	// well as moving the key.
	DefaultEnterShare = 0.25
	// DefaultNeverRepeatShare is high since requests for a moving key are held,
	// and a held never-repeat request may miss its deadline.
	DefaultNeverRepeatShare = 0.5
	// DefaultLeaveShare is far below DefaultEnterShare, so that a load between
	// them causes no move in either direction.
	DefaultLeaveShare = 0.1
	DefaultEnterAfter = 2
	DefaultLeaveAfter = 10
	DefaultMinGap     = 30 * time.Second
	DefaultMaxMoves   = 2
	// DefaultMaxOverrides is the bound of the table (256 per service).
	DefaultMaxOverrides = 256

	neverRepeatPatience = 4
	// busyShare: a key is moved only away from a target that is loaded above
	// this share of its capacity.
	busyShare = 0.7
	// minGain is the share of the capacity by which the higher load of the two
	// targets must fall. It keeps a key from moving back and forth.
	minGain = 0.1
	// neverRepeatPart: a key with at least this part of its load by never-repeat
	// requests counts as one of them.
	neverRepeatPart = 0.01
)

func (c Config) withDefaults() Config {
	c.EnterShare = cmp.Or(c.EnterShare, DefaultEnterShare)
	c.NeverRepeatShare = cmp.Or(c.NeverRepeatShare, DefaultNeverRepeatShare)
	c.LeaveShare = cmp.Or(c.LeaveShare, DefaultLeaveShare)
	c.EnterAfter = cmp.Or(c.EnterAfter, DefaultEnterAfter)
	c.LeaveAfter = cmp.Or(c.LeaveAfter, DefaultLeaveAfter)
	c.MinGap = cmp.Or(c.MinGap, DefaultMinGap)
	c.MaxMoves = cmp.Or(c.MaxMoves, DefaultMaxMoves)
	c.MaxOverrides = cmp.Or(c.MaxOverrides, DefaultMaxOverrides)
	return c
}

// Target is the state of one target. Load and Capacity are in slots.
type Target struct {
	Load, Capacity float64
	// Usable targets may receive keys.
	Usable bool
}

// Override is a key with an assignment of its own. Home is the owner of its
// shard; both are indexes of targets.
type Override struct {
	Hash        uint64
	Owner, Home uint16
	// Moving overrides are left alone.
	Moving bool
}

// Key is the load of one key of a service. A key that has an override is at the
// override's owner, any other at Home.
type Key struct {
	KeyLoad
	Home uint16
}

// Input is what is known of one service at the end of an interval. Keys must be
// the hottest of the service and may leave out keys with little load.
type Input struct {
	Targets   []Target
	Keys      []Key
	Overrides []Override
}

// Kind says what a Move is for.
type Kind int

// Kinds.
const (
	// Isolate gives the key an override, or another owner for its override.
	Isolate Kind = iota + 1
	// Return gives the key back to its shard's owner and removes the override.
	Return
)

// Move is one change of a key's owner.
type Move struct {
	Hash     uint64
	Kind     Kind
	From, To uint16
}

// Planner decides which keys of one service get an owner of their own.
type Planner struct {
	c     Config
	known map[uint64]*history
}

// history is what is remembered of a key that is hot or was moved.
type history struct {
	above, below int
	never        bool
	moved        time.Time
	seen         bool
}

// NewPlanner returns a Planner without history. It regards all overrides that it
// finds as moved just then, so a new coordinator does not undo its
// predecessor's decisions at once.
func NewPlanner(c Config) *Planner {
	return &Planner{c: c.withDefaults(), known: map[uint64]*history{}}
}

// Plan returns the moves to begin now. It is to be called once per interval and
// expects that the moves are carried out.
func (p *Planner) Plan(in Input, now time.Time) []Move {
	s := p.situation(in, now)
	for _, k := range s.keys {
		if len(s.moves) >= p.c.MaxMoves {
			break
		}
		p.consider(k, s, now)
	}
	p.forget(now)
	return s.moves
}

// situation is an Input with the moves decided so far applied.
type situation struct {
	targets   []Target
	keys      []place
	overrides int
	moves     []Move
}

// place is where a key is now.
type place struct {
	Key
	owner      uint16
	overridden bool
	moving     bool
	history    *history
}

func (p *Planner) situation(in Input, now time.Time) *situation {
	s := &situation{targets: slices.Clone(in.Targets), overrides: len(in.Overrides)}
	overridden := make(map[uint64]Override, len(in.Overrides))
	for _, o := range in.Overrides {
		overridden[o.Hash] = o
	}
	for _, k := range in.Keys {
		o, ok := overridden[k.Hash]
		delete(overridden, k.Hash)
		at := place{Key: k, owner: k.Home, overridden: ok, moving: o.Moving}
		if ok {
			at.owner, at.Home = o.Owner, o.Home
		}
		s.keys = append(s.keys, at)
	}
	for _, o := range overridden {
		k := Key{KeyLoad: KeyLoad{Hash: o.Hash}, Home: o.Home}
		s.keys = append(s.keys, place{Key: k, owner: o.Owner, overridden: true, moving: o.Moving})
	}
	slices.SortFunc(s.keys, func(a, b place) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Hash, b.Hash))
	})
	for i := range s.keys {
		s.keys[i].history = p.update(&s.keys[i], s, now)
	}
	return s
}

// update counts for how many intervals the key has been hot or cold.
func (p *Planner) update(k *place, s *situation, now time.Time) *history {
	h := p.known[k.Hash]
	if h == nil {
		h = &history{}
		if k.overridden {
			h.moved = now
		}
		p.known[k.Hash] = h
	}
	h.seen = true
	if k.Load > 0 {
		h.never = k.NeverRepeat >= neverRepeatPart*k.Load
	}
	share := s.share(k)
	h.above = count(h.above, share >= p.enterShare(h))
	// Without reports from the owner, a key only seems to be cold.
	reported := s.valid(k.owner) && s.targets[k.owner].Usable
	h.below = count(h.below, k.overridden && reported && share < p.c.LeaveShare)
	return h
}

func count(n int, holds bool) int {
	if !holds {
		return 0
	}
	return n + 1
}

func (p *Planner) enterShare(h *history) float64 {
	if h.never {
		return p.c.NeverRepeatShare
	}
	return p.c.EnterShare
}

func (p *Planner) leaveAfter(h *history) int {
	if h.never {
		return p.c.LeaveAfter * neverRepeatPatience
	}
	return p.c.LeaveAfter
}

func (s *situation) valid(target uint16) bool { return int(target) < len(s.targets) }

// share returns the key's load as a share of its owner's capacity.
func (s *situation) share(k *place) float64 {
	if !s.valid(k.owner) || s.targets[k.owner].Capacity <= 0 {
		return 0
	}
	return k.Load / s.targets[k.owner].Capacity
}

func (p *Planner) consider(k place, s *situation, now time.Time) {
	h := k.history
	settled := h.moved.IsZero() || now.Sub(h.moved) >= p.c.MinGap
	if k.moving || !settled || !s.valid(k.owner) {
		return
	}
	switch {
	case h.above >= p.c.EnterAfter:
		p.isolate(k, s, now)
	case h.below >= p.leaveAfter(h):
		p.giveBack(k, s, now)
	}
}

func (p *Planner) isolate(k place, s *situation, now time.Time) {
	from := s.targets[k.owner]
	if from.Load < busyShare*from.Capacity {
		return
	}
	if !k.overridden && s.overrides >= p.c.MaxOverrides {
		return
	}
	to, ok := s.best(k)
	if !ok {
		return
	}
	if !k.overridden {
		s.overrides++
	}
	kind := Isolate
	if to == k.Home {
		kind = Return
	}
	s.move(k, kind, to, now)
}

// best returns the usable target with the lowest relative load, if the higher
// load of the two targets falls enough by the move.
func (s *situation) best(k place) (uint16, bool) {
	best, lowest := -1, 0.0
	for i, t := range s.targets {
		if !t.Usable || t.Capacity <= 0 || uint16(i) == k.owner {
			continue
		}
		if relative := t.Load / t.Capacity; best < 0 || relative < lowest {
			best, lowest = i, relative
		}
	}
	if best < 0 {
		return 0, false
	}
	from, to := s.targets[k.owner], s.targets[best]
	before := from.Load / from.Capacity
	after := max((from.Load-k.Load)/from.Capacity, (to.Load+k.Load)/to.Capacity)
	return uint16(best), before-after >= minGain
}

func (p *Planner) giveBack(k place, s *situation, now time.Time) {
	if !s.valid(k.Home) || !s.targets[k.Home].Usable {
		return
	}
	home := s.targets[k.Home]
	if k.Home != k.owner && home.Load+k.Load > busyShare*home.Capacity {
		return
	}
	s.move(k, Return, k.Home, now)
}

func (s *situation) move(k place, kind Kind, to uint16, now time.Time) {
	s.targets[k.owner].Load -= k.Load
	s.targets[to].Load += k.Load
	s.moves = append(s.moves, Move{Hash: k.Hash, Kind: kind, From: k.owner, To: to})
	k.history.moved = now
	k.history.above, k.history.below = 0, 0
}

// forget drops the history of keys that are neither reported nor overridden nor
// were moved within MinGap.
func (p *Planner) forget(now time.Time) {
	for hash, h := range p.known {
		if !h.seen && now.Sub(h.moved) >= p.c.MinGap {
			delete(p.known, hash)
		}
		h.seen = false
	}
}
