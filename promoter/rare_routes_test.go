package promoter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
)

// routeCalls are the calls of one route in a window, by side.
type routeCalls struct {
	ok, bad [2]int
	latency time.Duration
}

func (r routeCalls) counts() *callCounts {
	c := newCallCounts()
	for side := range r.ok {
		h := newHistogram()
		_ = h.RecordValues(int64(r.latency/latencyUnit), int64(r.ok[side]))
		unpackBins(packBins(h), c.bins[side])
		c.ok[side], c.bad[side] = float64(r.ok[side]), float64(r.bad[side])
		c.calls[side] = c.ok[side] + c.bad[side]
	}
	return c
}

// compareRoutes adds n windows with the given calls by route.
func compareRoutes(e *evaluation, share float64, n int, calls map[string]routeCalls) {
	r := testRollout(sycamorevane.RolloutMoving, share)
	for range n {
		for route, c := range calls {
			e.window[route] = c.counts()
		}
		e.compareWindow(r, Capacity{New: VersionCapacity{Servers: 20}})
	}
}

func expectEvidence(t *testing.T, e *evaluation, bad bool) {
	t.Helper()
	evidence, reason := e.strongestEvidence()
	if bad {
		require.GreaterOrEqual(t, evidence, float64(revertThreshold), reason)
	} else {
		require.Less(t, evidence, float64(holdThreshold), reason)
	}
}

// Guards against a good version that is reverted because its rare routes are compared with other rare routes.
func TestRareRoutesAreComparedWithTheSameRoutes(t *testing.T) {
	before := map[string]routeCalls{
		"read":  {ok: [2]int{276, 24}, latency: usualLatency},
		"check": {ok: [2]int{5, 1}, latency: time.Millisecond},
		"fail":  {bad: [2]int{2, 0}},
	}
	read := routeCalls{ok: [2]int{30, 270}, latency: usualLatency}
	for name, tc := range map[string]struct {
		after map[string]routeCalls
		bad   bool
	}{
		"a slower route appears": {map[string]routeCalls{
			"check":  {ok: [2]int{1, 5}, latency: time.Millisecond},
			"report": {ok: [2]int{1, 8}, latency: slowLatency},
		}, false},
		"a route that fails on both": {map[string]routeCalls{
			"check": {ok: [2]int{1, 0}, latency: time.Millisecond},
			"fail":  {bad: [2]int{0, 2}},
		}, false},
		"a route turns slow": {map[string]routeCalls{"check": {ok: [2]int{1, 5}, latency: slowLatency}}, true},
		"a route fails": {map[string]routeCalls{
			"check": {ok: [2]int{1, 0}, bad: [2]int{0, 5}, latency: time.Millisecond},
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEvaluation("r1")
			compareRoutes(e, 0.08, 20, before)
			tc.after["read"] = read
			compareRoutes(e, 0.9, 8, tc.after)
			expectEvidence(t, e, tc.bad)
		})
	}
}

// Guards against a good version that is reverted for usual errors on a route with few known calls of the old version.
func TestFewKnownCallsOfARoute(t *testing.T) {
	for name, tc := range map[string]struct {
		failed int
		bad    bool
	}{"usual errors": {2, false}, "most calls fail": {14, true}} {
		t.Run(name, func(t *testing.T) {
			e := newEvaluation("r1")
			read := routeCalls{ok: [2]int{288, 24}, bad: [2]int{12, 1}, latency: usualLatency}
			compareRoutes(e, 0.08, 20, map[string]routeCalls{"read": read, "rare": {ok: [2]int{1, 0}, latency: usualLatency}})
			for range 3 {
				compareRoutes(e, 0.9, 1, map[string]routeCalls{"read": read, "rare": {ok: [2]int{1, 18 - tc.failed}, bad: [2]int{0, tc.failed}, latency: usualLatency}})
			}
			expectEvidence(t, e, tc.bad)
		})
	}
}

// Guards against a version that takes over although rare routes are slow, and a good one that waits for each of many routes.
func TestLastShareNeedsRareRoutes(t *testing.T) {
	fast, slow := routeCalls{ok: [2]int{1, 2}, latency: usualLatency}, routeCalls{ok: [2]int{1, 2}, latency: slowLatency}
	one, two := map[string]routeCalls{"a": fast}, map[string]routeCalls{"a": fast, "b": fast}
	for name, tc := range map[string]struct {
		rare    map[string]routeCalls
		windows int
		spent   bool
		elapsed float64
		want    bool
	}{
		"good":                      {one, 6, false, 0.5, true},
		"too few calls":             {one, 3, true, 0.5, false},
		"too few calls, late":       {one, 3, true, skipRoutesFraction, true},
		"enough calls of the group": {two, 4, true, 0.5, true},
		"the limit is not reached":  {two, 4, false, 0.5, false},
		"slow":                      {map[string]routeCalls{"a": slow}, 6, true, 0.5, false},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEvaluation("r1")
			before := map[string]routeCalls{"read": {ok: [2]int{276, 24}, latency: usualLatency}}
			after := map[string]routeCalls{"read": {ok: [2]int{30, 270}, latency: usualLatency}}
			for route, calls := range tc.rare {
				before[route], after[route] = routeCalls{ok: [2]int{5, 0}, latency: usualLatency}, calls
			}
			compareRoutes(e, 0.08, 30, before)
			compareRoutes(e, 0.9, tc.windows, after)
			if tc.spent {
				e.exposure = exposure{limit: ExposureLimit{Calls: 1}, newCalls: 2}
			}
			r := testRollout(sycamorevane.RolloutMoving, 0.9)
			now := time.UnixMilli(r.StartedAt).Add(time.Duration(tc.elapsed * float64(allowedTime(r))))
			require.Equal(t, tc.want, e.routesCovered(now, r))
		})
	}
}

// Guards against a good version that waits until its deadline for latencies of rare routes that have hardly any calls.
func TestLateRolloutDoesNotWaitForLatenciesOfRareRoutes(t *testing.T) {
	read := routeCalls{ok: [2]int{80, 7}, latency: usualLatency}
	e := newEvaluation("r1")
	compareRoutes(e, 0.08, 30, map[string]routeCalls{"read": read, "check": {ok: [2]int{1, 0}, latency: usualLatency}, "fail": {bad: [2]int{2, 0}}})
	compareRoutes(e, 0.9, 7, map[string]routeCalls{"read": {ok: [2]int{8, 80}, latency: usualLatency}, "fail": {bad: [2]int{0, 2}}})
	require.GreaterOrEqual(t, e.rare.newCalls, float64(minRouteCalls))
	r := testRollout(sycamorevane.RolloutMoving, 0.9)
	for fraction, want := range map[float64]bool{0.5: false, skipRoutesFraction: true} {
		now := time.UnixMilli(r.StartedAt).Add(time.Duration(fraction * float64(allowedTime(r))))
		require.Equal(t, want, e.routesCovered(now, r), "after %v of the time", fraction)
	}
}
