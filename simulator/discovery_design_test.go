package simulator

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
)

// censusConditions are the load of census (docs/design/hard-load.md) on one service of the given number of servers. Its
// servers reset connections when they are full.
func censusConditions(servers int) DiscoveryConditions {
	return DiscoveryConditions{
		Entries: 98, DCs: 3, Servers: servers, Slots: 3, MaxQueued: 6, ResetWhenFull: true, KneeShare: 0.8, KneeSlowdown: 1.7,
		Noise: Noise{TimeShare: 0.275, Slowdown: 4, MeanInterval: 300 * time.Millisecond}, ProbeTime: 6 * time.Millisecond,
		Kinds: []RequestKind{
			{
				Name: "lookup", Rate: 387, MeanServiceTime: 160 * time.Millisecond, ServiceTimeSigma: 0.3, MaxRetries: 2,
				Timeout: 4 * time.Second,
			},
			{
				Name: "submit", Rate: 181, MeanServiceTime: 210 * time.Millisecond, ServiceTimeSigma: 0.3, MaxRetries: 2,
				Timeout: 6 * time.Second, Priority: 1, NotIdempotent: true,
			},
			{
				Name: "archive", Rate: 68.3, MeanServiceTime: 130 * time.Millisecond, ServiceTimeSigma: 0.3, MaxRetries: 2,
				Timeout: 6 * time.Second, Priority: 1,
			},
			{
				Name: "history", Rate: 90.6, MeanServiceTime: 640 * time.Millisecond, ServiceTimeSigma: 0.3, MaxRetries: 2,
				Timeout: 12 * time.Second, Priority: 2,
			},
		},
		WarmUp: 2 * time.Second, Duration: 8 * time.Second, Seed: 1,
	}
}

// gridcastConditions are the same for gridcast, whose demand varies by data centre and whose servers reject requests
// when they are full.
func gridcastConditions(servers int) DiscoveryConditions {
	return DiscoveryConditions{
		Entries: 83, DCs: 4, Servers: servers, Slots: 3, MaxQueued: 6, KneeShare: 0.8, KneeSlowdown: 1.7,
		Noise: Noise{TimeShare: 0.275, Slowdown: 4, MeanInterval: 300 * time.Millisecond}, ProbeTime: 6 * time.Millisecond,
		Wave: DemandWave{Depth: 0.55, Period: 15 * time.Second},
		Kinds: []RequestKind{
			{
				Name: "read", Rate: 305, MeanServiceTime: 140 * time.Millisecond, ServiceTimeSigma: 0.3, MaxRetries: 2,
				Timeout: 5 * time.Second,
			},
			{
				Name: "order", Rate: 108, MeanServiceTime: 180 * time.Millisecond, ServiceTimeSigma: 0.3, MaxRetries: 2,
				Timeout: 6 * time.Second, NotIdempotent: true,
			},
			{
				Name: "push", Rate: 31.8, MeanServiceTime: 160 * time.Millisecond, ServiceTimeSigma: 0.3, MaxRetries: 2,
				Timeout: 10 * time.Second, NotIdempotent: true,
			},
			{
				Name: "archive", Rate: 69.9, MeanServiceTime: 540 * time.Millisecond, ServiceTimeSigma: 0.3, MaxRetries: 2,
				Timeout: 15 * time.Second,
			},
		},
		WarmUp: 2 * time.Second, Duration: 15 * time.Second, Seed: 1,
	}
}

// compareDesigns are the designs in the order of the comparison.
var compareDesigns = []Design{OwnView, SharedReports, SchedulerPerDC, OmniscientDispatcher, OmniscientScheduler}

// TestDesigns compares the designs of shared placement on the same arrivals; the results are in
// docs/design/scheduling.md.
func TestDesigns(t *testing.T) {
	if os.Getenv("BENCH") == "" {
		t.Skip("measures for minutes; set BENCH=1")
	}
	for _, deployment := range []struct {
		name       string
		servers    int
		conditions func(int) DiscoveryConditions
	}{{"census", 109, censusConditions}, {"census", 67, censusConditions}, {"gridcast", 101, gridcastConditions}, {"gridcast", 13, gridcastConditions}} {
		for _, load := range []float64{0.6, 0.9, 1.2, 1.6} {
			for _, seed := range []uint64{1, 2} {
				t.Run(fmt.Sprintf("%s/%d/%v/%d", deployment.name, deployment.servers, load, seed), func(t *testing.T) {
					for _, design := range compareDesigns {
						o := deployment.conditions(deployment.servers)
						o.SetLoad(load)
						o.Seed, o.Design = seed, design
						t.Log(describe(&o, runInBubble(t, o)))
					}
				})
			}
		}
	}
}

