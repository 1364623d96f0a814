package admission

import "time"

const (
	// maxReturn bounds the delay after which a refused caller that cannot be served within its
	// objective is asked to return, as a divisor of the time that it has left. Callers don't
	// wait longer than a third of that time.
	maxReturn = 3
	// minReturn keeps callers from returning before the daemons know each other's loads.
	minReturn = 60 * time.Millisecond
)

// Promises are the places at one target that refused callers were told to return for. The zero
// value is ready for use. It is not safe for concurrent use.
type Promises struct{ until time.Duration }

// ReturnAfter returns the delay after which a refused request is likely to be served. fits is
// the time after which room is expected, and place the time in which the target has room for
// one more of this daemon's requests. spread, from 0 to 1, keeps the callers of different
// daemons from returning together. A caller that can still be served within its objective is
// told the next time for which no other caller was told to return; others leave that room to
// them and return in the last half of the time that they would wait.
func (p *Promises) ReturnAfter(now time.Duration, r Request, t Target, fits, place time.Duration, spread float64) time.Duration {
	longest := r.Left / maxReturn
	next := max(now+max(fits, minReturn), p.until)
	soon := next - now + time.Duration(spread*float64(max(place, minReturn)))
	if soon <= longest && (r.Objective == 0 || r.Held+soon+t.ServiceTime <= r.Objective) {
		p.until = next + place
		return soon
	}
	return min(max(soon, longest/2+time.Duration(spread*float64(longest)/2)), longest)
}
