package forwarder

import (
	"sync"
	"time"

	"sycamorevane.example/sycamorevane"
)

// ruleState is the state that is kept for a rule across requests.
type ruleState struct {
	roundRobin *weightedRoundRobin
	// medianLatency estimates the median latency of successful first attempts.
	medianLatency *quantileEstimate
}

func newRuleState() *ruleState {
	return &ruleState{
		roundRobin:    &weightedRoundRobin{currentWeight: make(map[string]float64)},
		medianLatency: &quantileEstimate{value: initialMedian.Seconds(), tailRatio: 0.5},
	}
}

// weightedRoundRobin is a smooth weighted round robin, which keeps the configured ratio even over few requests.
type weightedRoundRobin struct {
	mu            sync.Mutex
	currentWeight map[string]float64
}

// initialMedian is the median latency that is assumed for a rule without responses; a few responses correct it.
const initialMedian = 100 * time.Millisecond

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
