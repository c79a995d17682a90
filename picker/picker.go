// Package picker chooses a server among those that could take a request. Leased is the policy in use. LocalTwoChoices
// and SharedTwoChoices are alternatives that it is compared with.
package picker

import (
	"math"
	"math/rand/v2"
	"time"

	"sycamorevane.example/sycamorevane"
)

const (
	// maxFailureRate is the failure rate from which a server is used only if there is no other.
	maxFailureRate = 0.5
	// equalCostTolerance is the relative cost difference below which two servers count as equal, so that measurement
	// noise does not concentrate the load on one server.
	equalCostTolerance = 0.25
)

// Leased picks the server with the lowest expected time among those with leased free slots. The expected time
// includes the network delay and the repeated attempts after failures. Failing servers are used last, however fast
// they are.
type Leased struct{}

// Pick implements sycamorevane.Picker.
func (Leased) Pick(_ time.Time, _ sycamorevane.Request, c []sycamorevane.Candidate, r *rand.Rand) int {
	mean := meanLatency(c)
	best, cost, ties := -1, math.Inf(1), 0
	for i := range c {
		if c[i].FreeSlots <= 0 {
			continue
		}
		candidateCost := expectedTime(&c[i], mean)
		switch {
		case best < 0 || candidateCost < cost/(1+equalCostTolerance):
			best, cost, ties = i, candidateCost, 1
		case candidateCost <= cost*(1+equalCostTolerance):
			ties++
			if r.IntN(ties) == 0 {
				best = i
			}
			cost = math.Min(cost, candidateCost)
		}
	}
	return best
}

// meanLatency returns the mean latency of the candidates whose latency is known, or 1 ms.
func meanLatency(c []sycamorevane.Candidate) time.Duration {
	var sum time.Duration
	n := 0
	for i := range c {
		if c[i].Latency > 0 {
			sum += c[i].Latency
			n++
		}
	}
	if n == 0 {
		return time.Millisecond
	}
	return sum / time.Duration(n)
}

// expectedTime returns the expected time in nanoseconds until a successful response. The latency of a server with
// failures counts as at least the mean, since fast failures say nothing about the speed of successful responses.
func expectedTime(c *sycamorevane.Candidate, mean time.Duration) float64 {
	latency := c.Latency
	if latency == 0 || c.FailureRate > 0 {
		latency = max(latency, mean)
	}
	cost := float64(latency+2*c.NetworkDelay) / (1 - min(c.FailureRate, 0.99))
	if c.FailureRate >= maxFailureRate {
		cost *= 100
	}
	return cost
}
