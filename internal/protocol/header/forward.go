package header

import (
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Forward is the header that carries a forwarded request's properties between
// daemons. They travel in one field: eight of their own cost more to encode and
// decode than all of the caller's fields together.
const Forward = "Jackdawloom-Forward"

// ErrMalformed reports a Forward header that cannot be read.
var ErrMalformed = errors.New("malformed forward header")

// ForwardInfo is what an entry tells the front of a request.
type ForwardInfo struct {
	Service string
	Class   string
	// KeyHash is the hash of the request's key.
	KeyHash uint64
	// Caller identifies the caller for fair queueing.
	Caller    string
	RequestID string
	// Left is the time left for the request, in whole milliseconds.
	Left time.Duration
	// TableRevision is the table revision that the request was routed by.
	TableRevision uint64
	// Host is the Host field of the caller's request.
	Host string
}

// forwardFields is the number of fields of an encoded ForwardInfo.
const forwardFields = 8

// String encodes the information: fields separated by commas, texts escaped as
// in queries.
func (f ForwardInfo) String() string {
	fields := [forwardFields]string{
		url.QueryEscape(f.Service), url.QueryEscape(f.Class), strconv.FormatUint(f.KeyHash, 16),
		url.QueryEscape(f.Caller), url.QueryEscape(f.RequestID), strconv.FormatInt(f.Left.Milliseconds(), 10),
		strconv.FormatUint(f.TableRevision, 10), url.QueryEscape(f.Host),
	}
	return strings.Join(fields[:], ",")
}

// ParseForward decodes the header's value.
func ParseForward(s string) (ForwardInfo, error) {
	fields := strings.Split(s, ",")
	if len(fields) != forwardFields {
		return ForwardInfo{}, fmt.Errorf("%w: %d fields", ErrMalformed, len(fields))
	}
	var f ForwardInfo
	texts := [...]struct {
		field int
		into  *string
	}{{0, &f.Service}, {1, &f.Class}, {3, &f.Caller}, {4, &f.RequestID}, {7, &f.Host}}
	for _, t := range texts {
		value, err := url.QueryUnescape(fields[t.field])
		if err != nil {
			return ForwardInfo{}, fmt.Errorf("%w: %w", ErrMalformed, err)
		}
		*t.into = value
	}
	hash, errHash := strconv.ParseUint(fields[2], 16, 64)
	left, errLeft := strconv.ParseInt(fields[5], 10, 32)
	revision, errRevision := strconv.ParseUint(fields[6], 10, 64)
	if err := errors.Join(errHash, errLeft, errRevision); err != nil {
		return ForwardInfo{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	f.KeyHash, f.Left, f.TableRevision = hash, time.Duration(left)*time.Millisecond, revision
	return f, nil
}
