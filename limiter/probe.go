package limiter

import (
	"time"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/prober"
)

// NextProbe returns the server to probe now, if any. The caller must send one probe and pass its result to
// HandleProbeResult.
func (o *Owner) NextProbe(now time.Time) (sycamorevane.Server, bool) {
	if now.Before(o.readyAt) {
		o.budget.Pause(now)
		return sycamorevane.Server{}, false
	}
	targets := make([]prober.Target, 0, len(o.servers.list))
	for _, s := range o.servers.list {
		if !o.rules.allowsNewWork(&s.Server) {
			continue
		}
		targets = append(targets, prober.Target{
			ID: s.ID, Slots: s.Slots, LastResponse: s.ramp.lastResponse, HasFreeSlot: o.hasRoomForProbe(now, s),
		})
	}
	id := o.budget.Next(now, targets)
	s, ok := o.servers.get(id)
	if !ok {
		return sycamorevane.Server{}, false
	}
	s.runningProbes++
	s.probesSent++
	return s.Server, true
}

// hasRoomForProbe reports whether a probe fits within the server's limit. A paused server may get one probe, since
// nothing else runs on it.
func (o *Owner) hasRoomForProbe(now time.Time, s *ownedServer) bool {
	chargedSlots := s.chargedSlots()
	if s.ramp.limit == 0 {
		return chargedSlots == 0
	}
	return chargedSlots < o.slotLimit(now, s)
}

// HandleProbeResult processes the result of a probe.
func (o *Owner) HandleProbeResult(now time.Time, id string, duration time.Duration, failed bool) []Loan {
	o.budget.Complete(id, duration)
	s, ok := o.servers.get(id)
	if !ok {
		return nil
	}
	s.runningProbes = max(0, s.runningProbes-1)
	if failed {
		s.ramp.observe(now, responseCounts{failed: 1})
		return o.balance(now)
	}
	s.ramp.recordProbe(now, duration)
	return o.balance(now)
}

// PauseProbes stops the probe budget from growing while this entry has no majority.
func (o *Owner) PauseProbes(now time.Time) { o.budget.Pause(now) }

// SetProbeRatio sets the share of slot time that probes may use.
func (o *Owner) SetProbeRatio(ratio float64) { o.budget.SetRatio(ratio) }

// recordProbe records a successful probe. It ends a pause, but does not raise the limit further: only responses to
// real requests do, since a probe may cost the server nothing.
func (r *ramp) recordProbe(now time.Time, latency time.Duration) {
	r.lastResponse = now
	if r.limit == 0 {
		r.limit, r.goodResponses, r.lastGrowth = 1, 0, now
		r.failureRate = maxFailureRate
		r.responseCount = minResponses
	}
	r.probeLatency = smoothDuration(r.probeLatency, latency)
}
