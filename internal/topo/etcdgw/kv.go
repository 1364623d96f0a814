package etcdgw

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/etcdwire"
	"github.com/jackdawloom/jackdawloom/internal/topo/keyrange"
)

// Get implements topo.Store.
func (c *Client) Get(ctx context.Context, key string) (topo.Entry, error) {
	entries, _, err := c.list(ctx, keyrange.One(key))
	if err != nil {
		return topo.Entry{}, err
	}
	if len(entries) == 0 {
		return topo.Entry{Key: key}, nil
	}
	return entries[0], nil
}

// List implements topo.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]topo.Entry, error) {
	entries, _, err := c.list(ctx, keyrange.Prefix(prefix))
	return entries, err
}

// ListWithRevision implements topo.Lister.
func (c *Client) ListWithRevision(ctx context.Context, prefix string) ([]topo.Entry, int64, error) {
	return c.list(ctx, keyrange.Prefix(prefix))
}

func (c *Client) list(ctx context.Context, r keyrange.Range) ([]topo.Entry, int64, error) {
	req := etcdwire.RangeRequest{Key: []byte(r.Key), RangeEnd: []byte(r.End)}
	res := rangeReply{requested: r}
	if err := c.readCall(ctx, http.MethodPost, etcdwire.PathRange, req, &res); err != nil {
		return nil, 0, err
	}
	entries := make([]topo.Entry, len(res.Kvs))
	for i, kv := range res.Kvs {
		entries[i] = entry(kv)
	}
	return entries, int64(res.Header.Revision), nil
}

// Commit implements topo.Store.
func (c *Client) Commit(ctx context.Context, txn topo.Txn) (topo.TxnResult, error) {
	if err := checkSizes(txn); err != nil {
		return topo.TxnResult{}, err
	}
	req := txnRequest(txn)
	res := txnReply{ops: req.Success}
	if err := c.writeCall(ctx, etcdwire.PathTxn, req, &res); err != nil {
		return topo.TxnResult{}, err
	}
	return topo.TxnResult{Succeeded: res.Succeeded, Rev: int64(res.Header.Revision)}, nil
}

// checkSizes returns topo.ErrRefused if a value is larger than topo.MaxValueBytes.
func checkSizes(txn topo.Txn) error {
	for _, p := range txn.Puts {
		if len(p.Value) > topo.MaxValueBytes {
			return fmt.Errorf("%w: value of %s has %d bytes; the limit is %d",
				topo.ErrRefused, p.Key, len(p.Value), topo.MaxValueBytes)
		}
	}
	return nil
}

func txnRequest(txn topo.Txn) etcdwire.TxnRequest {
	var req etcdwire.TxnRequest
	for _, c := range txn.Compares {
		req.Compare = append(req.Compare, compare(c))
	}
	for _, p := range txn.Puts {
		put := etcdwire.PutRequest{Key: []byte(p.Key), Value: p.Value, Lease: etcdwire.Int64(p.Lease)}
		req.Success = append(req.Success, etcdwire.RequestOp{RequestPut: &put})
	}
	for _, key := range txn.Deletes {
		del := etcdwire.DeleteRangeRequest{Key: []byte(key)}
		req.Success = append(req.Success, etcdwire.RequestOp{RequestDeleteRange: &del})
	}
	return req
}

func compare(c topo.Compare) etcdwire.Compare {
	rev := etcdwire.Int64(c.Rev)
	out := etcdwire.Compare{Result: etcdwire.CompareEqual, Key: []byte(c.Key)}
	if c.Field == topo.CompareModRev {
		out.Target, out.ModRevision = etcdwire.CompareMod, &rev
	} else {
		out.Target, out.CreateRevision = etcdwire.CompareCreate, &rev
	}
	return out
}

func entry(kv etcdwire.KeyValue) topo.Entry {
	return topo.Entry{
		Key:       string(kv.Key),
		Value:     kv.Value,
		CreateRev: int64(kv.CreateRevision),
		ModRev:    int64(kv.ModRevision),
		Lease:     topo.LeaseID(kv.Lease),
	}
}

// rangeReply is a reply whose entries must be in the requested range, complete, sorted
// by key, and of revisions up to that of the store.
type rangeReply struct {
	etcdwire.RangeResponse
	requested keyrange.Range
}

var errReplyMismatch = errors.New("entries in the reply do not match the request")

func (r *rangeReply) check() error {
	if err := checkHeader(r.Header); err != nil {
		return err
	}
	if int64(r.Count) != int64(len(r.Kvs)) {
		return errReplyMismatch
	}
	previous := ""
	for _, kv := range r.Kvs {
		key := string(kv.Key)
		if !r.requested.Contains(key) || key <= previous {
			return errReplyMismatch
		}
		if !validRevs(kv, r.Header.Revision) {
			return errReplyMismatch
		}
		previous = key
	}
	return nil
}

func validRevs(kv etcdwire.KeyValue, storeRev etcdwire.Int64) bool {
	return kv.CreateRevision > 0 && kv.CreateRevision <= kv.ModRevision && kv.ModRevision <= storeRev
}

// txnReply is a reply that must have a response of the right type for each operation if
// the transaction succeeded, and none otherwise.
type txnReply struct {
	etcdwire.TxnResponse
	ops []etcdwire.RequestOp
}

func (r *txnReply) check() error {
	if err := checkHeader(r.Header); err != nil {
		return err
	}
	if !r.Succeeded {
		if len(r.Responses) > 0 {
			return errReplyMismatch
		}
		return nil
	}
	if len(r.Responses) != len(r.ops) {
		return errReplyMismatch
	}
	for i, op := range r.ops {
		put := r.Responses[i].ResponsePut != nil
		del := r.Responses[i].ResponseDeleteRange != nil
		if put != (op.RequestPut != nil) || del != (op.RequestDeleteRange != nil) {
			return errReplyMismatch
		}
	}
	return nil
}
