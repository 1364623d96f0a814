package edge

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/edge/coordinator"
	"github.com/jackdawloom/jackdawloom/internal/edge/peers"
	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/topo"
)

// announcement is the entry by which a daemon registers itself in the store.
type announcement struct {
	RunID       string `cbor:"1,keyasint"`
	Domain      string `cbor:"2,keyasint"`
	PeerAddress string `cbor:"3,keyasint"`
	// Capacity is Settings.Capacity of the daemon's instance.
	Capacity float64 `cbor:"4,keyasint"`
	// AdminAddress is the address for operators; empty if there is none.
	AdminAddress string `cbor:"5,keyasint,omitempty"`
	// FirstEra is the result of Daemon.firstEra plus one; 0 if the store has not been read.
	FirstEra int64 `cbor:"6,keyasint,omitempty"`
}

// errInvalidAnnouncement reports an announcement that no daemon wrote.
var errInvalidAnnouncement = errors.New("announcement invalid")

// maxCapacity is far above the capacity of any instance. Capacities are compared, so they must
// be numbers.
const maxCapacity = 1 << 20

// decodeAnnouncement decodes an announcement and its peer address.
func decodeAnnouncement(b []byte) (announcement, netip.AddrPort, error) {
	var a announcement
	if err := cbor.Unmarshal(b, &a); err != nil {
		return a, netip.AddrPort{}, fmt.Errorf("%w: %w", errInvalidAnnouncement, err)
	}
	address, err := netip.ParseAddrPort(a.PeerAddress)
	switch {
	case err != nil:
		return a, address, fmt.Errorf("%w: %w", errInvalidAnnouncement, err)
	case address.Port() == 0 || address.Addr().IsUnspecified():
		return a, address, fmt.Errorf("%w: address %s", errInvalidAnnouncement, address)
	case !(a.Capacity >= 0 && a.Capacity <= maxCapacity): // also true for NaN
		return a, address, fmt.Errorf("%w: capacity %v", errInvalidAnnouncement, a.Capacity)
	}
	return a, address, nil
}

const (
	// announceInterval is how often a daemon checks that it is announced, and the
	// pause after a failed announcement. A change in the store reaches all daemons
	// within this interval.
	announceInterval = 2 * time.Second
	// silenceTimeout is how long a hub does not hear from a daemon of its failure
	// domain before it considers the daemon gone. Daemons send to their hub several
	// times a second.
	silenceTimeout = 10 * time.Second
	// withdrawTimeout bounds the store call that removes an announcement, also when the
	// daemon stops.
	withdrawTimeout = 500 * time.Millisecond
)

// announce keeps the daemon's announcement in the store until ctx ends and then removes
// it. Store calls are charged for, so the announcement is written once, and again only
// if it is missing, if another one has replaced it after the store was restored from a copy, or if the
// store is read for the first time after the first announcement.
func (d *Daemon) announce(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	d.awaitFirstCopy(ctx, ticker.C)
	a := announcement{
		RunID: d.self.RunID, Domain: d.options.Settings.Domain, PeerAddress: d.options.Settings.PeerAddress, Capacity: d.options.Settings.Capacity,
		AdminAddress: d.options.Settings.AdminAddress,
	}
	var value []byte
	checkedIn := int64(0) // era of the store
	for written := false; ; {
		v := d.views.Current()
		rose := v.Era > checkedIn
		checkedIn = v.Era
		if value == nil || a.FirstEra == 0 && v.Synced {
			if v.Synced {
				a.FirstEra = d.firstEra(v.Era) + 1
			}
			var err error
			if value, err = cbor.Marshal(a); err != nil {
				d.log.Error("announcement could not be encoded; this daemon will not be announced", "error", err)
				return
			}
			written = false
		}
		if !written || d.unannounced() || rose && !d.announcedAs(value) {
			_, err := d.options.Store.Commit(ctx, topo.Txn{Puts: []topo.Put{{Key: view.DaemonKey(d.self.Name), Value: value}}})
			if written = err == nil; !written && ctx.Err() == nil {
				d.log.Warn("announcement could not be written to the store; trying again", "error", err)
			}
		}
		if !d.awaitAnnouncementCheck(ctx, checkedIn, ticker.C) {
			d.withdraw(d.self.Name, "it stops")
			return
		}
	}
}

