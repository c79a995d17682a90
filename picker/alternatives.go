package picker

import (
	"math"
	"math/rand/v2"
	"time"

	"sycamorevane.example/sycamorevane"
)

// LocalTwo is the power of two choices on the counts and latencies of one entry alone.
type LocalTwo struct{}

// Pick implements sycamorevane.Picker.
func (LocalTwo) Pick(_ time.Time, _ sycamorevane.Request, c []sycamorevane.Candidate, r *rand.Rand) int {
	usual := usualLatency(c)
	return better(c, r, func(i int) float64 {
		return float64(c[i].Running+1) * expected(&c[i], usual)
	})
}

// SharedTwo is the power of two choices on counts shared by all entries. A count loses weight with age: it moves
// towards the mean of all candidates, since an old count says little about one server.
type SharedTwo struct {
	// Life is the age at which a count has lost all but 1/e of its weight; zero means 50 ms.
	Life time.Duration
}

// Pick implements sycamorevane.Picker.
func (p SharedTwo) Pick(_ time.Time, _ sycamorevane.Request, c []sycamorevane.Candidate, r *rand.Rand) int {
	life := p.Life
	if life == 0 {
		life = 50 * time.Millisecond
	}
	mean := 0.0
	for i := range c {
		mean += float64(c[i].Running) / float64(len(c))
	}
	usual := usualLatency(c)
	return better(c, r, func(i int) float64 {
		trust := math.Exp(-float64(c[i].CountsAge) / float64(life))
		busy := mean + (float64(c[i].Running)-mean)*trust
		return (busy + 1) / float64(max(1, c[i].Server.Slots)) * expected(&c[i], usual)
	})
}

// better returns the cheaper of two different random candidates.
func better(c []sycamorevane.Candidate, r *rand.Rand, cost func(int) float64) int {
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
	if cost(b) < cost(a) {
		return b
	}
	return a
}
