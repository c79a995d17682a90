package simulator

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"sycamorevane.example/sycamorevane/plotter"
	"sycamorevane.example/sycamorevane/reporter"
)

// latencyCurves collects the p99 of each policy by load, for the charts.
type latencyCurves struct {
	byScenario map[string]map[Policy]*plotter.Line
}

func (c *latencyCurves) add(scenario string, load int, policies []Policy, results []Result) {
	if c.byScenario[scenario] == nil {
		c.byScenario[scenario] = make(map[Policy]*plotter.Line)
	}
	for i, p := range policies {
		line := c.byScenario[scenario][p]
		if line == nil {
			line = &plotter.Line{Name: string(p)}
			c.byScenario[scenario][p] = line
		}
		line.X = append(line.X, float64(load))
		line.Y = append(line.Y, float64(results[i].LatencyPercentile(99).Microseconds())/1000)
	}
}

func (c *latencyCurves) write(b *testing.B) {
	folder := plotter.OutputDir()
	if folder == "" {
		return
	}
	for scenario, lines := range c.byScenario {
		chart := plotter.Chart{Title: "Tail latency by policy, 27 servers of 4 slots, " + scenario, XLabel: "load (%)", YLabel: "p99 (ms)", LogY: true}
		for _, p := range []Policy{Central, Leases, Local, Shared} {
			chart.Lines = append(chart.Lines, *lines[p])
		}
		if err := plotter.Write(folder, "policies-"+scenario, chart); err != nil {
			b.Error(err)
		}
	}
}

// poolSize is the number of servers in a pool and of slots on each.
type poolSize struct{ servers, slots int }

var poolSizes = []poolSize{{27, 4}, {27, 6}, {6, 4}}

// scenarios are the conditions of section 7.1 of the design.
var scenarios = map[string]func(c *Conditions){
	"steady": func(*Conditions) {},
	"burst":  func(c *Conditions) { c.Bursts = true },
	"noisy":  func(c *Conditions) { c.NoisyNeighbours = true },
	"hard": func(c *Conditions) {
		c.SlowServers, c.FailingServers, c.DrainingServers, c.ColdServers, c.FalseLoad = 2, 1, 1, 1, true
		if c.Servers < 10 {
			c.SlowServers = 1
		}
	},
}

// maxP99Ratios are the upper bounds on the p99 relative to the central queue, by load in percent.
var maxP99Ratios = map[int]float64{40: 1.3, 70: 1.3, 90: 1.6}

func conditions(p Policy, s poolSize, scenario string, load int, seed uint64) Conditions {
	c := Standard(p, s.servers, s.slots, float64(load)/100, seed)
	c.Duration = 2500 * time.Millisecond
	scenarios[scenario](&c)
	return c
}

// runAll runs the conditions, two at a time, and returns the results in order.
func runAll(list []Conditions) []Result {
	results := make([]Result, len(list))
	slot := make(chan struct{}, 2)
	var wg sync.WaitGroup
	for i, c := range list {
		slot <- struct{}{}
		wg.Go(func() {
			defer func() { <-slot }()
			results[i] = Run(c)
		})
	}
	wg.Wait()
	return results
}

// BenchmarkPolicies compares the policies under every scenario of section 7.1 of the design. It fails when the leases
// policy misses its targets relative to the central queue.
func BenchmarkPolicies(b *testing.B) {
	policies := []Policy{Central, Leases, Local, Shared}
	charts := &latencyCurves{byScenario: make(map[string]map[Policy]*plotter.Line)}
	defer charts.write(b)
	for _, s := range poolSizes {
		for _, scenario := range []string{"steady", "burst", "noisy", "hard"} {
			for _, load := range []int{40, 70, 90, 105} {
				b.Run(fmt.Sprintf("%dx%d/%s/%d", s.servers, s.slots, scenario, load), func(b *testing.B) {
					for i := range b.N {
						var list []Conditions
						for _, p := range policies {
							list = append(list, conditions(p, s, scenario, load, uint64(i)+1))
						}
						results := runAll(list)
						for n, r := range results {
							b.Logf("%-7s %v", policies[n], r)
							b.ReportMetric(float64(r.LatencyPercentile(99))/float64(time.Millisecond), string(policies[n])+"-p99-ms")
						}
						b.ReportMetric(0, "ns/op")
						ratio := float64(results[1].LatencyPercentile(99)) / float64(results[0].LatencyPercentile(99))
						m := reporter.Measurement{
							Area: "tail latency", Value: ratio, Unit: "x",
							Description: fmt.Sprintf("p99 relative to a central queue, %dx%d %s at %d%% load", s.servers, s.slots, scenario, load),
						}
						if bound, ok := maxP99Ratios[load]; ok {
							m.Bound, m.Target = reporter.AtMost, bound
						}
						reporter.Record(b, m)
						if s == poolSizes[0] {
							charts.add(scenario, load, policies, results)
						}
					}
				})
			}
		}
	}
}

// BenchmarkFirms measures the isolation of workspaces for every pool size, with the noisy workspace calling all entries
// or a quarter of them.
func BenchmarkFirms(b *testing.B) {
	for _, s := range poolSizes {
		for _, entries := range []int{0, 4} {
			b.Run(fmt.Sprintf("%dx%d/entries=%d", s.servers, s.slots, entries), func(b *testing.B) {
				for range b.N {
					b.ReportMetric(0, "ns/op")
					from := "all entries"
					if entries > 0 {
						from = fmt.Sprintf("%d entries", entries)
					}
					reporter.Record(b, reporter.Measurement{
						Area: "firms", Value: isolation(s, entries, 1), Unit: "x", Bound: reporter.AtMost, Target: maxIsolationRatio,
						Description: fmt.Sprintf("p99 of other firms beside one at 10 times its share from %s, %dx%d", from, s.servers, s.slots),
					})
				}
			})
		}
	}
}

// BenchmarkOverload measures goodput by load.
func BenchmarkOverload(b *testing.B) {
	for range b.N {
		var list []Conditions
		loads := []int{80, 90, 100, 110, 125, 150, 200, 300}
		for _, load := range loads {
			list = append(list, conditions(Leases, poolSize{27, 4}, "steady", load, 1))
		}
		peak := 0
		for i, r := range runAll(list) {
			b.Logf("load %d%%: %v refusal p99 %dus", loads[i], r, r.RefusalTime.ValueAtPercentile(99))
			peak = max(peak, r.Good)
			reporter.Record(b, reporter.Measurement{
				Area: "overload", Description: fmt.Sprintf("goodput at %d%% load as a share of the peak", loads[i]), Unit: "%",
				Value: 100 * float64(r.Good) / float64(peak), Bound: reporter.AtLeast, Target: 100 * minGoodputShare,
			})
		}
	}
}

// BenchmarkCold measures the warm-up of a pool whose servers are all cold, and logs a run in which the owner fails.
func BenchmarkCold(b *testing.B) {
	for range b.N {
		for _, load := range []float64{0.3, 0.5, 0.7} {
			c := Standard(Leases, 27, 4, load, 1)
			c.AllCold, c.WarmUp, c.Duration = true, 0, maxWarmUpTime
			r := Run(c)
			b.Logf("all cold at %.1f: %v", load, r)
			reporter.Record(b, reporter.Measurement{
				Area: "cold servers", Description: fmt.Sprintf("most requests at once on a cold server of %d slots at %.0f%% load", c.Slots, 100*load),
				Value: float64(r.ColdPeakRunning), Unit: "requests", Bound: reporter.AtMost, Target: float64(c.Slots - 1),
			})
			reporter.Record(b, reporter.Measurement{
				Area: "cold servers", Description: fmt.Sprintf("time until all slots are in use at %.0f%% load", 100*load),
				Value: r.WarmUpTime.Seconds(), Unit: "s", Bound: reporter.AtMost, Target: maxWarmUpTime.Seconds(),
			})
			if r.WarmUpTime == 0 {
				b.Errorf("cold servers at %.1f did not warm up", load)
			}
		}
		c := Standard(Leases, 27, 4, 0.7, 1)
		c.OwnerFailsAt = 3 * time.Second
		b.Logf("owner lost at 3s: %v", Run(c))
	}
}

// BenchmarkProbes measures the share of slot time that probes take, by load.
func BenchmarkProbes(b *testing.B) {
	for range b.N {
		for _, load := range []float64{0, 0.01, 0.1, 0.5} {
			c := Standard(Leases, 27, 4, load, 1)
			c.ProbeRatio = 0.01
			r := Run(c)
			b.Logf("load %.2f: %v", load, r)
			reporter.Record(b, reporter.Measurement{
				Area: "cost of measuring", Description: fmt.Sprintf("share of slot time that probes take at %.0f%% load", 100*load),
				Value: 100 * r.ProbeShare, Unit: "%", Bound: reporter.AtMost, Target: 100 * c.ProbeRatio,
			})
		}
	}
}
