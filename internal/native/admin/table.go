package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/jackdawloom/jackdawloom/internal/edge/coordinator"
	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/native"
	"github.com/jackdawloom/jackdawloom/internal/protocol/adminapi"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
)

func errNoTable() error { return errNotAvailable.New("no assignment of keys yet") }

// targetName returns the name in the manifest of the target with the given ID.
func targetName(id string) string {
	_, name, _ := strings.Cut(id, "/")
	return name
}

func declaredService(v *view.View, name string) (*manifest.Service, error) {
	accepted, known := native.ManifestOf(v.Config)
	if !known {
		return nil, errNoConfig()
	}
	s := accepted.Manifest.ServiceNamed(name)
	if s == nil {
		return nil, manifest.ErrUnknownService
	}
	return s, nil
}

func (s *server) table(context.Context, any) (any, error) {
	v := s.Daemon.View()
	accepted, known := native.ManifestOf(v.Config)
	if !known {
		return nil, errNoTable()
	}
	out := adminapi.Table{
		ConfigRevision: accepted.Revision, Coordinator: s.Daemon.Status().Coordinator, Members: []adminapi.Member{}, Services: []adminapi.Service{},
	}
	for _, m := range s.Daemon.Members() {
		out.Members = append(out.Members, adminapi.Member{Daemon: m.Name, RunID: m.RunID, Domain: m.Domain, PeerAddress: m.PeerAddress, AdminAddress: m.AdminAddress})
	}
	for i := range accepted.Manifest.Services {
		out.Services = append(out.Services, serviceSummary(v, &accepted.Manifest.Services[i]))
	}
	return out, nil
}

// usable reports whether the owner of a span is registered with the incarnation that owns
// the span.
func usable(v *view.View, s ranges.Span) bool {
	t, known := v.Targets.Get(s.Owner)
	return s.Owned() && known && t.Incarnation() == s.Incarnation()
}

func serviceSummary(v *view.View, declared *manifest.Service) adminapi.Service {
	out := adminapi.Service{Name: declared.Name, Shards: declared.Shards, Targets: []adminapi.Target{}}
	shards, spans := make(map[string]int), make(map[string]int)
	if t := v.Tables[declared.Name]; t != nil {
		out.Revision, out.Spans = t.Rev, len(t.Spans)
		unowned := make(map[int]bool)
		for _, s := range t.Spans {
			spans[s.Owner]++
			if usable(v, s) {
				continue
			}
			for shard := declared.ShardOf(s.From); shard <= declared.ShardOf(s.To); shard++ {
				unowned[shard] = true
			}
		}
		out.UnownedShards = len(unowned)
		for shard := range declared.Shards {
			from, _ := declared.ShardSpan(shard)
			shards[t.Lookup(from).Owner]++
		}
	} else {
		out.UnownedShards = declared.Shards
	}
	for _, d := range declared.Targets {
		id := native.TargetID(declared.Name, d.Name)
		row := adminapi.Target{
			Name: d.Name, Address: d.Address, Domain: d.Domain, State: targetState(v, id), Shards: shards[id], Spans: spans[id],
		}
		out.Targets = append(out.Targets, row)
	}
	return out
}

func targetState(v *view.View, id string) string {
	t, known := v.Targets.Get(id)
	switch {
	case !known:
		return adminapi.TargetMissing
	case t.State == target.Ready:
		return adminapi.TargetActive
	}
	return adminapi.TargetLeaving
}

// ownerAt returns the owner of a point of the key space.
func ownerAt(v *view.View, declared *manifest.Service, point uint16) (adminapi.Owner, error) {
	t := v.Tables[declared.Name]
	if t == nil {
		return adminapi.Owner{}, errNoTable()
	}
	s := t.Lookup(point)
	shard := declared.ShardOf(point)
	from, to := declared.ShardSpan(shard)
	out := adminapi.Owner{
		Service: declared.Name, Shard: shard, Point: point, Fence: s.Fence, Revision: t.Rev, TargetState: adminapi.TargetMissing,
		SingleOwner: hasSingleOwner(t, from, to),
	}
	if s.Owned() {
		out.Target = targetName(s.Owner)
	}
	if usable(v, s) {
		out.TargetState = targetState(v, s.Owner)
	}
	return out, nil
}

// hasSingleOwner reports whether all points between from and to, inclusive, have the same
// owner.
func hasSingleOwner(t *view.Table, from, to uint16) bool {
	owner := t.Lookup(from).Owner
	for _, s := range t.Spans {
		if s.From <= to && from <= s.To && s.Owner != owner {
			return false
		}
	}
	return true
}

// move moves a shard to a target. If another daemon is the coordinator, the request is
// forwarded to it.
func (s *server) move(ctx context.Context, request any) (any, error) {
	m := request.(adminapi.Move)
	v := s.Daemon.View()
	declared, err := declaredService(v, m.Service)
	if err != nil {
		return nil, err
	}
	if m.Shard < 0 || m.Shard >= declared.Shards {
		return nil, errNoShard(m.Shard, declared)
	}
	if _, here := s.Daemon.CoordinatorTerm(); !here {
		return s.forwardMove(ctx, m)
	}
	from, to := declared.ShardSpan(m.Shard)
	if err := s.Daemon.Move(ctx, m.Service, from, to, native.TargetID(m.Service, m.Target)); err != nil {
		return nil, err
	}
	return ownerAt(s.Daemon.View(), declared, from)
}

// forwardMove sends a move request to the daemon that is the coordinator.
func (s *server) forwardMove(ctx context.Context, m adminapi.Move) (any, error) {
	address := ""
	name := s.Daemon.Status().Coordinator
	for _, member := range s.Daemon.Members() {
		if member.Name == name {
			address = member.AdminAddress
		}
	}
	if address == "" || address == s.Admin {
		return nil, fmt.Errorf("%w: none is known", coordinator.ErrNotCoordinator)
	}
	body, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+adminapi.PathMoves, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", coordinator.ErrNotCoordinator, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, coordinatorError(resp)
	}
	var owner adminapi.Owner
	if err := json.NewDecoder(resp.Body).Decode(&owner); err != nil {
		return nil, fmt.Errorf("coordinator's answer: %w", err)
	}
	return owner, nil
}

// coordinatorError converts the coordinator's error response to an error.
func coordinatorError(resp *http.Response) error {
	var body adminapi.Error
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		body.Message = resp.Status
	}
	if resp.StatusCode == http.StatusUnprocessableEntity {
		return fmt.Errorf("%w (%s)", coordinator.ErrNotMovable, body.Message)
	}
	return fmt.Errorf("%w: %s", coordinator.ErrNotCoordinator, body.Message)
}
