package front

import (
	"log/slog"
	"net/http"
	"time"
)

// Limits of callers' connections, until the configuration says otherwise.
const (
	headerBytes   = 16 << 10
	headerTimeout = 3 * time.Second
	// idleTimeout is above that of the platform's callers, who use connections
	// for up to four fifths of the configured one.
	idleTimeout = 20 * time.Second
)

// NewServer returns a server for callers.
func NewServer(h http.Handler, log *slog.Logger) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler: h, Protocols: &protocols, MaxHeaderBytes: headerBytes,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelInfo),
	}
}
