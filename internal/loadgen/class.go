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

// workParam is the query parameter with the service time in ms for a stand-in target.
const workParam = "work_ms"

// requestClass is a class of the manifest with the data needed to generate its requests.
type requestClass struct {
	id            string
	service       *manifest.Service
	manifestClass *manifest.Class
	method        string
	// cumulativeWeight is the sum of the weights up to and including this class.
	cumulativeWeight float64
}

// requestClasses returns the classes of the manifest that have a positive weight.
func requestClasses(c Config, m *manifest.Manifest) ([]*requestClass, error) {
	router := manifest.NewRouter(m)
	known := make(map[string]bool)
	var classes []*requestClass
	sum := 0.0
	for i := range m.Services {
		s := &m.Services[i]
		for j := range s.Classes {
			class := &s.Classes[j]
			known[classID(s, class)] = true
			weight := classWeight(c, s, class)
			if weight <= 0 {
				continue
			}
			sum += weight
			k := &requestClass{id: classID(s, class), service: s, manifestClass: class, method: classMethod(class), cumulativeWeight: sum}
			if err := k.checkRouting(router); err != nil {
				return nil, err
			}
			classes = append(classes, k)
		}
	}
	for id := range c.Weights {
		if !known[id] {
			return nil, fmt.Errorf("%w: the manifest has no class %s", ErrConfig, id)
		}
	}
	if len(classes) == 0 {
		return nil, fmt.Errorf("%w: no class has a positive weight", ErrConfig)
	}
	return classes, nil
}

// classWeight returns the weight of a class. By default, the load of a service is
// proportional to its slots and divided evenly among its classes.
func classWeight(c Config, s *manifest.Service, class *manifest.Class) float64 {
	if c.Weights != nil {
		return c.Weights[classID(s, class)]
	}
	slots := 0
	for _, t := range s.Targets {
		slots += t.Slots
	}
	return float64(slots) / float64(len(s.Classes))
}

func classMethod(c *manifest.Class) string {
	if len(c.Methods) > 0 {
		return c.Methods[0]
	}
	return http.MethodGet
}

// checkRouting checks that the router assigns the generated requests to this class. An
// earlier class of the service may match them first.
func (k *requestClass) checkRouting(router *manifest.Router) error {
	const probeKey = "k0"
	a := k.newArrival(probeKey, 0)
	path, query, _ := strings.Cut(a.url, "?")
	header := http.Header{}
	if k.service.Key.From == manifest.KeyFromHeader {
		header.Set(k.service.Key.Name, probeKey)
	}
	match, err := router.Match(k.method, path, manifest.Query(query), header)
	if err != nil {
		return fmt.Errorf("%w: class %s: %s %s: %w", ErrConfig, k.id, k.method, a.url, err)
	}
	if match.Class.Name != k.manifestClass.Name || match.Key != probeKey {
		return fmt.Errorf("%w: class %s: %s %s is routed to class %s with key %s", ErrConfig, k.id, k.method, a.url, match.Class.Name, match.Key)
	}
	return nil
}

// newArrival returns a request for the key. Its time and address are not set.
func (k *requestClass) newArrival(key string, work time.Duration) arrival {
	a := arrival{class: k}
	query := url.Values{}
	if work > 0 {
		query.Set(workParam, strconv.FormatInt(work.Milliseconds(), 10))
	}
	path := k.service.PathPrefix + k.manifestClass.PathPrefix
	switch k.service.Key.From {
	case manifest.KeyFromQuery:
		query.Set(k.service.Key.Name, key)
	case manifest.KeyFromHeader:
		a.headerKey = key
	default:
		path += fillerSegments(k.service.Key.Segment-countSegments(k.manifestClass.PathPrefix)) + "/" + key
	}
	a.url = path
	if len(query) > 0 {
		a.url += "?" + query.Encode()
	}
	return a
}

func countSegments(path string) int { return strings.Count(path, "/") }

// fillerSegments returns a path of n placeholder segments.
func fillerSegments(n int) string { return strings.Repeat("/x", max(n, 0)) }

func keyName(n uint64) string { return "key-" + strconv.FormatUint(n, 36) }
