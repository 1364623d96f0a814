package manifest

import (
	"net/url"
	"strings"
)

// Query is a raw query string that is searched without parsing it whole.
type Query string

// Values returns the decoded values of the parameter. A query that servers
// split differently (one with a semicolon) or a pair with a bad escape gives
// two empty values for any name, so that the key counts as ambiguous.
func (q Query) Values(name string) []string {
	if strings.IndexByte(string(q), ';') >= 0 {
		return ambiguous
	}
	var out []string
	for rest := string(q); rest != ""; {
		var pair string
		pair, rest, _ = strings.Cut(rest, "&")
		k, v, _ := strings.Cut(pair, "=")
		k, err := url.QueryUnescape(k)
		if err != nil {
			return ambiguous
		}
		if k != name {
			continue
		}
		if v, err = url.QueryUnescape(v); err != nil {
			return ambiguous
		}
		out = append(out, v)
	}
	return out
}

var ambiguous = []string{"", ""}
