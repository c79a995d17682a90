package picker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/seeder"
)

var pickers = map[string]sycamorevane.Picker{"leased": Leased{}, "local": LocalTwoChoices{}, "shared": SharedTwoChoices{}}

func candidate(free, running int, latency time.Duration, failureRate float64) sycamorevane.Candidate {
	return sycamorevane.Candidate{
		Server: sycamorevane.Server{Slots: 4}, FreeSlots: free, Running: running, Latency: latency, FailureRate: failureRate,
	}
}

// pickCounts returns how often each candidate is picked in 1000 calls.
func pickCounts(p sycamorevane.Picker, c []sycamorevane.Candidate) []int {
	r := rand.New(rand.NewPCG(1, 2))
	n := make([]int, len(c))
	for range 1000 {
		if i := p.Pick(time.Time{}, sycamorevane.Request{}, c, r); i >= 0 {
			n[i]++
		}
	}
	return n
}

// Every Picker must return a valid index or -1, and never panic.
func TestPickIsInRange(t *testing.T) {
	for name, p := range pickers {
		t.Run(name, func(t *testing.T) {
			seeder.FixSeed(t, 0)
			rapid.Check(t, func(t *rapid.T) {
				var c []sycamorevane.Candidate
				for range rapid.IntRange(0, 5).Draw(t, "candidates") {
					v := candidate(rapid.IntRange(0, 4).Draw(t, "free"), rapid.IntRange(0, 9).Draw(t, "busy"),
						time.Duration(rapid.IntRange(0, 1000).Draw(t, "us"))*time.Microsecond, rapid.Float64Range(0, 1).Draw(t, "failing"))
					v.CountsAge = time.Duration(rapid.IntRange(0, 1000).Draw(t, "age")) * time.Millisecond
					c = append(c, v)
				}
				i := p.Pick(time.Time{}, sycamorevane.Request{}, c, rand.New(rand.NewPCG(1, 2)))
				if i < -1 || i >= len(c) || len(c) == 0 && i != -1 {
					t.Fatalf("picked %d of %d", i, len(c))
				}
			})
		})
	}
}

// Guards against a server that attracts requests by failing fast.
func TestFastFailureDoesNotAttract(t *testing.T) {
	for name, p := range pickers {
		t.Run(name, func(t *testing.T) {
			n := pickCounts(p, []sycamorevane.Candidate{
				candidate(4, 0, 200*time.Microsecond, 0.9), candidate(1, 3, 6*time.Millisecond, 0), candidate(1, 3, 6*time.Millisecond, 0),
			})
			require.Zero(t, n[0], "%v", n)
		})
	}
}

// Guards against requests to servers without a leased slot.
func TestLeasedNeedsFreeSlot(t *testing.T) {
	require.Equal(t, []int{0, 1000}, pickCounts(Leased{}, []sycamorevane.Candidate{
		candidate(0, 4, time.Millisecond, 0), candidate(1, 3, time.Second, 0),
	}))
	require.Equal(t, []int{0}, pickCounts(Leased{}, []sycamorevane.Candidate{candidate(0, 4, time.Millisecond, 0)}))
}

// Guards against concentrating on one of several equal servers, and against using a slow server while others are
// free.
func TestLeasedSpreads(t *testing.T) {
	n := pickCounts(Leased{}, []sycamorevane.Candidate{
		candidate(1, 0, 6*time.Millisecond, 0), candidate(1, 0, 6500*time.Microsecond, 0), candidate(1, 0, 60*time.Millisecond, 0),
	})
	require.Greater(t, n[0], 300, "%v", n)
	require.Greater(t, n[1], 300, "%v", n)
	require.Zero(t, n[2])
}

// Guards against relying on counts that are too old.
func TestSharedDiscountsByAge(t *testing.T) {
	for _, c := range []struct {
		age      time.Duration
		maxPicks int
	}{{0, 0}, {time.Minute, 600}} {
		t.Run(fmt.Sprint(c.age), func(t *testing.T) {
			old := candidate(0, 4, time.Millisecond, 0)
			old.CountsAge = c.age
			n := pickCounts(SharedTwoChoices{}, []sycamorevane.Candidate{old, candidate(4, 0, time.Millisecond, 0)})
			require.LessOrEqual(t, n[0], c.maxPicks, "%v", n)
		})
	}
}
