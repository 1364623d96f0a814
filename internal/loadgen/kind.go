package loadgen

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
)

// workParam asks a stand-in target to take a certain time in ms.
const workParam = "work_ms"

// kind is a request class with what is needed to make its requests.
type kind struct {
	id      string
	service *manifest.Service
	class   *manifest.Class
	method  string
	// upTo is the sum of the weights up to this kind.
	upTo float64
}

// kindsOf returns the classes of the manifest that have a weight.
func kindsOf(c Config, m *manifest.Manifest) ([]*kind, error) {
	router := manifest.NewRouter(m)
	known := make(map[string]bool)
	var kinds []*kind
	sum := 0.0
	for i := range m.Services {
		s := &m.Services[i]
		for j := range s.Classes {
			class := &s.Classes[j]
			known[classID(s, class)] = true
			weight := weightOf(c, s, class)
			if weight <= 0 {
				continue
			}
			sum += weight
			k := &kind{id: classID(s, class), service: s, class: class, method: methodOf(class), upTo: sum}
			if err := k.check(router); err != nil {
				return nil, err
			}
			kinds = append(kinds, k)
		}
	}
	for id := range c.Weights {
		if !known[id] {
			return nil, fmt.Errorf("%w: the manifest has no class %s", ErrConfig, id)
		}
	}
	if len(kinds) == 0 {
		return nil, fmt.Errorf("%w: no class has a weight", ErrConfig)
	}
	return kinds, nil
}

// weightOf returns the class's weight. By default the load of a service is
// proportional to its slots, divided evenly among its classes.
func weightOf(c Config, s *manifest.Service, class *manifest.Class) float64 {
	if c.Weights != nil {
		return c.Weights[classID(s, class)]
	}
	slots := 0
	for _, t := range s.Targets {
		slots += t.Slots
	}
	return float64(slots) / float64(len(s.Classes))
}

func methodOf(c *manifest.Class) string {
	if len(c.Methods) > 0 {
		return c.Methods[0]
	}
	return http.MethodGet
}

// check makes sure that the kind's requests are routed to its class. An earlier
// class may hide it.
func (k *kind) check(router *manifest.Router) error {
	const key = "k0"
	a := k.arrival(key, 0)
	path, query, _ := strings.Cut(a.url, "?")
	header := http.Header{}
	if k.service.Key.From == manifest.KeyFromHeader {
		header.Set(k.service.Key.Name, key)
	}
	match, err := router.Match(k.method, path, manifest.Query(query), header)
	if err != nil {
		return fmt.Errorf("%w: class %s: %s %s: %w", ErrConfig, k.id, k.method, a.url, err)
	}
	if match.Class.Name != k.class.Name || match.Key != key {
		return fmt.Errorf("%w: class %s: %s %s falls into class %s with key %s", ErrConfig, k.id, k.method, a.url, match.Class.Name, match.Key)
	}
	return nil
}

// arrival returns a request for the key, without time and address.
func (k *kind) arrival(key string, work time.Duration) arrival {
	a := arrival{kind: k}
	query := url.Values{}
	if work > 0 {
		query.Set(workParam, strconv.FormatInt(work.Milliseconds(), 10))
	}
	path := k.service.PathPrefix + k.class.PathPrefix
	switch k.service.Key.From {
	case manifest.KeyFromQuery:
		query.Set(k.service.Key.Name, key)
	case manifest.KeyFromHeader:
		a.header = key
	default:
		path += fillers(k.service.Key.Segment-segments(k.class.PathPrefix)) + "/" + key
	}
	a.url = path
	if len(query) > 0 {
		a.url += "?" + query.Encode()
	}
	return a
}

func segments(path string) int { return strings.Count(path, "/") }

// fillers returns n path segments.
func fillers(n int) string { return strings.Repeat("/x", max(n, 0)) }

func keyName(n uint64) string { return "key-" + strconv.FormatUint(n, 36) }
