// Package etcdgw is a store client for the JSON gateway of etcd's v3 API. It
// implements topo.Store.
//
// A call that may change the store is sent at most once. If its result is unknown, it
// returns topo.ErrUnknownResult, and the state must be read back. A read without a
// reply is sent a second time on a new connection. Writes and watches always use a new
// connection: an idle one may be closed or may have stopped responding, and the result
// of a write sent on it would be unknown.
package etcdgw

import (
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/topo"
)

// Defaults of Options.
const (
	// DefaultMaxReplyBytes has room for two values of the largest size in base64.
	DefaultMaxReplyBytes = 4 << 20
	// DefaultCallTimeout limits a call whose context has no earlier deadline.
	DefaultCallTimeout = 5 * time.Second
)

const (
	dialTimeout      = 2 * time.Second
	idleConnTimeout  = 30 * time.Second
	maxIdleConns     = 8
	maxHeaderBytes   = 32 << 10
	keepAliveSeconds = 15
)

// Options configures a client. Zero fields take the defaults.
type Options struct {
	// MaxReplyBytes is the maximum size of a reply and of each message of a watch.
	MaxReplyBytes int64
	// CallTimeout limits the duration of a call and of the opening of a watch.
	CallTimeout time.Duration
}

// Client is a client of one store address. It is safe for concurrent use.
type Client struct {
	base     string
	pooled   *http.Transport // for reads
	unpooled *http.Transport // for writes and watches; a new connection for each
	maxReply int64
	timeout  time.Duration
}

var (
	_ topo.Store  = (*Client)(nil)
	_ topo.Lister = (*Client)(nil)
)

// New returns a client of the store at base, such as http://192.0.2.1:2379. It
// does not connect.
func New(base string, o Options) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, fmt.Errorf("store address: %w", err)
	}
	if u.Scheme != "http" || u.Host == "" || (u.Path != "" && u.Path != "/") {
		return nil, fmt.Errorf("store address %q is not of the form http://host:port", base)
	}
	c := &Client{base: "http://" + u.Host, maxReply: o.MaxReplyBytes, timeout: o.CallTimeout}
	c.pooled, c.unpooled = newTransport(), newTransport()
	c.unpooled.DisableKeepAlives = true
	if c.maxReply <= 0 {
		c.maxReply = DefaultMaxReplyBytes
	}
	if c.timeout <= 0 {
		c.timeout = DefaultCallTimeout
	}
	return c, nil
}

// Close closes idle connections. Calls and watches in progress end with their contexts.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }
