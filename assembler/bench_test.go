package assembler

import (
	"context"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane/auditor"
	"sycamorevane.example/sycamorevane/faker"
	"sycamorevane.example/sycamorevane/plotter"
	"sycamorevane.example/sycamorevane/reporter"
)

// benching skips a measurement unless `make bench` runs it, since its bounds hold on a quiet machine.
func benching(t *testing.T) {
	t.Helper()
	if os.Getenv("BENCH") == "" {
		t.Skip("measured by make bench")
	}
}

func do(t *testing.T, s *System, op string, args any) *Answer {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	a, err := s.Do(ctx, op, args)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.Status, string(a.Body))
	return a
}

// Measures the time from sending a change until every entry has it in force.
func TestBenchInForce(t *testing.T) {
	benching(t)
	s := start(t, 3, 16)
	var times []time.Duration
	for i := range 40 {
		op, args := "drain", map[string]any{"dc": "dc-b", "force": true}
		if i%2 == 1 {
			op, args = "undrain", map[string]any{"dc": "dc-b"}
		}
		began := time.Now()
		a := do(t, s, op, args)
		require.Eventually(t, func() bool { return s.InForce(a.Version) }, 13*time.Second, time.Millisecond)
		times = append(times, time.Since(began))
	}
	slices.Sort(times)
	reporter.Record(t, reporter.Measurement{
		Area: "configuration", Description: "slowest of 40 changes until in force on 16 entries", Unit: "ms",
		Value: float64(times[len(times)-1].Milliseconds()), Bound: reporter.AtMost, Target: 3000,
	})
	reporter.Record(t, reporter.Measurement{
		Area: "configuration", Description: "median of 40 changes until in force on 16 entries", Unit: "ms",
		Value: float64(times[len(times)/2].Microseconds()) / 1000,
	})
}

// Measures service while a data centre leaves and returns.
func TestBenchDataCentreLeavesAndReturns(t *testing.T) {
	benching(t)
	const bucket = 500 * time.Millisecond
	s := start(t, 3, 16)
	var servers []*faker.Server
	for _, dc := range s.Config.DCs {
		for range 9 {
			servers = append(servers, startServer(t, s, dc, "1"))
		}
	}
	time.Sleep(2 * time.Second)
	tr := auditor.NewTraffic(auditor.Config{Service: "flagboard", Seeds: s.CallerAddrs(), Rate: 600})
	began := time.Now()
	tr.Start(t.Context())
	time.Sleep(5 * time.Second)
	do(t, s, "drain", map[string]any{"dc": "dc-b", "force": true})
	out := time.Now()
	time.Sleep(5 * time.Second)
	do(t, s, "undrain", map[string]any{"dc": "dc-b"})
	back := time.Now()
	time.Sleep(8 * time.Second)
	tr.Stop()
	l := auditor.NewCallLog([]*auditor.Traffic{tr}, servers)
	f := l.Findings()
	require.Empty(t, f.Violations())
	late := time.Duration(0)
	for _, runs := range l.Runs {
		for _, r := range runs {
			if r.DC == "dc-b" && r.Start.After(out) && r.Start.Before(back) {
				late = max(late, r.Start.Sub(out))
			}
		}
	}
	area := "service while a data centre leaves and returns"
	reporter.Record(t, reporter.Measurement{Area: area, Description: "last new request after acceptance", Value: float64(late.Microseconds()) / 1000, Unit: "ms", Bound: reporter.AtMost, Target: 3000})
	reporter.Record(t, reporter.Measurement{Area: area, Description: "failed calls", Value: float64(f.Failed), Unit: "calls", Bound: reporter.AtMost, Target: 0})
	reporter.Record(t, reporter.Measurement{Area: area, Description: "refused calls", Value: float64(f.Refused), Unit: "calls"})
	reporter.Record(t, reporter.Measurement{Area: area, Description: "p99 over the whole run", Value: float64(f.Latency.ValueAtQuantile(99)) / 1000, Unit: "ms"})
	if folder := plotter.Folder(); folder != "" {
		require.NoError(t, plotter.Write(folder, "datacentre", chart(tr, l, began, out, back, bucket)))
	}
}

// chart draws calls per second by data centre and p99 over time.
func chart(tr *auditor.Traffic, l *auditor.CallLog, began, out, back time.Time, bucket time.Duration) plotter.Chart {
	lines := map[string]*plotter.Line{}
	for _, dc := range []string{"dc-a", "dc-b", "dc-c"} {
		lines[dc] = &plotter.Line{Name: "calls/s in " + dc}
	}
	p99 := plotter.Line{Name: "p99 (ms)"}
	for at := began; at.Before(began.Add(18 * time.Second)); at = at.Add(bucket) {
		x := at.Sub(began).Seconds()
		counts := map[string]float64{}
		var latencies []float64
		for _, c := range tr.Calls() {
			if last := c.LastResult(); last.Start.Before(at) || !last.Start.Before(at.Add(bucket)) {
				continue
			}
			for _, r := range l.Runs[c.ID] {
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
		Title: "A data centre leaves and returns (600 calls/s, 27 servers, 16 entries)", X: "time (s)", Y: "calls/s, ms",
		Lines: []plotter.Line{*lines["dc-a"], *lines["dc-b"], *lines["dc-c"], p99},
		Marks: []plotter.Mark{{At: out.Sub(began).Seconds(), Name: "out"}, {At: back.Sub(began).Seconds(), Name: "back"}},
	}
}
