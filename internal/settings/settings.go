// Package settings reads the INI file by which an operator sets up one daemon.
// The whole file is checked and all findings are reported at once.
package settings

import (
	"log/slog"
	"net/netip"
	"time"
)

// Settings are the settings of one daemon. File paths are relative to the
// working directory of the daemon or absolute.
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

// Daemon identifies the daemon and sets its logging and stopping.
type Daemon struct {
	ID           string
	Domain       string
	LogLevel     slog.Level
	LogFormat    LogFormat
	DrainTimeout time.Duration
}

// LogFormat is the form of log lines.
type LogFormat string

// Forms of log lines.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// Listen holds the addresses that the daemon serves: HTTP for callers, QUIC
// over UDP for peers, HTTP for administration. Other daemons use Peer and Admin
// as they are, so both name a host.
type Listen struct {
	Caller netip.AddrPort
	Peer   netip.AddrPort
	Admin  netip.AddrPort
}

// TLS names the PEM files for mutual TLS between daemons. All are empty only if
// the store is embedded, which means that there are no peers.
type TLS struct {
	CA          string
	Certificate string
	Key         string
}

// Peers lists daemons to ask for documents at the start.
type Peers struct {
	Seeds []netip.AddrPort
}

// Store says where the platform's store is. Embedded keeps everything in the
// daemon's memory: for a trial with a single daemon.
type Store struct {
	URLs     []string
	Timeout  time.Duration
	Embedded bool
}

// Limits bounds requests. All values are in bytes.
type Limits struct {
	// MaxBody is the largest request body.
	MaxBody int64
	// MaxHeader is the largest request header block.
	MaxHeader int64
	// MaxKey is the largest key.
	MaxKey int64
}
