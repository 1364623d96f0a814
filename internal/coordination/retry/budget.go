package retry

import "time"

const (
	// Window is the time over which the budget compares retries with requests.
	Window = 10 * time.Second
	// Ratio is the allowed ratio of retries to requests within Window.
	Ratio = 0.1
	// MinPerSecond is allowed regardless of the number of requests, so that a
	// rarely used service can retry at all.
	MinPerSecond = 1

	bucketWidth = 100 * time.Millisecond
	buckets     = int(Window / bucketWidth)
)

// Budget limits retries to Ratio of the requests of the last Window, and at
// least MinPerSecond. Both are counted in buckets: requests over slightly less
// than Window and retries over slightly more, so that the limit holds in every
// interval of that length. The zero value is ready for use.
type Budget struct {
	requests counter
	retries  counter
}

// Request counts a request that is not a retry.
func (b *Budget) Request(now time.Time) { b.requests.add(now) }

// Allow reports whether a retry is within the budget and counts it if so.
func (b *Budget) Allow(now time.Time) bool {
	if b.retries.sum(now, buckets+1)+1 > b.limit(now) {
		return false
	}
	b.retries.add(now)
	return true
}

// Spent returns the present number of retries in the window and their limit.
func (b *Budget) Spent(now time.Time) (retries, limit int) {
	return b.retries.sum(now, buckets+1), b.limit(now)
}

func (b *Budget) limit(now time.Time) int {
	share := int(Ratio * float64(b.requests.sum(now, buckets)))
	return max(share, int(Window.Seconds()*MinPerSecond))
}

// counter counts events in a ring of buckets. A bucket is valid only for the
// period stored with it, so no cleaning is needed. total is the sum over the
// ring as of the newest period.
type counter struct {
	start  time.Time
	newest int64
	total  int
	ring   [buckets + 1]int
}

func (c *counter) add(now time.Time) {
	c.advance(now)
	c.ring[c.newest%int64(len(c.ring))]++
	c.total++
}

// sum returns the events of the present bucket and the n-1 before it.
func (c *counter) sum(now time.Time, n int) int {
	c.advance(now)
	if n == len(c.ring) {
		return c.total
	}
	oldest := (c.newest + 1) % int64(len(c.ring))
	return c.total - c.ring[oldest]
}

// advance empties the buckets of periods that have passed since the last call.
func (c *counter) advance(now time.Time) {
	if c.start.IsZero() {
		c.start = now
		return
	}
	period := int64(now.Sub(c.start) / bucketWidth)
	for steps := 0; c.newest < period && steps < len(c.ring); steps++ {
		c.newest++
		slot := c.newest % int64(len(c.ring))
		c.total -= c.ring[slot]
		c.ring[slot] = 0
	}
	c.newest = max(c.newest, period)
}
