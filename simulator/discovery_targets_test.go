package simulator

import (
	"fmt"
	"os"
	"testing"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sycamorevane.example/sycamorevane/reporter"
)

// seedCount is the number of runs whose results are combined.
const seedCount = 3

// runSeeds runs the conditions with several seeds and returns the latencies, the times to a refusal, and the mean share
// of served requests.
func runSeeds(t *testing.T, o DiscoveryConditions) (latency, refusal *hdrhistogram.Histogram, servedShare float64) {
	t.Helper()
	latency, refusal = hdrhistogram.New(1, 60_000_000, 3), hdrhistogram.New(1, 60_000_000, 3)
	for seed := range uint64(seedCount) {
		o.Seed = seed + 1
		r := runInBubble(t, o)
		latency.Merge(r.Latency)
		refusal.Merge(r.RefusalTime)
		servedShare += r.ServedShare / seedCount
	}
	return latency, refusal, servedShare
}

// TestOpenTargets compares the entries of a deployment with discovery with a single entry that knows the load of all
// servers at all times. It fails for every missed target; `make bench` runs it.
func TestOpenTargets(t *testing.T) {
	if os.Getenv("BENCH") == "" {
		t.Skip("measures for a minute; set BENCH=1")
	}
	for _, s := range []poolSize{{27, 4}, {6, 4}} {
		for _, load := range []int{70, 90} {
			t.Run(fmt.Sprintf("%dx%d/%d", s.servers, s.slots, load), func(t *testing.T) {
				o := lookupConditions(s.servers)
				o.Entries, o.Slots, o.MaxQueued = 3, s.slots, 2*s.slots
				o.SetLoad(float64(load) / 100)
				own, _, servedShare := runSeeds(t, o)
				o.Design = OmniscientDispatcher
				central, _, centralServedShare := runSeeds(t, o)
				reporter.Record(t, reporter.Measurement{
					Area: "open deployments", Unit: "x", Bound: reporter.AtMost, Target: maxP99Ratios[load],
					Value:       float64(own.ValueAtPercentile(99)) / float64(central.ValueAtPercentile(99)),
					Description: fmt.Sprintf("p99 relative to one entry that knows all, %dx%d at %d%% load, noisy", s.servers, s.slots, load),
				})
				reporter.Record(t, reporter.Measurement{
					Area: "open deployments", Unit: "%", Value: 100 * servedShare / centralServedShare,
					Description: fmt.Sprintf("served relative to one entry that knows all, %dx%d at %d%% load, noisy", s.servers, s.slots, load),
				})
			})
		}
	}
	for _, load := range []int{150, 300} {
		t.Run(fmt.Sprintf("refusals/%d", load), func(t *testing.T) {
			o := lookupConditions(12)
			o.Entries = 3
			o.SetLoad(float64(load) / 100)
			_, refusal, _ := runSeeds(t, o)
			reporter.Record(t, reporter.Measurement{
				Area: "open deployments", Unit: "ms", Bound: reporter.AtMost, Target: 20,
				Value:       float64(refusal.ValueAtPercentile(99)) / 1000,
				Description: fmt.Sprintf("p99 of the time to a refusal at %d%% load", load),
			})
		})
	}
}
