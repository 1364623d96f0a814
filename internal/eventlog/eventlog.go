// Package eventlog writes structured log lines without ever holding up the
// program: lines wait in a bounded ring, and lines of one kind beyond a rate are
// counted and not written.
package eventlog

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/jackdawloom/jackdawloom/internal/ring"
)

// Bounds of the log.
const (
	// ringLines is the number of lines that wait for a slow reader, about 300 KB.
	ringLines = 1024
	// linesPerSecond and lineBurst bound the lines of one kind. The first ones of
	// each kind are always written.
	linesPerSecond = 40
	lineBurst      = 200
	// reasonKey is the attribute that tells kinds with the same message apart.
	reasonKey = "reason"
	// omittedKey is the attribute with the number of lines of the kind that were
	// left out before this one.
	omittedKey = "omitted_before"
	// maxKinds bounds the kinds that are told apart.
	maxKinds = 512
)

// Log is the state that all handlers of one log share.
type Log struct {
	format  Format
	ring    *ring.Queue[[]byte]
	dropped atomic.Uint64
	omitted atomic.Uint64

	mu    sync.Mutex
	kinds map[kind]*limit
}

type kind struct{ message, reason string }

type limit struct {
	rate    *rate.Limiter
	omitted int
}

// Format makes a handler of the log's lines.
type Format func(io.Writer, *slog.HandlerOptions) slog.Handler

// JSON formats lines as JSON objects.
func JSON(w io.Writer, o *slog.HandlerOptions) slog.Handler { return slog.NewJSONHandler(w, o) }

// Text formats lines as key=value pairs.
func Text(w io.Writer, o *slog.HandlerOptions) slog.Handler { return slog.NewTextHandler(w, o) }

// New returns an empty log.
func New(f Format) *Log {
	return &Log{format: f, ring: ring.New[[]byte](ringLines), kinds: make(map[kind]*limit)}
}

// Counts returns the lines that were dropped because the reader was slow, and
// those that were left out because there were too many of their kind.
func (l *Log) Counts() (dropped, omitted uint64) { return l.dropped.Load(), l.omitted.Load() }

// Run writes lines until ctx ends, and then those that wait.
func (l *Log) Run(ctx context.Context, w io.Writer) {
	var reported uint64
	for {
		select {
		case line := <-l.ring.Items():
			reported = l.write(w, line, reported)
		case <-ctx.Done():
			l.drain(w, reported)
			return
		}
	}
}

func (l *Log) drain(w io.Writer, reported uint64) {
	for {
		select {
		case line := <-l.ring.Items():
			reported = l.write(w, line, reported)
		default:
			return
		}
	}
}

// write writes a line, and before it how many were dropped since the last one.
func (l *Log) write(w io.Writer, line []byte, reported uint64) uint64 {
	if dropped := l.dropped.Load(); dropped > reported {
		slog.New(l.format(w, nil)).Warn("log lines dropped; the reader is slow", "lines", dropped-reported)
		reported = dropped
	}
	// Nothing can be done about a standard output that cannot be written to.
	_, _ = w.Write(line)
	return reported
}

// admit reports whether a line of a kind is written, and how many of the kind
// were left out before it.
func (l *Log) admit(k kind, now time.Time) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.kinds[k]
	if x == nil {
		if len(l.kinds) >= maxKinds {
			clear(l.kinds)
		}
		x = &limit{rate: rate.NewLimiter(linesPerSecond, lineBurst)}
		l.kinds[k] = x
	}
	if !x.rate.AllowN(now, 1) {
		x.omitted++
		l.omitted.Add(1)
		return 0, false
	}
	omitted := x.omitted
	x.omitted = 0
	return omitted, true
}

// Handler returns a handler that writes to the log.
func (l *Log) Handler(level slog.Leveler) slog.Handler {
	return &handler{log: l, level: level}
}

// handler formats records. It implements slog.Handler.
type handler struct {
	log   *Log
	level slog.Leveler
	with  []func(slog.Handler) slog.Handler
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(_ context.Context, l slog.Level) bool { return l >= h.level.Level() }

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return h.and(func(inner slog.Handler) slog.Handler { return inner.WithAttrs(attrs) })
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return h.and(func(inner slog.Handler) slog.Handler { return inner.WithGroup(name) })
}

func (h *handler) and(f func(slog.Handler) slog.Handler) slog.Handler {
	return &handler{log: h.log, level: h.level, with: append(h.with[:len(h.with):len(h.with)], f)}
}

// Handle implements slog.Handler. It never waits.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	k := kind{message: r.Message}
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == reasonKey {
			k.reason = a.Value.String()
		}
		return true
	})
	omitted, ok := h.log.admit(k, r.Time)
	if !ok {
		return nil
	}
	if omitted > 0 {
		r.AddAttrs(slog.Int(omittedKey, omitted))
	}
	var b bytes.Buffer
	inner := h.log.format(&b, &slog.HandlerOptions{Level: h.level})
	for _, f := range h.with {
		inner = f(inner)
	}
	if err := inner.Handle(ctx, r); err != nil {
		return err
	}
	if err := h.log.ring.TryPut(b.Bytes()); err != nil {
		h.log.dropped.Add(1)
	}
	return nil
}
