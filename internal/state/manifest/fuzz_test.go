package manifest

import (
	"errors"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/jackdawloom/jackdawloom/internal/state/finding"
)

// FuzzParse guards against documents that crash the parser, are refused without
// a finding, or are accepted but cannot be decoded from their stored form.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validManifest))
	f.Add([]byte(`{"schema": 1e0, "Name": null, "services": [{"shards": -1, "classes": {}, "targets": [[]]}], "name": "\ud800"}{`))
	for _, name := range []string{"muscat.json", "perinka.json"} {
		b, err := os.ReadFile("../../../examples/" + name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Parse("m.json", b)
		var found *finding.Error
		if err != nil {
			if !errors.As(err, &found) || len(found.Findings) == 0 {
				t.Fatalf("refused without findings: %v", err)
			}
			return
		}
		a, err := Accept(Accepted{}, 0, *m, "op")
		if err != nil {
			t.Fatalf("parsed but not accepted: %v", err)
		}
		stored, err := EncodeAccepted(a)
		if errors.Is(err, ErrTooLarge) {
			return
		}
		if _, err := DecodeAccepted(stored); err != nil {
			t.Fatalf("accepted but not readable: %v", err)
		}
	})
}

// FuzzMatch guards against request paths and queries that crash the router, yield an
// empty or too long key, or are routed despite ".." segments.
func FuzzMatch(f *testing.F) {
	m, err := Parse("m.json", []byte(strings.Replace(validManifest, `"from": "path", "segment": 0`, `"from": "query", "name": "id"`, 1)))
	if err != nil {
		f.Fatal(err)
	}
	router := NewRouter(m)
	f.Add("/display/x", "id=a")
	f.Add("/display/%2e/x", "id=a&id=b")
	f.Add("/display", "i%64=%zz;&id")
	f.Fuzz(func(t *testing.T, path, query string) {
		got, err := router.Match("GET", path, Query(query), http.Header{})
		if err == nil && (got.Key == "" || len(got.Key) > MaxKeyBytes || got.Class == nil) {
			t.Fatalf("%q %q: %+v", path, query, got)
		}
		if strings.Contains(path, "..") && err == nil && strings.Contains("/"+path+"/", "/../") {
			t.Fatalf("%q was routed", path)
		}
	})
}
