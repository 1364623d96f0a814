package manifest

import (
	"errors"
	"net/http"
	"net/url"
	"slices"
	"strings"
)

// Errors of Router.Match. A request that gets one of them has not run.
var (
	// ErrBadPath reports a path that a target could interpret differently than the
	// router: one with empty, "." or ".." segments, escaped slashes, backslashes, raw
	// semicolons or invalid escapes. Otherwise a never-repeat request could be
	// classified as an idempotent one.
	ErrBadPath = errors.New("path is not in normal form")
	// ErrUnknownService reports a path that no service's prefix matches.
	ErrUnknownService = errors.New("no such service")
	// ErrNoClass reports a method and path that no class of the service matches.
	ErrNoClass = errors.New("no request class matches")
	// ErrMissingKey reports a request without a key.
	ErrMissingKey = errors.New("key is missing")
	// ErrAmbiguousKey reports a request that gives its key more than once, or whose
	// query could be parsed in different ways.
	ErrAmbiguousKey = errors.New("key is given more than once")
	// ErrKeyTooLong reports a key that exceeds the router's maximum length.
	ErrKeyTooLong = errors.New("key is too long")
)

// Values looks up all values of a query parameter or header. It is implemented by
// http.Header and, for raw query strings, by Query.
type Values interface {
	Values(name string) []string
}

// Match is the result of routing a request. Service and Class point into data shared
// with the router and must not be modified.
type Match struct {
	Service *Service
	Class   *Class
	Key     string
}

// Router determines the service, class and key of requests. It is immutable and safe
// for concurrent use.
type Router struct {
	// services is keyed by path prefix without a trailing slash; "/" is stored as "".
	services map[string]*Service
	maxKey   int
}

// NewRouter returns a router for a valid manifest, which must not be modified
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

// WithMaxKey returns a copy of the router that refuses keys longer than n bytes, or
// longer than MaxKeyBytes if that is less.
func (r *Router) WithMaxKey(n int) *Router {
	c := *r
	c.maxKey = min(n, MaxKeyBytes)
	return &c
}

// Match returns the service, class and key of a request. path is the escaped
// path (url.URL.EscapedPath). On an error, the result holds the fields determined
// before it occurred.
func (r *Router) Match(method, path string, query, header Values) (Match, error) {
	path, err := normalizePath(path)
	if err != nil {
		return Match{}, err
	}
	service, rest := r.findService(path)
	if service == nil {
		return Match{}, ErrUnknownService
	}
	m := Match{Service: service}
	if m.Class = service.matchClass(method, rest); m.Class == nil {
		return m, ErrNoClass
	}
	m.Key, err = service.Key.extract(rest, query, header)
	if err == nil && len(m.Key) > r.maxKey {
		return Match{Service: m.Service, Class: m.Class}, ErrKeyTooLong
	}
	return m, err
}

// findService returns the service whose prefix matches path, and the rest of the path.
// Prefixes do not overlap, so at most one matches.
func (r *Router) findService(path string) (*Service, string) {
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

func (s *Service) matchClass(method, rest string) *Class {
	for i := range s.Classes {
		c := &s.Classes[i]
		if len(c.Methods) > 0 && !slices.Contains(c.Methods, method) {
			continue
		}
		if hasPathPrefix(rest, c.PathPrefix) {
			return c
		}
	}
	return nil
}

func (k *KeySource) extract(rest string, query, header Values) (string, error) {
	switch k.From {
	case KeyFromQuery:
		return singleValue(query.Values(k.Name))
	case KeyFromHeader:
		return singleValue(header.Values(k.Name))
	}
	key := pathSegment(rest, k.Segment)
	if key == "" {
		return "", ErrMissingKey
	}
	return key, nil
}

func singleValue(values []string) (string, error) {
	switch {
	case len(values) > 1:
		return "", ErrAmbiguousKey
	case len(values) == 0 || values[0] == "":
		return "", ErrMissingKey
	}
	return values[0], nil
}

// pathSegment returns the n-th segment, counted from 0, of a path that starts with a
// slash, or "" if there is none.
func pathSegment(path string, n int) string {
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

// normalizePath unescapes a path. It returns ErrBadPath if servers could split the path
// into different segments.
func normalizePath(escaped string) (string, error) {
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
	// Some servers remove path parameters after a raw semicolon. An escaped semicolon
	// is part of the segment.
	if strings.IndexByte(escaped, ';') >= 0 || !isPlainPath(path) {
		return "", ErrBadPath
	}
	return path, nil
}

// isPlainPath reports whether the path starts with a slash and contains no backslash
// and no empty, "." or ".." segment. A trailing slash is allowed.
func isPlainPath(path string) bool {
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
