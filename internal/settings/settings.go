// Package settings reads and validates the INI file that configures one daemon. The
// whole file is checked, and all findings are reported at once.
package settings

import (
	"log/slog"
	"net/netip"
	"time"
)

// Settings holds the settings of one daemon. File paths are absolute, or relative to
// the working directory of the daemon.
type Settings struct {
	// File is the name of the file that the settings were read from.
	File   string
	Daemon Daemon
	Listen Listen
	TLS    TLS
	Peers  Peers
	Store  Store
	Limits Limits
}

// Daemon holds the daemon's identity, logging and shutdown settings.
type Daemon struct {
	ID           string
	Domain       string
	LogLevel     slog.Level
	LogFormat    LogFormat
	DrainTimeout time.Duration
}

// LogFormat is the format of log lines.
type LogFormat string

// Formats of log lines.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// Listen holds the addresses that the daemon listens on: HTTP for callers, QUIC over
// UDP for peers, and HTTP for administration. Other daemons dial Peer and Admin as
// given, so neither may be the unspecified address.
type Listen struct {
	Caller netip.AddrPort
	Peer   netip.AddrPort
	Admin  netip.AddrPort
}

// TLS names the PEM files for mutual TLS between daemons. They may be left empty only
// with an embedded store, since such a daemon has no peers.
type TLS struct {
	CA          string
	Certificate string
	Key         string
}

// Peers lists the peer addresses of daemons from which a starting daemon can read the
// shared documents while the store is down.
type Peers struct {
	Seeds []netip.AddrPort
}

// Store configures access to the platform's store. Embedded keeps the data in the
// daemon's memory instead, for trials with a single daemon.
type Store struct {
	URLs     []string
	Timeout  time.Duration
	Embedded bool
}

// Limits holds the size limits of requests, in bytes.
type Limits struct {
	MaxBody int64
	// MaxHeader limits the whole header block.
	MaxHeader int64
	MaxKey    int64
}
