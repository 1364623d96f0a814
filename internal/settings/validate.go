package settings

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"path/filepath"

	"github.com/jackdawloom/jackdawloom/internal/state/finding"
)

// Validate returns every problem of settings that were built in a program:
// missing options and options that contradict each other. Ranges of single
// options are checked when a file is read.
func (s *Settings) Validate() finding.List {
	return s.validate(locator{file: s.File}, nil)
}

// checker collects the findings of complete settings.
type checker struct {
	s     *Settings
	at    locator
	set   map[string]bool
	found finding.List
}

func (s *Settings) validate(at locator, set map[string]bool) finding.List {
	c := &checker{s: s, at: at, set: set}
	c.required()
	c.store()
	c.tls()
	c.addresses()
	return c.found
}

func (c *checker) add(section, key, problem, remedy string) {
	c.found.Add(c.at.place(section, key), problem, remedy)
}

// missing reports an option without a value, unless its value was wrong and has
// a finding already.
func (c *checker) missing(section, key, remedy string) {
	if !c.set[section+"."+key] {
		c.add(section, key, "missing", remedy)
	}
}

func (c *checker) required() {
	empty := map[string]bool{
		"daemon.id":     c.s.Daemon.ID == "",
		"daemon.domain": c.s.Daemon.Domain == "",
		"listen.caller": !c.s.Listen.Caller.IsValid(),
		"listen.peer":   !c.s.Listen.Peer.IsValid(),
		"listen.admin":  !c.s.Listen.Admin.IsValid(),
	}
	for _, o := range options {
		if empty[o.section+"."+o.key] {
			c.missing(o.section, o.key, "expected "+o.form)
		}
	}
}

func (c *checker) store() {
	store := c.s.Store
	if !store.Embedded && len(store.URLs) == 0 {
		c.missing("store", "urls", "give the store's addresses, or embedded = true for a trial with one daemon")
	}
	if store.Embedded && len(store.URLs) > 0 {
		c.add("store", "embedded", "cannot be combined with urls", "remove one of them")
	}
	// Two daemons with a store each would both own every key.
	if store.Embedded && len(c.s.Peers.Seeds) > 0 {
		c.add("store", "embedded", "serves a single daemon only", "remove peers.seeds, or give store.urls")
	}
}

func (c *checker) tls() {
	given := map[string]string{"ca": c.s.TLS.CA, "certificate": c.s.TLS.Certificate, "key": c.s.TLS.Key}
	if c.s.Store.Embedded && c.s.TLS == (TLS{}) {
		return
	}
	for _, key := range keysOf("tls") {
		if given[key] == "" {
			c.add("tls", key, "missing", "daemons authenticate each other; give a PEM file")
		}
	}
}

func (c *checker) addresses() {
	l := c.s.Listen
	// Callers and administration both use TCP; peers use UDP.
	if l.Caller.IsValid() && l.Caller.Port() == l.Admin.Port() &&
		(l.Caller.Addr() == l.Admin.Addr() || l.Caller.Addr().IsUnspecified()) {
		c.add("listen", "admin", fmt.Sprintf("port %d is already used for callers", l.Admin.Port()), "use another port")
	}
}

// resolve makes relative names of TLS files relative to dir.
func (s *Settings) resolve(dir string) {
	for _, name := range []*string{&s.TLS.CA, &s.TLS.Certificate, &s.TLS.Key} {
		if *name != "" && !filepath.IsAbs(*name) {
			*name = filepath.Join(dir, *name)
		}
	}
}

// checkFiles reports TLS files that cannot be used.
func (s *Settings) checkFiles(at locator) finding.List {
	c := &checker{s: s, at: at}
	c.authorities()
	c.keyPair()
	return c.found
}

func (c *checker) authorities() {
	if c.s.TLS.CA == "" {
		return
	}
	b, err := os.ReadFile(c.s.TLS.CA)
	if err != nil {
		c.add("tls", "ca", err.Error(), "")
		return
	}
	if !x509.NewCertPool().AppendCertsFromPEM(b) {
		c.add("tls", "ca", c.s.TLS.CA+" holds no certificate", "give a PEM file")
	}
}

func (c *checker) keyPair() {
	t := c.s.TLS
	if t.Certificate == "" || t.Key == "" {
		return
	}
	certificate, err := os.ReadFile(t.Certificate)
	if err != nil {
		c.add("tls", "certificate", err.Error(), "")
	}
	key, err := os.ReadFile(t.Key)
	if err != nil {
		c.add("tls", "key", err.Error(), "")
	}
	if certificate == nil || key == nil {
		return
	}
	if _, err := tls.X509KeyPair(certificate, key); err != nil {
		c.add("tls", "certificate", fmt.Sprintf("%s and %s: %v", t.Certificate, t.Key, err), "")
	}
}
