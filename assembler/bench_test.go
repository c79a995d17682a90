package assembler

import (
	"context"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane/faker"
	"sycamorevane.example/sycamorevane/plotter"
	"sycamorevane.example/sycamorevane/reporter"
	"sycamorevane.example/sycamorevane/verifier"
)

// skipUnlessBench skips a measurement unless `make bench` runs it, since its targets hold only on an otherwise idle
// machine.
func skipUnlessBench(t *testing.T) {
	t.Helper()
	if os.Getenv("BENCH") == "" {
		t.Skip("measured by make bench")
	}
}

func do(t *testing.T, s *System, op string, args any) *CommandResponse {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	a, err := s.Do(ctx, op, args)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.Status, string(a.Body))
	return a
}

// Measures the time from sending a change until it is in force on every entry.
func TestBenchInForce(t *testing.T) {
	skipUnlessBench(t)
	s := start(t, 3, 16)
	var durations []time.Duration
	for i := range 40 {
		op, args := "drain", map[string]any{"dc": "dc-b", "force": true}
		if i%2 == 1 {
			op, args = "undrain", map[string]any{"dc": "dc-b"}
		}
		startedAt := time.Now()
		a := do(t, s, op, args)
		require.Eventually(t, func() bool { return s.InForce(a.Version) }, 13*time.Second, time.Millisecond)
		durations = append(durations, time.Since(startedAt))
	}
	slices.Sort(durations)
	reporter.Record(t, reporter.Measurement{
		Area: "configuration", Description: "slowest of 40 changes until in force on 16 entries", Unit: "ms",
		Value: float64(durations[len(durations)-1].Milliseconds()), Bound: reporter.AtMost, Target: 3000,
	})
	reporter.Record(t, reporter.Measurement{
		Area: "configuration", Description: "median of 40 changes until in force on 16 entries", Unit: "ms",
		Value: float64(durations[len(durations)/2].Microseconds()) / 1000,
	})
}

// Measures failures and latency while a data centre is drained and undrained.
func TestBenchDataCentreLeavesAndReturns(t *testing.T) {
	skipUnlessBench(t)
	const bucket = 500 * time.Millisecond
	s := start(t, 3, 16)
	var servers []*faker.Server
	for _, dc := range s.Config.DCs {
		for range 9 {
			servers = append(servers, startServer(t, s, dc, "1"))
		}
	}
	time.Sleep(2 * time.Second)
	traffic := verifier.NewTraffic(verifier.Config{Service: "flagboard", Seeds: s.CallerAddrs(), CallsPerSecond: 600})
	startedAt := time.Now()
	traffic.Start(t.Context())
	time.Sleep(5 * time.Second)
	do(t, s, "drain", map[string]any{"dc": "dc-b", "force": true})
	drainedAt := time.Now()
	time.Sleep(5 * time.Second)
	do(t, s, "undrain", map[string]any{"dc": "dc-b"})
	undrainedAt := time.Now()
	time.Sleep(8 * time.Second)
	traffic.Stop()
	log := verifier.NewCallLog([]*verifier.Traffic{traffic}, servers)
	findings := log.Findings()
	require.Empty(t, findings.Violations())
	lastRequestDelay := time.Duration(0)
	for _, runs := range log.Runs {
		for _, r := range runs {
			if r.DC == "dc-b" && r.Start.After(drainedAt) && r.Start.Before(undrainedAt) {
				lastRequestDelay = max(lastRequestDelay, r.Start.Sub(drainedAt))
			}
		}
	}
	area := "service while a data centre leaves and returns"
	reporter.Record(t, reporter.Measurement{Area: area, Description: "last new request after acceptance", Value: float64(lastRequestDelay.Microseconds()) / 1000, Unit: "ms", Bound: reporter.AtMost, Target: 3000})
	reporter.Record(t, reporter.Measurement{Area: area, Description: "failed calls", Value: float64(findings.Failed), Unit: "calls", Bound: reporter.AtMost, Target: 0})
	reporter.Record(t, reporter.Measurement{Area: area, Description: "refused calls", Value: float64(findings.Refused), Unit: "calls"})
	reporter.Record(t, reporter.Measurement{Area: area, Description: "p99 over the whole run", Value: float64(findings.Latency.ValueAtQuantile(99)) / 1000, Unit: "ms"})
	if folder := plotter.OutputDir(); folder != "" {
		require.NoError(t, plotter.Write(folder, "datacentre", chart(traffic, log, startedAt, drainedAt, undrainedAt, bucket)))
	}
}

// chart plots the calls per second in each data centre and the 99th percentile of the latency over time.
func chart(traffic *verifier.Traffic, log *verifier.CallLog, startedAt, drainedAt, undrainedAt time.Time, bucket time.Duration) plotter.Chart {
	lines := map[string]*plotter.Line{}
	for _, dc := range []string{"dc-a", "dc-b", "dc-c"} {
		lines[dc] = &plotter.Line{Name: "calls/s in " + dc}
	}
	p99 := plotter.Line{Name: "p99 (ms)"}
	for at := startedAt; at.Before(startedAt.Add(18 * time.Second)); at = at.Add(bucket) {
		x := at.Sub(startedAt).Seconds()
		counts := map[string]float64{}
		var latencies []float64
		for _, c := range traffic.Calls() {
			if last := c.LastResult(); last.Start.Before(at) || !last.Start.Before(at.Add(bucket)) {
				continue
			}
			for _, r := range log.Runs[c.ID] {
				counts[r.DC]++
			}
			latencies = append(latencies, float64(c.LastResult().Latency.Microseconds())/1000)
		}
		if len(latencies) == 0 {
			continue
		}
		slices.Sort(latencies)
		p99.X, p99.Y = append(p99.X, x), append(p99.Y, latencies[len(latencies)*99/100])
		for dc, line := range lines {
			line.X, line.Y = append(line.X, x), append(line.Y, counts[dc]/bucket.Seconds())
		}
	}
	return plotter.Chart{
		Title: "A data centre leaves and returns (600 calls/s, 27 servers, 16 entries)", XLabel: "time (s)", YLabel: "calls/s, ms",
		Lines: []plotter.Line{*lines["dc-a"], *lines["dc-b"], *lines["dc-c"], p99},
		Marks: []plotter.Mark{{X: drainedAt.Sub(startedAt).Seconds(), Name: "out"}, {X: undrainedAt.Sub(startedAt).Seconds(), Name: "back"}},
	}
}
