package manifest

import (
	"errors"
	"net/http"
	"net/url"
	"slices"
	"strings"
)

// Errors of Router.Match. No request that gets one of them has run.
var (
	// ErrBadPath reports a path that a target could read differently than the
	// router: empty, "." or ".." segments, escaped slashes, backslashes, raw
	// semicolons, bad escapes. A never-repeat request could otherwise be taken
	// for an idempotent one.
	ErrBadPath = errors.New("path is not in normal form")
	// ErrUnknownService reports a path below no service's prefix.
	ErrUnknownService = errors.New("no such service")
	// ErrNoClass reports a method and path that no class of the service matches.
	ErrNoClass = errors.New("no request class matches")
	// ErrMissingKey reports a request without a key.
	ErrMissingKey = errors.New("key is missing")
	// ErrAmbiguousKey reports a request that gives its key more than once.
	ErrAmbiguousKey = errors.New("key is given more than once")
	// ErrKeyTooLong reports a key above the limit.
	ErrKeyTooLong = errors.New("key is too long")
)

// Values looks up all values of a query parameter or header. http.Header
// implements it; Query does for a raw query string.
type Values interface {
	Values(name string) []string
}

// Match is the routing result of a request. Service and Class point into the
// router's manifest and must not be changed.
type Match struct {
	Service *Service
	Class   *Class
	Key     string
}

// Router finds the service, class and key of requests. It is immutable and safe
// for concurrent use.
type Router struct {
	// services is keyed by prefix without a trailing slash, "" for "/".
	services map[string]*Service
	maxKey   int
}

// NewRouter returns a router for a valid manifest, which must not change
// afterwards.
func NewRouter(m *Manifest) *Router {
	r := &Router{services: make(map[string]*Service, len(m.Services)), maxKey: MaxKeyBytes}
	for i := range m.Services {
		s := m.Services[i]
		if s.Key.From == KeyFromHeader {
			s.Key.Name = http.CanonicalHeaderKey(s.Key.Name)
		}
		r.services[strings.TrimSuffix(s.PathPrefix, "/")] = &s
	}
	return r
}

// WithMaxKey returns a router that refuses keys of more than n bytes. n above
// MaxKeyBytes has no effect.
func (r *Router) WithMaxKey(n int) *Router {
	c := *r
	c.maxKey = min(n, MaxKeyBytes)
	return &c
}

// Match returns the service, class and key of a request. path is the escaped
// path (url.URL.EscapedPath). On an error, the fields found so far are set.
func (r *Router) Match(method, path string, query, header Values) (Match, error) {
	path, err := normalPath(path)
	if err != nil {
		return Match{}, err
	}
	service, rest := r.find(path)
	if service == nil {
		return Match{}, ErrUnknownService
	}
	m := Match{Service: service}
	if m.Class = service.classOf(method, rest); m.Class == nil {
		return m, ErrNoClass
	}
	m.Key, err = service.Key.extract(rest, query, header)
	if err == nil && len(m.Key) > r.maxKey {
		return Match{Service: m.Service, Class: m.Class}, ErrKeyTooLong
	}
	return m, err
}

// find returns the service whose prefix covers path, and the rest of the path.
// Prefixes do not overlap, so the first hit is the only one.
func (r *Router) find(path string) (*Service, string) {
	for i := 0; i <= len(path); i++ {
		if i < len(path) && path[i] != '/' {
			continue
		}
		if s, ok := r.services[path[:i]]; ok {
			return s, path[i:]
		}
	}
	return nil, ""
}

func (s *Service) classOf(method, rest string) *Class {
	for i := range s.Classes {
		c := &s.Classes[i]
		if len(c.Methods) > 0 && !slices.Contains(c.Methods, method) {
			continue
		}
		if underPrefix(rest, c.PathPrefix) {
			return c
		}
	}
	return nil
}

func (k *KeySource) extract(rest string, query, header Values) (string, error) {
	switch k.From {
	case KeyFromQuery:
		return single(query.Values(k.Name))
	case KeyFromHeader:
		return single(header.Values(k.Name))
	}
	key := segment(rest, k.Segment)
	if key == "" {
		return "", ErrMissingKey
	}
	return key, nil
}

func single(values []string) (string, error) {
	switch {
	case len(values) > 1:
		return "", ErrAmbiguousKey
	case len(values) == 0 || values[0] == "":
		return "", ErrMissingKey
	}
	return values[0], nil
}

// segment returns the n-th segment of a path that starts with a slash.
func segment(path string, n int) string {
	for ; ; n-- {
		path = strings.TrimPrefix(path, "/")
		end := strings.IndexByte(path, '/')
		if n == 0 {
			if end < 0 {
				end = len(path)
			}
			return path[:end]
		}
		if end < 0 {
			return ""
		}
		path = path[end:]
	}
}

// normalPath returns the unescaped path if every reader splits it into the same
// segments.
func normalPath(escaped string) (string, error) {
	path := escaped
	if strings.IndexByte(escaped, '%') >= 0 {
		if strings.Contains(escaped, "%2F") || strings.Contains(escaped, "%2f") {
			return "", ErrBadPath
		}
		var err error
		if path, err = url.PathUnescape(escaped); err != nil {
			return "", ErrBadPath
		}
	}
	// Some servers cut parameters off at a raw semicolon; an escaped one is data.
	if strings.IndexByte(escaped, ';') >= 0 || !plainPath(path) {
		return "", ErrBadPath
	}
	return path, nil
}

// plainPath reports whether the path starts with a slash and has no backslash
// and no empty, "." or ".." segment, other than a trailing slash.
func plainPath(path string) bool {
	if path == "" || path[0] != '/' || strings.IndexByte(path, '\\') >= 0 {
		return false
	}
	for rest := path[1:]; rest != ""; {
		seg, after, more := strings.Cut(rest, "/")
		if seg == "" || seg == "." || seg == ".." {
			return false
		}
		if !more {
			break
		}
		rest = after
	}
	return true
}
