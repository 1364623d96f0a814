package embedded

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/eventlog"
	"github.com/jackdawloom/jackdawloom/internal/standin/targetsrv"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
)

// benchManifest declares targets on free ports, with spare slots.
func benchManifest(b testing.TB, targets int) *manifest.Manifest {
	b.Helper()
	s := manifest.Service{
		Name: "display", PathPrefix: "/display", Shards: 256,
		Key: manifest.KeySource{From: manifest.KeyFromPath},
		Classes: []manifest.Class{{
			Name: "read", Repeat: manifest.RepeatIdempotent, DeadlineMs: 5000,
			Objective: manifest.Objective{LatencyMs: 100, Ratio: 0.99},
		}},
	}
	for i := range targets {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		defer l.Close()
		s.Targets = append(s.Targets, manifest.Target{
			Name: fmt.Sprintf("display-%02d", i+1), Address: l.Addr().String(), Domain: string(rune('a' + i%3)),
			Slots: 64, Connections: 128, ChecksGrants: true,
		})
	}
	return &manifest.Manifest{Schema: manifest.Schema, Name: "bench", Services: []manifest.Service{s}}
}

func startBench(b *testing.B, m *manifest.Manifest, daemons int, serviceTime targetsrv.ServiceTime, log *slog.Logger) *Fleet {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	t, err := StartTargets(context.Background(), m, serviceTime)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(t.Close)
	f, err := StartFleet(context.Background(), m, daemons, log)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.Stop)
	if err := f.AwaitReady(ctx); err != nil {
		b.Fatal(err)
	}
	time.Sleep(2 * time.Second) // let grants and connections become stable
	return f
}

func get(b *testing.B, client *http.Client, url string) {
	resp, err := client.Get(url)
	if err != nil {
		b.Error(err)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b.Errorf("status %d", resp.StatusCode)
	}
}

func benchClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
}

// BenchmarkPath compares a request sent directly to a target with one routed through a
// daemon.
func BenchmarkPath(b *testing.B) {
	f := startBench(b, benchManifest(b, 1), 3, nil, slog.New(slog.DiscardHandler))
	// The direct path needs a target that does not check grants.
	direct := targetsrv.New(targetsrv.Config{Name: "direct", Slots: 64})
	address, err := direct.Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = direct.Close() })
	paths := []struct{ name, base string }{
		{"direct", "http://" + address.String()},
		{"routed", "http://" + f.CallerAddresses[0]},
	}
	const path = "/display/k?bytes=500"
	for _, p := range paths {
		b.Run(p.name+"/serial", func(b *testing.B) {
			client := benchClient()
			for b.Loop() {
				get(b, client, p.base+path)
			}
		})
		b.Run(p.name+"/parallel", func(b *testing.B) {
			client := benchClient()
			b.SetParallelism(4)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					get(b, client, p.base+path)
				}
			})
		})
	}
}

// BenchmarkLogsUnderOverload measures the CPU time of the whole process, callers and
// targets included, per request at three times the load that the targets can serve: without
// a log, with the log written, and with a log whose reader has stalled.
func BenchmarkLogsUnderOverload(b *testing.B) {
	const (
		slots       = 2
		serviceTime = 5 * time.Millisecond
		interval    = serviceTime / slots / 3 // between requests
	)
	for _, mode := range []struct {
		name   string
		writer io.Writer // nil disables the log
	}{{"off", nil}, {"on", io.Discard}, {"stalled reader", stalledWriter{}}} {
		b.Run(mode.name, func(b *testing.B) {
			log := slog.New(slog.DiscardHandler)
			counts := func() (dropped, omitted uint64) { return 0, 0 }
			if mode.writer != nil {
				lines := eventlog.New(eventlog.JSON)
				go lines.Run(b.Context(), mode.writer)
				log, counts = slog.New(lines.Handler(slog.LevelInfo)), lines.Counts
			}
			m := benchManifest(b, 1)
			m.Services[0].Targets[0].Slots = slots
			m.Services[0].Classes[0].DeadlineMs, m.Services[0].Classes[0].Objective.LatencyMs = 60, 40
			f := startBench(b, m, 1, func(*rand.Rand) time.Duration { return serviceTime }, log)
			client, url := benchClient(), "http://"+f.CallerAddresses[0]+"/display/k"
			var served, refused atomic.Int64
			var wg sync.WaitGroup
			before, next := cpuTime(b), time.Now()
			for b.Loop() {
				wg.Go(func() { countOutcome(b, client, url, &served, &refused) })
				next = next.Add(interval)
				time.Sleep(time.Until(next))
			}
			wg.Wait()
			dropped, omitted := counts()
			b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N), "cpu-µs/op")
			b.ReportMetric(float64(refused.Load())/float64(b.N), "refused/op")
			b.ReportMetric(float64(dropped+omitted)/float64(b.N), "lines-left-out/op")
		})
	}
}

// stalledWriter is a log output whose reader has stopped reading: its writes never return.
type stalledWriter struct{}

func (stalledWriter) Write([]byte) (int, error) { select {} }

func countOutcome(b *testing.B, client *http.Client, url string, served, refused *atomic.Int64) {
	resp, err := client.Get(url)
	if err != nil {
		b.Error(err)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		served.Add(1)
		return
	}
	refused.Add(1)
}

// cpuTime returns the CPU time that the process has used so far.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
