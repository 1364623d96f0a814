package etcdgw

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/etcdwire"
)

// GrantLease implements topo.Store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (topo.LeaseID, error) {
	if ttl <= 0 {
		return 0, fmt.Errorf("%w: lease TTL %v is not positive", topo.ErrRefused, ttl)
	}
	seconds := (ttl + time.Second - 1) / time.Second
	var res grantReply
	req := etcdwire.GrantRequest{TTL: etcdwire.Int64(seconds)}
	if err := c.writeCall(ctx, etcdwire.PathGrant, req, &res); err != nil {
		return 0, err
	}
	return topo.LeaseID(res.ID), nil
}

// KeepAlive implements topo.Store. After topo.ErrUnknownResult the lease may or may not
// have been renewed.
func (c *Client) KeepAlive(ctx context.Context, id topo.LeaseID) error {
	res := keepAliveReply{id: etcdwire.Int64(id)}
	req := etcdwire.LeaseRequest{ID: etcdwire.Int64(id)}
	if err := c.writeCall(ctx, etcdwire.PathKeepAlive, req, &res); err != nil {
		return err
	}
	if res.Result.TTL <= 0 {
		return topo.ErrLeaseNotFound
	}
	return nil
}

// RevokeLease implements topo.Store.
func (c *Client) RevokeLease(ctx context.Context, id topo.LeaseID) error {
	var res revokeReply
	req := etcdwire.LeaseRequest{ID: etcdwire.Int64(id)}
	return c.writeCall(ctx, etcdwire.PathRevoke, req, &res)
}

var errLeaseMismatch = errors.New("reply does not describe the requested lease")

type grantReply struct{ etcdwire.GrantResponse }

func (r *grantReply) check() error {
	if r.ID == 0 || r.TTL <= 0 || r.Error != "" {
		return errLeaseMismatch
	}
	return checkHeader(r.Header)
}

type keepAliveReply struct {
	etcdwire.Stream[etcdwire.KeepAliveResponse]
	id etcdwire.Int64
}

func (r *keepAliveReply) check() error {
	if r.Result == nil || r.Result.ID != r.id {
		return errLeaseMismatch
	}
	return checkHeader(r.Result.Header)
}

type revokeReply struct{ etcdwire.RevokeResponse }

func (r *revokeReply) check() error { return checkHeader(r.Header) }
