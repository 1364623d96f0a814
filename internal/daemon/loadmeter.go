package daemon

import (
	"time"

	"github.com/jackdawloom/jackdawloom/internal/coordination/coordinator"
	"github.com/jackdawloom/jackdawloom/internal/coordination/hotkey"
	"github.com/jackdawloom/jackdawloom/internal/protocol/peer"
)

const (
	// reportedKeys bounds the hot keys in a report.
	reportedKeys = 8
	// leastShare is the share of a target's slots below which a key is not
	// reported; the planner gives keys back below twice that.
	leastShare = 0.05
	// milliPerSlot converts slots to the unit of reports.
	milliPerSlot = 1000
)

// loadMeter measures the load of one target and of its hottest keys.
type loadMeter struct {
	detector  *hotkey.Detector
	started   time.Time
	busy      time.Duration
	busyMilli uint32
	hotKeys   []peer.HotKeyLoad
}

func newLoadMeter(now time.Time) *loadMeter {
	return &loadMeter{detector: hotkey.NewDetector(0), started: now}
}

// add records that a request for the key held a slot for the time.
func (l *loadMeter) add(hash uint64, held time.Duration, neverRepeat bool) {
	l.busy += held
	l.detector.Add(hash, held, neverRepeat)
}

// close ends the interval once it is over and computes the loads to report.
func (l *loadMeter) close(slots int, now time.Time) {
	interval := now.Sub(l.started)
	if interval < coordinator.HotInterval {
		return
	}
	l.busyMilli = uint32(milliPerSlot * l.busy.Seconds() / interval.Seconds())
	l.hotKeys = nil
	for _, k := range l.detector.Close(interval, reportedKeys) {
		if k.Load < leastShare*float64(slots) {
			break
		}
		l.hotKeys = append(l.hotKeys, peer.HotKeyLoad{
			Hash: k.Hash, Milli: uint32(milliPerSlot * k.Load), NeverMilli: uint32(milliPerSlot * k.NeverRepeat),
		})
	}
	l.busy, l.started = 0, now
}
