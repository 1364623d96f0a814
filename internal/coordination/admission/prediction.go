package admission

import "time"

const (
	// predictionWindow is the number of responses over which predictions are learned.
	predictionWindow = 300
	// priorSlope is how much the latency is assumed to grow, in service times, for as many more
	// requests as the target has slots, and priorWeight the weight of this assumption, in
	// squared deviations of the load.
	priorSlope  = 0.5
	priorWeight = 5
	// likelyShare is the part of the responses that take no longer than predicted. Service times
	// are skewed, so that a mean says little of how many responses are in time.
	likelyShare = 0.6
	// likelyStep is how far one response changes the factor for it.
	likelyStep           = 0.02
	minLikely, maxLikely = 0.3, 1.5
	// minFactor bounds the prediction for targets that are known to be idle.
	minFactor = 0.5
)

// prediction learns what the known load of a target says about the latency of the next request
// there. Daemons learn of each other's requests later than most requests take: of targets
// known to have requests waiting, most have none by the time the next request arrives, and
// measured service times include the queueing that daemons do not know of. A linear regression
// of the latency, in service times of the target, on the load known per slot corrects both.
type prediction struct {
	n, x, y, xx, xy float64
	// likely is the factor of the mean within which likelyShare of the responses arrive.
	likely float64
}

func (p *prediction) record(t Target, took time.Duration) {
	if t.ServiceTime <= 0 {
		return
	}
	if float64(took) > float64(p.latency(t, 0)) {
		p.likely = min(p.likely+likelyStep*likelyShare, maxLikely)
	} else {
		p.likely = max(p.likely-likelyStep*(1-likelyShare), minLikely)
	}
	const keep = 1 - 1.0/predictionWindow
	x, y := t.loadPerSlot(), min(float64(took)/float64(t.ServiceTime), 10)
	p.n, p.x, p.y, p.xx, p.xy = keep*p.n+1, keep*p.x+x, keep*p.y+y, keep*p.xx+x*x, keep*p.xy+x*y
}

// latency returns the time within which likelyShare of the requests would complete at the
// target, if it had the given number of requests more than it is known to have.
func (p *prediction) latency(t Target, more int) time.Duration {
	t.Load += more
	if p.n < 1 {
		return t.Expected + t.ServiceTime*time.Duration(more)/time.Duration(max(t.Slots, 1))
	}
	meanX, meanY := p.x/p.n, p.y/p.n
	slope := max((p.xy-p.n*meanX*meanY+priorWeight*priorSlope)/(p.xx-p.n*meanX*meanX+priorWeight), 0)
	factor := meanY + slope*(t.loadPerSlot()-meanX)
	return time.Duration(p.likely * max(factor, minFactor) * float64(t.ServiceTime))
}

func (t Target) loadPerSlot() float64 { return float64(t.Load) / float64(max(t.Slots, 1)) }
