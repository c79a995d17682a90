package picker

import (
	"math"
	"math/rand/v2"
	"time"

	"sycamorevane.example/sycamorevane"
)

// LocalTwoChoices is the power of two random choices, based on the running requests and latencies of one entry alone.
type LocalTwoChoices struct{}

// Pick implements sycamorevane.Picker.
func (LocalTwoChoices) Pick(_ time.Time, _ sycamorevane.Request, c []sycamorevane.Candidate, r *rand.Rand) int {
	mean := meanLatency(c)
	return cheaperOfTwo(c, r, func(i int) float64 {
		return float64(c[i].Running+1) * expectedTime(&c[i], mean)
	})
}

// SharedTwoChoices is the power of two random choices, based on running requests reported by all entries. With age, a
// count moves towards the mean of all candidates, since an old count says little about a single server.
type SharedTwoChoices struct {
	// DecayTime is the age at which the weight of a count has fallen to 1/e. Zero means 50 ms.
	DecayTime time.Duration
}

// Pick implements sycamorevane.Picker.
func (p SharedTwoChoices) Pick(_ time.Time, _ sycamorevane.Request, c []sycamorevane.Candidate, r *rand.Rand) int {
	decayTime := p.DecayTime
	if decayTime == 0 {
		decayTime = 50 * time.Millisecond
	}
	meanRunning := 0.0
	for i := range c {
		meanRunning += float64(c[i].Running) / float64(len(c))
	}
	mean := meanLatency(c)
	return cheaperOfTwo(c, r, func(i int) float64 {
		weight := math.Exp(-float64(c[i].CountsAge) / float64(decayTime))
		running := meanRunning + (float64(c[i].Running)-meanRunning)*weight
		return (running + 1) / float64(max(1, c[i].Server.Slots)) * expectedTime(&c[i], mean)
	})
}

// cheaperOfTwo returns the cheaper one of two random candidates, or -1 without candidates.
func cheaperOfTwo(c []sycamorevane.Candidate, r *rand.Rand, costOf func(int) float64) int {
	switch len(c) {
	case 0:
		return -1
	case 1:
		return 0
	}
	a := r.IntN(len(c))
	b := r.IntN(len(c) - 1)
	if b >= a {
		b++
	}
	if costOf(b) < costOf(a) {
		return b
	}
	return a
}
