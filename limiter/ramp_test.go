package limiter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sycamorevane.example/sycamorevane/seeder"
)

var startTime = time.Unix(1_000_000_000, 0)

func okResponses(n int, ratio float64) responseCounts {
	return responseCounts{ok: n, latencyRatioSum: ratio * float64(n)}
}

// observeTimes passes the same responses to the ramp n times, one minGrowthInterval apart, and returns the time after
// them.
func observeTimes(r *ramp, now time.Time, n int, c responseCounts) time.Time {
	for range n {
		now = now.Add(minGrowthInterval)
		r.tick(now)
		r.observe(now, c)
	}
	return now
}

func newWarmRamp(slots int) (*ramp, time.Time) {
	r := newRamp(slots)
	return r, observeTimes(r, startTime, 60, okResponses(4, 1))
}

// Guards against a server that gets more requests than it can handle, and against one that never warms up.
func TestRamp(t *testing.T) {
	cases := []struct {
		name      string
		warm      bool
		responses responseCounts
		repeats   int
		limit     float64
		reason    string
	}{
		{"new server has one slot", false, responseCounts{}, 1, 1, reasonNew},
		{"few good answers are not enough", false, okResponses(1, 1), 4, 1, reasonNew},
		{"good answers lead to all slots", false, okResponses(4, 1), 60, 4, reasonReady},
		{"slower hardware gets all slots in the end", false, okResponses(4, 1.6), 200, 4, reasonReady},
		{"a warm server that turns slow falls to one slot", true, okResponses(4, 6), 8, 1, reasonSlow},
		{"a failing server is held", true, responseCounts{failed: 4}, 3, 0, reasonFailing},
		{"a server that refuses connections is held at once", true, responseCounts{connectFailed: 1}, 1, 0, reasonFailing},
		{"single failures change nothing", true, responseCounts{ok: 20, latencyRatioSum: 20, failed: 1}, 10, 4, reasonReady},
		{"own refusals lower the limit", true, responseCounts{shed: 1}, 1, 3, reasonReady},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, now := newRamp(4), startTime
			if c.warm {
				r, now = newWarmRamp(4)
				require.InDelta(t, 4, r.limit, 0)
			}
			observeTimes(r, now, c.repeats, c.responses)
			require.InDelta(t, c.limit, r.limit, 0)
			require.Equal(t, c.reason, r.reason)
		})
	}
}

// Guards against a failing server that soon attracts requests again: each further failure doubles the pause.
func TestFailingServerWaitsLonger(t *testing.T) {
	r, now := newWarmRamp(4)
	var pauses []time.Duration
	for range 4 {
		now = observeTimes(r, now, 3, responseCounts{failed: 4})
		require.Zero(t, r.limit)
		pauses = append(pauses, r.pausedUntil.Sub(now))
		now = r.pausedUntil
		r.tick(now)
		require.InDelta(t, 1, r.limit, 0)
	}
	for i := 1; i < len(pauses); i++ {
		require.Greater(t, pauses[i], pauses[i-1])
	}
}

// Guards against lost capacity when all servers become slow because of something that they share.
func TestSharedSlownessSparesFullServers(t *testing.T) {
	r, now := newWarmRamp(4)
	r.keepFullLimit = true
	observeTimes(r, now, 10, okResponses(4, 6))
	require.InDelta(t, 4, r.limit, 0)
}

// Guards against a limit below 0, above the server's slots, or that grows by more than one slot at a time.
func TestRampBounds(t *testing.T) {
	seeder.FixSeed(t, 0)
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		r, now := newRamp(slots), startTime
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			before := r.limit
			counts := responseCounts{
				ok: rapid.IntRange(0, 5).Draw(t, "ok"), failed: rapid.IntRange(0, 2).Draw(t, "failed"),
				connectFailed: rapid.IntRange(0, 1).Draw(t, "refused"), shed: rapid.IntRange(0, 1).Draw(t, "shed"),
			}
			counts.latencyRatioSum = float64(counts.ok) * rapid.Float64Range(0.1, 10).Draw(t, "ratio")
			r.tick(now)
			r.observe(now, counts)
			if r.limit < 0 || r.limit > float64(slots) || r.limit > before+1 {
				t.Fatalf("limit went from %v to %v with %d slots", before, r.limit, slots)
			}
		}
	})
}
