package manifest

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/jackdawloom/jackdawloom/internal/proptest"
)

// matchURL routes a request with the given method and URL.
func matchURL(t interface{ Fatal(...any) }, r *Router, method, target string, h http.Header) (Match, error) {
	u, err := url.ParseRequestURI(target)
	if err != nil {
		t.Fatal(target, err)
	}
	return r.Match(method, u.EscapedPath(), Query(u.RawQuery), h)
}

// Guards against a request that is routed by a different key, class or service than
// the one it states, for every key source and for keys that need escaping.
func TestRouterFindsKey(t *testing.T) {
	proptest.Check(t, 1, 500, func(t *rapid.T) {
		m := drawManifest(t)
		s := rapid.SampledFrom(m.Services).Draw(t, "service")
		key := rapid.StringMatching(`[a-zA-Z0-9 %&=+;?#ü.-]{3,20}`).Draw(t, "key")
		key = strings.ReplaceAll(key, "...", "x..")
		class := rapid.IntRange(0, len(s.Classes)-1).Draw(t, "class")
		path := strings.TrimSuffix(s.PathPrefix, "/") + strings.TrimSuffix(s.Classes[class].PathPrefix, "/")
		header, query := http.Header{}, ""
		switch s.Key.From {
		case KeyFromHeader:
			header.Set(s.Key.Name, key)
			path += "/p"
		case KeyFromQuery:
			query = "?x=1&id=" + url.QueryEscape(key) + "&y"
			path += "/p"
		default:
			depth := strings.Count(strings.TrimSuffix(s.Classes[class].PathPrefix, "/"), "/")
			path += strings.Repeat("/p", s.Key.Segment-depth) + "/" + strings.ReplaceAll(url.PathEscape(key), ";", "%3B") + "/tail"
		}
		method := "PUT"
		if c := s.Classes[class]; len(c.Methods) > 0 {
			method = c.Methods[0]
		}
		got, err := matchURL(t, NewRouter(m), method, path+query, header)
		if err != nil {
			t.Fatalf("%s %s: %v", method, path+query, err)
		}
		if got.Service.Name != s.Name || got.Key != key {
			t.Fatalf("%s %s: service %s key %q; want %s %q", method, path+query, got.Service.Name, got.Key, s.Name, key)
		}
		if first := indexOf(classNames(s), got.Class.Name); first > class {
			t.Fatalf("%s %s: got class %s, but class %d precedes it and matches", method, path, got.Class.Name, class)
		}
	})
}

func classNames(s Service) []string {
	var out []string
	for _, c := range s.Classes {
		out = append(out, c.Name)
	}
	return out
}

// Guards against escaping that changes the result of routing. A path with any of its
// bytes escaped must be routed like the plain path or refused. Otherwise a never-repeat
// request could be classified as idempotent and be retried.
func TestRouterEscapedPath(t *testing.T) {
	proptest.Check(t, 2, 1000, func(t *rapid.T) {
		r := NewRouter(drawManifest(t))
		path := rapid.StringMatching(`/s[0-2](/(a|ab|b|v1|\.|\.\.)){0,4}/?`).Draw(t, "path")
		var escaped strings.Builder
		for i := range len(path) {
			if i > 0 && rapid.IntRange(0, 3).Draw(t, "escape") == 0 {
				fmt.Fprintf(&escaped, "%%%02x", path[i])
				continue
			}
			escaped.WriteByte(path[i])
		}
		plain, plainErr := r.Match("GET", path, Query("id=k"), http.Header{"X-Key": {"k"}})
		got, err := r.Match("GET", escaped.String(), Query("id=k"), http.Header{"X-Key": {"k"}})
		if errors.Is(err, ErrBadPath) {
			return
		}
		if got != plain || !errors.Is(err, plainErr) {
			t.Fatalf("%s: %+v, %v; but %s: %+v, %v", path, plain, plainErr, escaped.String(), got, err)
		}
	})
}

