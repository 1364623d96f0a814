package storesrv

import (
	"fmt"

	"github.com/jackdawloom/jackdawloom/internal/topo/etcdwire"
	"github.com/jackdawloom/jackdawloom/internal/topo/memstore"
)

func txnOf(req etcdwire.TxnRequest) (txn memstore.Txn, err error) {
	for _, c := range req.Compare {
		compare, err := compareOf(c)
		if err != nil {
			return txn, err
		}
		txn.Compares = append(txn.Compares, compare)
	}
	if txn.Success, err = opsOf(req.Success); err != nil {
		return txn, err
	}
	txn.Failure, err = opsOf(req.Failure)
	return txn, err
}

var compareResults = map[string]memstore.CompareResult{
	"":                       memstore.ResultEqual,
	etcdwire.CompareEqual:    memstore.ResultEqual,
	etcdwire.CompareGreater:  memstore.ResultGreater,
	etcdwire.CompareLess:     memstore.ResultLess,
	etcdwire.CompareNotEqual: memstore.ResultNotEqual,
}

func compareOf(c etcdwire.Compare) (memstore.Compare, error) {
	result, ok := compareResults[c.Result]
	if !ok {
		return memstore.Compare{}, fmt.Errorf("unknown compare result %q", c.Result)
	}
	if len(c.RangeEnd) > 0 {
		return memstore.Compare{}, fmt.Errorf("compare of a range: %w", errUnimplemented)
	}
	out := memstore.Compare{Key: string(c.Key), Result: result, Value: c.Value}
	var number *etcdwire.Int64
	switch c.Target {
	case "", etcdwire.CompareVersion:
		out.Target, number = memstore.TargetVersion, c.Version
	case etcdwire.CompareCreate:
		out.Target, number = memstore.TargetCreateRev, c.CreateRevision
	case etcdwire.CompareMod:
		out.Target, number = memstore.TargetModRev, c.ModRevision
	case etcdwire.CompareLease:
		out.Target, number = memstore.TargetLease, c.Lease
	case etcdwire.CompareValue:
		out.Target = memstore.TargetValue
	default:
		return out, fmt.Errorf("unknown compare target %q", c.Target)
	}
	if number != nil {
		out.Number = int64(*number)
	}
	return out, nil
}

func opsOf(list []etcdwire.RequestOp) ([]memstore.Op, error) {
	out := make([]memstore.Op, len(list))
	for i, op := range list {
		switch {
		case op.RequestPut != nil:
			put := putOf(*op.RequestPut)
			out[i].Put = &put
		case op.RequestDeleteRange != nil:
			r := rangeOf(op.RequestDeleteRange.Key, op.RequestDeleteRange.RangeEnd)
			out[i].Delete = &r
		case op.RequestRange != nil && op.RequestRange.Revision == 0:
			r := rangeOf(op.RequestRange.Key, op.RequestRange.RangeEnd)
			out[i].Range = &r
		default:
			return nil, fmt.Errorf("operation in a transaction: %w", errUnimplemented)
		}
	}
	return out, nil
}

func txnResponse(req etcdwire.TxnRequest, r memstore.TxnResult, rev int64) etcdwire.TxnResponse {
	ops := req.Failure
	if r.Succeeded {
		ops = req.Success
	}
	res := etcdwire.TxnResponse{Header: header(rev), Succeeded: r.Succeeded}
	for i, result := range r.Results {
		res.Responses = append(res.Responses, responseOp(ops[i], result, rev))
	}
	return res
}

func responseOp(op etcdwire.RequestOp, r memstore.OpResult, rev int64) (out etcdwire.ResponseOp) {
	h := &etcdwire.Header{Revision: etcdwire.Int64(rev)}
	switch {
	case op.RequestPut != nil:
		res := putResponse(r.Prev, op.RequestPut.PrevKV)
		res.Header = h
		out.ResponsePut = &res
	case op.RequestDeleteRange != nil:
		res := deleteResponse(r.Prev, op.RequestDeleteRange.PrevKV)
		res.Header = h
		out.ResponseDeleteRange = &res
	default:
		res := rangeResponse(r.Found, op.RequestRange.Limit)
		res.Header = h
		out.ResponseRange = &res
	}
	return out
}
