package peers

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/transport/once"
)

// Limits of calls to the store through another daemon.
const (
	// relayTimeout covers the call of a store that is slow but up (240 ms), and the
	// way to the other daemon.
	relayTimeout = 300 * time.Millisecond
	// keepTimeout is the same for a renewal at the store itself. With all tries it
	// leaves time to extend grants before a lease of two seconds has run out.
	keepTimeout = 350 * time.Millisecond
	// relayTries is the number of other daemons that are asked.
	relayTries   = 2
	maxRelaySize = 2 * topo.MaxValueBytes
	relayPath    = "/store"
)

// verb is a call that is passed on.
type verb uint8

const (
	verbGet verb = iota
	verbCommit
	verbKeep
)

// relayRequest asks another daemon for a call to the store.
type relayRequest struct {
	Verb  verb         `cbor:"1,keyasint"`
	Key   string       `cbor:"2,keyasint,omitempty"`
	Txn   topo.Txn     `cbor:"3,keyasint"`
	Lease topo.LeaseID `cbor:"4,keyasint,omitempty"`
}

// outcome is the error of a call.
type outcome uint8

const (
	outcomeOK outcome = iota
	outcomeUnavailable
	outcomeUnknown
	outcomeNoLease
	outcomeRefused
)

// outcomes pairs what is sent with the errors of topo.
var outcomes = []struct {
	code outcome
	err  error
}{
	{outcomeUnknown, topo.ErrUnknownResult},
	{outcomeNoLease, topo.ErrLeaseNotFound},
	{outcomeRefused, topo.ErrRefused},
	{outcomeUnavailable, topo.ErrUnavailable},
}

func outcomeOf(err error) outcome {
	if err == nil {
		return outcomeOK
	}
	for _, o := range outcomes {
		if errors.Is(err, o.err) {
			return o.code
		}
	}
	return outcomeUnavailable
}

func (o outcome) err() error {
	for _, x := range outcomes {
		if x.code == o {
			return x.err
		}
	}
	return nil
}

// relayReply is the result of a call to the store.
type relayReply struct {
	Outcome outcome        `cbor:"1,keyasint"`
	Entry   topo.Entry     `cbor:"2,keyasint"`
	Result  topo.TxnResult `cbor:"3,keyasint"`
}

// Relay is a store that goes through other daemons while it turns this one away.
// Only calls that keep and use the coordinator's lease are passed on: a daemon that
// is turned away does not begin anything.
type Relay struct {
	topo.Store
	self  string
	hubs  *HubSelector
	peers func() []Peer
	net   Network
	log   *slog.Logger

	mu   sync.Mutex
	away time.Duration // turned away until
}

// NewRelay returns the store of the daemon with the given name.
func NewRelay(self string, store topo.Store, network Network, hubs *HubSelector, peers func() []Peer, log *slog.Logger) *Relay {
	return &Relay{Store: store, self: self, net: network, hubs: hubs, peers: peers, log: log}
}

// Get implements topo.Store.
func (r *Relay) Get(ctx context.Context, key string) (topo.Entry, error) {
	reply, err := r.do(ctx, relayRequest{Verb: verbGet, Key: key})
	return reply.Entry, err
}

// Commit implements topo.Store. A call whose result is unknown is not made again.
func (r *Relay) Commit(ctx context.Context, txn topo.Txn) (topo.TxnResult, error) {
	reply, err := r.do(ctx, relayRequest{Verb: verbCommit, Txn: txn})
	return reply.Result, err
}

// KeepAlive implements topo.Store.
func (r *Relay) KeepAlive(ctx context.Context, id topo.LeaseID) error {
	_, err := r.do(ctx, relayRequest{Verb: verbKeep, Lease: id})
	return err
}

// do makes a call, and again through other daemons if the store does not answer this
// one. While the store turns this daemon away, the others go first.
func (r *Relay) do(ctx context.Context, req relayRequest) (relayReply, error) {
	away := r.turnedAway()
	if away {
		if reply, err := r.through(ctx, req); !req.again(err) {
			return reply, err
		}
	}
	reply, err := callStore(ctx, r.Store, req)
	if !errors.Is(err, topo.ErrUnavailable) && !errors.Is(err, topo.ErrUnknownResult) {
		return reply, err
	}
	r.mu.Lock()
	r.away = clock.Now() + avoidTime
	r.mu.Unlock()
	if away || !req.again(err) {
		return reply, err
	}
	other, otherErr := r.through(ctx, req)
	if otherErr != nil {
		return other, errors.Join(err, otherErr)
	}
	return other, nil
}

