package dispatch

import (
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
)

// stopTimes are the times of a stopping daemon.
type stopTimes struct {
	// lastSend is when requests whose deadline lies after the end are no longer sent.
	lastSend, end time.Duration
}

// StopSending prepares for the end of the process. From lastSend on, a request is sent only if its
// deadline comes before the end; others are refused as not run. Requests that were sent before
// are not affected. Responses that wait for memory at the end are given up. The times are those of
// package clock.
func (d *Dispatcher) StopSending(lastSend, end time.Duration) {
	d.stop.Store(&stopTimes{lastSend: lastSend, end: end})
	time.AfterFunc(end-clock.Now(), d.config.Bodies.Close)
}

// outlivesDaemon reports whether a request sent now may still be running when the process ends.
func (d *Dispatcher) outlivesDaemon(req *Request, now time.Duration) bool {
	stop := d.stop.Load()
	return stop != nil && now >= stop.lastSend && req.Deadline+responseGrace > stop.end
}
