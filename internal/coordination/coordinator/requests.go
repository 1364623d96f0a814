package coordinator

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/coordination/placement"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

// Limits of the operators' moves.
const (
	// MaxRequests bounds the moves that are remembered.
	MaxRequests = 64
	// RequestLife is how long a move is pursued, and how long its shard stays
	// at the target against the planner's balance. Without it, the next plan
	// could undo what an operator has just done.
	RequestLife = 10 * time.Minute
)

// Errors of RequestMove.
var (
	// ErrNotReady reports a coordinator that has no table or configuration yet.
	ErrNotReady = errors.New("coordinator has no table yet")
	// ErrMoveInvalid reports a move that names no shard or no usable target.
	ErrMoveInvalid = errors.New("move not possible")
	// ErrTooManyMoves reports that MaxRequests moves are under way.
	ErrTooManyMoves = errors.New("too many moves requested")
)

// moveRequest is an operator's wish to have a shard at a target.
type moveRequest struct {
	service string
	shard   uint32
	target  string
	until   time.Time // zero until the next proposal
	done    bool
}

func (q moveRequest) sameShard(service string, shard uint32) bool {
	return q.service == service && q.shard == shard
}

// RequestMove asks for a shard to be moved to a target; the next proposals
// carry it out. Requests are kept in memory only: a new coordinator does not
// know them, but finishes the moves that the table holds. A later request for
// the same shard replaces the earlier one, so a request may be repeated.
func (m *Machine) RequestMove(service string, shard uint32, target string) error {
	if err := m.checkRequest(service, shard, target); err != nil {
		return err
	}
	m.requests = slices.DeleteFunc(m.requests, func(q moveRequest) bool { return q.sameShard(service, shard) })
	if len(m.requests) >= MaxRequests {
		oldest := slices.IndexFunc(m.requests, func(q moveRequest) bool { return q.done })
		if oldest < 0 {
			return fmt.Errorf("%w: %d are under way", ErrTooManyMoves, len(m.requests))
		}
		m.requests = slices.Delete(m.requests, oldest, oldest+1)
	}
	m.requests = append(m.requests, moveRequest{service: service, shard: shard, target: target})
	m.dirty = true
	return nil
}

func (m *Machine) checkRequest(service string, shard uint32, target string) error {
	if m.stored == nil || m.config == nil {
		return ErrNotReady
	}
	s := m.stored.Service(service)
	if s == nil {
		return fmt.Errorf("%w: no service %s", ErrMoveInvalid, service)
	}
	if int(shard) >= len(s.Owners) {
		return fmt.Errorf("%w: shard %d of %d; they count from 0", ErrMoveInvalid, shard, len(s.Owners))
	}
	i := s.TargetIndex(target)
	if i == table.NoOwner {
		return fmt.Errorf("%w: no target %s", ErrMoveInvalid, target)
	}
	if state := s.Targets[i].State; state != table.TargetActive {
		return fmt.Errorf("%w: target %s is %s", ErrMoveInvalid, target, state)
	}
	return nil
}

// applyRequests starts the requested moves of a service.
func (b *build) applyRequests(s *table.Service) {
	b.requests = slices.DeleteFunc(b.requests, func(q moveRequest) bool {
		return q.service == s.Name && !b.pursue(s, q)
	})
	for i := range b.requests {
		q := &b.requests[i]
		if q.service != s.Name {
			continue
		}
		if q.until.IsZero() {
			q.until = b.now.Add(RequestLife)
		}
		q.done = b.storedOwner(*q) == q.target
	}
}

// pursue takes one step of a request and reports whether to keep it.
func (b *build) pursue(s *table.Service, q moveRequest) bool {
	to := s.TargetIndex(q.target)
	expired := !q.until.IsZero() && b.now.After(q.until)
	if expired || to == table.NoOwner || int(q.shard) >= len(s.Owners) || s.Targets[to].State != table.TargetActive {
		return false
	}
	owner := s.Owners[q.shard]
	if owner == table.NoOwner || s.Targets[owner].State == table.TargetLost || b.storedMove(s.Name, q.shard) {
		return true // placed, taken away or moved elsewhere first
	}
	b.startMove(s, q.shard, to)
	return true
}

// storedMove reports whether the stored table moves the shard. A new move must
// not follow in the table that ends it, since its mark would be the old one's.
func (b *build) storedMove(service string, shard uint32) bool {
	if b.stored == nil {
		return false
	}
	s := b.stored.Service(service)
	return s != nil && slices.ContainsFunc(s.Moves, func(mv table.Move) bool { return mv.Shard == shard })
}

// storedOwner returns the target that owns the request's shard in the stored
// table, if the shard is not moving.
func (b *build) storedOwner(q moveRequest) string {
	if b.stored == nil || b.storedMove(q.service, q.shard) {
		return ""
	}
	s := b.stored.Service(q.service)
	if s == nil || int(q.shard) >= len(s.Owners) || s.Owners[q.shard] == table.NoOwner {
		return ""
	}
	return s.Targets[s.Owners[q.shard]].Name
}

// unpinned leaves out the moves of shards that an operator has placed.
func (b *build) unpinned(service string, moves []placement.Change) []placement.Change {
	return slices.DeleteFunc(moves, func(c placement.Change) bool {
		return slices.ContainsFunc(b.requests, func(q moveRequest) bool { return q.sameShard(service, c.Shard) })
	})
}
