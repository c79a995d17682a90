package demonstrator

import (
	"fmt"
	"strings"
	"time"

	"sycamorevane.example/sycamorevane/auditor"
	"sycamorevane.example/sycamorevane/faker"
)

const (
	// shareWindow is the time over which the bad version's share is measured, and minWindow the number of calls
	// that make a window count.
	shareWindow = time.Second
	minWindow   = 50
	// ceiling is above the default, so that evidence suffices within the short run.
	ceiling = 0.1
	// shareNoise allows for the random count in one window of about 400 calls: the ceiling plus about four
	// standard deviations.
	shareNoise = 0.06
)

// records are both sides' records of one demo.
type records struct {
	*auditor.CallLog
	d *demo
	f auditor.Findings
}

func newRecords(d *demo) *records {
	l := auditor.NewCallLog(d.callers, d.servers)
	return &records{CallLog: l, d: d, f: l.Findings()}
}

func (l *records) result() Result {
	return Result{
		Calls: l.f.Calls, Failed: l.f.Failed, Refused: l.f.Refused, Duplicated: l.f.Duplicated,
		Truncated: l.f.Truncated, Crossed: l.f.Crossed, Lateafter: l.lateAfter().Milliseconds(),
		Badshare: l.badShare(), Probes: l.probes(),
		P50: float64(l.f.Latency.ValueAtQuantile(50)) / 1000,
		P99: float64(l.f.Latency.ValueAtQuantile(99)) / 1000,
	}
}

// lateAfter is the time from the removal of the data centre to the last new request there before its return.
func (l *records) lateAfter() time.Duration {
	var late time.Duration
	l.each(func(r *faker.Run) {
		if r.DC == drainedDC && r.Start.After(l.d.drain) && r.Start.Before(l.d.undrain) {
			late = max(late, r.Start.Sub(l.d.drain))
		}
	})
	return late
}

func (l *records) each(do func(*faker.Run)) {
	for _, runs := range l.Runs {
		for i := range runs {
			do(&runs[i])
		}
	}
}

func (l *records) badShare() float64 {
	type window struct{ all, bad int }
	windows := make(map[int64]*window)
	l.each(func(r *faker.Run) {
		if !strings.HasPrefix(r.Call, badService) {
			return
		}
		at := int64(r.Start.Sub(l.d.began) / shareWindow)
		if windows[at] == nil {
			windows[at] = &window{}
		}
		windows[at].all++
		if r.Version == newVersion {
			windows[at].bad++
		}
	})
	most := 0.0
	for _, w := range windows {
		if w.all >= minWindow {
			most = max(most, float64(w.bad)/float64(w.all))
		}
	}
	return most
}

func (l *records) probes() float64 {
	n := 0
	for _, srv := range l.d.servers {
		n += srv.Stats().Probes
	}
	return float64(n) / float64(len(l.d.servers)) / time.Since(l.d.began).Seconds()
}

// broken lists the invariants that the result shows to be broken.
func (l *records) broken(r *Result) []string {
	list := l.f.Violations()
	check := func(ok bool, format string, args ...any) {
		if !ok {
			list = append(list, fmt.Sprintf(format, args...))
		}
	}
	check(r.Lateafter <= drainLimit, "a new request came %d ms after the removal of a data centre", r.Lateafter)
	check(r.Good == "done", "the good version's rollout ended as %q", r.Good)
	check(r.Bad == "reverted", "the bad version's rollout ended as %q", r.Bad)
	check(r.Badshare <= ceiling+shareNoise, "the bad version got %.1f%% of the calls in one second", 100*r.Badshare)
	check(r.Probes <= slots*probeBudget/probeCost.Seconds(), "%.1f probes a second and server are above the budget", r.Probes)
	return list
}
