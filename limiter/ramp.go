package limiter

import (
	"math"
	"time"
)

const (
	// responseWeight is the weight of one response in the smoothed failure rate and latency ratio.
	responseWeight = 1.0 / 8
	// maxFailureRate is the smoothed failure rate above which a server is paused.
	maxFailureRate = 0.5
	// slowRatio is the smoothed latency ratio above which a server is treated as cold. Other load on the same hardware
	// slows a server down by a factor of about three for some milliseconds, which must not cost it slots.
	slowRatio = 4.0
	// goodRatio is the smoothed latency ratio up to which the limit grows at the normal rate. The mean of a log-normal
	// latency with sigma 0.5 is 1.13 times its median, and its smoothed value stays below 1.4.
	goodRatio = 1.4
	// initialRatio is the assumed latency ratio of a server without responses, so that it takes several good ones to
	// grow.
	initialRatio = 2.0
	// cautiousGrowthFactor is how much slower the limit grows above goodRatio. Servers on slower hardware thus still
	// reach their full limit in the end.
	cautiousGrowthFactor = 8
	// minGoodPerSlot is the number of good responses per slot after which the limit grows by one slot.
	minGoodPerSlot = 3
	// maxGoodPerSlot limits goodPerSlot, which doubles with repeated collapses.
	maxGoodPerSlot = 48
	// minGrowthInterval is the shortest time between two growth steps, so that responses at the new limit arrive before
	// the next step.
	minGrowthInterval = 40 * time.Millisecond
	// overloadFactor is the latency, relative to the latency with a single slot, above which a ramping server counts as
	// overloaded. This also works when all servers are cold and no baseline latency is known.
	overloadFactor = 2.0
	// minSingleSlotRatio is the latency ratio of a healthy server. A lower ratio measured with a single slot is due to
	// chance.
	minSingleSlotRatio = 1.13
	minPause           = 200 * time.Millisecond
	maxPause           = 5 * time.Second
	minResponses       = 3 // responses needed before the server's latency and failure rate are evaluated
)

// Reasons for the limit of a server, as shown in its status.
const (
	reasonNew       = "new"
	reasonReady     = "ready"
	reasonSlow      = "slow"
	reasonFailing   = "failing"
	reasonDraining  = "draining"
	reasonUndrained = "returned"
)

// ramp is the limit on the concurrent requests to one server from all entries.
type ramp struct {
	// limit is the number of slots that may be used, from 0 (paused) to slots.
	limit         float64
	slots         int
	failureRate   float64
	latencyRatio  float64
	responseCount int
	goodResponses int
	goodPerSlot   int
	nextPause     time.Duration
	pausedUntil   time.Time
	reason        string
	// lastResponse is when the last response arrived.
	lastResponse time.Time
	// keepFullLimit is true while most servers are slow at the same time; a server at its full limit then keeps it.
	keepFullLimit bool
	// lastGrowth is when the limit last grew, singleSlotRatio the latency ratio measured with a single slot, and
	// responsesSinceGrowth the number of responses since the last growth.
	lastGrowth           time.Time
	singleSlotRatio      float64
	responsesSinceGrowth int
	// probeLatency is the smoothed duration of successful probes.
	probeLatency time.Duration
}

func newRamp(slots int) *ramp {
	return &ramp{
		limit: 1, slots: slots, latencyRatio: initialRatio, goodPerSlot: minGoodPerSlot, nextPause: minPause, reason: reasonNew,
	}
}

// responseCounts summarizes the responses of one server since the last report.
type responseCounts struct {
	ok, failed, connectFailed int
	// shed counts the requests that the server rejected without running them.
	shed int
	// latencyRatioSum is the sum of the latency ratios of the ok responses.
	latencyRatioSum float64
}

func (c responseCounts) total() int { return c.ok + c.failed + c.connectFailed }

