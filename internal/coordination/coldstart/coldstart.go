// Package coldstart bounds the requests that all daemons together send to a target that is
// cold: such a target tolerates a low rate and may fail above it. Daemons do not ask each other
// before they send. Time and random numbers are arguments; the package keeps no clock and does
// no I/O.
//
// For services without keys any daemon can use another target. A hash names the few daemons that
// may send to a cold target, and each of them keeps an interval between its sends (Turn).
// For keyed services every daemon may need the owner. Each daemon admits a fraction of its
// requests that follows from the demand of all daemons (Admission).
package coldstart

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// intervalMargin makes intervals a little longer than the rate requires, so that the sends of
// one daemon within any second are at most as many as its share.
const intervalMargin = 1.02

// Turns states which daemons may send to a cold target and how often.
type Turns struct {
	// Senders is the number of daemons, and Interval the shortest time between two sends of
	// one of them. In any second all of them together send at most the tolerated rate times the
	// overage, or one request if that is lower.
	Senders  int
	Interval time.Duration
}

// NewTurns divides the tolerated rate, in requests per second, times the overage that operators
// allow among as many daemons as possible. With one request per second of each daemon, the sum
// grows by just one request for each daemon that counts itself among the senders by mistake, and
// a daemon without callers leaves little unused. The few daemons of a small fleet, which send
// more often, divide the rate alone: each one more would add several requests.
func NewTurns(rate, overage float64, daemons int) Turns {
	if rate <= 0 || daemons <= 0 {
		return Turns{}
	}
	t := Turns{Senders: max(min(int(rate*overage), daemons), 1)}
	perSecond := max(float64(int(rate)/t.Senders), min(rate, 1))
	t.Interval = time.Duration(intervalMargin / perSecond * float64(time.Second))
	return t
}

// Includes reports whether the daemon self is among the senders to a target, by rendezvous
// hashing of the known daemons: daemons whose knowledge of the fleet differs by a few names
// disagree on as few senders. The target is named by the hash of its incarnation.
func (t Turns) Includes(target uint64, daemons []string, self string) bool {
	own := rank(target, self)
	before := 0
	for _, name := range daemons {
		if name != self && compareRanks(rank(target, name), name, own, self) < 0 {
			if before++; before >= t.Senders {
				return false
			}
		}
	}
	return t.Senders > 0
}

func rank(target uint64, daemon string) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(target, 16) + "/" + daemon)
}

func compareRanks(a uint64, nameA string, b uint64, nameB string) int {
	return cmp.Or(cmp.Compare(a, b), cmp.Compare(nameA, nameB))
}

const (
	// ownerShare is the part of the rate up to which daemons admit requests to a cold owner of
	// keys: their sends vary by chance.
	ownerShare = 0.8
	// maxOverage bounds the overage: targets may fail well above the tolerated rate, whatever
	// operators allow.
	maxOverage = 1.5
)

// Overage returns the factor by which all daemons together may exceed the tolerated rate, from
// what the operators allow. It is at least 1.
func Overage(allowed float64) float64 { return min(max(allowed, 1), maxOverage) }

// OwnerRate returns the requests per second that daemons admit at most to a cold owner that
// tolerates the given rate.
func OwnerRate(rate, allowedOverage float64) float64 {
	return ownerShare * rate * Overage(allowedOverage)
}

// Classes is the number of priorities that are told apart. Lower priorities count as the last.
const Classes = 4

// Class returns the class of a route's priority, of which 0 is the highest.
func Class(priority int) int { return min(max(priority, 0), Classes-1) }

// Demand is the number of requests per second for a target, by class.
type Demand [Classes]float64

// Admission returns the fraction of the requests of a class that may be sent so that the sends
// of all classes together stay within the rate, see OwnerRate. Requests of a class are admitted only as far as
// higher classes leave room.
func (d Demand) Admission(class int, rate float64) float64 {
	for _, higher := range d[:class] {
		rate -= higher
	}
	switch {
	case rate <= 0:
		return 0
	case d[class] <= rate:
		return 1
	}
	return rate / d[class]
}

// OfNewOwner returns the demand for a cold target that has just become the owner of a key. The
// requests counted for the target say nothing of that key: it may be so busy that each daemon has a
// request for it every second, some of which waited for the new owner.
func (d Demand) OfNewOwner(class, daemons int) Demand {
	d[class] = max(d[class], float64(daemons))
	return d
}

// Total returns the demand of all classes.
func (d Demand) Total() float64 {
	sum := 0.0
	for _, x := range d {
		sum += x
	}
	return sum
}

// HasRoom reports whether a cold owner with the given requests of all daemons may get another.
// The demand tells of a key that becomes busy only about a second later, requests in flight
// after a fraction of that.
func HasRoom(inFlight, slots int) bool { return inFlight <= max(slots, 1) }

const (
	// bucket is the resolution of a Counter, and buckets the number of them that it keeps.
	bucket  = 125 * time.Millisecond
	buckets = 32
	// recentBuckets are the buckets of Recent, of which the last is still in progress. A shorter
	// time would make the demand for a quiet owner too uncertain, a longer one would tell of a
	// key that becomes busy too late.
	recentBuckets = 5
	// minEstimateWindow is the shortest time that requests are taken to have arrived in.
	minEstimateWindow = 500 * time.Millisecond
)

// Counter counts a daemon's requests for one target by class over the last seconds.
type Counter struct {
	counts [buckets][Classes]int
	last   int64         // number of the current bucket
	since  time.Duration // time of the first request
}

// Add counts a request.
func (c *Counter) Add(now time.Duration, class int) {
	c.advance(now)
	c.counts[c.last%buckets][class]++
	if c.since == 0 {
		c.since = now
	}
}

// advance clears the buckets that have passed.
func (c *Counter) advance(now time.Duration) {
	current := int64(now / bucket)
	for n := max(c.last+1, current-buckets+1); n <= current; n++ {
		c.counts[n%buckets] = [Classes]int{}
	}
	c.last = max(c.last, current)
}

// RecentDemand returns the demand that the sums of Recent over all daemons amount to.
func RecentDemand(sums [Classes]int) Demand {
	const window = (recentBuckets - 0.5) * float64(bucket) / float64(time.Second)
	var out Demand
	for class, n := range sums {
		out[class] = float64(n) / window
	}
	return out
}

// Recent returns the latest requests, by class.
func (c *Counter) Recent(now time.Duration) [Classes]int { return c.sum(now, recentBuckets) }

func (c *Counter) sum(now time.Duration, n int) [Classes]int {
	c.advance(now)
	var out [Classes]int
	for i := range n {
		at := c.last - int64(i)
		if at < 0 {
			break
		}
		for class, count := range c.counts[at%buckets] {
			out[class] += count
		}
	}
	return out
}

// Estimate returns the demand of all daemons as estimated from this daemon's requests, with a
// request of the given class just counted. The other requests in the window stand for those that
// each daemon has; the one just counted stands for itself only, or else a single request would
// make the demand look as large as the fleet.
func (c *Counter) Estimate(now time.Duration, class, daemons int) Demand {
	window := min(max(now-c.since, minEstimateWindow), buckets*bucket).Seconds()
	var out Demand
	for i, n := range c.sum(now, buckets) {
		if i == class {
			n--
		}
		out[i] = float64(max(n, 0)) * float64(max(daemons, 1)) / window
	}
	out[class]++
	return out
}

// SortedNames returns the names of the daemons in order, so that two sets can be compared.
func SortedNames[V any](daemons map[string]V) []string {
	names := make([]string, 0, len(daemons))
	for name := range daemons {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
