package edge

import (
	"context"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/jackdawloom/jackdawloom/internal/edge/coordinator"
	"github.com/jackdawloom/jackdawloom/internal/edge/peers"
	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/topo"
)

// announcement is what a daemon tells the others about itself.
type announcement struct {
	Run    string `cbor:"1,keyasint"`
	Domain string `cbor:"2,keyasint"`
	Peers  string `cbor:"3,keyasint"`
	// Capacity is that of the instance.
	Capacity float64 `cbor:"4,keyasint"`
}

// announce writes the daemon's address into the store once.
func (d *Daemon) announce(ctx context.Context) {
	value, err := cbor.Marshal(announcement{
		Run: d.self.Run, Domain: d.options.Settings.Domain, Peers: d.options.Settings.Peers, Capacity: d.options.Settings.Capacity,
	})
	if err != nil {
		d.log.Error("announcement not encoded", "error", err)
		return
	}
	for ctx.Err() == nil {
		_, err := d.options.Store.Commit(ctx, topo.Txn{Puts: []topo.Put{{Key: view.DaemonKey(d.self.Name), Value: value}}})
		if err == nil {
			return
		}
		d.log.Warn("daemon not announced", "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(announceRetry):
		}
	}
}

// weakness tells how far this instance is below the strongest one, from 0 to 1.
func (d *Daemon) weakness() float64 {
	strongest := d.options.Settings.Capacity
	for _, p := range d.peers() {
		strongest = max(strongest, p.Capacity)
	}
	if strongest <= 0 {
		return 0
	}
	return 1 - d.options.Settings.Capacity/strongest
}

// peers returns the daemons that announced themselves.
func (d *Daemon) peers() []peers.Peer {
	v := d.views.Current()
	if known := d.peerList.Load(); known != nil && known.of == v {
		return known.peers
	}
	coordinator := coordinator.Holder(v)
	var list []peers.Peer
	for name, e := range v.Daemons {
		var a announcement
		if err := cbor.Unmarshal(e.Value, &a); err != nil {
			d.log.Warn("announcement not readable", "daemon", name, "revision", e.ModRev, "error", err)
			continue
		}
		address, err := netip.ParseAddrPort(a.Peers)
		if err != nil {
			d.log.Warn("announcement without address", "daemon", name, "revision", e.ModRev, "error", err)
			continue
		}
		list = append(list, peers.Peer{
			Name: name, Address: address, Domain: a.Domain, Capacity: a.Capacity, Coordinates: name == coordinator,
		})
	}
	d.peerList.Store(&peerList{v, list})
	return list
}
