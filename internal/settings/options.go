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

// option describes one key of the file: how to read it and how to document it.
type option struct {
	section string
	key     string
	// meaning, unit, form and preset document the option. An empty preset means
	// that the key is unset by default; required keys have none.
	meaning  string
	unit     string
	form     string
	preset   string
	required bool
	// wrong is a value that is refused, as an example for the reference.
	wrong string
	set   func(s *Settings, value string) error
}

// options lists every known key in the order of the reference.
var options = []option{
	{section: "daemon", key: "id", unit: "name", wrong: `Loom 1`, required: true, form: nameForm,
		meaning: "Name of the daemon, unique in the fleet.",
		set:     name(func(s *Settings) *string { return &s.Daemon.ID })},
	{section: "daemon", key: "domain", unit: "name", wrong: `-a`, required: true, form: nameForm,
		meaning: "Failure domain of the instance, as named in the manifest.",
		set:     name(func(s *Settings) *string { return &s.Daemon.Domain })},
	{section: "daemon", key: "log_level", unit: "word", wrong: `verbose`, preset: "info", form: "debug, info, warn or error",
		meaning: "Lowest level of log lines that are written.", set: logLevel},
	{section: "daemon", key: "log_format", unit: "word", wrong: `xml`, preset: "json", form: "text or json",
		meaning: "Form of log lines. `jackdawctl explain` reads JSON.", set: logFormat},
	{section: "daemon", key: "drain_timeout", unit: "duration", wrong: `1h`, preset: "30s", form: durationForm(minDrain, maxDrain),
		meaning: "Time that a stopping daemon has to finish its requests.",
		set:     duration(minDrain, maxDrain, func(s *Settings) *time.Duration { return &s.Daemon.DrainTimeout })},

	{section: "listen", key: "caller", unit: "ip:port", wrong: `localhost:8080`, required: true, form: "ip:port; may be the unspecified address",
		meaning: "Address for callers (HTTP).", set: listenCaller},
	{section: "listen", key: "peer", unit: "ip:port", wrong: `0.0.0.0:8081`, required: true, form: "ip:port of this instance",
		meaning: "Address for other daemons (QUIC over UDP). Other daemons dial it as given.", set: listenPeer},
	{section: "listen", key: "admin", unit: "ip:port", wrong: `127.0.0.1`, required: true, form: "ip:port of this instance",
		meaning: "Address for administration and metrics (HTTP). Do not expose it to callers.", set: listenAdmin},

	{section: "tls", key: "ca", unit: "file name", wrong: ``, form: "PEM file",
		meaning: "Certificates of the authorities that sign daemons' certificates. Required unless `store.embedded` is true.",
		set:     file(func(s *Settings) *string { return &s.TLS.CA })},
	{section: "tls", key: "certificate", unit: "file name", wrong: ``, form: "PEM file",
		meaning: "Certificate of this daemon, for both client and server use. Required unless `store.embedded` is true.",
		set:     file(func(s *Settings) *string { return &s.TLS.Certificate })},
	{section: "tls", key: "key", unit: "file name", wrong: ``, form: "PEM file",
		meaning: "Private key of the certificate. Required unless `store.embedded` is true.",
		set:     file(func(s *Settings) *string { return &s.TLS.Key })},

	{section: "peers", key: "seeds", unit: "ip:port list", wrong: `loom-2:8081`, form: "ip:port, comma separated, at most 64",
		meaning: "Peer addresses of other daemons. A daemon that starts while the store is down reads the documents from them.",
		set:     seeds},

	{section: "store", key: "urls", unit: "URL list", wrong: `https://store`, form: "http://ip:port, comma separated, at most 16",
		meaning: "Addresses of the platform's store. Required unless `store.embedded` is true.", set: storeURLs},
	{section: "store", key: "timeout", unit: "duration", wrong: `5`, preset: "500ms", form: durationForm(minStoreTimeout, maxStoreTimeout),
		meaning: "Time limit of one call to the store. It stays below the coordinator's lease of 1 s, so that a lost call can be repeated in time.",
		set:     duration(minStoreTimeout, maxStoreTimeout, func(s *Settings) *time.Duration { return &s.Store.Timeout })},
	{section: "store", key: "embedded", unit: "boolean", wrong: `yes`, preset: "false", form: "true or false",
		meaning: "Keep the store in the daemon's memory. For a trial with one daemon: nothing survives its end.",
		set:     storeEmbedded},

	{section: "limits", key: "max_body", unit: "size", wrong: `2GiB`, preset: "8MiB", form: sizeForm(0, gib),
		meaning: "Largest request body.",
		set:     size(0, gib, func(s *Settings) *int64 { return &s.Limits.MaxBody })},
	{section: "limits", key: "max_header", unit: "size", wrong: `512`, preset: "32KiB", form: sizeForm(kib, mib),
		meaning: "Largest request header block.",
		set:     size(kib, mib, func(s *Settings) *int64 { return &s.Limits.MaxHeader })},
	{section: "limits", key: "max_key", unit: "size", wrong: `513`, preset: fmt.Sprint(manifest.MaxKeyBytes), form: sizeForm(1, manifest.MaxKeyBytes),
		meaning: "Largest key.",
		set:     size(1, manifest.MaxKeyBytes, func(s *Settings) *int64 { return &s.Limits.MaxKey })},
}

// Ranges of durations.
const (
	minDrain = time.Second
	maxDrain = 10 * time.Minute
	// The coordinator's store lease lasts 1 s; two calls must fit into it.
	minStoreTimeout = 50 * time.Millisecond
	maxStoreTimeout = 500 * time.Millisecond
)

// Option documents one key of the settings file.
type Option struct {
	Section, Key string
	// Unit is the kind of value and Range the values that are accepted.
	Unit, Range string
	// Default is empty if the option is unset by default.
	Default  string
	Required bool
	Meaning  string
	// Wrong is an example of a value that is refused.
	Wrong string
}

// Reference documents every key in the order of the sections.
func Reference() []Option {
	out := make([]Option, len(options))
	for i, o := range options {
		out[i] = Option{
			Section: o.section, Key: o.key, Unit: o.unit, Range: o.form, Default: o.preset,
			Required: o.required, Meaning: o.meaning, Wrong: o.wrong,
		}
	}
	return out
}

// sections returns the known sections in order.
func sections() []string {
	var out []string
	for _, o := range options {
		if len(out) == 0 || out[len(out)-1] != o.section {
			out = append(out, o.section)
		}
	}
	return out
}

// keysOf returns the known keys of a section.
func keysOf(section string) []string {
	var out []string
	for _, o := range options {
		if o.section == section {
			out = append(out, o.key)
		}
	}
	return out
}