// awaitFirstCopy waits until the store has been read, or until the first tick.
func (d *Daemon) awaitFirstCopy(ctx context.Context, tick <-chan time.Time) {
	for {
		changed := d.views.Changed()
		if d.views.Current().Synced {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-tick:
			return
		case <-changed:
		}
	}
}

// awaitAnnouncementCheck waits for the next tick, or until the era of the store is above the given one, as
// the announcement may be lost then. It returns false if ctx has ended.
func (d *Daemon) awaitAnnouncementCheck(ctx context.Context, era int64, tick <-chan time.Time) bool {
	for {
		changed := d.views.Changed()
		if d.views.Current().Era > era {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-tick:
			return true
		case <-changed:
		}
	}
}

// maxFirstRead is how long after its start a daemon of the fleet's first start may read the store for
// the first time, and still be certain that the others have granted no keys in an era that it missed.
const maxFirstRead = 2 * time.Second

// firstEra returns the earliest era of the store in which the fleet may have granted keys, as far as this
// daemon knows when it has just read the store for the first time, in the given era.
func (d *Daemon) firstEra(era int64) int64 {
	if d.options.Settings.FirstStart && clock.Now()-d.createdAt <= maxFirstRead {
		return era
	}
	return 0
}

// fleetSawEarlierEra reports whether an announced daemon has seen an earlier era than that of the view, or
// has started when the fleet may have.
func fleetSawEarlierEra(v *view.View) bool {
	for _, e := range v.Daemons {
		if a, _, err := decodeAnnouncement(e.Value); err == nil && a.FirstEra > 0 && a.FirstEra <= v.Era {
			return true
		}
	}
	return false
}

// unannounced reports whether this daemon's announcement is missing in the store. It
// returns false while the store is unreachable, because the store's contents are unknown
// then.
func (d *Daemon) unannounced() bool {
	v := d.views.Current()
	_, announced := v.Daemons[d.self.Name]
	return v.Synced && d.mirror.Status().Up && !announced
}

// announcedAs reports whether this daemon's announcement has the given value.
func (d *Daemon) announcedAs(value []byte) bool {
	return bytes.Equal(d.views.Current().Daemons[d.self.Name].Value, value)
}

// withdraw removes a daemon's announcement, unless it has been rewritten meanwhile.
func (d *Daemon) withdraw(name, reason string) {
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
	d.log.Info("tried to remove a daemon's announcement from the store", "daemon", name, "reason", reason, "revision", entry.ModRev, "error", err)
}

// withdrawSilentDaemons removes the announcements of daemons that are gone. It tries
// only twice per silenceTimeout, as rejected store calls are charged for too.
func (d *Daemon) withdrawSilentDaemons(ctx context.Context) {
	ticker := time.NewTicker(silenceTimeout / 2)
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
		for _, name := range d.statsExchange.SilentDaemons(silenceTimeout) {
			d.withdraw(name, "not heard by its hub")
		}
	}
}

// capacityDeficit returns the fraction, from 0 to 1, by which this instance's capacity is
// below the highest capacity in the fleet.
func (d *Daemon) capacityDeficit() float64 {
	highest := d.options.Settings.Capacity
	for _, p := range d.peers() {
		highest = max(highest, p.Capacity)
	}
	if highest <= 0 {
		return 0
	}
	return 1 - d.options.Settings.Capacity/highest
}

// peers returns the announced daemons, decoded once per view.
func (d *Daemon) peers() []peers.Peer {
	v := d.views.Current()
	if cached := d.peerList.Load(); cached != nil && cached.view == v {
		return cached.peers
	}
	coordinator := coordinator.Holder(v)
	var list []peers.Peer
	for name, e := range v.Daemons {
		a, address, err := decodeAnnouncement(e.Value)
		if err != nil {
			d.log.Warn("daemon's announcement could not be decoded; ignoring the daemon", "daemon", name, "revision", e.ModRev, "error", err)
			continue
		}
		list = append(list, peers.Peer{
			Name: name, Address: address, Domain: a.Domain, Capacity: a.Capacity, IsCoordinator: name == coordinator,
		})
	}
	d.peerList.Store(&peerList{v, list})
	return list
}
