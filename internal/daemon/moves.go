package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/jackdawloom/jackdawloom/internal/coordination/coordinator"
	"github.com/jackdawloom/jackdawloom/internal/protocol/adminapi"
	"github.com/jackdawloom/jackdawloom/internal/protocol/peer"
)

// maxMoveBody bounds the body of a request for a move in bytes.
const maxMoveBody = 4 << 10

// errMoveUnavailable reports that no coordinator took the request. It may be
// repeated.
var errMoveUnavailable = errors.New("no coordinator took the request")

func decodeMove(_ context.Context, r *http.Request) (any, error) {
	var m adminapi.Move
	if err := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxMoveBody)).Decode(&m); err != nil {
		return nil, &badRequestError{err}
	}
	return m, nil
}

// moveEndpoint passes an operator's request for a move on to the coordinator
// and returns the shard's present owner.
func (d *Daemon) moveEndpoint(ctx context.Context, request any) (any, error) {
	m := request.(adminapi.Move)
	if err := d.requestMove(ctx, peer.MoveRequest{Service: m.Service, Shard: m.Shard, Target: m.Target}); err != nil {
		return nil, err
	}
	return d.ownerEndpoint(ctx, adminapi.OwnerRequest{Service: m.Service, Shard: &m.Shard})
}

func (d *Daemon) requestMove(ctx context.Context, m peer.MoveRequest) error {
	address, _ := d.coordinatorHint()
	if address == "" {
		return errMoveUnavailable
	}
	if address == d.net.Addr() {
		return moveError(d.takeMove(m))
	}
	var reply peer.MoveReply
	if err := d.call(ctx, address, peer.PathMove, m, &reply); err != nil {
		return fmt.Errorf("%w: %w", errMoveUnavailable, err)
	}
	return moveError(reply)
}

// takeMove takes a request for a move as the coordinator.
func (d *Daemon) takeMove(m peer.MoveRequest) peer.MoveReply {
	o := d.office
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.machine == nil {
		return peer.MoveReply{Verdict: peer.MoveUnavailable, Problem: "not the coordinator"}
	}
	err := o.machine.RequestMove(m.Service, m.Shard, m.Target)
	switch {
	case err == nil:
		return peer.MoveReply{Verdict: peer.MoveAccepted}
	case errors.Is(err, coordinator.ErrMoveInvalid):
		return peer.MoveReply{Verdict: peer.MoveInvalid, Problem: err.Error()}
	case errors.Is(err, coordinator.ErrTooManyMoves):
		return peer.MoveReply{Verdict: peer.MoveTooMany, Problem: err.Error()}
	}
	return peer.MoveReply{Verdict: peer.MoveUnavailable, Problem: err.Error()}
}

// moveError returns the verdict as an error, nil if the move was accepted.
func moveError(r peer.MoveReply) error {
	switch r.Verdict {
	case peer.MoveAccepted:
		return nil
	case peer.MoveInvalid:
		return &moveRefusedError{kind: coordinator.ErrMoveInvalid, problem: r.Problem}
	case peer.MoveTooMany:
		return &moveRefusedError{kind: coordinator.ErrTooManyMoves, problem: r.Problem}
	case peer.MoveUnavailable:
	}
	return fmt.Errorf("%w: %s", errMoveUnavailable, r.Problem)
}

// moveRefusedError is a refusal whose text came from the coordinator.
type moveRefusedError struct {
	kind    error
	problem string
}

// Error returns the coordinator's text.
func (e *moveRefusedError) Error() string { return e.problem }

// Unwrap returns the kind of the refusal.
func (e *moveRefusedError) Unwrap() error { return e.kind }
