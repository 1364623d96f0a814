// Package once holds what clients that send each request at most once have in common.
package once

import (
	"bytes"
	"errors"
	"io"
)

// body cannot be rewound. Without GetBody and with a body of a type that it does not
// know, the transport never resends a request, not even after a kept-alive connection
// turned out to be closed.
type body struct{ io.Reader }

func (body) Close() error { return nil }

// Body returns a request body with the given bytes that cannot be rewound.
func Body(b []byte) io.ReadCloser { return body{bytes.NewReader(b)} }

// ErrNotSent reports a request of which no byte left this process.
var ErrNotSent = errors.New("request not sent")
