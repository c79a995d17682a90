package forwarder

import (
	"sync"
	"time"

	"sycamorevane.example/sycamorevane"
)

// ruleState is the state that is kept for a rule across requests.
type ruleState struct {
	roundRobin    *weightedRoundRobin
	callerTimeout *callerTimeout
	// medianLatency estimates the median latency of successful first attempts.
	medianLatency *quantileEstimate
}

func newRuleState() *ruleState {
	return &ruleState{
		roundRobin: &weightedRoundRobin{currentWeight: make(map[string]float64)}, callerTimeout: &callerTimeout{},
		medianLatency: &quantileEstimate{value: initialMedian.Seconds(), tailRatio: 0.5},
	}
}

// weightedRoundRobin is a smooth weighted round robin, which keeps the configured ratio even over few requests.
type weightedRoundRobin struct {
	mu            sync.Mutex
	currentWeight map[string]float64
}

// callerTimeout estimates the timeout that the callers of a rule set.
type callerTimeout struct {
	mu sync.Mutex
	// typical is the smoothed timeout of first attempts.
	typical time.Duration
}

const (
	// initialMedian is the median latency that is assumed for a rule without responses; a few responses correct it.
	initialMedian = 100 * time.Millisecond
	// timeoutSmoothing is the weight of one request in the typical timeout.
	timeoutSmoothing = 0.05
	// maxRetryTimeoutRatio separates retries of callers from first attempts: a retry has at most this share of the typical
	// timeout left, while the timeouts of first attempts differ by only a tenth.
	maxRetryTimeoutRatio = 0.8
)

// elapsed estimates how long the caller has been waiting. The callers of a rule all set about the same timeout, and a
// caller that retries sets what remains of it.
func (t *callerTimeout) elapsed(remaining time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.typical == 0 {
		t.typical = remaining
	}
	if float64(remaining) < maxRetryTimeoutRatio*float64(t.typical) {
		waited := t.typical - remaining
		// If all callers have changed to a shorter timeout, the estimate follows, at a lower weight.
		t.typical -= time.Duration(timeoutSmoothing * timeoutSmoothing * float64(waited))
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