// Guards against a scheduler that leaves callers waiting or late although the servers have room, that sends more requests
// to servers than they take, or that probes more often than 8 times per second per server.
func TestSchedulerKeepsCallersInTime(t *testing.T) {
	for name, o := range map[string]DiscoveryConditions{"census": censusConditions(67), "gridcast": gridcastConditions(46)} {
		t.Run(name, func(t *testing.T) {
			o.SetLoad(0.9)
			o.Design, o.Duration = SchedulerPerDC, 4*time.Second
			r := runInBubble(t, o)
			for kind, k := range r.Kinds {
				require.Equal(t, k.Requests, k.Served, kind)
			}
			require.Zero(t, r.Shed)
			require.Less(t, float64(r.Probes), 8*float64(o.Servers)*(o.WarmUp+o.Duration).Seconds())
			o.Design = OmniscientScheduler
			requireP99(t, maxP99Ratios[90], r.Latency, runInBubble(t, o).Latency)
		})
	}
}

// Guards against goodput that falls as the offered load of census grows, against urgent requests that are late then, and
// against callers that wait for a rejection.
func TestSchedulerUnderOverload(t *testing.T) {
	// A rejection takes 20 ms at most, as for entries by themselves (BENCH: refusals), except for less urgent requests that
	// might still have been served when they came.
	const maxRefusalTime = 20 * time.Millisecond
	goodput := make(map[float64]float64)
	for _, load := range []float64{1, 2, 3} {
		o := censusConditions(27)
		o.SetLoad(load)
		o.Design, o.Duration = SchedulerPerDC, 4*time.Second
		r := runInBubble(t, o)
		goodput[load] = load * r.ServedShare
		lookups := r.Kinds["lookup"]
		if load > 1 {
			require.LessOrEqual(t, r.RefusalTime.ValueAtPercentile(75), maxRefusalTime.Microseconds(), "load %v", load)
		}
		require.GreaterOrEqual(t, lookups.Share(), 0.9, "load %v", load)
	}
	require.Greater(t, goodput[2], 0.9*goodput[1])
	require.Greater(t, goodput[3], 0.9*max(goodput[1], goodput[2]))
}

// Guards against a scheduler that depends on messages that are faster than those of a busy host.
func TestSchedulerWithSlowMessages(t *testing.T) {
	o := censusConditions(67)
	o.SetLoad(1.2)
	o.Duration, o.MessageDelay = 4*time.Second, 10*time.Millisecond
	own := runInBubble(t, o)
	o.Design = SchedulerPerDC
	r := runInBubble(t, o)
	requireBetter(t, r, own)
	require.GreaterOrEqual(t, r.ServedShare, 0.9)
}

// Guards against two hosts that both believe that they own a pool and overload its servers together: each of them sees
// the requests of the other only in load reports.
func TestTwoSchedulersOfOnePool(t *testing.T) {
	o := censusConditions(67)
	o.SetLoad(1.2)
	o.Duration = 4 * time.Second
	own := runInBubble(t, o)
	o.Design, o.SplitPools = SchedulerPerDC, true
	r := runInBubble(t, o)
	requireBetter(t, r, own)
	require.Less(t, float64(r.Shed), 0.01*float64(r.Attempts))
}

// requireBetter requires that more requests are served than in the reference, or all, and that half of the answers and 99%
// of them come sooner.
func requireBetter(t *testing.T, got, reference DiscoveryResult) {
	t.Helper()
	if reference.ServedShare < 1 {
		require.Greater(t, got.ServedShare, reference.ServedShare)
	} else {
		require.InDelta(t, 1, got.ServedShare, 0)
	}
	for _, percentile := range []float64{50, 99} {
		require.Less(t, got.Latency.ValueAtPercentile(percentile), reference.Latency.ValueAtPercentile(percentile), "p%v", percentile)
	}
}

// requireP99 compares the 99th percentiles of two latencies.
func requireP99(t *testing.T, ratio float64, got, reference *hdrhistogram.Histogram) {
	t.Helper()
	require.LessOrEqual(t, float64(got.ValueAtPercentile(99)), ratio*float64(reference.ValueAtPercentile(99)))
}

// describe formats the result of a design in one line.
func describe(o *DiscoveryConditions, r DiscoveryResult) string {
	line := fmt.Sprintf("%-17s served %.3f worst %.3f p50 %d p99 %d ms returns %d in vain %d rejected by servers %d probes/s %.0f messages/s %.0f;",
		o.Design, r.ServedShare, r.WorstServedShare, r.Latency.ValueAtPercentile(50)/1000, r.Latency.ValueAtPercentile(99)/1000,
		r.Returns, r.VainReturns, r.Shed, float64(r.Probes)/(o.WarmUp+o.Duration).Seconds(), float64(r.Messages)/(o.WarmUp+o.Duration).Seconds())
	for i := range o.Kinds {
		k := r.Kinds[o.Kinds[i].Name]
		line += fmt.Sprintf(" %s %d/%d/%d", o.Kinds[i].Name, k.Served, k.Late, k.Refused)
	}
	return line
}
