package promoter

import (
	"time"

	"sycamorevane.example/sycamorevane"
)

const (
	// reactionTime is the time in which a new version that begins to fail gets no calls any more: reports, a decision, its
	// commit and the push to the entries.
	reactionTime = time.Second
	// rateDecay is applied, at each decision, to the number of calls of which the current rate is calculated.
	rateDecay = 0.8
	// minLimitedShare is the smallest share after the trial that an ExposureLimit leaves, minRaise the smallest factor on
	// the share.
	minLimitedShare = 0.2
	minRaise        = 1.2
	// limitedStepCalls is the number of calls that a share takes at least, as decisions see minStepCalls late.
	limitedStepCalls = 1.5 * minStepCalls
)

// ExposureLimit limits the calls that a version which turns out to be bad may have got by its deadline.
type ExposureLimit struct {
	// Share is the share of the service's calls from the start of the rollout to the deadline, Calls a number of calls in
	// addition.
	Share float64
	Calls float64
}

// IsSet reports whether there is a limit.
func (l ExposureLimit) IsSet() bool { return l != ExposureLimit{} }

// exposure estimates the calls that the new version has got.
type exposure struct {
	limit ExposureLimit
	// newCalls counts the calls of the new version that entries have reported. Those that an entry had not reported when it
	// ended are missing.
	newCalls float64
	// shareTime is the integral of the share over the time since the start of the rollout.
	shareTime time.Duration
	// recentCalls and recentTime are the calls of both versions and the time in which they were reported, decayed.
	recentCalls float64
	recentTime  time.Duration
	// lastLeft is the number of calls that were left at the last decision; 0 without a limit.
	lastLeft float64
}

// recordExposure counts the calls since the last decision, before compareWindow clears them.
func (e *evaluation) recordExposure(now time.Time, r sycamorevane.Rollout, ceiling float64) {
	if e.lastDecision.IsZero() {
		e.exposure.begin(now, r, ceiling)
		return
	}
	var calls [2]float64
	for _, counts := range e.window {
		for side := range calls {
			calls[side] += counts.calls[side] + counts.shed[side]
		}
	}
	e.exposure.add(now.Sub(e.lastDecision), e.share, calls)
	if e.exposure.limit.IsSet() {
		e.exposure.lastLeft = e.exposure.left(r)
	}
}

// begin estimates what a former leader has seen.
func (x *exposure) begin(now time.Time, r sycamorevane.Rollout, ceiling float64) {
	changedAt := time.UnixMilli(r.ChangedAt)
	x.addShare(changedAt.Sub(time.UnixMilli(r.StartedAt)), min(ceiling, r.Share))
	x.addShare(now.Sub(changedAt), r.Share)
}

func (x *exposure) addShare(d time.Duration, share float64) {
	x.shareTime += time.Duration(share * float64(max(d, 0)))
}

// add counts the calls, by side, that were reported in the time d.
func (x *exposure) add(d time.Duration, share float64, calls [2]float64) {
	x.newCalls += calls[1]
	x.addShare(d, share)
	x.recentCalls = x.recentCalls*rateDecay + calls[0] + calls[1]
	x.recentTime = time.Duration(rateDecay*float64(x.recentTime)) + d
}

// rate is the service's current number of calls per second.
func (x *exposure) rate() float64 {
	if x.recentTime <= 0 {
		return 0
	}
	return x.recentCalls / x.recentTime.Seconds()
}

// left is the number of calls that the new version may still get.
func (x *exposure) left(r sycamorevane.Rollout) float64 {
	return x.limit.Share*x.rate()*allowedTime(r).Seconds() + x.limit.Calls - x.used()
}

func (x *exposure) used() float64 { return max(x.newCalls, x.rate()*x.shareTime.Seconds()) }

// spent reports whether the new version has got all calls that a bad version may get.
func (x *exposure) spent(r sycamorevane.Rollout) bool { return x.limit.IsSet() && x.left(r) <= 0 }

// limitStep limits a step to a share at which the new version may turn bad without exceeding the limit, leaving what the
// last share needs. Shares that are too small to show more than the trial are skipped, since they only take calls.
func (x *exposure) limitStep(r sycamorevane.Rollout, s Step) Step {
	last, rate := shareLevels[len(shareLevels)-1], x.rate()
	if !x.limit.IsSet() || rate == 0 || s.Phase != sycamorevane.RolloutMoving || !s.Raises() || s.Share >= last {
		return s
	}
	left := x.left(r) - last*rate*reactionTime.Seconds()
	stay := minStepTime(r) + commitDelay/2
	maxShare := left / (rate * stay.Seconds())
	switch {
	case left < limitedStepCalls, maxShare < s.Share && maxShare < max(minLimitedShare, minRaise*r.Share):
		s.Share = last
	default:
		s.Share = min(s.Share, maxShare)
	}
	return s
}
