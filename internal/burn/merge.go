package burn

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
)

// Alert thresholds for an objective over 30 days. At 14.4 an hour spends 2% of
// the budget, at 6 six hours spend 5%. The shorter window of each pair ends the
// alert soon after the burning has ended.
const (
	fastBurn = 14.4
	slowBurn = 6
)

// State grades a class by its burn rates.
type State string

// States of a class.
const (
	// StateFast means a burn rate above 14.4 over both 5 min and 1 h.
	StateFast State = "fast burn"
	// StateSlow means a burn rate above 6 over both 30 min and 6 h.
	StateSlow State = "slow burn"
	// StateOK means neither.
	StateOK State = "ok"
	// StateIdle means that there were no requests in the longest window.
	StateIdle State = "no requests"
)

// Report is the service-level report of one or more daemons. Requests that a
// daemon counted before its restart are not in it.
type Report struct {
	Daemons []string `json:"daemons"`
	// Oldest and Latest are the times of the oldest and the latest snapshot.
	Oldest  time.Time      `json:"oldest"`
	Latest  time.Time      `json:"latest"`
	Windows []WindowReport `json:"windows"`
	// Classes are ordered with the fastest burner first.
	Classes []ClassReport `json:"classes"`
}

// WindowReport tells how much of a window the daemons cover. CoveredMs is that
// of the daemon that covers most; ShortDaemons counts the daemons that cover
// less than the window.
type WindowReport struct {
	Coverage
	Shortened    bool `json:"shortened"`
	ShortDaemons int  `json:"short_daemons"`
}

// ClassReport holds the burn rates of a class, in the order of Report.Windows.
type ClassReport struct {
	Service   string             `json:"service"`
	Class     string             `json:"class"`
	Objective manifest.Objective `json:"objective"`
	// MixedObjectives says that daemons counted by different objectives, as
	// happens for moments after a change. Objective is the latest one.
	MixedObjectives bool         `json:"mixed_objectives,omitempty"`
	Rates           []WindowRate `json:"burns"`
	// BudgetLeft is the part of the error budget of the longest window that
	// is left. It is negative if more has been spent than allowed.
	BudgetLeft float64      `json:"budget_left"`
	State      State        `json:"state"`
	Points     []RatedPoint `json:"points,omitempty"`
}

// WindowRate is the burn rate of one window.
type WindowRate struct {
	Counter
	Rate float64 `json:"rate"`
}

// RatedPoint is the burn rate of one bucket.
type RatedPoint struct {
	Point
	Rate float64 `json:"rate"`
}

// Merge adds up the snapshots of different daemons.
func Merge(snapshots []Snapshot) (Report, error) {
	m := &merger{classes: map[ClassID]*sum{}}
	for i := range snapshots {
		if err := m.add(&snapshots[i]); err != nil {
			return Report{}, err
		}
	}
	for id, s := range m.classes {
		m.report.Classes = append(m.report.Classes, s.report(id))
	}
	slices.SortFunc(m.report.Classes, fastestFirst)
	slices.Sort(m.report.Daemons)
	return m.report, nil
}

// fastestFirst orders by the burn rates, the shortest window first.
func fastestFirst(a, b ClassReport) int {
	for i := range a.Rates {
		if c := cmp.Compare(b.Rates[i].Rate, a.Rates[i].Rate); c != 0 {
			return c
		}
	}
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class))
}

type merger struct {
	report  Report
	classes map[ClassID]*sum
}

// sum adds up one class.
type sum struct {
	objective manifest.Objective
	revision  uint64
	mixed     bool
	counts    []Counter
	points    map[int64]Counter
}

func (m *merger) add(s *Snapshot) error {
	if err := s.check(); err != nil {
		return err
	}
	if slices.Contains(m.report.Daemons, s.Daemon) {
		return fmt.Errorf("%w: %s", ErrDuplicate, s.Daemon)
	}
	r := &m.report
	if len(r.Daemons) == 0 || s.Taken.Before(r.Oldest) {
		r.Oldest = s.Taken
	}
	if len(r.Daemons) == 0 || s.Taken.After(r.Latest) {
		r.Latest = s.Taken
	}
	r.Daemons = append(r.Daemons, s.Daemon)
	m.cover(s.Windows)
	for i := range s.Classes {
		m.class(s.Revision, &s.Classes[i])
	}
	return nil
}

func (m *merger) cover(windows []Coverage) {
	if m.report.Windows == nil {
		m.report.Windows = make([]WindowReport, len(windows))
	}
	for i, c := range windows {
		w := &m.report.Windows[i]
		w.WindowMs = c.WindowMs
		w.CoveredMs = max(w.CoveredMs, c.CoveredMs)
		w.Shortened = w.Coverage.Shortened()
		if c.Shortened() {
			w.ShortDaemons++
		}
	}
}

func (m *merger) class(revision uint64, c *ClassSnapshot) {
	id := ClassID{Service: c.Service, Class: c.Class}
	s := m.classes[id]
	if s == nil {
		s = &sum{objective: c.Objective, revision: revision, counts: make([]Counter, len(c.Counts)), points: map[int64]Counter{}}
		m.classes[id] = s
	}
	s.mixed = s.mixed || s.objective != c.Objective
	if revision > s.revision {
		s.objective, s.revision = c.Objective, revision
	}
	for i, n := range c.Counts {
		s.counts[i] = s.counts[i].plus(n)
	}
	for _, p := range c.Points {
		s.points[p.UnixSeconds] = s.points[p.UnixSeconds].plus(p.Counter)
	}
}

func (s *sum) report(id ClassID) ClassReport {
	r := ClassReport{Service: id.Service, Class: id.Class, Objective: s.objective, MixedObjectives: s.mixed}
	for _, n := range s.counts {
		r.Rates = append(r.Rates, WindowRate{Counter: n, Rate: n.Rate(s.objective)})
	}
	for at, n := range s.points {
		r.Points = append(r.Points, RatedPoint{Point: Point{UnixSeconds: at, Counter: n}, Rate: n.Rate(s.objective)})
	}
	slices.SortFunc(r.Points, func(a, b RatedPoint) int { return cmp.Compare(a.UnixSeconds, b.UnixSeconds) })
	r.BudgetLeft = 1 - r.Rates[len(r.Rates)-1].Rate
	r.State = grade(r.Rates)
	return r
}

// grade applies the alert thresholds to the burn rates of Windows.
func grade(burns []WindowRate) State {
	const fiveMinutes, halfHour, hour, sixHours = 0, 1, 2, 3
	switch {
	case burns[sixHours].Total == 0:
		return StateIdle
	case burns[fiveMinutes].Rate > fastBurn && burns[hour].Rate > fastBurn:
		return StateFast
	case burns[halfHour].Rate > slowBurn && burns[sixHours].Rate > slowBurn:
		return StateSlow
	}
	return StateOK
}
