// Package keyrange defines ranges of store keys in the form of etcd's API: a first key
// and an exclusive end, for which two values have a special meaning.
package keyrange

// ToLast as the End of a Range means that the range has no upper bound.
const ToLast = "\x00"

// Range is a set of keys. An empty End selects only Key; ToLast selects Key and
// all keys above it; any other End selects Key <= k < End.
type Range struct {
	Key string
	End string
}

// One returns the range that contains only key.
func One(key string) Range { return Range{Key: key} }

// Prefix returns the range of all keys that start with prefix. The empty prefix
// selects every key.
func Prefix(prefix string) Range {
	if prefix == "" {
		return Range{Key: ToLast, End: ToLast}
	}
	return Range{Key: prefix, End: prefixEnd(prefix)}
}

// Contains reports whether key is in the range.
func (r Range) Contains(key string) bool {
	switch r.End {
	case "":
		return key == r.Key
	case ToLast:
		return key >= r.Key
	default:
		return key >= r.Key && key < r.End
	}
}

// prefixEnd returns the lowest key above all keys with the prefix. If the prefix consists
// of 0xff bytes only, there is none, and it returns ToLast.
func prefixEnd(prefix string) string {
	b := []byte(prefix)
	for i := len(b) - 1; i >= 0; i-- {
		if b[i] < 0xff {
			b[i]++
			return string(b[:i+1])
		}
	}
	return ToLast
}
