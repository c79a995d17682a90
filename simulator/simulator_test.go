package simulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Targets of the design; see its sections 2, 7.1, 7.4, 7.10 and 7.11.
const (
	maxIsolationRatio = 1.2
	minGoodputShare   = 0.9
	// maxWarmUpTime is the time in which the servers of a returned data centre must reach their full share.
	maxWarmUpTime = 5 * time.Second
)

func skipShort(t *testing.T) {
	t.Helper()
	if testing.Short() {
		t.Skip("runs some hundred thousand requests")
	}
}

// Guards against a policy change that increases tail latency; the full comparison is BenchmarkPolicies.
func TestTail(t *testing.T) {
	skipShort(t)
	for _, c := range []struct {
		kind string
		load int
	}{{"steady", 70}, {"steady", 90}, {"burst", 70}, {"hard", 70}, {"hard", 90}} {
		t.Run(fmt.Sprintf("%s/%d", c.kind, c.load), func(t *testing.T) {
			s := poolSize{27, 4}
			r := runAll([]Conditions{
				conditions(Central, s, c.kind, c.load, 1), conditions(Leases, s, c.kind, c.load, 1),
				conditions(Local, s, c.kind, c.load, 1),
			})
			t.Logf("central %v", r[0])
			t.Logf("leases %v", r[1])
			require.LessOrEqual(t, float64(r[1].LatencyPercentile(99)), maxP99Ratios[c.load]*float64(r[0].LatencyPercentile(99)))
			require.Less(t, r[1].LatencyPercentile(99), r[2].LatencyPercentile(99), "no better than local power of two choices")
			require.Zero(t, r[1].Refused)
			require.Zero(t, r[1].QueuedOnServers, "servers get no more requests than they have slots")
		})
	}
}

// Guards against runs with the same seed that differ, which would make every bound here flaky.
func TestSameSeedSameResult(t *testing.T) {
	c := conditions(Leases, poolSize{6, 4}, "hard", 70, 3)
	c.WarmUp, c.Duration = 500*time.Millisecond, 500*time.Millisecond
	require.Equal(t, Run(c).String(), Run(c).String())
}

// Guards against a server that attracts requests by failing fast, and against requests to a draining server.
func TestBadServersGetLittleWork(t *testing.T) {
	skipShort(t)
	c := conditions(Leases, poolSize{27, 4}, "hard", 70, 2)
	c.Duration = 7 * time.Second
	r := Run(c)
	t.Log(r)
	require.Less(t, float64(r.Failed), float64(r.Offered)/float64(10*c.Servers))
	require.Zero(t, r.SentToDraining)
}

// Guards against collapse under overload, slow refusals and refusals that do not say when to retry.
func TestOverload(t *testing.T) {
	skipShort(t)
	var list []Conditions
	for _, load := range []int{90, 100, 150} {
		list = append(list, conditions(Leases, poolSize{27, 4}, "steady", load, 1))
	}
	r := runAll(list)
	peak := max(r[0].Good, r[1].Good)
	t.Logf("peak %d, at 150%%: %v", peak, r[2])
	require.GreaterOrEqual(t, float64(r[2].Good), minGoodputShare*float64(peak))
	require.Zero(t, r[2].NoRetryAfter)
	require.Zero(t, r[2].Late)
	require.LessOrEqual(t, r[2].RefusalTime.ValueAtPercentile(90), int64(10_000), "refusals in microseconds")
}

// workspaces returns four workspaces of equal weight at 20% load each; when noisy, the last one sends ten times as much.
func workspaces(s poolSize, noisy bool, entries int, seed uint64) Conditions {
	c := Standard(Leases, s.servers, s.slots, 0, seed)
	c.Workspaces = nil
	for _, name := range []string{"north", "east", "west", "south"} {
		c.Workspaces = append(c.Workspaces, Workspace{Name: name, Weight: 1, Load: 0.2})
	}
	if noisy {
		c.Workspaces[3].Load, c.Workspaces[3].MaxEntries = 2, entries
	}
	return c
}

// isolation is the p99 of the quiet workspaces next to a noisy one, relative to their p99 without it.
func isolation(s poolSize, entries, seeds int) float64 {
	quiet, noisy := newWorkspaceResult(), newWorkspaceResult()
	var list []Conditions
	for seed := range seeds {
		list = append(list, workspaces(s, false, entries, uint64(seed)+1), workspaces(s, true, entries, uint64(seed)+1))
	}
	for i, r := range runAll(list) {
		into := &quiet
		if i%2 == 1 {
			into = &noisy
		}
		for _, name := range []string{"north", "east", "west"} {
			into.Latency.Merge(r.Workspaces[name].Latency)
		}
	}
	return float64(noisy.LatencyPercentile(99)) / float64(quiet.LatencyPercentile(99))
}

// Guards against one workspace crowding out the others, whether it calls all entries or a quarter of them.
func TestWorkspaceIsolation(t *testing.T) {
	skipShort(t)
	for _, entries := range []int{0, 4} {
		require.LessOrEqual(t, isolation(poolSize{27, 4}, entries, 1), maxIsolationRatio, "entries %d", entries)
	}
}

// Guards against cold servers that get their full load, and against a ramp that never ends.
func TestColdServers(t *testing.T) {
	skipShort(t)
	c := Standard(Leases, 27, 4, 0.5, 1)
	c.AllCold, c.WarmUp, c.Duration = true, 0, maxWarmUpTime
	r := Run(c)
	t.Log(r)
	require.Less(t, r.ColdPeakRunning, c.Slots)
	require.Positive(t, r.WarmUpTime)
}

// Guards against exceeding the probe budget in total while ownership moves, and against probing servers under regular
// load.
func TestProbeBudget(t *testing.T) {
	skipShort(t)
	for _, load := range []float64{0, 0.01, 0.5} {
		c := Standard(Leases, 27, 4, load, 1)
		c.ProbeRatio, c.OwnerFailsAt, c.Duration = 0.01, 3*time.Second, 6*time.Second
		r := Run(c)
		t.Logf("load %.2f: %v", load, r)
		require.LessOrEqual(t, r.ProbeShare, c.ProbeRatio)
		if load == 0 {
			require.Positive(t, r.Probes)
		}
		if load >= 0.5 {
			require.Less(t, r.Probes, c.Servers)
		}
	}
}
