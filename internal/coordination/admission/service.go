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
	// lateSmoothing is the number of responses over which the share of late ones is smoothed.
	lateSmoothing = 20
	// While more than toleratedLate of the responses are late, the queues are longer than they
	// are known to be, and requests are admitted only within a smaller part of the objective, of
	// at least minStrictShare, which is reached when toleratedLate+lateRange are late.
	toleratedLate, lateRange = 0.25, 0.25
	minStrictShare           = 0.5
	// minArrivals is the number of arrivals in rateWindow below which they give no share.
	minArrivals = 4
	// yieldRange is the difference of the refused shares of two classes from which on the less
	// urgent one yields all queue room that the other is likely to need.
	yieldRange = 0.1
	// shedBegins and shedEnds are the levels at which shedding is reported. They differ, so that
	// small changes around one level are not reported.
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
	refused   float64 // decays likewise
	refusedAt time.Duration
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

// RecordRefusal records that a request was refused because its target had no room for it.
func (s *Service) RecordRefusal(now time.Duration, priority int) {
	if s == nil {
		return
	}
	if c := s.class(priority); c != nil {
		c.refused, c.refusedAt = decay(c.refused, now-c.refusedAt)+1, now
	}
}

// RecordResponse records that a request was served: how long that took at a target as it was
// when the request was sent, and the latency for the caller.
func (s *Service) RecordResponse(priority int, t Target, took, latency time.Duration) {
	if s == nil {
		return
	}
	s.prediction.record(t, took)
	c := s.class(priority)
	switch {
	case c == nil || c.Objective == 0:
	case latency <= c.Objective:
		c.late -= c.late / lateSmoothing
	default:
		c.late += (1 - c.late) / lateSmoothing
	}
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

func decay(v float64, since time.Duration) float64 {
	return v * math.Exp(-since.Seconds()/rateWindow.Seconds())
}

// refusedShare returns the share of the class's requests that was refused.
func (c *class) refusedShare(now time.Duration) float64 {
	return decay(c.refused, now-c.refusedAt) / max(decay(c.arrived, now-c.arrivedAt), minArrivals)
}

// yield returns from 0 to 1 how far requests of a priority yield queue room to a more urgent
// class: fully once the urgent ones are refused more often by yieldRange.
func (s *Service) yield(now time.Duration, urgent *class, priority int) float64 {
	less := s.class(priority)
	if less == nil {
		return 0
	}
	return min(max((urgent.refusedShare(now)-less.refusedShare(now))/yieldRange, 0), 1)
}

// Level returns the largest yield of a class to a more urgent one.
func (s *Service) Level(now time.Duration) float64 {
	if s == nil {
		return 0
	}
	level := 0.0
	for i := range s.classes {
		for j := range s.classes[:i] {
			level = max(level, s.yield(now, &s.classes[j], s.classes[i].Priority))
		}
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
