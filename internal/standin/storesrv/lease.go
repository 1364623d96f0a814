package storesrv

import (
	"errors"

	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/etcdwire"
	"github.com/jackdawloom/jackdawloom/internal/topo/memstore"
)

func (s *Server) doGrant(req etcdwire.GrantRequest) (res etcdwire.GrantResponse, err error) {
	s.shared.Do(func(st *memstore.State) {
		var id topo.LeaseID
		id, err = st.Grant(topo.LeaseID(req.ID), int64(req.TTL))
		res = etcdwire.GrantResponse{Header: header(st.Rev()), ID: etcdwire.Int64(id), TTL: req.TTL}
	})
	return res, err
}

// doKeepAlive returns a stream of one message. As in etcd, a lease that has ended is not an
// error: the response has no TTL.
func (s *Server) doKeepAlive(req etcdwire.LeaseRequest) (etcdwire.Stream[etcdwire.KeepAliveResponse], error) {
	var res etcdwire.KeepAliveResponse
	var err error
	s.shared.Do(func(st *memstore.State) {
		var ttl int64
		ttl, err = st.KeepAlive(topo.LeaseID(req.ID))
		res = etcdwire.KeepAliveResponse{Header: header(st.Rev()), ID: req.ID, TTL: etcdwire.Int64(ttl)}
	})
	if errors.Is(err, topo.ErrLeaseNotFound) {
		err = nil
	}
	return etcdwire.Stream[etcdwire.KeepAliveResponse]{Result: &res}, err
}

func (s *Server) doRevoke(req etcdwire.LeaseRequest) (res etcdwire.RevokeResponse, err error) {
	s.shared.Do(func(st *memstore.State) {
		err = st.Revoke(topo.LeaseID(req.ID))
		res.Header = header(st.Rev())
	})
	return res, err
}