// Guards against routing requests that have no unambiguous key or whose path is not in
// normal form.
func TestRouterErrors(t *testing.T) {
	m, err := Parse("m.json", []byte(validManifest))
	if err != nil {
		t.Fatal(err)
	}
	byQuery := *m
	byQuery.Services = append([]Service(nil), m.Services...)
	byQuery.Services[0].Key = KeySource{From: KeyFromQuery, Name: "id"}
	withClassPrefix := byQuery
	withClassPrefix.Services = append([]Service(nil), byQuery.Services...)
	withClassPrefix.Services[0].Classes = []Class{{Name: "part", PathPrefix: "/a"}}
	pathRouter, queryRouter, classPrefixRouter := NewRouter(m), NewRouter(&byQuery), NewRouter(&withClassPrefix)
	rows := []struct {
		router *Router
		method string
		target string
		want   error
	}{
		{pathRouter, "GET", "/display/a", nil},
		{pathRouter, "GET", "/display/" + strings.Repeat("a", MaxKeyBytes), nil},
		{pathRouter, "GET", "/display/" + strings.Repeat("a", MaxKeyBytes+1), ErrKeyTooLong},
		{pathRouter.WithMaxKey(4), "GET", "/display/aaaaa", ErrKeyTooLong},
		{pathRouter, "GET", "/display/", ErrMissingKey},
		{pathRouter, "GET", "/display", ErrMissingKey},
		{pathRouter, "GET", "/displayed/a", ErrUnknownService},
		{pathRouter, "GET", "/", ErrUnknownService},
		{pathRouter, "POST", "/display/a", ErrNoClass},
		{pathRouter, "GET", "/display/../display/a", ErrBadPath},
		{pathRouter, "GET", "/display//a", ErrBadPath},
		{pathRouter, "GET", "/display/%2e%2e/a", ErrBadPath},
		{pathRouter, "GET", "/display/a%2Fb", ErrBadPath},
		{pathRouter, "GET", "/display/a;v=1", ErrBadPath},
		{pathRouter, "GET", "/display/a%5Cb", ErrBadPath},
		{classPrefixRouter, "GET", "/display/a/x?id=a", nil},
		{classPrefixRouter, "GET", "/display/ab?id=a", ErrNoClass},
		{classPrefixRouter, "GET", "/display?id=a", ErrNoClass},
		{queryRouter, "GET", "/display?id=a", nil},
		{queryRouter, "GET", "/display?id=", ErrMissingKey},
		{queryRouter, "GET", "/display?x=a", ErrMissingKey},
		{queryRouter, "GET", "/display?id=a&id=b", ErrAmbiguousKey},
		{queryRouter, "GET", "/display?id=a&%69d=b", ErrAmbiguousKey},
		{queryRouter, "GET", "/display?id=a&x;id=b", ErrAmbiguousKey},
		{queryRouter, "GET", "/display?id=a&x%zz", ErrAmbiguousKey},
	}
	for _, row := range rows {
		if _, err := matchURL(t, row.router, row.method, row.target, nil); !errors.Is(err, row.want) {
			t.Errorf("%s %.40s: %v; want %v", row.method, row.target, err, row.want)
		}
	}
}

// Guards against wrong reports of shadowed classes. A class is reported if and only if
// no method and path selects it.
func TestShadowedClasses(t *testing.T) {
	proptest.Check(t, 3, 1000, func(t *rapid.T) {
		s := drawService(t, 0)
		for i := range s.Classes {
			reached := false
			for _, method := range []string{"GET", "POST", "OTHER"} {
				for _, path := range []string{"/", "/z", "/a", "/a/b", "/a/z", "/ab"} {
					reached = reached || s.matchClass(method, path) == &s.Classes[i]
				}
			}
			if shadowed(s.Classes[:i], &s.Classes[i]) == reached {
				t.Fatalf("class %d of %+v: selected by a request: %v, in contradiction to shadowed", i, s.Classes, reached)
			}
		}
	})
}

// Guards against heap allocations when routing a request whose path has no escapes.
func TestMatchAllocations(t *testing.T) {
	m, err := Parse("m.json", []byte(validManifest))
	if err != nil {
		t.Fatal(err)
	}
	r, h := NewRouter(m), http.Header{}
	n := testing.AllocsPerRun(100, func() {
		if _, err := r.Match("GET", "/display/widget-17/view", Query(""), h); err != nil {
			t.Fatal(err)
		}
	})
	if n > 0 {
		t.Errorf("%v allocations for a request with a plain path key", n)
	}
}
