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
	// Admin is where operators reach the daemon; empty if they do not.
	Admin string `cbor:"5,keyasint,omitempty"`
}

const (
	// announceEvery is how often a daemon looks whether it is announced, and the
	// pause after an announcement that failed. A change is in force everywhere
	// within that time.
	announceEvery = 2 * time.Second
	// goneAfter is the silence after which a hub takes a daemon of its domain for
	// gone. Daemons tell their hub several times a second.
	goneAfter = 10 * time.Second
	// withdrawTimeout bounds the last call of a daemon that stops.
	withdrawTimeout = 500 * time.Millisecond
)

// announce keeps the daemon's address in the store until ctx ends, and then takes it
// away. Calls to the store are charged for, so it is written once and again only if
// it is missing.
func (d *Daemon) announce(ctx context.Context) {
	value, err := cbor.Marshal(announcement{
		Run: d.self.RunID, Domain: d.options.Settings.Domain, Peers: d.options.Settings.PeerAddress, Capacity: d.options.Settings.Capacity,
		Admin: d.options.Settings.AdminAddress,
	})
	if err != nil {
		d.log.Error("announcement not encoded", "error", err)
		return
	}
	ticker := time.NewTicker(announceEvery)
	defer ticker.Stop()
	for written := false; ; {
		if !written || d.unannounced() {
			_, err := d.options.Store.Commit(ctx, topo.Txn{Puts: []topo.Put{{Key: view.DaemonKey(d.self.Name), Value: value}}})
			if written = err == nil; !written && ctx.Err() == nil {
				d.log.Warn("daemon not announced", "error", err)
			}
		}
		select {
		case <-ctx.Done():
			d.withdraw(d.self.Name, "it stops")
			return
		case <-ticker.C:
		}
	}
}

// unannounced reports whether the store certainly lacks this daemon's announcement.
func (d *Daemon) unannounced() bool {
	v := d.views.Current()
	_, announced := v.Daemons[d.self.Name]
	return v.Synced && d.mirror.Status().Up && !announced
}

// withdraw takes a daemon's announcement away, unless it was renewed meanwhile.
func (d *Daemon) withdraw(name, why string) {
	entry, known := d.views.Current().Daemons[name]
	if !known {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	key := view.DaemonKey(name)
	_, err := d.options.Store.Commit(ctx, topo.Txn{
		Compares: []topo.Compare{{Key: key, Field: topo.CompareModRev, Rev: entry.ModRev}}, Deletes: []string{key},
	})
	d.log.Info("daemon no longer announced", "daemon", name, "reason", why, "revision", entry.ModRev, "error", err)
}

// withdrawGone takes the announcements of daemons away that are gone. Each is tried
// once in a while, as refused calls to the store are charged for.
func (d *Daemon) withdrawGone(ctx context.Context) {
	ticker := time.NewTicker(goneAfter / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !d.mirror.Status().Up {
			continue
		}
		for _, name := range d.teller.SilentDaemons(goneAfter) {
			d.withdraw(name, "not heard by its hub")
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
			Name: name, Address: address, Domain: a.Domain, Capacity: a.Capacity, IsCoordinator: name == coordinator,
		})
	}
	d.peerList.Store(&peerList{v, list})
	return list
}
