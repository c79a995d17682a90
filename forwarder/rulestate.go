package forwarder

import (
	"sync"
	"time"

	"sycamorevane.example/sycamorevane"
)

// ruleState is what the forwarder keeps for one rule from request to request.
type ruleState struct {
	roundRobin    *weightedRoundRobin
	callerTimeout *callerTimeout
	// medianLatency is that of the latencies of good first attempts.
	medianLatency *quantileEstimate
}

func newRuleState() *ruleState {
	return &ruleState{
		roundRobin: &weightedRoundRobin{currentWeight: make(map[string]float64)}, callerTimeout: &callerTimeout{},
		medianLatency: &quantileEstimate{value: initialMedian.Seconds(), tailRatio: 0.5},
	}
}

// weightedRoundRobin is a smooth weighted round robin, which keeps the shares also over few requests.
type weightedRoundRobin struct {
	mu            sync.Mutex
	currentWeight map[string]float64
}

// callerTimeout learns how much time the callers of a rule allow.
type callerTimeout struct {
	mu sync.Mutex
	// typical is the smoothed time that callers name with a first attempt.
	typical time.Duration
}

const (
	// initialMedian stands for the median of a rule that has had no answer yet; a few answers move it.
	initialMedian = 100 * time.Millisecond
	// timeoutSmoothing is the weight of one request in the time that callers typically name.
	timeoutSmoothing = 0.05
	// maxRetryTimeoutRatio of the typical time or less is named by a caller that tries again; first attempts differ by a tenth.
	maxRetryTimeoutRatio = 0.8
)

// elapsed estimates how long the caller of a request has been waiting: callers of a rule allow about the same time, and
// one that tries again names what is left.
func (t *callerTimeout) elapsed(remaining time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.typical == 0 {
		t.typical = remaining
	}
	if float64(remaining) < maxRetryTimeoutRatio*float64(t.typical) {
		waited := t.typical - remaining
		t.typical -= time.Duration(timeoutSmoothing * timeoutSmoothing * float64(waited)) // In case all callers have changed.
		return waited
	}
	t.typical += time.Duration(timeoutSmoothing * float64(remaining-t.typical))
	return 0
}

// next returns the service of the next request.
func (w *weightedRoundRobin) next(destinations []sycamorevane.Destination) string {
	if len(destinations) == 1 {
		return destinations[0].Service
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	total := 0
	best := -1
	for i, d := range destinations {
		total += d.Weight
		w.currentWeight[d.Service] += float64(d.Weight)
		if d.Weight > 0 && (best < 0 || w.currentWeight[d.Service] > w.currentWeight[destinations[best].Service]) {
			best = i
		}
	}
	w.currentWeight[destinations[best].Service] -= float64(total)
	return destinations[best].Service
}
