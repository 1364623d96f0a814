package daemon

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/jackdawloom/jackdawloom/internal/protocol/peer"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

// errOldRevision reports a document that is not newer than the held one.
var errOldRevision = errors.New("document is not newer than the held one")

// snapshot is one consistent pair of documents. It is never changed.
type snapshot struct {
	config    *manifest.Accepted
	router    *manifest.Router
	table     *table.Table
	configRaw []byte
	tableRaw  []byte
}

// revisions returns the revisions of the documents; 0 stands for none.
func (s *snapshot) revisions() peer.Revisions {
	var r peer.Revisions
	if s.config != nil {
		r.Config = s.config.Revision
	}
	if s.table != nil {
		r.Table = s.table.Revision
	}
	return r
}

// target returns the declaration of a target, or nil.
func (s *snapshot) target(service, name string) *manifest.Target {
	svc := s.service(service)
	if svc == nil {
		return nil
	}
	return svc.TargetNamed(name)
}

// service returns the declaration of a service, or nil.
func (s *snapshot) service(name string) *manifest.Service {
	if s.config == nil {
		return nil
	}
	return s.config.Manifest.ServiceNamed(name)
}

// documents holds the configuration and the assignment table. Only a higher
// revision replaces a held document, whatever source it comes from, so a store
// or peer that answers from an old state changes nothing.
type documents struct {
	maxKey  int // bytes
	mu      sync.Mutex
	current atomic.Pointer[snapshot]
	changed chan struct{}
}

func newDocuments(maxKey int) *documents {
	d := &documents{maxKey: maxKey, changed: make(chan struct{})}
	d.current.Store(&snapshot{})
	return d
}

// get returns the present snapshot.
func (d *documents) get() *snapshot { return d.current.Load() }

// wait returns the present snapshot and a channel that closes when a newer one
// is in place.
func (d *documents) wait() (*snapshot, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current.Load(), d.changed
}

// offerConfig takes an encoded configuration.
func (d *documents) offerConfig(raw []byte) error {
	accepted, err := manifest.DecodeAccepted(raw)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	router := manifest.NewRouter(&accepted.Manifest).WithMaxKey(d.maxKey)
	return d.replace(func(next *snapshot) bool {
		if next.config != nil && accepted.Revision <= next.config.Revision {
			return false
		}
		next.config, next.router, next.configRaw = &accepted, router, raw
		return true
	})
}

// offerTable takes an encoded assignment table.
func (d *documents) offerTable(raw []byte) error {
	t, err := table.Decode(raw)
	if err != nil {
		return err
	}
	return d.replace(func(next *snapshot) bool {
		if next.table != nil && t.Revision <= next.table.Revision {
			return false
		}
		next.table, next.tableRaw = t, raw
		return true
	})
}

func (d *documents) replace(change func(*snapshot) bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := *d.current.Load()
	if !change(&next) {
		return errOldRevision
	}
	d.current.Store(&next)
	close(d.changed)
	d.changed = make(chan struct{})
	return nil
}

// newerThan returns the documents that are newer than the given revisions.
func (d *documents) newerThan(r peer.Revisions) peer.Documents {
	s := d.get()
	held := s.revisions()
	reply := peer.Documents{Revisions: held}
	if held.Config > r.Config {
		reply.Config = s.configRaw
	}
	if held.Table > r.Table {
		reply.Table = s.tableRaw
	}
	return reply
}

// offer takes the documents of a peer's reply. Documents that are not newer are
// no error.
func (d *documents) offer(reply peer.Documents) error {
	var errs []error
	if len(reply.Config) > 0 {
		errs = append(errs, ignoreOld(d.offerConfig(reply.Config)))
	}
	if len(reply.Table) > 0 {
		errs = append(errs, ignoreOld(d.offerTable(reply.Table)))
	}
	return errors.Join(errs...)
}

func ignoreOld(err error) error {
	if errors.Is(err, errOldRevision) {
		return nil
	}
	return err
}