// observe updates the limit from the responses in one report.
func (r *ramp) observe(now time.Time, c responseCounts) {
	if c.shed > 0 {
		// The server states that it is overloaded.
		r.limit = math.Min(r.limit, math.Max(1, r.limit-1))
		r.goodResponses = 0
	}
	if c.total() == 0 {
		return
	}
	r.lastResponse = now
	r.responseCount += c.total()
	bad := c.failed + c.connectFailed
	r.failureRate = smooth(r.failureRate, float64(bad)/float64(c.total()), c.total())
	if c.ok > 0 {
		r.latencyRatio = smooth(r.latencyRatio, c.latencyRatioSum/float64(c.ok), c.ok)
	}
	switch {
	case c.connectFailed > 0 && c.ok == 0, r.failureRate > maxFailureRate && r.responseCount >= minResponses:
		r.pause(now)
	case r.latencyRatio > slowRatio && r.responseCount >= minResponses && r.keepFullLimit && r.limit >= float64(r.slots):
		// The cause is something that the servers share; see keepFullLimit.
	case r.latencyRatio > slowRatio && r.responseCount >= minResponses, r.overloaded(c):
		r.collapse()
	default:
		r.advance(now, c, bad)
	}
}

// pause stops requests to a failing server. After the pause, which grows each time, it gets single requests again. A
// server that fails fast thus does not attract requests.
func (r *ramp) pause(now time.Time) {
	if r.limit == 0 {
		return
	}
	r.limit = 0
	r.goodResponses = 0
	r.pausedUntil = now.Add(r.nextPause)
	r.nextPause = min(2*r.nextPause, maxPause)
	r.reason = reasonFailing
}

// collapse reduces the limit of a slow server to one slot. A collapse during the ramp makes the next ramp slower. A
// collapse from the full limit does not, since other load on the same hardware causes short slow phases.
func (r *ramp) collapse() {
	if r.limit > 1 && r.limit < float64(r.slots) {
		r.goodPerSlot = min(2*r.goodPerSlot, maxGoodPerSlot)
	}
	r.limit = 1
	r.goodResponses = 0
	r.reason = reasonSlow
}

// overloaded reports whether a ramping server has become slower with the recent growth of its limit.
func (r *ramp) overloaded(c responseCounts) bool {
	if r.limit <= 1 || r.limit >= float64(r.slots) {
		return false
	}
	r.responsesSinceGrowth += c.total()
	return r.responsesSinceGrowth >= minResponses &&
		r.latencyRatio > overloadFactor*math.Max(r.singleSlotRatio, minSingleSlotRatio)
}

func (r *ramp) advance(now time.Time, c responseCounts, bad int) {
	if bad > 0 {
		r.goodResponses = 0
		return
	}
	if c.ok == 0 || r.limit == 0 {
		return // Late responses to earlier requests do not end a pause.
	}
	r.goodResponses += c.ok
	r.nextPause = minPause
	if r.limit < float64(r.slots) && r.goodResponses >= r.goodResponsesNeeded() &&
		now.Sub(r.lastGrowth) >= minGrowthInterval {
		if r.limit <= 1 {
			r.singleSlotRatio = r.latencyRatio
		}
		r.limit = math.Min(float64(r.slots), math.Floor(r.limit)+1)
		r.goodResponses, r.responsesSinceGrowth, r.lastGrowth = 0, 0, now
	}
	if r.limit >= float64(r.slots) {
		r.goodResponses = 0
		r.goodPerSlot = minGoodPerSlot
		r.reason = reasonReady
	}
}

// goodResponsesNeeded returns the number of good responses after which the limit grows by one slot.
func (r *ramp) goodResponsesNeeded() int {
	n := r.goodPerSlot * int(math.Ceil(r.limit))
	if r.latencyRatio > goodRatio {
		n *= cautiousGrowthFactor
	}
	return n
}

// tick resumes a paused server with one slot when its pause ends.
func (r *ramp) tick(now time.Time) {
	if r.limit == 0 && !now.Before(r.pausedUntil) {
		r.limit, r.goodResponses, r.lastGrowth = 1, 0, now
		r.failureRate = maxFailureRate
		r.responseCount = minResponses
	}
}

// reset treats the server as cold again.
func (r *ramp) reset(reason string) {
	r.limit = 1
	r.goodResponses = 0
	r.latencyRatio = initialRatio
	r.reason = reason
}

func smooth(old, sample float64, n int) float64 {
	oldWeight := math.Pow(1-responseWeight, float64(n))
	return old*oldWeight + sample*(1-oldWeight)
}
