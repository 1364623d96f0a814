package manifest

import (
	"net/url"
	"strings"
)

// Query is a raw query string whose parameters are looked up without parsing it into
// a map.
type Query string

// Values returns the decoded values of a parameter. If the query contains a semicolon,
// which some servers treat as a separator, or an invalid escape in a name or in a value
// of the parameter, Values returns two empty strings, so that the key counts as
// ambiguous.
func (q Query) Values(name string) []string {
	if strings.IndexByte(string(q), ';') >= 0 {
		return ambiguousValues
	}
	var out []string
	for rest := string(q); rest != ""; {
		var pair string
		pair, rest, _ = strings.Cut(rest, "&")
		k, v, _ := strings.Cut(pair, "=")
		k, err := url.QueryUnescape(k)
		if err != nil {
			return ambiguousValues
		}
		if k != name {
			continue
		}
		if v, err = url.QueryUnescape(v); err != nil {
			return ambiguousValues
		}
		out = append(out, v)
	}
	return out
}

var ambiguousValues = []string{"", ""}
