package settings

import (
	"fmt"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
)

// Sizes in bytes.
const (
	kib = int64(1) << 10
	mib = int64(1) << 20
	gib = int64(1) << 30
)

// option describes one key of the settings file: how to parse and document it.
type option struct {
	section string
	key     string
	// description, unit, format and defaultValue document the option. An empty
	// defaultValue means that the key is unset by default; required keys have none.
	description  string
	unit         string
	format       string
	defaultValue string
	required     bool
	// invalidExample is a rejected value that the configuration reference shows.
	invalidExample string
	set            func(s *Settings, value string) error
}

// options lists every known key in the order of the configuration reference.
var options = []option{
	{section: "daemon", key: "id", unit: "name", invalidExample: `Loom 1`, required: true, format: nameFormat,
		description: "Name of the daemon, unique in the fleet.",
		set:         nameSetter(func(s *Settings) *string { return &s.Daemon.ID })},
	{section: "daemon", key: "domain", unit: "name", invalidExample: `-a`, required: true, format: nameFormat,
		description: "Failure domain of the instance, as named in the manifest.",
		set:         nameSetter(func(s *Settings) *string { return &s.Daemon.Domain })},
	{section: "daemon", key: "log_level", unit: "word", invalidExample: `verbose`, defaultValue: "info", format: "debug, info, warn or error",
		description: "Lowest level of log lines that are written.", set: setLogLevel},
	{section: "daemon", key: "log_format", unit: "word", invalidExample: `xml`, defaultValue: "json", format: "text or json",
		description: "Format of log lines. `jackdawctl explain` reads JSON.", set: setLogFormat},
	{section: "daemon", key: "drain_timeout", unit: "duration", invalidExample: `1h`, defaultValue: "30s", format: durationFormat(minDrainTimeout, maxDrainTimeout),
		description: "Time limit for a stopping daemon to finish its requests.",
		set:         durationSetter(minDrainTimeout, maxDrainTimeout, func(s *Settings) *time.Duration { return &s.Daemon.DrainTimeout })},

	{section: "listen", key: "caller", unit: "ip:port", invalidExample: `localhost:8080`, required: true, format: "ip:port; may be the unspecified address",
		description: "Address for callers (HTTP).", set: setListenCaller},
	{section: "listen", key: "peer", unit: "ip:port", invalidExample: `0.0.0.0:8081`, required: true, format: "ip:port of this instance",
		description: "Address for other daemons (QUIC over UDP). Other daemons dial it as given.", set: setListenPeer},
	{section: "listen", key: "admin", unit: "ip:port", invalidExample: `127.0.0.1`, required: true, format: "ip:port of this instance",
		description: "Address for administration and metrics (HTTP). Do not expose it to callers.", set: setListenAdmin},

	{section: "tls", key: "ca", unit: "file name", invalidExample: ``, format: "PEM file",
		description: "Certificates of the authorities that sign daemons' certificates. Required unless `store.embedded` is true.",
		set:         fileSetter(func(s *Settings) *string { return &s.TLS.CA })},
	{section: "tls", key: "certificate", unit: "file name", invalidExample: ``, format: "PEM file",
		description: "Certificate of this daemon, for both client and server use. Required unless `store.embedded` is true.",
		set:         fileSetter(func(s *Settings) *string { return &s.TLS.Certificate })},
	{section: "tls", key: "key", unit: "file name", invalidExample: ``, format: "PEM file",
		description: "Private key of the certificate. Required unless `store.embedded` is true.",
		set:         fileSetter(func(s *Settings) *string { return &s.TLS.Key })},

	{section: "peers", key: "seeds", unit: "ip:port list", invalidExample: `loom-2:8081`, format: "ip:port, comma separated, at most 64",
		description: "Peer addresses of other daemons. A daemon that starts while the store is down reads the documents from them.",
		set:         setSeeds},

	{section: "store", key: "urls", unit: "URL list", invalidExample: `https://store`, format: "http://ip:port, comma separated, at most 16",
		description: "Addresses of the platform's store. Required unless `store.embedded` is true.", set: setStoreURLs},
	{section: "store", key: "timeout", unit: "duration", invalidExample: `5`, defaultValue: "500ms", format: durationFormat(minStoreTimeout, maxStoreTimeout),
		description: "Time limit of one call to the store. It stays below the coordinator's lease of 1 s, so that a lost call can be repeated in time.",
		set:         durationSetter(minStoreTimeout, maxStoreTimeout, func(s *Settings) *time.Duration { return &s.Store.Timeout })},
	{section: "store", key: "embedded", unit: "boolean", invalidExample: `yes`, defaultValue: "false", format: "true or false",
		description: "Keep the store in the daemon's memory. For trials with one daemon only: the data is lost when it stops.",
		set:         setStoreEmbedded},

	{section: "limits", key: "max_body", unit: "size", invalidExample: `2GiB`, defaultValue: "8MiB", format: sizeFormat(0, gib),
		description: "Largest request body.",
		set:         sizeSetter(0, gib, func(s *Settings) *int64 { return &s.Limits.MaxBody })},
	{section: "limits", key: "max_header", unit: "size", invalidExample: `512`, defaultValue: "32KiB", format: sizeFormat(kib, mib),
		description: "Largest request header block.",
		set:         sizeSetter(kib, mib, func(s *Settings) *int64 { return &s.Limits.MaxHeader })},
	{section: "limits", key: "max_key", unit: "size", invalidExample: `513`, defaultValue: fmt.Sprint(manifest.MaxKeyBytes), format: sizeFormat(1, manifest.MaxKeyBytes),
		description: "Largest key.",
		set:         sizeSetter(1, manifest.MaxKeyBytes, func(s *Settings) *int64 { return &s.Limits.MaxKey })},
}

// Valid ranges of durations.
const (
	minDrainTimeout = time.Second
	maxDrainTimeout = 10 * time.Minute
	// The coordinator's lease in the store lasts 1 s, and two calls must fit into it.
	minStoreTimeout = 50 * time.Millisecond
	maxStoreTimeout = 500 * time.Millisecond
)

// Option documents one key of the settings file.
type Option struct {
	Section, Key string
	// Unit is the kind of value, and Range describes the accepted values.
	Unit, Range string
	// Default is empty if the option is unset by default.
	Default     string
	Required    bool
	Description string
	// InvalidExample is an example of a rejected value.
	InvalidExample string
}

// Reference documents every key, ordered by section.
func Reference() []Option {
	out := make([]Option, len(options))
	for i, o := range options {
		out[i] = Option{
			Section: o.section, Key: o.key, Unit: o.unit, Range: o.format, Default: o.defaultValue,
			Required: o.required, Description: o.description, InvalidExample: o.invalidExample,
		}
	}
	return out
}

// knownSections returns the names of the known sections in their documented order.
func knownSections() []string {
	var out []string
	for _, o := range options {
		if len(out) == 0 || out[len(out)-1] != o.section {
			out = append(out, o.section)
		}
	}
	return out
}

// knownKeys returns the known keys of a section.
func knownKeys(section string) []string {
	var out []string
	for _, o := range options {
		if o.section == section {
			out = append(out, o.key)
		}
	}
	return out
}
