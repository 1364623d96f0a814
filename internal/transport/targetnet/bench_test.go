package targetnet

import (
	"io"
	"net/http"
	"testing"

	"github.com/jackdawloom/jackdawloom/internal/standin/targetsrv"
)

// benchSlots is enough for the parallelism of any benchmark here.
const benchSlots = 256

func drain(b *testing.B, resp *http.Response, err error) {
	if err != nil {
		b.Error(err)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

// The first sub-benchmark of a process is slower than the later ones, whichever
// it is; compare runs with -count above 1.
func BenchmarkRoundTrip(b *testing.B) {
	_, address := startTarget(b, targetsrv.Config{Slots: benchSlots})
	pool := startPool(b, Config{Address: address, MaxConnections: 110})
	transport := &http.Transport{MaxConnsPerHost: 110, MaxIdleConnsPerHost: 110, DisableCompression: true}
	b.Cleanup(transport.CloseIdleConnections)
	senders := map[string]func(*http.Request) (*http.Response, error){
		"pool": func(r *http.Request) (*http.Response, error) {
			resp, err := pool.RoundTrip(r.Context(), r, Options{SilentAfter: FreshIdle})
			if err != nil {
				return nil, err
			}
			return resp.Response, nil
		},
		"transport": func(r *http.Request) (*http.Response, error) {
			r.URL.Scheme, r.URL.Host = "http", address
			return transport.RoundTrip(r)
		},
	}
	for _, name := range []string{"transport", "pool"} {
		send := senders[name]
		b.Run(name+"/serial", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				resp, err := send(newRequest("x", "", nil))
				drain(b, resp, err)
			}
		})
		b.Run(name+"/parallel", func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					resp, err := send(newRequest("x", "", nil))
					drain(b, resp, err)
				}
			})
		})
	}
}
