package burn

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
)

// MaxSnapshotBytes limits the encoded size of a snapshot. A point takes up to 80
// bytes, so MaxSeries classes with all their points take 6 MB.
const MaxSnapshotBytes = 8 << 20

// Source identifies where a snapshot comes from.
type Source struct {
	// Daemon identifies one run of a daemon.
	Daemon string `json:"daemon"`
	// Revision is the manifest revision of the objectives.
	Revision uint64 `json:"revision"`
}

// Snapshot is the contribution of one daemon to a report.
type Snapshot struct {
	Source
	Taken   time.Time       `json:"taken"`
	Windows []Coverage      `json:"windows"`
	Classes []ClassSnapshot `json:"classes"`
}

// Coverage holds how much of a window the samples cover. A daemon that has run for
// less time than the window covers only a part of it.
type Coverage struct {
	WindowMs  int64 `json:"window_ms"`
	CoveredMs int64 `json:"covered_ms"`
}

// Shortened reports whether the samples cover less than the window.
func (c Coverage) Shortened() bool { return c.CoveredMs < c.WindowMs }

// ClassSnapshot holds the request counts of a class for each window, in the order of
// Snapshot.Windows, and the points of its burn curve in order of time.
type ClassSnapshot struct {
	Service   string             `json:"service"`
	Class     string             `json:"class"`
	Objective manifest.Objective `json:"objective"`
	Counts    []Counter          `json:"counts"`
	Points    []Point            `json:"points,omitempty"`
}

// Point counts the requests of one bucket. Buckets begin at multiples of BucketLength,
// so that the points of several daemons can be added. A request belongs to the bucket
// of the first sample that counts it.
type Point struct {
	UnixSeconds int64 `json:"at"`
	Counter
}

// Snapshot returns the current counts of the classes that have an objective.
func (h *History) Snapshot(source Source, objectives map[ClassID]manifest.Objective) Snapshot {
	s := Snapshot{Source: source, Taken: h.times[h.head]}
	starts := make([]int, len(Windows))
	for i, w := range Windows {
		starts[i] = h.windowStart(w)
		covered := s.Taken.Sub(h.times[h.ringIndex(starts[i])])
		s.Windows = append(s.Windows, Coverage{WindowMs: w.Milliseconds(), CoveredMs: covered.Milliseconds()})
	}
	for id, objective := range objectives {
		class := ClassSnapshot{Service: id.Service, Class: id.Class, Objective: objective, Counts: make([]Counter, len(Windows))}
		if counts := h.series[id]; counts != nil {
			h.fillClass(&class, counts.counts, starts)
		}
		s.Classes = append(s.Classes, class)
	}
	slices.SortFunc(s.Classes, func(a, b ClassSnapshot) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class))
	})
	return s
}

func (h *History) fillClass(class *ClassSnapshot, counts []Counter, starts []int) {
	newest := counts[h.head]
	for i, age := range starts {
		class.Counts[i] = newest.minus(counts[h.ringIndex(age)])
	}
	// All samples after the start of the longest window are younger than the window,
	// so they fall into at most MaxBuckets buckets.
	for age := starts[len(starts)-1] - 1; age >= 0; age-- {
		class.addPoint(h.times[h.ringIndex(age)], counts[h.ringIndex(age)].minus(counts[h.ringIndex(age+1)]))
	}
}

func (c *ClassSnapshot) addPoint(at time.Time, n Counter) {
	if n == (Counter{}) {
		return
	}
	bucket := at.Truncate(BucketLength).Unix()
	if last := len(c.Points) - 1; last >= 0 && c.Points[last].UnixSeconds == bucket {
		c.Points[last].Counter = c.Points[last].plus(n)
		return
	}
	c.Points = append(c.Points, Point{UnixSeconds: bucket, Counter: n})
}

// DecodeSnapshot decodes and checks the JSON form of a snapshot.
func DecodeSnapshot(b []byte) (Snapshot, error) {
	var s Snapshot
	if len(b) > MaxSnapshotBytes {
		return s, fmt.Errorf("%w: %d bytes exceed the size limit", ErrMalformed, len(b))
	}
	if err := json.Unmarshal(b, &s); err != nil {
		return s, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return s, s.check()
}

func (s *Snapshot) check() error {
	if len(s.Windows) != len(Windows) || len(s.Classes) > MaxSeries {
		return fmt.Errorf("%w: unexpected number of windows (%d) or too many classes (%d)", ErrMalformed, len(s.Windows), len(s.Classes))
	}
	for i, w := range Windows {
		if s.Windows[i].WindowMs != w.Milliseconds() {
			return fmt.Errorf("%w: unknown window of %d ms", ErrMalformed, s.Windows[i].WindowMs)
		}
	}
	for _, c := range s.Classes {
		if len(c.Counts) != len(Windows) || len(c.Points) > MaxBuckets {
			return fmt.Errorf("%w: class %s/%s has an unexpected number of counts (%d) or too many points (%d)", ErrMalformed, c.Service, c.Class, len(c.Counts), len(c.Points))
		}
	}
	return nil
}
