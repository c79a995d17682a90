package limiter

import (
	"time"

	"sycamorevane.example/sycamorevane"
)

// learn takes in the outcome of one attempt.
func (b *Borrower) learn(now time.Time, h *held, r *running, o sycamorevane.Outcome) {
	took := o.Latency
	if took <= 0 {
		took = now.Sub(r.started)
	}
	switch o.Kind {
	case sycamorevane.OutcomeOK:
		ratio := b.ratio(now, o.Route, took)
		h.fresh.ok++
		h.fresh.ratio += ratio
		l := b.lender(h.server.DC)
		if (h.ramping || ratio > slowLimit) && now.Sub(l.last) >= answerGap {
			l.changed = true
		}
		h.latency = smoothTime(h.latency, took)
		b.latency = smoothTime(b.latency, took)
		h.failing = smooth(h.failing, 0, 1)
		h.sheds = 0
	case sycamorevane.OutcomeCancelled:
	case sycamorevane.OutcomeShed:
		h.shed++
		b.penalise(now, h, took)
		b.pause(now, h)
	case sycamorevane.OutcomeConnectFailed:
		h.fresh.refused++
		h.failing = smooth(h.failing, 1, 1)
		h.allowed = 0
		b.lender(h.server.DC).changed = true
	default:
		h.fresh.failed++
		h.failing = smooth(h.failing, 1, 1)
		b.penalise(now, h, took)
		b.lender(h.server.DC).changed = true
	}
}

// penalise keeps a slot unused for as long as a good answer would have taken, so that failing fast does not
// attract work.
func (b *Borrower) penalise(now time.Time, h *held, took time.Duration) {
	until := now.Add(b.usual() - took)
	if h.penalty.Before(now) {
		h.penalty = now
	}
	if until.After(h.penalty) {
		h.penalty = until
	}
}

// pause keeps the server unused for a growing time while it refuses one request after another. A server that starts
// to drain refuses everything until its next announcement, and each refusal costs a retry.
func (b *Borrower) pause(now time.Time, h *held) {
	h.sheds++
	if h.sheds < 2 {
		return
	}
	h.paused = now.Add(min(shedPause<<min(h.sheds-2, shedDoublings), maxShedPause))
	b.lender(h.server.DC).changed = true
}

// baseline is the usual latency of one route in seconds.
type baseline struct {
	// median follows the median of all answers; usual follows it down soon and up slowly.
	median, usual float64
	last          time.Time
}

const (
	shedPause     = 10 * time.Millisecond
	shedDoublings = 6
	// maxShedPause is short against the time between announcements, so that a server with room again is soon used.
	maxShedPause = 200 * time.Millisecond
	// medianStep moves the median by one answer.
	medianStep = 0.01
	// usualRise bounds the rise of the usual latency per second: when all servers are cold or slow together, it must
	// not follow them at once.
	usualRise = 0.2
)

// ratio is the latency relative to the usual latency of the route.
func (b *Borrower) ratio(now time.Time, route string, took time.Duration) float64 {
	x := max(took.Seconds(), 1e-6)
	r, ok := b.routes[route]
	if !ok {
		b.routes[route] = &baseline{median: x, usual: x, last: now}
		return 1
	}
	ratio := x / r.usual
	if x > r.median {
		r.median *= 1 + medianStep
	} else {
		r.median /= 1 + medianStep
	}
	if r.median < r.usual {
		r.usual += (r.median - r.usual) / 16
	} else {
		r.usual = min(r.median, r.usual*(1+usualRise*now.Sub(r.last).Seconds()))
	}
	r.last = now
	return ratio
}

func smoothTime(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/8
}
