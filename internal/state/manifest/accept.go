package manifest

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
)

// Errors of accepting and decoding manifests.
var (
	// ErrConflict reports a change that is not based on the current revision. The
	// error is a *ConflictError.
	ErrConflict = errors.New("manifest was changed by another operation")
	// ErrOperation reports a missing operation ID, or one that the current revision
	// already has with a different manifest.
	ErrOperation = errors.New("operation id is missing or belongs to another manifest")
	// ErrMalformed reports a stored manifest that cannot be used.
	ErrMalformed = errors.New("malformed stored manifest")
	// ErrTooLarge reports an accepted manifest whose stored form exceeds MaxBytes.
	ErrTooLarge = errors.New("stored manifest too large")
)

// ConflictError gives the revision that a change was based on and the current
// revision. It matches ErrConflict.
type ConflictError struct {
	BasedOn   uint64
	Current   uint64
	Operation string // operation ID of the current revision
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: based on revision %d, current revision is %d (operation %s)",
		ErrConflict, e.BasedOn, e.Current, e.Operation)
}

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Accept returns the revision after current, with m as its manifest. basedOn is the
// revision that the author read, or 0 if there was none. Submitting the operation of
// current again with the same manifest returns current unchanged, so a request whose
// response was lost can be retried. The Author field is left for the code that calls
// Accept to set.
func Accept(current Accepted, basedOn uint64, m Manifest, operation string) (Accepted, error) {
	if operation == "" {
		return Accepted{}, ErrOperation
	}
	m = m.clone()
	m.ApplyDefaults()
	if current.Operation == operation {
		return acceptRetry(current, m)
	}
	if basedOn != current.Revision {
		return Accepted{}, &ConflictError{BasedOn: basedOn, Current: current.Revision, Operation: current.Operation}
	}
	found := m.Validate("")
	if err := found.Err(); err != nil {
		return Accepted{}, err
	}
	return Accepted{Revision: current.Revision + 1, Operation: operation, Manifest: m}, nil
}

func acceptRetry(current Accepted, m Manifest) (Accepted, error) {
	if !reflect.DeepEqual(current.Manifest.clone(), m) {
		return Accepted{}, fmt.Errorf("%w: revision %d holds another manifest of operation %s",
			ErrOperation, current.Revision, current.Operation)
	}
	return current, nil
}

// clone returns a deep copy in which empty lists are nil, so that reflect.DeepEqual
// does not distinguish nil from empty lists.
func (m *Manifest) clone() Manifest {
	c := *m
	c.Services = append([]Service(nil), m.Services...)
	for i := range c.Services {
		s := &c.Services[i]
		s.Targets = append([]Target(nil), s.Targets...)
		s.Classes = append([]Class(nil), s.Classes...)
		for j := range s.Classes {
			s.Classes[j].Methods = append([]string(nil), s.Classes[j].Methods...)
		}
	}
	return c
}

// EncodeAccepted returns the stored form, or ErrTooLarge if it exceeds MaxBytes.
func EncodeAccepted(a Accepted) ([]byte, error) {
	b, err := json.Marshal(a)
	if err != nil {
		return nil, fmt.Errorf("encode manifest: %w", err)
	}
	if len(b) > MaxBytes {
		return nil, fmt.Errorf("%w: %d bytes; the limit is %d", ErrTooLarge, len(b), MaxBytes)
	}
	return b, nil
}

// DecodeAccepted decodes the stored form. It checks only the limits that the router
// itself depends on, because a later release with stricter validation must still read
// what an earlier one accepted. Fields added by later releases are ignored.
func DecodeAccepted(b []byte) (Accepted, error) {
	if len(b) > MaxBytes {
		return Accepted{}, fmt.Errorf("%w: %d bytes exceed the size limit", ErrMalformed, len(b))
	}
	var a Accepted
	if err := json.Unmarshal(b, &a); err != nil {
		return Accepted{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if a.Revision == 0 || a.Operation == "" {
		return Accepted{}, fmt.Errorf("%w: revision or operation is missing", ErrMalformed)
	}
	if a.Manifest.Schema != Schema {
		return Accepted{}, fmt.Errorf("%w: schema %d is not supported", ErrMalformed, a.Manifest.Schema)
	}
	for i := range a.Manifest.Services {
		if err := a.Manifest.Services[i].checkStored(); err != nil {
			return Accepted{}, err
		}
	}
	return a, nil
}

func (s *Service) checkStored() error {
	if s.Shards < 1 || s.Shards > MaxShards || len(s.Targets) > MaxTargets {
		return fmt.Errorf("%w: service %q has %d shards and %d targets, at least one of which is out of range", ErrMalformed, s.Name, s.Shards, len(s.Targets))
	}
	for _, t := range s.Targets {
		if t.Slots < 1 || t.Slots > MaxSlots || t.Connections < 1 || t.Connections > MaxConnections {
			return fmt.Errorf("%w: target %q has %d slots and %d connections, at least one of which is out of range", ErrMalformed, t.Name, t.Slots, t.Connections)
		}
	}
	return nil
}
