package storesrv

import (
	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/etcdwire"
	"github.com/jackdawloom/jackdawloom/internal/topo/keyrange"
	"github.com/jackdawloom/jackdawloom/internal/topo/memstore"
)

// Identity of cluster and member in response headers; the values have no meaning.
const (
	clusterID = 1
	memberID  = 1
	raftTerm  = 1
)

func header(rev int64) *etcdwire.Header {
	return &etcdwire.Header{
		ClusterID: clusterID,
		MemberID:  memberID,
		Revision:  etcdwire.Int64(rev),
		RaftTerm:  raftTerm,
	}
}

func (s *Server) doRange(req etcdwire.RangeRequest) (res etcdwire.RangeResponse, err error) {
	if len(req.Key) == 0 {
		return res, memstore.ErrEmptyKey
	}
	s.shared.Read(func(st *memstore.State) {
		source := st
		if req.Revision != 0 {
			source, err = st.At(int64(req.Revision))
		}
		if err == nil {
			res = rangeResponse(source.Range(rangeOf(req.Key, req.RangeEnd)), req.Limit)
			res.Header = header(st.Rev())
		}
	})
	return res, err
}

func (s *Server) doPut(req etcdwire.PutRequest) (res etcdwire.PutResponse, err error) {
	s.shared.Do(func(st *memstore.State) {
		var prev []memstore.KV
		prev, err = st.Put(putOf(req))
		res = putResponse(prev, req.PrevKV)
		res.Header = header(st.Rev())
	})
	return res, err
}

func (s *Server) doDelete(req etcdwire.DeleteRangeRequest) (res etcdwire.DeleteRangeResponse, err error) {
	s.shared.Do(func(st *memstore.State) {
		var prev []memstore.KV
		prev, err = st.Delete(rangeOf(req.Key, req.RangeEnd))
		res = deleteResponse(prev, req.PrevKV)
		res.Header = header(st.Rev())
	})
	return res, err
}

func (s *Server) doTxn(req etcdwire.TxnRequest) (res etcdwire.TxnResponse, err error) {
	txn, err := txnOf(req)
	if err != nil {
		return res, err
	}
	s.shared.Do(func(st *memstore.State) {
		var r memstore.TxnResult
		r, err = st.Commit(txn)
		res = txnResponse(req, r, st.Rev())
	})
	return res, err
}

func rangeOf(key, end []byte) keyrange.Range {
	return keyrange.Range{Key: string(key), End: string(end)}
}

func putOf(req etcdwire.PutRequest) memstore.Put {
	return memstore.Put{Key: string(req.Key), Value: req.Value, Lease: topo.LeaseID(req.Lease)}
}

func rangeResponse(found []memstore.KV, limit etcdwire.Int64) etcdwire.RangeResponse {
	res := etcdwire.RangeResponse{Count: etcdwire.Int64(len(found))}
	if limit > 0 && int64(len(found)) > int64(limit) {
		found = found[:limit]
		res.More = true
	}
	res.Kvs = keyValues(found)
	return res
}

func putResponse(prev []memstore.KV, withPrev bool) etcdwire.PutResponse {
	if !withPrev || len(prev) == 0 {
		return etcdwire.PutResponse{}
	}
	kv := keyValue(prev[0])
	return etcdwire.PutResponse{PrevKV: &kv}
}

func deleteResponse(prev []memstore.KV, withPrev bool) etcdwire.DeleteRangeResponse {
	res := etcdwire.DeleteRangeResponse{Deleted: etcdwire.Int64(len(prev))}
	if withPrev {
		res.PrevKvs = keyValues(prev)
	}
	return res
}

func keyValues(list []memstore.KV) []etcdwire.KeyValue {
	out := make([]etcdwire.KeyValue, len(list))
	for i, kv := range list {
		out[i] = keyValue(kv)
	}
	return out
}

func keyValue(kv memstore.KV) etcdwire.KeyValue {
	return etcdwire.KeyValue{
		Key:            []byte(kv.Key),
		CreateRevision: etcdwire.Int64(kv.CreateRev),
		ModRevision:    etcdwire.Int64(kv.ModRev),
		Version:        etcdwire.Int64(kv.Version),
		Value:          kv.Value,
		Lease:          etcdwire.Int64(kv.Lease),
	}
}
