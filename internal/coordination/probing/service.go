package probing

import "time"

const (
	// reportMemory is how long a service is probed after the last load report of its targets.
	reportMemory = 10 * time.Second
	// probesPerRequest is the number of probes that each request allows on average. A round
	// and a part of the next ones fit, also while all targets are full and no round ends well.
	probesPerRequest = 4
	// maxAllowance is the number of probes that may accumulate.
	maxAllowance = 6 * roundSize
	// maxProbeRate limits the probes per second of one service at a daemon; beyond it, the
	// reports of a daemon's responses and earlier probes are recent anyway.
	maxProbeRate = 400
	// maxUnanswered is the number of probes in a row without a usable answer after which a
	// service is not probed for suspendTime.
	maxUnanswered = 24
	suspendTime   = 2 * time.Second
)

// Service bounds the probes of the targets of one service. The zero value is a service whose
// targets have not reported their load. It is not safe for concurrent use.
type Service struct {
	lastReport     time.Duration // 0: none
	unanswered     int
	suspendedUntil time.Duration
	allowance      float64
	rateAllowance  float64
	rateAt         time.Duration
}

// RecordReport records that a target of the service has reported its load.
func (s *Service) RecordReport(now time.Duration) { s.lastReport = now }

// RecordProbe records the end of a probe.
func (s *Service) RecordProbe(now time.Duration, r Result) {
	switch r {
	case Answered:
		s.unanswered = 0
	case Unanswered:
		s.unanswered++
	}
	if s.unanswered >= maxUnanswered {
		s.unanswered, s.suspendedUntil = 0, now+suspendTime
	}
}

// Active reports whether the targets are probed: they report their load and answer probes.
func (s *Service) Active(now time.Duration) bool {
	return s.lastReport > 0 && now-s.lastReport < reportMemory && now >= s.suspendedUntil
}

// Cause returns why the service is probed or not.
func (s *Service) Cause(now time.Duration) string {
	switch {
	case now < s.suspendedUntil:
		return "probes are not answered"
	case s.Active(now):
		return "targets report their load"
	default:
		return "no recent load reports"
	}
}

// RecordRequest allows the probes of one request.
func (s *Service) RecordRequest() { s.allowance = min(s.allowance+probesPerRequest, maxAllowance) }

// Take returns how many of the wanted probes may be sent now, and counts them.
func (s *Service) Take(now time.Duration, wanted int) int {
	s.rateAllowance = min(s.rateAllowance+maxProbeRate*(now-s.rateAt).Seconds(), maxAllowance)
	s.rateAt = now
	n := min(wanted, int(s.allowance), int(s.rateAllowance))
	s.allowance -= float64(n)
	s.rateAllowance -= float64(n)
	return n
}
