package slopes

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/embedded"
	"github.com/jackdawloom/jackdawloom/internal/pki"
	"github.com/jackdawloom/jackdawloom/internal/transport/peernet"
)

// exchangeBody is about the size of a heartbeat and of its answer.
var exchangeBody = strings.Repeat("x", 64)

const exchangeTime = time.Second

var exchangeRates = []int{50, 100, 200, 400}

// measureExchange sends paced requests over one connection between two peers.
// The slope is the processor time of one exchange at both ends.
func measureExchange(ctx context.Context, o Options) ([]Series, error) {
	cert, pool, err := embedded.Credentials("slopes")
	if err != nil {
		return nil, err
	}
	var nets [2]*peernet.Net
	for i := range nets {
		nets[i], err = peernet.Listen("127.0.0.1:0", pki.ServerConfig(cert, pool), pki.ClientConfig(cert, pool), slog.New(slog.DiscardHandler))
		if err != nil {
			return nil, err
		}
		defer nets[i].Close()
	}
	go nets[1].Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	core, bytes := samples{}, samples{}
	for range o.Repetitions {
		for _, rate := range exchangeRates {
			o.note("%d exchanges a second", rate)
			share, sent, err := paced(ctx, nets, rate)
			if err != nil {
				return nil, err
			}
			core.add(float64(rate), 100*share)
			bytes.add(float64(rate), sent)
		}
	}
	const x = "exchanges/s on one connection"
	return []Series{
		core.series("peer exchange, both ends", x, "% core"),
		bytes.series("peer exchange, payload of both ends", x, "B/s"),
	}, nil
}

// paced returns the share of a core and the bytes a second at the rate.
func paced(ctx context.Context, nets [2]*peernet.Net, rate int) (core, bytes float64, err error) {
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	before := nets[0].Traffic().BytesSent + nets[1].Traffic().BytesSent
	began, used := time.Now(), cpuTime()
	for time.Since(began) < exchangeTime {
		<-ticker.C
		if err := exchange(ctx, nets); err != nil {
			return 0, 0, err
		}
	}
	took := time.Since(began)
	after := nets[0].Traffic().BytesSent + nets[1].Traffic().BytesSent
	return float64(cpuTime()-used) / float64(took), float64(after-before) / took.Seconds(), nil
}

func exchange(ctx context.Context, nets [2]*peernet.Net) error {
	address := nets[1].Addr()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+address+"/", strings.NewReader(exchangeBody))
	if err != nil {
		return err
	}
	resp, err := nets[0].RoundTrip(address, req)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return errors.Join(err, resp.Body.Close())
}
