package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/coordination/admission"
	"github.com/jackdawloom/jackdawloom/internal/coordination/front"
	"github.com/jackdawloom/jackdawloom/internal/protocol/header"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

// call is one attempt of a caller's request at a front.
type call struct {
	service     string
	class       string
	neverRepeat bool
	unit        table.Unit
	hash        uint64
	caller      string
	requestID   string
	deadline    time.Time
	request     *http.Request
}

// errExpired reports a request whose deadline has passed before it was sent.
var errExpired = errors.New("deadline has passed")

// expired is checked before each send: moves of keys count on no request being
// sent after its deadline, also by a daemon that was paused.
func (c call) expired(now time.Time) error {
	if now.Before(c.deadline) {
		return nil
	}
	return errExpired
}

// targetRequest turns the call's request, which belongs to this attempt alone,
// into the one that is sent to the target.
func (c call) targetRequest(r running) *http.Request {
	out := c.request
	h := out.Header
	stripHopByHop(h)
	stripOwn(h)
	h.Set(header.FrontEpoch, strconv.FormatUint(r.frontEpoch, 10))
	h.Set(header.Unit, c.unit.String())
	h.Set(header.UnitEpoch, strconv.FormatUint(uint64(r.unitEpoch), 10))
	h.Set(header.RequestID, c.requestID)
	h.Set(header.DeadlineMs, deadlineMs(c.deadline))
	return out
}

// deadlineMs returns the time left in whole milliseconds, at least 1.
func deadlineMs(deadline time.Time) string {
	return strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10)
}

// rejected returns the refusal for a response by which the target says that it
// did not run the request, and ends the run.
func (f *targetFront) rejected(r running, resp *http.Response) *refusal {
	if resp.Header.Get(header.Outcome) != header.NotRun {
		return nil
	}
	refused := &refusal{
		status: http.StatusServiceUnavailable, outcome: notRun, reason: reasonTargetShed,
		overload: true, retryAfter: parseRetryAfter(resp.Header),
	}
	limited := admission.Shed
	if resp.StatusCode == http.StatusPreconditionFailed {
		refused.reason, refused.overload = reasonTargetGrant, false
		limited = admission.Cancelled
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxRefusalBody))
	_ = resp.Body.Close()
	f.end(r, front.Rejected, limited)
	return refused
}

// maxRefusalBody is how much of a refusing response is read to keep its
// connection usable.
const maxRefusalBody = 4 << 10

// hopByHop are the header fields that end at the next hop (RFC 9110, section
// 7.6.1, and older practice).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func stripHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// ownPrefix starts the names of all header fields of the router.
const ownPrefix = "Jackdawloom-"

// stripOwn removes the router's own fields, which neither callers nor targets
// may set for others.
func stripOwn(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, ownPrefix) {
			delete(h, name)
		}
	}
}

// relay writes a complete upstream response. If the upstream fails after the
// header was written, the connection to the caller is aborted, so that a
// truncated body is never taken for a whole one.
func relay(w http.ResponseWriter, resp *http.Response) (complete bool) {
	defer func() { _ = resp.Body.Close() }()
	h := w.Header()
	stripHopByHop(resp.Header)
	stripOwn(resp.Header)
	for name, values := range resp.Header {
		h[name] = values
	}
	for name := range resp.Trailer {
		h.Add("Trailer", name)
	}
	w.WriteHeader(resp.StatusCode)
	if err := copyFlushing(w, resp); err != nil {
		return false
	}
	for name, values := range resp.Trailer {
		if strings.HasPrefix(name, ownPrefix) {
			continue
		}
		for _, v := range values {
			h.Add(http.TrailerPrefix+name, v)
		}
	}
	return true
}

// copyBuffers holds buffers for bodies.
var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferSize)
	return &b
}}

const copyBufferSize = 32 << 10

// copyFlushing copies the body and flushes each piece of a body of unknown
// length, so that streams reach the caller as they come.
func copyFlushing(w http.ResponseWriter, resp *http.Response) error {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	flush := resp.ContentLength < 0
	control := http.NewResponseController(w)
	var copied int64
	for {
		n, err := resp.Body.Read(*buffer)
		if n > 0 {
			if _, werr := w.Write((*buffer)[:n]); werr != nil {
				return fmt.Errorf("write to caller: %w", werr)
			}
			copied += int64(n)
			if flush {
				_ = control.Flush()
			}
		}
		if err == io.EOF {
			return checkLength(resp, copied)
		}
		if err != nil {
			return fmt.Errorf("read from upstream: %w", err)
		}
	}
}

func checkLength(resp *http.Response, copied int64) error {
	head := resp.Request != nil && resp.Request.Method == http.MethodHead
	if resp.ContentLength >= 0 && copied != resp.ContentLength && !head {
		return fmt.Errorf("body of %d bytes, %d announced: %w", copied, resp.ContentLength, io.ErrUnexpectedEOF)
	}
	return nil
}

// informational passes 1xx responses on to w until stop is called.
type informational struct {
	mu   sync.Mutex
	w    http.ResponseWriter
	done bool
}

func (i *informational) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{Got1xxResponse: i.got})
}

func (i *informational) got(code int, fields textproto.MIMEHeader) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.done || code == http.StatusContinue || code == http.StatusSwitchingProtocols {
		return nil
	}
	h := i.w.Header()
	for name, values := range fields {
		h[name] = values
	}
	stripHopByHop(h)
	stripOwn(h)
	i.w.WriteHeader(code)
	clear(h)
	return nil
}

func (i *informational) stop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.done = true
}
