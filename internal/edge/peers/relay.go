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
	// relayTimeout covers a call to a store that is slow but up (240 ms) and the round trip to
	// the other daemon.
	relayTimeout = 300 * time.Millisecond
	// keepAliveTimeout covers the renewal of a lease by a store that is slow but up. All
	// attempts together leave time to extend grants before a lease of 2 s has expired.
	keepAliveTimeout = 350 * time.Millisecond
	// maxRelayPeers is the number of other daemons through which a call is attempted.
	maxRelayPeers = 2
	maxRelaySize  = 2 * topo.MaxValueBytes
	relayPath     = "/store"
)

// verb is a kind of store call that can be relayed.
type verb uint8

const (
	verbGet verb = iota
	verbCommit
	verbKeep
)

// relayRequest is a store call that another daemon is asked to make.
type relayRequest struct {
	Verb  verb         `cbor:"1,keyasint"`
	Key   string       `cbor:"2,keyasint,omitempty"`
	Txn   topo.Txn     `cbor:"3,keyasint"`
	Lease topo.LeaseID `cbor:"4,keyasint,omitempty"`
}

// outcome is the encoded error of a store call.
type outcome uint8

const (
	outcomeOK outcome = iota
	outcomeUnavailable
	outcomeUnknown
	outcomeNoLease
	outcomeRefused
)

// outcomes maps encoded outcomes to the errors of package topo.
var outcomes = []struct {
	code outcome
	err  error
}{
	{outcomeUnknown, topo.ErrUnknownResult},
	{outcomeNoLease, topo.ErrLeaseNotFound},
	{outcomeRefused, topo.ErrRefused},
	{outcomeUnavailable, topo.ErrUnavailable},
}

// outcomeOf returns the outcome of an error. Errors that are not listed count as unavailable.
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

// relayReply is the result of a relayed store call.
type relayReply struct {
	Outcome outcome        `cbor:"1,keyasint"`
	Entry   topo.Entry     `cbor:"2,keyasint"`
	Result  topo.TxnResult `cbor:"3,keyasint"`
	// EarlierEra distinguishes a lease that was lost with an era from one that ended.
	EarlierEra bool `cbor:"4,keyasint,omitempty"`
}

// Relay is a store whose calls are made through other daemons while the store does not serve
// this daemon. Only calls that renew or use the coordinator's lease are relayed; a daemon
// that the store does not serve starts nothing new, such as a lease.
type Relay struct {
	topo.Store
	self  string
	hubs  *HubSelector
	peers func() []Peer
	net   Network
	log   *slog.Logger

	mu          sync.Mutex
	bypassUntil time.Duration // until then, other daemons are tried before the store
}

// NewRelay returns a Relay for the daemon with the given name.
func NewRelay(self string, store topo.Store, network Network, hubs *HubSelector, peers func() []Peer, log *slog.Logger) *Relay {
	return &Relay{Store: store, self: self, net: network, hubs: hubs, peers: peers, log: log}
}

// Get implements topo.Store.
func (r *Relay) Get(ctx context.Context, key string) (topo.Entry, error) {
	reply, err := r.do(ctx, relayRequest{Verb: verbGet, Key: key})
	return reply.Entry, err
}

// Commit implements topo.Store. A call whose result is unknown is not repeated.
func (r *Relay) Commit(ctx context.Context, txn topo.Txn) (topo.TxnResult, error) {
	reply, err := r.do(ctx, relayRequest{Verb: verbCommit, Txn: txn})
	return reply.Result, err
}

// KeepAlive implements topo.Store.
func (r *Relay) KeepAlive(ctx context.Context, id topo.LeaseID) error {
	_, err := r.do(ctx, relayRequest{Verb: verbKeep, Lease: id})
	return err
}

// do makes a call and repeats the call through other daemons if the store does not respond
// to this daemon. For avoidDuration after such a failure, the other daemons are tried first.
func (r *Relay) do(ctx context.Context, req relayRequest) (relayReply, error) {
	bypass := r.bypassed()
	if bypass {
		if reply, err := r.callThroughPeers(ctx, req); !req.retryable(err) {
			return reply, err
		}
	}
	reply, err := callStore(ctx, r.Store, req)
	if !errors.Is(err, topo.ErrUnavailable) && !errors.Is(err, topo.ErrUnknownResult) {
		return reply, err
	}
	r.mu.Lock()
	r.bypassUntil = clock.Now() + avoidDuration
	r.mu.Unlock()
	if bypass || !req.retryable(err) {
		return reply, err
	}
	other, otherErr := r.callThroughPeers(ctx, req)
	if otherErr != nil {
		return other, errors.Join(err, otherErr)
	}
	return other, nil
}

