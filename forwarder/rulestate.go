package forwarder

import (
	"sync"
	"time"

	"sycamorevane.example/sycamorevane"
)

// ruleState is what the forwarder keeps for one rule from request to request.
type ruleState struct {
	split     *split
	allowance *allowance
	// median is that of the latencies of good first attempts.
	median *quantile
}

func newRuleState() *ruleState {
	return &ruleState{
		split: &split{credit: make(map[string]float64)}, allowance: &allowance{},
		median: &quantile{value: medianStart.Seconds(), hedged: 0.5},
	}
}

// split is a smooth weighted round robin, which keeps the shares also over few requests.
type split struct {
	mu     sync.Mutex
	credit map[string]float64
}

// allowance learns how much time the callers of a rule allow.
type allowance struct {
	mu sync.Mutex
	// typical is the smoothed time that callers name with a first attempt.
	typical time.Duration
}

const (
	// medianStart stands for the median of a rule that has had no answer yet; a few answers move it.
	medianStart = 100 * time.Millisecond
	// typicalWeight is the weight of one request in the time that callers typically name.
	typicalWeight = 0.05
	// againShare of the typical time or less is named by a caller that tries again; first attempts differ by a tenth.
	againShare = 0.8
)

// elapsed estimates how long the caller of a request has been waiting: callers of a rule allow about the same time, and
// one that tries again names what is left.
func (a *allowance) elapsed(left time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.typical == 0 {
		a.typical = left
	}
	if float64(left) < againShare*float64(a.typical) {
		waited := a.typical - left
		a.typical -= time.Duration(typicalWeight * typicalWeight * float64(waited)) // In case all callers have changed.
		return waited
	}
	a.typical += time.Duration(typicalWeight * float64(left-a.typical))
	return 0
}

// next returns the service of the next request.
func (s *split) next(parts []sycamorevane.Destination) string {
	if len(parts) == 1 {
		return parts[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	best := -1
	for i, p := range parts {
		total += p.Weight
		s.credit[p.Service] += float64(p.Weight)
		if p.Weight > 0 && (best < 0 || s.credit[p.Service] > s.credit[parts[best].Service]) {
			best = i
		}
	}
	s.credit[parts[best].Service] -= float64(total)
	return parts[best].Service
}
