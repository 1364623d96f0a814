package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/failsafe-go/failsafe-go"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/go-echarts/go-echarts/v2/charts"
	_ "github.com/go-kit/kit/endpoint"
	_ "github.com/go-kit/kit/transport/http"
	_ "github.com/jedib0t/go-pretty/v6/table"
	_ "github.com/joomcode/errorx"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/quic-go/quic-go/http3"
	_ "github.com/uber-go/tally/v4"
	_ "github.com/uber-go/tally/v4/prometheus"
	_ "github.com/urfave/cli/v3"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gopkg.in/ini.v1"
	_ "pgregory.net/rapid"
)
