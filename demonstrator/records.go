package demonstrator

import (
	"fmt"
	"strings"
	"time"

	"sycamorevane.example/sycamorevane/faker"
	"sycamorevane.example/sycamorevane/verifier"
)

const (
	// shareWindow is the period over which the bad version's share is measured. Windows with fewer than minWindowCalls
	// calls are ignored.
	shareWindow    = time.Second
	minWindowCalls = 50
	// maxTrialShare is above the default, so that the short run yields enough evidence.
	maxTrialShare = 0.1
	// shareTolerance allows for random variation in one window of about 400 calls, about four standard deviations above
	// maxTrialShare.
	shareTolerance = 0.06
)

// records are the records of the callers and servers of one demo.
type records struct {
	*verifier.CallLog
	demo     *demo
	findings verifier.Findings
}

func newRecords(d *demo) *records {
	l := verifier.NewCallLog(d.traffic, d.servers)
	return &records{CallLog: l, demo: d, findings: l.Findings()}
}

func (l *records) result() Result {
	return Result{
		Calls: l.findings.Calls, Failed: l.findings.Failed, Refused: l.findings.Refused, DuplicatedChanges: l.findings.DuplicatedChanges,
		Truncated: l.findings.Truncated, Misdelivered: l.findings.Misdelivered, LastRequestAfterDrain: l.lastRequestAfterDrain().Milliseconds(),
		MaxBadShare: l.maxBadShare(), ProbesPerSecond: l.probeRate(),
		P50: float64(l.findings.Latency.ValueAtQuantile(50)) / 1000,
		P99: float64(l.findings.Latency.ValueAtQuantile(99)) / 1000,
	}
}

// lastRequestAfterDrain is the time from the drain of the data centre to the last new request there before the undrain.
func (l *records) lastRequestAfterDrain() time.Duration {
	var last time.Duration
	l.eachRun(func(r *faker.Run) {
		if r.DC == drainedDC && r.Start.After(l.demo.drainedAt) && r.Start.Before(l.demo.undrainedAt) {
			last = max(last, r.Start.Sub(l.demo.drainedAt))
		}
	})
	return last
}

func (l *records) eachRun(do func(*faker.Run)) {
	for _, runs := range l.Runs {
		for i := range runs {
			do(&runs[i])
		}
	}
}

func (l *records) maxBadShare() float64 {
	type window struct{ all, bad int }
	windows := make(map[int64]*window)
	l.eachRun(func(r *faker.Run) {
		if !strings.HasPrefix(r.CallID, badService) {
			return
		}
		index := int64(r.Start.Sub(l.demo.startedAt) / shareWindow)
		if windows[index] == nil {
			windows[index] = &window{}
		}
		windows[index].all++
		if r.Version == newVersion {
			windows[index].bad++
		}
	})
	highest := 0.0
	for _, w := range windows {
		if w.all >= minWindowCalls {
			highest = max(highest, float64(w.bad)/float64(w.all))
		}
	}
	return highest
}

func (l *records) probeRate() float64 {
	n := 0
	for _, srv := range l.demo.servers {
		n += srv.Stats().Probes
	}
	return float64(n) / float64(len(l.demo.servers)) / time.Since(l.demo.startedAt).Seconds()
}

// violations lists the invariants that the result shows to be violated.
func (l *records) violations(r *Result) []string {
	list := l.findings.Violations()
	check := func(ok bool, format string, args ...any) {
		if !ok {
			list = append(list, fmt.Sprintf(format, args...))
		}
	}
	check(r.LastRequestAfterDrain <= maxDrainDelayMS, "a new request came %d ms after the removal of a data centre", r.LastRequestAfterDrain)
	check(r.GoodPhase == "done", "the good version's rollout ended as %q", r.GoodPhase)
	check(r.BadPhase == "reverted", "the bad version's rollout ended as %q", r.BadPhase)
	check(r.MaxBadShare <= maxTrialShare+shareTolerance, "the bad version got %.1f%% of the calls in one second", 100*r.MaxBadShare)
	check(r.ProbesPerSecond <= slotsPerServer*probeRatio/probeDuration.Seconds(), "%.1f probes a second and server are above the budget", r.ProbesPerSecond)
	return list
}
