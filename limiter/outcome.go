package limiter

import (
	"time"

	"sycamorevane.example/sycamorevane"
)

// recordOutcome records the outcome of one attempt.
func (b *Borrower) recordOutcome(now time.Time, s *borrowedServer, r *activeRequest, o sycamorevane.Outcome) {
	latency := o.Latency
	if latency <= 0 {
		latency = now.Sub(r.startedAt)
	}
	switch o.Kind {
	case sycamorevane.OutcomeOK:
		ratio := b.latencyRatio(now, o.Route, latency)
		s.unreported.ok++
		s.unreported.latencyRatioSum += ratio
		p := b.pool(s.server.DC)
		if (s.ramping || ratio > slowRatio) && now.Sub(p.lastReport) >= minResponseReportInterval {
			p.reportPending = true
		}
		s.latency = smoothDuration(s.latency, latency)
		b.latency = smoothDuration(b.latency, latency)
		s.failureRate = smooth(s.failureRate, 0, 1)
		s.consecutiveSheds = 0
	case sycamorevane.OutcomeCancelled:
	case sycamorevane.OutcomeShed:
		s.unreportedSheds++
		b.penalize(now, s, latency)
		b.pauseAfterSheds(now, s)
	case sycamorevane.OutcomeConnectFailed:
		s.unreported.connectFailed++
		s.failureRate = smooth(s.failureRate, 1, 1)
		s.allowedSlots = 0
		b.pool(s.server.DC).reportPending = true
	default:
		s.unreported.failed++
		s.failureRate = smooth(s.failureRate, 1, 1)
		b.penalize(now, s, latency)
		b.pool(s.server.DC).reportPending = true
	}
}

// penalize leaves one slot unused for the time that a successful response would have taken, so that a server that
// fails fast does not attract more requests.
func (b *Borrower) penalize(now time.Time, s *borrowedServer, latency time.Duration) {
	until := now.Add(b.typicalLatency() - latency)
	if s.penaltyUntil.Before(now) {
		s.penaltyUntil = now
	}
	if until.After(s.penaltyUntil) {
		s.penaltyUntil = until
	}
}

// pauseAfterSheds pauses the server for a growing time while it sheds one request after another. A server that begins
// to drain sheds everything until its next announcement, and each shed request costs a retry.
func (b *Borrower) pauseAfterSheds(now time.Time, s *borrowedServer) {
	s.consecutiveSheds++
	if s.consecutiveSheds < 2 {
		return
	}
	s.pausedUntil = now.Add(min(minShedPause<<min(s.consecutiveSheds-2, maxShedDoublings), maxShedPause))
	b.pool(s.server.DC).reportPending = true
}

// routeLatency tracks the latency of one route.
type routeLatency struct {
	// medianSeconds follows the median of all latencies. baselineSeconds is the reference for latency ratios: it follows
	// the median down quickly and up slowly.
	medianSeconds, baselineSeconds float64
	updatedAt                      time.Time
}

const (
	minShedPause     = 10 * time.Millisecond
	maxShedDoublings = 6
	// maxShedPause is short compared to the time between announcements, so that a server with free slots is soon used
	// again.
	maxShedPause = 200 * time.Millisecond
	// medianStep is the relative change of the median per response.
	medianStep = 0.01
	// maxBaselineRisePerSecond limits the relative rise of the baseline per second. When all servers are cold or slow at
	// the same time, the baseline must not follow at once.
	maxBaselineRisePerSecond = 0.2
)

// latencyRatio returns the latency relative to the baseline latency of the route, and updates the baseline.
func (b *Borrower) latencyRatio(now time.Time, route string, latency time.Duration) float64 {
	seconds := max(latency.Seconds(), 1e-6)
	r, ok := b.routeLatencies[route]
	if !ok {
		b.routeLatencies[route] = &routeLatency{medianSeconds: seconds, baselineSeconds: seconds, updatedAt: now}
		return 1
	}
	ratio := seconds / r.baselineSeconds
	if seconds > r.medianSeconds {
		r.medianSeconds *= 1 + medianStep
	} else {
		r.medianSeconds /= 1 + medianStep
	}
	if r.medianSeconds < r.baselineSeconds {
		r.baselineSeconds += (r.medianSeconds - r.baselineSeconds) / 16
	} else {
		r.baselineSeconds = min(r.medianSeconds,
			r.baselineSeconds*(1+maxBaselineRisePerSecond*now.Sub(r.updatedAt).Seconds()))
	}
	r.updatedAt = now
	return ratio
}

func smoothDuration(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/8
}
