package promoter

import (
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/reporter"
)

const (
	// exposureShare and exposureCalls are what a bad version may get of a service's calls until its deadline.
	exposureShare = 0.1
	exposureCalls = 50
	// entryRestartInterval is the time between two restarts of entries that restart one after the other.
	entryRestartInterval = 2 * time.Second
)

// exposureTraffic is a busy service with many servers.
var exposureTraffic = traffic{callsPerTick: 34, latencySigma: 0.5, errorRate: 0.04, disturbanceSeconds: 0.7, servers: 10, slotUse: 1}

// condition restricts a fault to some calls.
type condition func(s *sim, route string, srv *simServer) bool

// failsShare fails a share of the calls on which the condition holds.
func failsShare(share float64, holds condition) fault {
	return func(s *sim, route string, srv *simServer) (sycamorevane.OutcomeKind, float64) {
		return kindIf(holds(s, route, srv) && s.rand.Float64() < share, sycamorevane.OutcomeFailed), 1
	}
}

// slowIf makes the calls on which the condition holds slower by the factor.
func slowIf(factor float64, holds condition) fault {
	return func(s *sim, route string, srv *simServer) (sycamorevane.OutcomeKind, float64) {
		if holds(s, route, srv) {
			return sycamorevane.OutcomeOK, factor
		}
		return sycamorevane.OutcomeOK, 1
	}
}

// slowShare makes a share of the calls eight times slower.
func slowShare(share float64) fault {
	return func(s *sim, _ string, _ *simServer) (sycamorevane.OutcomeKind, float64) {
		if s.rand.Float64() < share {
			return sycamorevane.OutcomeOK, 8
		}
		return sycamorevane.OutcomeOK, 1
	}
}

func exposureRows() []row {
	conditions := []struct {
		name  string
		holds condition
	}{
		{"fail", func(*sim, string, *simServer) bool { return true }},
		{"of writes fail", func(_ *sim, route string, _ *simServer) bool { return route == "write" }},
		{"fail after 3 s", func(s *sim, _ string, srv *simServer) bool { return s.now > srv.upAt+3*time.Second }},
		{"fail beside another call", func(_ *sim, _ string, srv *simServer) bool { return srv.running > 0 }},
		{"fail beside two calls", func(_ *sim, _ string, srv *simServer) bool { return srv.running > 1 }},
		{"fail at a quarter of the slots", func(_ *sim, _ string, srv *simServer) bool { return srv.util > 0.25 }},
	}
	rows := []row{{name: "good"}}
	for _, share := range []float64{0.25, 0.4, 0.55} {
		rows = append(rows, row{name: fmt.Sprintf("bad: %.0f%% slow", 100*share), fault: slowShare(share)})
		for _, c := range conditions {
			rows = append(rows, row{name: fmt.Sprintf("bad: %.0f%% %s", 100*share, c.name), fault: failsShare(share, c.holds)})
		}
	}
	isRare := func(_ *sim, route string, _ *simServer) bool { return route == "rare" }
	rows = append(
		rows,
		row{name: "bad: rare route slow", fault: slowIf(8, isRare)},
		row{name: "bad: half of rare route fails", fault: failsShare(0.5, isRare)},
		row{name: "bad: rare route fails", fault: failsShare(1, isRare)},
		row{name: "bad: slow beside two calls", fault: slowIf(8, func(_ *sim, _ string, srv *simServer) bool { return srv.running > 1 })},
		row{name: "bad: slow at a quarter of the slots", fault: slowIf(2.5, func(_ *sim, _ string, srv *simServer) bool { return srv.util > 0.25 })},
	)
	for i := range rows {
		rows[i].traffic, rows[i].startupTime, rows[i].coldTime = exposureTraffic, 300*time.Millisecond, 3*time.Second
		rows[i].ceiling, rows[i].delayed = 0.8*exposureShare, true
		rows[i].exposure = ExposureLimit{Share: exposureShare, Calls: exposureCalls}
	}
	return rows
}

// restartEntries restarts the entries one after the other. What an entry has not reported is lost.
func restartEntries(s *sim) {
	if s.now%entryRestartInterval != 0 {
		return
	}
	i := int(s.now/entryRestartInterval) % simEntries
	s.entries[i] = NewCollector(s)
	s.entries[i].Update(map[string]sycamorevane.Rollout{"flagboard": s.pushed})
}

// disturbOldServers slows a third of the old version's servers down for some seconds.
func disturbOldServers(s *sim) {
	if s.now == 5*time.Second {
		for _, srv := range s.servers[0][:len(s.servers[0])/3] {
			srv.disturbedUntil = s.now + 4*time.Second
		}
	}
}

// exposures holds the results of several rollouts.
type exposures struct {
	// used holds the calls of the new version as a share of those that a bad one may get, done the time to completion as a
	// share of the allowed time.
	used, done []float64
	exceeded   int
	// wrong counts bad versions that took over, also if they were reverted later, and good ones that did not in time.
	wrong   int
	reasons map[string]int
}

func (x *exposures) run(w row, seed uint64) {
	s := newSim(w, seed)
	r := s.run()
	allowed := exposureShare*float64(w.traffic.callsPerTick)*float64(w.allowed/tickInterval) + exposureCalls
	x.used = append(x.used, float64(s.newCallsInTime)/allowed)
	if float64(s.newCallsInTime) > allowed {
		x.exceeded++
	}
	x.done = append(x.done, r.doneAfter.Seconds()/w.allowed.Seconds())
	if (w.fault == nil) != (r.doneAfter > 0) || r.doneAfter > w.allowed {
		x.wrong++
	}
	x.reasons[string(r.phase)+": "+r.reason]++
}

// Guards against a bad version that gets more calls than it may until its deadline, and a good one that is not done in time.
func TestExposure(t *testing.T) {
	seeds := 3
	if n, err := strconv.Atoi(os.Getenv("PROMOTER_SEEDS")); err == nil {
		seeds = n
	}
	for _, w := range exposureRows() {
		t.Run(w.name, func(t *testing.T) {
			t.Parallel()
			reporter.SkipKnownFailures(t)
			total := exposures{reasons: make(map[string]int)}
			for _, w.allowed = range []time.Duration{12 * time.Second, 16 * time.Second} {
				for _, w.event = range []func(*sim){nil, restartEntries, disturbOldServers} {
					for i := range seeds {
						total.run(w, uint64(i)+1)
					}
				}
			}
			expectExposure(t, w, total)
		})
	}
}

func expectExposure(t *testing.T, w row, x exposures) {
	t.Helper()
	n := len(x.used)
	if w.fault == nil {
		t.Logf("not done in time %d of %d; done after mean %.2f, worst %.2f of the time; %v", x.wrong, n, mean(x.done), slices.Max(x.done), x.reasons)
		require.LessOrEqual(t, x.wrong, n/100, "rollouts that were not done in time")
		return
	}
	slices.Sort(x.used)
	t.Logf("exceeded %d, took over %d of %d; calls as a share of those allowed: median %.2f, 99th %.2f, worst %.2f",
		x.exceeded, x.wrong, n, x.used[n/2], x.used[int(math.Ceil(0.99*float64(n)))-1], x.used[n-1])
	require.LessOrEqual(t, x.wrong, n/100, "bad versions that took over")
	require.LessOrEqual(t, x.exceeded, n/100, "rollouts with more calls of the bad version than allowed")
}
