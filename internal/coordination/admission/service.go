package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// rateWindow is the time over which arrivals are averaged. A burst lasts for seconds.
	rateWindow = 2 * time.Second
	// missSmoothing is the number of requests over which the share of missed objectives is
	// smoothed.
	missSmoothing = 20
	// While fewer requests than lowMissShare miss their objective, less urgent requests yield
	// only queue room that is likely to be needed; from highMissShare on they use free slots only.
	lowMissShare, highMissShare = 0.1, 0.3
	// While more than toleratedLate of the responses are late, the queues are longer than they
	// are known to be, and requests are admitted only within a smaller part of the objective, of
	// at least minStrictShare, which is reached when toleratedLate+lateRange are late.
	toleratedLate, lateRange = 0.25, 0.25
	minStrictShare           = 0.5
	// shedBegins and shedEnds are the admission levels at which shedding is reported. They
	// differ, so that small changes around one level are not reported.
	shedBegins, shedEnds = 0.5, 0.1
)

// Class is what the routes of one priority ask of a service.
type Class struct {
	Priority int
	// Objective is the shortest latency objective of these routes; 0 if they have none.
	Objective time.Duration
}

// class is a Class and what this daemon has seen of it.
type class struct {
	Class
	arrived   float64 // decays with rateWindow
	arrivedAt time.Duration
	missed    float64 // share of missed objectives; decays with rateWindow
	missedAt  time.Duration
	late      float64 // share of the responses that were late
}

// Service is the state of one service whose requests differ in priority. It is not safe for
// concurrent use.
type Service struct {
	classes    []class // by priority, the most urgent first
	prediction prediction
	shedding   bool
}

// NewService returns the state of a service that the classes share, or nil if there are
// fewer than two priorities.
func NewService(classes []Class) *Service {
	if len(classes) < 2 {
		return nil
	}
	s := &Service{prediction: prediction{likely: 1}}
	s.SetClasses(classes)
	return s
}

// SetClasses changes the classes and keeps what is known of those that remain.
func (s *Service) SetClasses(classes []Class) {
	next := make([]class, len(classes))
	for i, c := range classes {
		if known := s.class(c.Priority); known != nil {
			next[i] = *known
		}
		next[i].Class = c
	}
	slices.SortFunc(next, func(a, b class) int { return cmp.Compare(a.Priority, b.Priority) })
	s.classes = next
}

// HasClasses reports whether the service has exactly these classes, ordered by priority.
func (s *Service) HasClasses(classes []Class) bool {
	return slices.EqualFunc(s.classes, classes, func(a class, b Class) bool { return a.Class == b })
}

func (s *Service) class(priority int) *class {
	for i := range s.classes {
		if s.classes[i].Priority == priority {
			return &s.classes[i]
		}
	}
	return nil
}

// RecordArrival records that a request has arrived.
func (s *Service) RecordArrival(now time.Duration, priority int) {
	if s == nil {
		return
	}
	if c := s.class(priority); c != nil {
		c.arrived, c.arrivedAt = decay(c.arrived, now-c.arrivedAt)+1, now
	}
}

// RecordRefusal records that a request was refused because its target had no room.
func (s *Service) RecordRefusal(now time.Duration, priority int) {
	if s == nil {
		return
	}
	if c := s.class(priority); c != nil {
		c.recordMissed(now, 1)
	}
}

// RecordResponse records that a request was served: how long that took at a target as it was
// when the request was sent, and the latency for the caller.
func (s *Service) RecordResponse(now time.Duration, priority int, t Target, took, latency time.Duration) {
	if s == nil {
		return
	}
	s.prediction.record(t, took)
	c := s.class(priority)
	switch {
	case c == nil || c.Objective == 0:
	case latency <= c.Objective:
		c.recordMissed(now, 0)
		c.late -= c.late / missSmoothing
	default:
		c.recordMissed(now, 1)
		c.late += (1 - c.late) / missSmoothing
	}
}

func (c *class) recordMissed(now time.Duration, missed float64) {
	known := decay(c.missed, now-c.missedAt)
	c.missed, c.missedAt = known+(missed-known)/missSmoothing, now
}

// queueLimit returns the time within which a queued request must be likely to complete.
func (c *class) queueLimit() time.Duration {
	excess := min(max((c.late-toleratedLate)/lateRange, 0), 1)
	return time.Duration((1 - (1-minStrictShare)*excess) * float64(c.Objective))
}

// rate returns the class's requests per second that this daemon gets.
func (c *class) rate(now time.Duration) float64 {
	return decay(c.arrived, now-c.arrivedAt) / rateWindow.Seconds()
}

// level returns from 0 to 1 how far less urgent requests yield to the class, beyond what its
// arrivals ask for.
func (c *class) level(now time.Duration) float64 {
	missed := decay(c.missed, now-c.missedAt)
	return min(max((missed-lowMissShare)/(highMissShare-lowMissShare), 0), 1)
}

func decay(v float64, since time.Duration) float64 {
	return v * math.Exp(-since.Seconds()/rateWindow.Seconds())
}

// Level returns from 0 to 1 how far the least urgent requests yield to more urgent ones
// because these miss their objectives.
func (s *Service) Level(now time.Duration) float64 {
	if s == nil {
		return 0
	}
	level := 0.0
	for i := range s.classes[:len(s.classes)-1] {
		level = max(level, s.classes[i].level(now))
	}
	return level
}

// UpdateShedding returns whether less urgent requests are shed, and whether that has changed
// since the last call.
func (s *Service) UpdateShedding(now time.Duration) (shedding, changed bool) {
	if s == nil {
		return false, false
	}
	level := s.Level(now)
	before := s.shedding
	s.shedding = level >= shedBegins || before && level > shedEnds
	return s.shedding, s.shedding != before
}
