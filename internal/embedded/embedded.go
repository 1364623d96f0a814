// Package embedded runs daemons with an in-memory store and stand-in targets in one
// process, for evaluation and benchmarks.
package embedded

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/daemon"
	"github.com/jackdawloom/jackdawloom/internal/pki"
	"github.com/jackdawloom/jackdawloom/internal/settings"
	"github.com/jackdawloom/jackdawloom/internal/standin/targetsrv"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/memstore"
)

// Operation is the operation ID of the first configuration of an embedded store.
const Operation = "embedded-start"

// Targets holds the stand-in targets that run in this process.
type Targets struct {
	servers []*targetsrv.Server
}

// StartTargets starts a stand-in for every target of the manifest at the target's address.
func StartTargets(ctx context.Context, m *manifest.Manifest, serviceTime targetsrv.ServiceTime) (*Targets, error) {
	t := &Targets{}
	for _, s := range m.Services {
		for _, declared := range s.Targets {
			server := targetsrv.New(targetsrv.Config{
				Name: declared.Name, Slots: declared.Slots, ChecksGrants: declared.ChecksGrants, ServiceTime: serviceTime,
			})
			if _, err := server.Listen(ctx, declared.Address); err != nil {
				t.Close()
				return nil, fmt.Errorf("stand-in target %s: %w", declared.Name, err)
			}
			t.servers = append(t.servers, server)
		}
	}
	return t, nil
}

// Close stops all targets.
func (t *Targets) Close() {
	for _, s := range t.servers {
		_ = s.Close()
	}
}

// Store returns an in-process store that holds the manifest as configuration revision 1.
func Store(ctx context.Context, m *manifest.Manifest) (*memstore.Store, error) {
	store := memstore.New(memstore.NewSharedState(memstore.HistoryLimits{}))
	accepted, err := manifest.Accept(manifest.Accepted{}, 0, *m, Operation)
	if err != nil {
		return nil, err
	}
	encoded, err := manifest.EncodeAccepted(accepted)
	if err != nil {
		return nil, err
	}
	_, err = store.Commit(ctx, topo.Txn{Puts: []topo.Put{{Key: topo.KeyConfig, Value: encoded}}})
	return store, err
}

// Credentials creates a new certificate authority and a certificate for the daemon with
// this ID.
func Credentials(id string) (tls.Certificate, *x509.CertPool, error) {
	authority, err := pki.NewAuthority()
	if err != nil {
		return tls.Certificate{}, nil, err
	}
	cert, err := authority.Issue(id)
	return cert, authority.Pool(), err
}

// Settings returns the settings of an embedded daemon that listens on these addresses.
func Settings(caller, peer, admin netip.AddrPort) *settings.Settings {
	return &settings.Settings{
		Daemon: settings.Daemon{ID: "embedded", Domain: "a", DrainTimeout: 10 * time.Second},
		Listen: settings.Listen{Caller: caller, Peer: peer, Admin: admin},
		Store:  settings.Store{Embedded: true},
		Limits: settings.Limits{MaxBody: 8 << 20, MaxHeader: 32 << 10, MaxKey: manifest.MaxKeyBytes},
	}
}

// Run serves the manifest until ctx ends. It calls ready after it has created the daemon,
// before the daemon runs.
func Run(ctx context.Context, m *manifest.Manifest, set *settings.Settings, log *slog.Logger, ready func(*daemon.Daemon)) error {
	serviceTime, err := targetsrv.ParseServiceTime("2ms")
	if err != nil {
		return err
	}
	targets, err := StartTargets(ctx, m, serviceTime)
	if err != nil {
		return err
	}
	defer targets.Close()
	store, err := Store(ctx, m)
	if err != nil {
		return err
	}
	cert, pool, err := Credentials(set.Daemon.ID)
	if err != nil {
		return err
	}
	d := daemon.New(daemon.Options{Settings: set, Store: store, Certificate: cert, Authorities: pool, Log: log})
	ready(d)
	return d.Run(ctx)
}