// again reports whether the call may be made again after an error.
func (req relayRequest) again(err error) bool {
	return errors.Is(err, topo.ErrUnavailable) || req.Verb == verbKeep && errors.Is(err, topo.ErrUnknownResult)
}

func (r *Relay) turnedAway() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return clock.Now() < r.away
}

// through makes a call through the strongest daemons of the fleet.
func (r *Relay) through(ctx context.Context, req relayRequest) (relayReply, error) {
	others := r.byStrength(slices.Collect(maps.Values(r.hubs.Select(r.peers()))))
	err := fmt.Errorf("%w: no other daemon to ask", topo.ErrUnavailable)
	for _, p := range others[:min(len(others), relayTries)] {
		var reply relayReply
		if reply, err = r.ask(ctx, p, req); !req.again(err) {
			return reply, err
		}
		r.log.Info("store not reached through daemon", "daemon", p.Name, "error", err)
	}
	return relayReply{}, err
}

// strongest returns some of the other daemons, those first that are elected first.
func (r *Relay) strongest(n int) []Peer {
	others := r.byStrength(r.peers())
	return others[:min(len(others), n)]
}

// byStrength returns the peers but this daemon, the strongest first.
func (r *Relay) byStrength(peers []Peer) []Peer {
	var others []Peer
	for _, p := range peers {
		if p.Name != r.self {
			others = append(others, p)
		}
	}
	slices.SortFunc(others, func(a, b Peer) int {
		if before(a, b) {
			return -1
		}
		return 1
	})
	return others
}

// ask makes a call through a daemon. Without its answer the result is unknown.
func (r *Relay) ask(ctx context.Context, p Peer, req relayRequest) (relayReply, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	body, err := cbor.Marshal(req)
	if err != nil {
		return relayReply{}, fmt.Errorf("%w: %w", topo.ErrRefused, err)
	}
	status, answer, err := post(ctx, r.net, p.Address, relayPath, body, maxRelaySize)
	switch {
	case errors.Is(err, once.ErrNotSent):
		return relayReply{}, fmt.Errorf("%w: %w", topo.ErrUnavailable, err)
	case err != nil:
		return relayReply{}, fmt.Errorf("%w: %w", topo.ErrUnknownResult, err)
	case status != http.StatusOK:
		return relayReply{}, fmt.Errorf("%w: daemon answered %d", topo.ErrUnavailable, status)
	}
	var reply relayReply
	if err := cbor.Unmarshal(answer, &reply); err != nil {
		return reply, fmt.Errorf("%w: %w", topo.ErrUnknownResult, err)
	}
	return reply, reply.Outcome.err()
}

func callStore(ctx context.Context, store topo.Store, req relayRequest) (relayReply, error) {
	var reply relayReply
	var err error
	switch req.Verb {
	case verbGet:
		reply.Entry, err = store.Get(ctx, req.Key)
	case verbCommit:
		reply.Result, err = store.Commit(ctx, req.Txn)
	case verbKeep:
		ctx, cancel := context.WithTimeout(ctx, keepTimeout)
		defer cancel()
		err = store.KeepAlive(ctx, req.Lease)
	default:
		err = fmt.Errorf("%w: call %d", topo.ErrRefused, req.Verb)
	}
	return reply, err
}

// RelayHandler makes calls to the store for other daemons.
type RelayHandler struct {
	Store topo.Store
	Log   *slog.Logger
}

// ServeHTTP implements http.Handler.
func (h *RelayHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var req relayRequest
	if err := readMessage(w, r, maxRelaySize, &req); err != nil || !req.ownKeys() {
		h.Log.Warn("call to the store for a daemon not accepted", "from", r.RemoteAddr, "error", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	reply, err := callStore(r.Context(), h.Store, req)
	reply.Outcome = outcomeOf(err)
	answer, err := cbor.Marshal(reply)
	if err != nil {
		h.Log.Error("answer of the store not encoded", "error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if _, err := w.Write(answer); err != nil {
		h.Log.Info("answer of the store not delivered", "to", r.RemoteAddr, "error", err)
	}
}

// ownKeys reports whether the call concerns documents of daemons only.
func (req relayRequest) ownKeys() bool {
	if req.Verb == verbGet && !strings.HasPrefix(req.Key, topo.Prefix) {
		return false
	}
	for _, p := range req.Txn.Puts {
		if !strings.HasPrefix(p.Key, topo.Prefix) {
			return false
		}
	}
	return !slices.ContainsFunc(req.Txn.Deletes, func(key string) bool { return !strings.HasPrefix(key, topo.Prefix) })
}
