// Package once holds what is common to requests that are sent at most once.
package once

import (
	"bytes"
	"errors"
	"io"
)

// body cannot be rewound. Without GetBody and with an unknown type of body, the
// transport never sends a request again, not even after a kept connection turned
// out to be closed.
type body struct{ io.Reader }

func (body) Close() error { return nil }

// Body returns a body with the given bytes.
func Body(b []byte) io.ReadCloser { return body{bytes.NewReader(b)} }

// ErrNotSent reports a request of which certainly no byte left this process.
var ErrNotSent = errors.New("request not sent")
