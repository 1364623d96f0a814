package admission

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/coordination/balance"
)

// load is a class of callers of one target.
type load struct {
	Class
	deadline, work time.Duration
	perSecond      func(now time.Duration) float64
	atOnce         bool // returns at once, as often as it likes
	idempotent     bool
}

// result is what the callers of a class got.
type result struct{ asked, inTime, late, refused, reset int }

// played is a request, or the return of one that was refused.
type played struct {
	class       int
	first, from time.Duration // of the caller's first attempt, and of this one
	tries       int
	target      Target // as known when it was sent
	sent        time.Duration
}

const (
	playStep      = time.Millisecond
	playLength    = 20 * time.Second
	playDelay     = 150 * time.Millisecond // until daemons know of each other's requests
	playSlots     = 2
	playQueue     = 8 // requests that the target queues besides those that run
	playRetries   = 2
	playRoundTrip = 16 * time.Millisecond
)

// play runs the loads against one target whose load is known late, and returns what each got.
// A nil service decides as for services without classes of different priority. The target
// resets connections when it is full, if resets is set; learn uses this for a limit.
func play(seed uint64, service *Service, resets, learn bool, loads []load) []result {
	rng := rand.New(rand.NewPCG(seed, 1))
	out := make([]result, len(loads))
	estimate := balance.Estimate{Slots: playSlots}
	var limit Limit
	var queue []played
	var returns, running []played
	ends := make([]time.Duration, 0, playSlots)
	history := make([]int, playDelay/playStep)
	arrive := func(now time.Duration, p played) {
		l := loads[p.class]
		service.RecordArrival(now, l.Priority)
		estimate.Running = history[int(now/playStep)%len(history)]
		known := Target{
			Slots: playSlots, Load: estimate.Load(), Limit: &limit, ArrivalShare: 1,
			Expected: estimate.ExpectedLatency(now, 150*time.Millisecond), ServiceTime: estimate.ServiceTime(150 * time.Millisecond),
		}
		r := Request{Priority: l.Priority, Objective: l.Objective, Left: l.deadline - (p.from - p.first), Idempotent: l.idempotent}
		r.Held = now - p.from
		d := service.Decide(now, r, known)
		full := len(queue)+len(running) >= playSlots+playQueue
		switch {
		case d == Admitted && !full:
			p.target, p.sent = known, now
			queue = append(queue, p)
			return
		case d == Admitted && full:
			if learn {
				limit.RecordFull(now, known.Load, playSlots, resets)
			}
			if resets {
				out[p.class].reset++
				return
			}
		}
		service.RecordRefusal(now, l.Priority)
		after := min(150*time.Millisecond+time.Duration(rng.Float64()*75)*time.Millisecond, r.Left/3)
		if l.atOnce {
			after = 0
		}
		p.tries++
		next := now + after + playRoundTrip
		if p.tries > playRetries && !l.atOnce || next-p.first > l.deadline {
			out[p.class].refused++
			return
		}
		p.from, p.sent = next, next
		returns = append(returns, p)
	}
	for now := time.Duration(0); now < playLength; now += playStep {
		for i := 0; i < len(running); {
			if ends[i] > now {
				i++
				continue
			}
			p := running[i]
			estimate.RecordResponse(now-p.sent, p.target.Load, 1)
			service.RecordResponse(loads[p.class].Priority, p.target, now-p.sent, now-p.from)
			if latency := now - p.first + playRoundTrip; latency <= loads[p.class].Objective {
				out[p.class].inTime++
			} else {
				out[p.class].late++
			}
			running, ends = append(running[:i], running[i+1:]...), append(ends[:i], ends[i+1:]...)
		}
		for len(queue) > 0 && len(running) < playSlots {
			work := float64(loads[queue[0].class].work) * math.Exp(0.6*rng.NormFloat64()-0.18)
			running, ends = append(running, queue[0]), append(ends, now+time.Duration(work))
			queue = queue[1:]
		}
		due := returns
		returns = nil
		for _, p := range due {
			if p.sent > now {
				returns = append(returns, p)
				continue
			}
			arrive(now, p)
		}
		for i, l := range loads {
			if rng.Float64() < l.perSecond(now)*playStep.Seconds() {
				out[i].asked++
				arrive(now, played{class: i, first: now, from: now})
			}
		}
		history[int(now/playStep)%len(history)] = len(queue) + len(running)
	}
	return out
}

// steady returns a constant rate.
func steady(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// burst returns a rate that is multiplied for eight seconds.
func burst(perSecond, factor float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now > 6*time.Second && now < 14*time.Second {
			return perSecond * factor
		}
		return perSecond
	}
}

// sum plays the loads with several seeds, with the service state or without, and adds the results.
func sum(shared, resets, learn bool, loads []load) []result {
	total := make([]result, len(loads))
	for seed := range uint64(24) {
		var s *Service
		if shared {
			classes := make([]Class, len(loads))
			for i, l := range loads {
				classes[i] = l.Class
			}
			s = NewService(classes)
		}
		for i, r := range play(seed, s, resets, learn, loads) {
			total[i].asked += r.asked
			total[i].inTime += r.inTime
			total[i].late += r.late
			total[i].refused += r.refused
			total[i].reset += r.reset
		}
	}
	return total
}
