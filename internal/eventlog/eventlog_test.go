package eventlog

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// stalledWriter blocks in Write until release is closed.
type stalledWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (w *stalledWriter) Write(b []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(b)
}

// Guards against a stalled reader of the log that blocks requests, and against lines
// that are lost without being counted.
func TestStalledReaderNeverBlocks(t *testing.T) {
	l := New(JSON)
	log := slog.New(l.Handler(slog.LevelInfo))
	w := &stalledWriter{release: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(ctx, w)
	}()
	const lines = 10 * queueCapacity
	logged := make(chan struct{})
	go func() {
		defer close(logged)
		for i := range lines {
			log.Info("event", "reason", string(rune('a'+i%26))+string(rune('a'+i/26%26)), "n", i)
		}
	}()
	select {
	case <-logged:
	case <-time.After(5 * time.Second):
		t.Fatal("logging blocks on the reader")
	}
	close(w.release)
	cancel()
	<-done
	dropped, omitted := l.Counts()
	if dropped == 0 {
		t.Error("no line was counted as dropped")
	}
	written := strings.Count(w.String(), `"msg":"event"`)
	if got := written + int(dropped) + int(omitted); got != lines {
		t.Errorf("%d written, %d dropped, %d omitted: %d in all, want %d", written, dropped, omitted, got, lines)
	}
	if !strings.Contains(w.String(), "log lines dropped") {
		t.Error("the log does not report dropped lines")
	}
}

// Guards against a frequent kind of line that displaces a rare one, and against lines
// that are omitted without a count.
func TestFrequentKindIsSampled(t *testing.T) {
	l := New(JSON)
	log := slog.New(l.Handler(slog.LevelInfo))
	for range lineBurst + 100 {
		log.Info("event", "reason", "frequent")
	}
	log.Info("event", "reason", "rare")
	time.Sleep(2 * time.Second / linesPerSecond)
	log.Info("event", "reason", "frequent")
	var b bytes.Buffer
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	l.Run(ctx, &b)
	if !strings.Contains(b.String(), "rare") {
		t.Error("the first line of a kind is missing")
	}
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	var last map[string]any
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &last); err != nil {
		t.Fatal(err)
	}
	if n, _ := last[omittedKey].(float64); n < 50 {
		t.Errorf("last line %v does not report the number of omitted lines", last)
	}
}

// Guards against losing the attributes and groups of a logger.
func TestKeepsAttributes(t *testing.T) {
	l := New(JSON)
	slog.New(l.Handler(slog.LevelInfo)).With("daemon", "d1").WithGroup("g").Info("event", "k", 1)
	var b bytes.Buffer
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	l.Run(ctx, &b)
	if got := b.String(); !strings.Contains(got, `"daemon":"d1","g":{"k":1}`) {
		t.Errorf("got %s", got)
	}
}

// BenchmarkLine measures the cost of a log line to the request that writes it.
func BenchmarkLine(b *testing.B) {
	l := New(JSON)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.Run(ctx, &bytes.Buffer{})
	log := slog.New(l.Handler(slog.LevelInfo))
	b.ReportAllocs()
	for b.Loop() {
		log.Info("request refused", "request", "9c41d07be2a35f68", "reason", "targets full", "status", 503, "left_ms", 812)
	}
}
