package settings

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"path/filepath"

	"github.com/jackdawloom/jackdawloom/internal/state/finding"
)

// Validate returns every problem of settings that were built in code rather than read
// from a file: missing options and conflicting options. The ranges of single options
// are checked only when a file is read.
func (s *Settings) Validate() finding.List {
	return s.validate(locator{file: s.File}, nil)
}

// checker validates settings as a whole and collects the findings.
type checker struct {
	settings  *Settings
	locations locator
	present   map[string]bool
	findings  finding.List
}

func (s *Settings) validate(locations locator, present map[string]bool) finding.List {
	c := &checker{settings: s, locations: locations, present: present}
	c.checkRequired()
	c.checkStore()
	c.checkTLS()
	c.checkAddresses()
	return c.findings
}

func (c *checker) add(section, key, problem, remedy string) {
	c.findings.Add(c.locations.location(section, key), problem, remedy)
}

// addMissing reports an option without a value, unless the file gives an invalid
// value, which has been reported already.
func (c *checker) addMissing(section, key, remedy string) {
	if !c.present[section+"."+key] {
		c.add(section, key, "missing", remedy)
	}
}

func (c *checker) checkRequired() {
	empty := map[string]bool{
		"daemon.id":     c.settings.Daemon.ID == "",
		"daemon.domain": c.settings.Daemon.Domain == "",
		"listen.caller": !c.settings.Listen.Caller.IsValid(),
		"listen.peer":   !c.settings.Listen.Peer.IsValid(),
		"listen.admin":  !c.settings.Listen.Admin.IsValid(),
	}
	for _, o := range options {
		if empty[o.section+"."+o.key] {
			c.addMissing(o.section, o.key, "expected "+o.format)
		}
	}
}

func (c *checker) checkStore() {
	store := c.settings.Store
	if !store.Embedded && len(store.URLs) == 0 {
		c.addMissing("store", "urls", "give the store's addresses, or embedded = true for a trial with one daemon")
	}
	if store.Embedded && len(store.URLs) > 0 {
		c.add("store", "embedded", "cannot be combined with urls", "remove one of them")
	}
	// Daemons with separate embedded stores would each assign every key on their own,
	// so a key would have two owners.
	if store.Embedded && len(c.settings.Peers.Seeds) > 0 {
		c.add("store", "embedded", "serves a single daemon only", "remove peers.seeds, or give store.urls")
	}
}

func (c *checker) checkTLS() {
	files := map[string]string{"ca": c.settings.TLS.CA, "certificate": c.settings.TLS.Certificate, "key": c.settings.TLS.Key}
	if c.settings.Store.Embedded && c.settings.TLS == (TLS{}) {
		return
	}
	for _, key := range knownKeys("tls") {
		if files[key] == "" {
			c.add("tls", key, "missing", "daemons authenticate each other; give a PEM file")
		}
	}
}

func (c *checker) checkAddresses() {
	l := c.settings.Listen
	// The caller and admin addresses both use TCP and must differ; peers use UDP.
	if l.Caller.IsValid() && l.Caller.Port() == l.Admin.Port() &&
		(l.Caller.Addr() == l.Admin.Addr() || l.Caller.Addr().IsUnspecified()) {
		c.add("listen", "admin", fmt.Sprintf("port %d is already used for callers", l.Admin.Port()), "use another port")
	}
}

// resolvePaths resolves relative names of TLS files against dir.
func (s *Settings) resolvePaths(dir string) {
	for _, name := range []*string{&s.TLS.CA, &s.TLS.Certificate, &s.TLS.Key} {
		if *name != "" && !filepath.IsAbs(*name) {
			*name = filepath.Join(dir, *name)
		}
	}
}

// checkFiles reports TLS files that cannot be read or parsed, and a key that does not
// belong to the certificate.
func (s *Settings) checkFiles(locations locator) finding.List {
	c := &checker{settings: s, locations: locations}
	c.checkCA()
	c.checkKeyPair()
	return c.findings
}

func (c *checker) checkCA() {
	if c.settings.TLS.CA == "" {
		return
	}
	b, err := os.ReadFile(c.settings.TLS.CA)
	if err != nil {
		c.add("tls", "ca", err.Error(), "")
		return
	}
	if !x509.NewCertPool().AppendCertsFromPEM(b) {
		c.add("tls", "ca", c.settings.TLS.CA+" contains no certificate", "give a PEM file")
	}
}

func (c *checker) checkKeyPair() {
	t := c.settings.TLS
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
