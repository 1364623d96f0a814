// Package eventlog writes structured log lines without blocking the program: lines
// are buffered in a bounded queue, and lines of one kind that exceed a rate limit are
// counted instead of written.
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

// Limits of the log.
const (
	// queueCapacity is the number of lines that are buffered for a slow reader, about
	// 300 KB.
	queueCapacity = 1024
	// linesPerSecond and lineBurst are the rate limit for lines of one kind. The first
	// lines of each kind are always written.
	linesPerSecond = 40
	lineBurst      = 200
	// reasonKey is the attribute that distinguishes kinds with the same message.
	reasonKey = "reason"
	// omittedKey is the attribute with the number of lines of the same kind that were
	// omitted since the last one that was written.
	omittedKey = "omitted_before"
	// maxKinds limits the number of kinds with a rate limiter. When it is reached, all
	// limiters are reset.
	maxKinds = 512
)

// Log is the state shared by all handlers of one log.
type Log struct {
	format  Format
	queue   *ring.Queue[[]byte]
	dropped atomic.Uint64
	omitted atomic.Uint64

	mu    sync.Mutex
	kinds map[lineKind]*kindState
}

// lineKind identifies the lines that share a rate limit.
type lineKind struct{ message, reason string }

// kindState is the rate limiter of a kind with the number of lines omitted since the
// last one that was written.
type kindState struct {
	limiter *rate.Limiter
	omitted int
}

// Format returns a handler that formats lines to a writer.
type Format func(io.Writer, *slog.HandlerOptions) slog.Handler

// JSON formats lines as JSON objects.
func JSON(w io.Writer, o *slog.HandlerOptions) slog.Handler { return slog.NewJSONHandler(w, o) }

// Text formats lines as key=value pairs.
func Text(w io.Writer, o *slog.HandlerOptions) slog.Handler { return slog.NewTextHandler(w, o) }

// New returns an empty log.
func New(f Format) *Log {
	return &Log{format: f, queue: ring.New[[]byte](queueCapacity), kinds: make(map[lineKind]*kindState)}
}

// Counts returns the number of lines that were dropped because the queue was full, and
// of those that were omitted by the rate limit of their kind.
func (l *Log) Counts() (dropped, omitted uint64) { return l.dropped.Load(), l.omitted.Load() }

// Run writes lines until ctx ends, and then the lines that are still queued.
func (l *Log) Run(ctx context.Context, w io.Writer) {
	var reported uint64
	for {
		select {
		case line := <-l.queue.Items():
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
		case line := <-l.queue.Items():
			reported = l.write(w, line, reported)
		default:
			return
		}
	}
}

// write writes a line. If lines were dropped since the last report, it first writes
// how many. It returns the number of dropped lines that have been reported.
func (l *Log) write(w io.Writer, line []byte, reported uint64) uint64 {
	if dropped := l.dropped.Load(); dropped > reported {
		slog.New(l.format(w, nil)).Warn("log lines dropped; the reader is slow", "lines", dropped-reported)
		reported = dropped
	}
	// The error is ignored: if the log itself cannot be written, there is nowhere to
	// report it.
	_, _ = w.Write(line)
	return reported
}

// allow reports whether the rate limit allows a line of a kind, and how many lines of
// the kind were omitted before it.
func (l *Log) allow(k lineKind, now time.Time) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.kinds[k]
	if state == nil {
		if len(l.kinds) >= maxKinds {
			clear(l.kinds)
		}
		state = &kindState{limiter: rate.NewLimiter(linesPerSecond, lineBurst)}
		l.kinds[k] = state
	}
	if !state.limiter.AllowN(now, 1) {
		state.omitted++
		l.omitted.Add(1)
		return 0, false
	}
	omitted := state.omitted
	state.omitted = 0
	return omitted, true
}

// Handler returns a handler that writes to the log.
func (l *Log) Handler(level slog.Leveler) slog.Handler {
	return &handler{log: l, level: level}
}

// handler formats records and queues them. It implements slog.Handler.
type handler struct {
	log   *Log
	level slog.Leveler
	// wrappers apply the attributes and groups of the handler, in order.
	wrappers []func(slog.Handler) slog.Handler
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(_ context.Context, l slog.Level) bool { return l >= h.level.Level() }

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return h.withWrapper(func(inner slog.Handler) slog.Handler { return inner.WithAttrs(attrs) })
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return h.withWrapper(func(inner slog.Handler) slog.Handler { return inner.WithGroup(name) })
}

func (h *handler) withWrapper(wrapper func(slog.Handler) slog.Handler) slog.Handler {
	return &handler{log: h.log, level: h.level, wrappers: append(h.wrappers[:len(h.wrappers):len(h.wrappers)], wrapper)}
}

// Handle implements slog.Handler. It never blocks: if the queue is full, the line is
// dropped and counted.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	k := lineKind{message: r.Message}
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == reasonKey {
			k.reason = a.Value.String()
		}
		return true
	})
	omitted, ok := h.log.allow(k, r.Time)
	if !ok {
		return nil
	}
	if omitted > 0 {
		r.AddAttrs(slog.Int(omittedKey, omitted))
	}
	var b bytes.Buffer
	inner := h.log.format(&b, &slog.HandlerOptions{Level: h.level})
	for _, f := range h.wrappers {
		inner = f(inner)
	}
	if err := inner.Handle(ctx, r); err != nil {
		return err
	}
	if err := h.log.queue.TryPut(b.Bytes()); err != nil {
		h.log.dropped.Add(1)
	}
	return nil
}
