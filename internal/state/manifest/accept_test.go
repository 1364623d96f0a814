package manifest

import (
	"errors"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/jackdawloom/jackdawloom/internal/proptest"
)

// Guards against lost updates and unintended reverts when operators read, submit and
// retry in any order. Each accepted operation increases the revision by one, a change
// based on a stale revision is refused with the current revision, and a retry changes
// nothing.
func TestAcceptConcurrentOperators(t *testing.T) {
	type submission struct {
		basedOn   uint64
		manifest  Manifest
		operation string
	}
	proptest.Check(t, 4, 300, func(t *rapid.T) {
		var current Accepted
		var sent []submission
		lastRead := make([]uint64, 3) // the revision that each operator last read
		for i := range rapid.IntRange(1, 20).Draw(t, "steps") {
			operator := rapid.IntRange(0, 2).Draw(t, "operator")
			if rapid.Bool().Draw(t, "reads") {
				lastRead[operator] = current.Revision
				continue
			}
			s := submission{lastRead[operator], *drawManifest(t), fmt.Sprintf("op-%d", i)}
			if len(sent) > 0 && rapid.Bool().Draw(t, "retries") {
				s = rapid.SampledFrom(sent).Draw(t, "earlier")
			}
			sent = append(sent, s)
			next, err := Accept(current, s.basedOn, s.manifest, s.operation)
			var conflict *ConflictError
			switch {
			case s.operation == current.Operation:
				if err != nil || !reflect.DeepEqual(next, current) {
					t.Fatalf("retry of %s: %+v, %v", s.operation, next, err)
				}
			case s.basedOn != current.Revision:
				if !errors.Is(err, ErrConflict) || !errors.As(err, &conflict) || conflict.Current != current.Revision {
					t.Fatalf("change based on revision %d, current revision %d: %v", s.basedOn, current.Revision, err)
				}
			default:
				if err != nil || next.Revision != current.Revision+1 || len(Diff(&next.Manifest, &s.manifest)) != 0 {
					t.Fatalf("change based on current revision %d: %+v, %v", current.Revision, next, err)
				}
				current = next
			}
		}
	})
}

// Guards against an accepted manifest that is changed by encoding and decoding, and
// against accepting invalid or oversized manifests.
func TestStoredForm(t *testing.T) {
	proptest.Check(t, 5, 200, func(t *rapid.T) {
		a, err := Accept(Accepted{Revision: 7}, 7, *drawManifest(t), "op")
		if err != nil {
			t.Fatal(err)
		}
		b, err := EncodeAccepted(a)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := DecodeAccepted(b); err != nil || !reflect.DeepEqual(got, a) {
			t.Fatalf("%+v, %v; want %+v", got, err, a)
		}
	})
	malformed := map[string]string{
		"no revision": `{"operation": "op", "manifest": {"schema": 1}}`,
		"schema":      `{"revision": 1, "operation": "op", "manifest": {"schema": 2}}`,
		"shards":      `{"revision": 1, "operation": "op", "manifest": {"schema": 1, "services": [{"shards": 65537}]}}`,
		"no shards":   `{"revision": 1, "operation": "op", "manifest": {"schema": 1, "services": [{}]}}`,
		"slots":       `{"revision": 1, "operation": "op", "manifest": {"schema": 1, "services": [{"shards": 1, "targets": [{"connections": 1}]}]}}`,
		"cut off":     `{"revision": 1, "operation": "op", "manifest": {"schema": 1}`,
	}
	for name, b := range malformed {
		if _, err := DecodeAccepted([]byte(b)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
	laterRelease := `{"revision": 1, "operation": "op", "manifest": {"schema": 1, "later_field": 1}}`
	if _, err := DecodeAccepted([]byte(laterRelease)); err != nil {
		t.Errorf("field of a later release: %v", err)
	}
	if _, err := Accept(Accepted{}, 0, Manifest{}, "op"); err == nil {
		t.Error("an empty manifest was accepted")
	}
	if _, err := Accept(Accepted{}, 0, Manifest{}, ""); !errors.Is(err, ErrOperation) {
		t.Errorf("no operation id: %v", err)
	}
	if _, err := Accept(Accepted{Revision: 1, Operation: "op"}, 1, Manifest{Name: "other"}, "op"); !errors.Is(err, ErrOperation) {
		t.Errorf("reused operation id: %v", err)
	}
	if _, err := EncodeAccepted(Accepted{Author: string(make([]byte, MaxBytes))}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("oversized: %v", err)
	}
}

// Guards against a diff that omits a change or its consequence.
func TestDiff(t *testing.T) {
	old, err := Parse("m.json", []byte(validManifest))
	if err != nil {
		t.Fatal(err)
	}
	updated := old.clone()
	s := &updated.Services[0]
	s.Shards = 2048
	s.Key = KeySource{From: KeyFromHeader, Name: "x-key"}
	s.Classes = append([]Class{{Name: "write"}}, s.Classes...)
	s.Classes[1].DeadlineMs = 400
	s.Targets = append(s.Targets, Target{Name: "display-02"})
	s.Targets[0].Drain = true
	updated.Services = append(updated.Services, Service{Name: "publishing"})
	var got []string
	for _, c := range Diff(old, &updated) {
		got = append(got, c.String())
	}
	want := []string{
		"changed services[display].shards: 1024 -> 2048 (moves nearly every key of the service)",
		`changed services[display].key.from: "path" -> "header" (changes the key of every request, and so its owner)`,
		`changed services[display].key.name: "" -> "x-key" (changes the key of every request, and so its owner)`,
		"changed services[display].classes[read].deadline_ms: 500 -> 400",
		"added services[display].classes[write]",
		"changed services[display].targets[display-01].drain: false -> true",
		"added services[display].targets[display-02] (moves roughly the target's share of the service's keys)",
		"added services[publishing]",
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("changes:\n%q\nwant:\n%q", got, want)
	}
	if reverse := Diff(&updated, old); reverse[len(reverse)-1].Effect != "the service's requests are refused" {
		t.Errorf("removal of a service: %v", reverse[len(reverse)-1])
	}
}
