package modeler

import (
	"fmt"
	"os"
	"testing"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sycamorevane.example/sycamorevane/reporter"
)

// openSeeds is over how many runs the figures of an open deployment are taken.
const openSeeds = 3

// playAll plays the conditions with several seeds and returns the latencies, the times to a refusal, and the mean worth.
func playAll(t *testing.T, o Open) (latency, refusal *hdrhistogram.Histogram, worth float64) {
	t.Helper()
	latency, refusal = hdrhistogram.New(1, 60_000_000, 3), hdrhistogram.New(1, 60_000_000, 3)
	for seed := range uint64(openSeeds) {
		o.Seed = seed + 1
		r := play(t, o)
		latency.Merge(r.Latency)
		refusal.Merge(r.RefusalTime)
		worth += r.Worth / openSeeds
	}
	return latency, refusal, worth
}

// TestOpenTargets measures how near the entries of an open deployment come to one that knows all servers at all times.
// It fails for the targets that are missed; `make bench` runs it.
func TestOpenTargets(t *testing.T) {
	if os.Getenv("BENCH") == "" {
		t.Skip("measures for a minute; set BENCH=1")
	}
	for _, s := range []shape{{27, 4}, {6, 4}} {
		for _, load := range []int{70, 90} {
			t.Run(fmt.Sprintf("%dx%d/%d", s.servers, s.slots, load), func(t *testing.T) {
				o := lookups(s.servers)
				o.Entries, o.Slots, o.Queue = 3, s.slots, 2*s.slots
				o.Load(float64(load) / 100)
				own, _, worth := playAll(t, o)
				o.Oracle = true
				central, _, most := playAll(t, o)
				reporter.Record(t, reporter.Measurement{
					Area: "open deployments", Unit: "x", Bound: reporter.AtMost, Target: bounds[load],
					Value:       float64(own.ValueAtPercentile(99)) / float64(central.ValueAtPercentile(99)),
					Description: fmt.Sprintf("p99 relative to one entry that knows all, %dx%d at %d%% load, noisy", s.servers, s.slots, load),
				})
				reporter.Record(t, reporter.Measurement{
					Area: "open deployments", Unit: "%", Value: 100 * worth / most,
					Description: fmt.Sprintf("worth relative to one entry that knows all, %dx%d at %d%% load, noisy", s.servers, s.slots, load),
				})
			})
		}
	}
	for _, load := range []int{150, 300} {
		t.Run(fmt.Sprintf("refusals/%d", load), func(t *testing.T) {
			o := lookups(12)
			o.Entries = 3
			o.Load(float64(load) / 100)
			_, refusal, _ := playAll(t, o)
			reporter.Record(t, reporter.Measurement{
				Area: "open deployments", Unit: "ms", Bound: reporter.AtMost, Target: 20,
				Value:       float64(refusal.ValueAtPercentile(99)) / 1000,
				Description: fmt.Sprintf("p99 of the time to a refusal at %d%% load", load),
			})
		})
	}
}