// retryable reports whether the call may be repeated after an error. After an unknown result
// only a renewal is repeated, because a renewal does no harm when it is made twice.
func (req relayRequest) retryable(err error) bool {
	return errors.Is(err, topo.ErrUnavailable) || req.Verb == verbKeep && errors.Is(err, topo.ErrUnknownResult)
}

func (r *Relay) bypassed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return clock.Now() < r.bypassUntil
}

// callThroughPeers makes a call through up to maxRelayPeers hubs, in order of preference.
func (r *Relay) callThroughPeers(ctx context.Context, req relayRequest) (relayReply, error) {
	others := r.byPreference(slices.Collect(maps.Values(r.hubs.Select(r.peers()))))
	err := fmt.Errorf("%w: no other daemon to ask", topo.ErrUnavailable)
	for _, p := range others[:min(len(others), maxRelayPeers)] {
		var reply relayReply
		if reply, err = r.callPeer(ctx, p, req); !req.retryable(err) {
			return reply, err
		}
		r.log.Info("store not reached through daemon", "daemon", p.Name, "error", err)
	}
	return relayReply{}, err
}

// preferredPeers returns up to n other daemons in order of preference, which is also the
// order in which daemons are elected.
func (r *Relay) preferredPeers(n int) []Peer {
	others := r.byPreference(r.peers())
	return others[:min(len(others), n)]
}

// byPreference returns the peers without this daemon, in order of preference.
func (r *Relay) byPreference(peers []Peer) []Peer {
	var others []Peer
	for _, p := range peers {
		if p.Name != r.self {
			others = append(others, p)
		}
	}
	slices.SortFunc(others, func(a, b Peer) int {
		if preferred(a, b) {
			return -1
		}
		return 1
	})
	return others
}

// callPeer makes a call through another daemon. If no readable response arrives, the result
// is unknown, unless nothing was sent. A response with an error status counts as an
// unavailable store.
func (r *Relay) callPeer(ctx context.Context, p Peer, req relayRequest) (relayReply, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	body, err := cbor.Marshal(req)
	if err != nil {
		return relayReply{}, fmt.Errorf("%w: %w", topo.ErrRefused, err)
	}
	status, respBody, err := post(ctx, r.net, p.Address, relayPath, body, maxRelaySize)
	switch {
	case errors.Is(err, once.ErrNotSent):
		return relayReply{}, fmt.Errorf("%w: %w", topo.ErrUnavailable, err)
	case err != nil:
		return relayReply{}, fmt.Errorf("%w: %w", topo.ErrUnknownResult, err)
	case status != http.StatusOK:
		return relayReply{}, fmt.Errorf("%w: daemon answered the relayed call with status %d", topo.ErrUnavailable, status)
	}
	var reply relayReply
	if err := cbor.Unmarshal(respBody, &reply); err != nil {
		return reply, fmt.Errorf("%w: %w", topo.ErrUnknownResult, err)
	}
	if reply.EarlierEra {
		return reply, errors.Join(reply.Outcome.err(), topo.ErrEarlierEra)
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
		ctx, cancel := context.WithTimeout(ctx, keepAliveTimeout)
		defer cancel()
		err = store.KeepAlive(ctx, req.Lease)
	default:
		err = fmt.Errorf("%w: unknown verb %d in a relayed call", topo.ErrRefused, req.Verb)
	}
	return reply, err
}

// RelayHandler makes store calls on behalf of other daemons.
type RelayHandler struct {
	Store topo.Store
	Log   *slog.Logger
}

// ServeHTTP implements http.Handler.
func (h *RelayHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var req relayRequest
	if err := readMessage(w, r, maxRelaySize, &req); err != nil || !req.onlyDaemonKeys() {
		h.Log.Warn("store call relayed for a daemon is invalid; answering 400", "from", r.RemoteAddr, "error", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	reply, err := callStore(r.Context(), h.Store, req)
	reply.Outcome, reply.EarlierEra = outcomeOf(err), errors.Is(err, topo.ErrEarlierEra)
	encoded, err := cbor.Marshal(reply)
	if err != nil {
		h.Log.Error("result of a relayed store call could not be encoded; answering 500", "error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if _, err := w.Write(encoded); err != nil {
		h.Log.Info("result of a relayed store call could not be sent to the daemon", "to", r.RemoteAddr, "error", err)
	}
}

// onlyDaemonKeys reports whether all keys that the call gets, puts or deletes lie under the
// prefix of the daemons' own documents.
func (req relayRequest) onlyDaemonKeys() bool {
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
