// Package picker chooses among servers that could take a request. Leased is the policy in use; the others are
// the alternatives it is measured against.
package picker

import (
	"math"
	"math/rand/v2"
	"time"

	"sycamorevane.example/sycamorevane"
)

const (
	// failed is the failure share from which a server is used only when nothing else is left.
	failed = 0.5
	// likeness is the relative cost difference below which two servers count as equal, so that measurement noise
	// does not concentrate load on one server.
	likeness = 0.25
)

// Leased picks among leased free slots by expected time, which includes the distance and repeated attempts after
// failures. Failing servers are the last choice whatever their speed.
type Leased struct{}

// Pick implements sycamorevane.Picker.
func (Leased) Pick(_ time.Time, _ sycamorevane.Request, c []sycamorevane.Candidate, r *rand.Rand) int {
	usual := usualLatency(c)
	best, cost, ties := -1, math.Inf(1), 0
	for i := range c {
		if c[i].FreeSlots <= 0 {
			continue
		}
		x := expected(&c[i], usual)
		switch {
		case best < 0 || x < cost/(1+likeness):
			best, cost, ties = i, x, 1
		case x <= cost*(1+likeness):
			ties++
			if r.IntN(ties) == 0 {
				best = i
			}
			cost = math.Min(cost, x)
		}
	}
	return best
}

// usualLatency is the mean latency of the candidates that have one.
func usualLatency(c []sycamorevane.Candidate) time.Duration {
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

// expected is the time until a good answer. A failing server counts at least the usual latency, since the speed of
// its failures says nothing about good answers.
func expected(c *sycamorevane.Candidate, usual time.Duration) float64 {
	latency := c.Latency
	if latency == 0 || c.FailureRate > 0 {
		latency = max(latency, usual)
	}
	cost := float64(latency+2*c.NetworkDelay) / (1 - min(c.FailureRate, 0.99))
	if c.FailureRate >= failed {
		cost *= 100
	}
	return cost
}
