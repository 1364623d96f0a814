package burn

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
)

// Alert thresholds for an objective over 30 days. A burn rate of 14.4 consumes 2% of
// the budget in 1 h, and a rate of 6 consumes 5% in 6 h. The shorter window of each
// pair ends the alert soon after the burn rate has recovered.
const (
	fastBurnRate = 14.4
	slowBurnRate = 6
)

// State is the alert state of a class.
type State string

// States of a class.
const (
	// StateFast means a burn rate above 14.4 over both 5 min and 1 h.
	StateFast State = "fast burn"
	// StateSlow means a burn rate above 6 over both 30 min and 6 h.
	StateSlow State = "slow burn"
	// StateOK means that neither threshold is exceeded.
	StateOK State = "ok"
	// StateIdle means that there were no requests in the longest window.
	StateIdle State = "no requests"
)

// Report is the service-level report of one or more daemons. It does not include
// requests that a daemon counted before its last restart.
type Report struct {
	Daemons []string `json:"daemons"`
	// Oldest and Latest are the times of the oldest and the latest snapshot.
	Oldest  time.Time      `json:"oldest"`
	Latest  time.Time      `json:"latest"`
	Windows []WindowReport `json:"windows"`
	// Classes are ordered by burn rate, the highest first.
	Classes []ClassReport `json:"classes"`
}

// WindowReport holds how much of a window the daemons cover. CoveredMs is that of the
// daemon that covers most, and ShortDaemons is the number of daemons that cover less
// than the window.
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
	// MixedObjectives reports that the daemons used different objectives, as happens
	// briefly after a change. Objective is that of the latest revision.
	MixedObjectives bool         `json:"mixed_objectives,omitempty"`
	Rates           []WindowRate `json:"burns"`
	// BudgetLeft is the remaining fraction of the error budget of the longest window.
	// It is negative if the budget is exceeded.
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

// Merge combines the snapshots of different daemons into one report.
func Merge(snapshots []Snapshot) (Report, error) {
	m := &merger{classes: map[ClassID]*classSum{}}
	for i := range snapshots {
		if err := m.addSnapshot(&snapshots[i]); err != nil {
			return Report{}, err
		}
	}
	for id, s := range m.classes {
		m.report.Classes = append(m.report.Classes, s.report(id))
	}
	slices.SortFunc(m.report.Classes, compareBurnRates)
	slices.Sort(m.report.Daemons)
	return m.report, nil
}

// compareBurnRates orders classes by descending burn rate. It compares the shortest
// window first, and the names if all rates are equal.
func compareBurnRates(a, b ClassReport) int {
	for i := range a.Rates {
		if c := cmp.Compare(b.Rates[i].Rate, a.Rates[i].Rate); c != 0 {
			return c
		}
	}
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class))
}

type merger struct {
	report  Report
	classes map[ClassID]*classSum
}

// classSum holds the sums of one class over all daemons.
type classSum struct {
	objective       manifest.Objective
	revision        uint64
	mixedObjectives bool
	counts          []Counter
	points          map[int64]Counter
}

func (m *merger) addSnapshot(s *Snapshot) error {
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
	m.addCoverage(s.Windows)
	for i := range s.Classes {
		m.addClass(s.Revision, &s.Classes[i])
	}
	return nil
}

func (m *merger) addCoverage(windows []Coverage) {
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

func (m *merger) addClass(revision uint64, c *ClassSnapshot) {
	id := ClassID{Service: c.Service, Class: c.Class}
	s := m.classes[id]
	if s == nil {
		s = &classSum{objective: c.Objective, revision: revision, counts: make([]Counter, len(c.Counts)), points: map[int64]Counter{}}
		m.classes[id] = s
	}
	s.mixedObjectives = s.mixedObjectives || s.objective != c.Objective
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

func (s *classSum) report(id ClassID) ClassReport {
	r := ClassReport{Service: id.Service, Class: id.Class, Objective: s.objective, MixedObjectives: s.mixedObjectives}
	for _, n := range s.counts {
		r.Rates = append(r.Rates, WindowRate{Counter: n, Rate: n.Rate(s.objective)})
	}
	for at, n := range s.points {
		r.Points = append(r.Points, RatedPoint{Point: Point{UnixSeconds: at, Counter: n}, Rate: n.Rate(s.objective)})
	}
	slices.SortFunc(r.Points, func(a, b RatedPoint) int { return cmp.Compare(a.UnixSeconds, b.UnixSeconds) })
	r.BudgetLeft = 1 - r.Rates[len(r.Rates)-1].Rate
	r.State = stateOf(r.Rates)
	return r
}

// stateOf applies the alert thresholds to the burn rates, which are in the order of
// Windows.
func stateOf(rates []WindowRate) State {
	const fiveMinutes, halfHour, hour, sixHours = 0, 1, 2, 3
	switch {
	case rates[sixHours].Total == 0:
		return StateIdle
	case rates[fiveMinutes].Rate > fastBurnRate && rates[hour].Rate > fastBurnRate:
		return StateFast
	case rates[halfHour].Rate > slowBurnRate && rates[sixHours].Rate > slowBurnRate:
		return StateSlow
	}
	return StateOK
}
