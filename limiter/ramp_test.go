package limiter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sycamorevane.example/sycamorevane/seeder"
)

var start = time.Unix(1_000_000_000, 0)

func ok(n int, ratio float64) answers { return answers{ok: n, ratio: ratio * float64(n)} }

// feed gives the ramp the same answers n times, one growGap apart, and returns the time after them.
func feed(r *ramp, now time.Time, n int, a answers) time.Time {
	for range n {
		now = now.Add(growGap)
		r.tick(now)
		r.observe(now, a)
	}
	return now
}

func warm(slots int) (*ramp, time.Time) {
	r := newRamp(slots)
	return r, feed(r, start, 60, ok(4, 1))
}

// Guards against a server that gets more work than it can bear, and against one that never warms up.
func TestRamp(t *testing.T) {
	cases := []struct {
		name   string
		warm   bool
		feed   answers
		times  int
		limit  float64
		reason string
	}{
		{"new server has one slot", false, answers{}, 1, 1, reasonNew},
		{"few good answers are not enough", false, ok(1, 1), 4, 1, reasonNew},
		{"good answers lead to all slots", false, ok(4, 1), 60, 4, reasonReady},
		{"slower hardware gets all slots in the end", false, ok(4, 1.6), 200, 4, reasonReady},
		{"a warm server that turns slow falls to one slot", true, ok(4, 6), 8, 1, reasonSlow},
		{"a failing server is held", true, answers{failed: 4}, 3, 0, reasonFailing},
		{"a server that refuses connections is held at once", true, answers{refused: 1}, 1, 0, reasonFailing},
		{"single failures change nothing", true, answers{ok: 20, ratio: 20, failed: 1}, 10, 4, reasonReady},
		{"own refusals lower the limit", true, answers{shed: 1}, 1, 3, reasonReady},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, now := newRamp(4), start
			if c.warm {
				r, now = warm(4)
				require.InDelta(t, 4, r.limit, 0)
			}
			feed(r, now, c.times, c.feed)
			require.InDelta(t, c.limit, r.limit, 0)
			require.Equal(t, c.reason, r.reason)
		})
	}
}

// Guards against a failing server that attracts work again soon: each further failure doubles the pause.
func TestFailingServerWaitsLonger(t *testing.T) {
	r, now := warm(4)
	var pauses []time.Duration
	for range 4 {
		now = feed(r, now, 3, answers{failed: 4})
		require.Zero(t, r.limit)
		pauses = append(pauses, r.held.Sub(now))
		now = r.held
		r.tick(now)
		require.InDelta(t, 1, r.limit, 0)
	}
	for i := 1; i < len(pauses); i++ {
		require.Greater(t, pauses[i], pauses[i-1])
	}
}

// Guards against capacity that is lost when all servers become slow because of something that they share.
func TestSharedSlownessSparesFullServers(t *testing.T) {
	r, now := warm(4)
	r.spared = true
	feed(r, now, 10, ok(4, 6))
	require.InDelta(t, 4, r.limit, 0)
}

// Guards against a limit outside 0 to the server's slots.
func TestRampBounds(t *testing.T) {
	seeder.FixSeed(t, 0)
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		r, now := newRamp(slots), start
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			before := r.limit
			a := answers{
				ok: rapid.IntRange(0, 5).Draw(t, "ok"), failed: rapid.IntRange(0, 2).Draw(t, "failed"),
				refused: rapid.IntRange(0, 1).Draw(t, "refused"), shed: rapid.IntRange(0, 1).Draw(t, "shed"),
			}
			a.ratio = float64(a.ok) * rapid.Float64Range(0.1, 10).Draw(t, "ratio")
			r.tick(now)
			r.observe(now, a)
			if r.limit < 0 || r.limit > float64(slots) || r.limit > before+1 {
				t.Fatalf("limit went from %v to %v with %d slots", before, r.limit, slots)
			}
		}
	})
}
