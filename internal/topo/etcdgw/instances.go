package etcdgw

import (
	"context"
	"errors"
	"net/http"

	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/etcdwire"
)

// Instances implements topo.InstanceList. States that are not known here are
// passed on.
func (c *Client) Instances(ctx context.Context) ([]topo.Instance, error) {
	var res instancesReply
	if err := c.readCall(ctx, http.MethodGet, etcdwire.PathInstances, nil, &res); err != nil {
		return nil, err
	}
	return *res.List, nil
}

// instancesReply checks that there is a list and that its entries are distinct.
type instancesReply struct {
	List *[]topo.Instance `json:"instances"`
}

var errInstances = errors.New("not a list of instances")

func (r *instancesReply) check() error {
	if r.List == nil {
		return errInstances
	}
	seen := make(map[string]bool, len(*r.List))
	for _, in := range *r.List {
		if in.ID == "" || seen[in.ID] {
			return errInstances
		}
		seen[in.ID] = true
	}
	return nil
}
