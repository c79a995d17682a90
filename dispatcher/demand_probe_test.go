package dispatcher

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/cataloger"
)

// fakeServers answers the probes of a dispatcher after delay, with the load report that is set at that time.
type fakeServers struct {
	d *Dispatcher

	mu    sync.Mutex
	delay time.Duration
	// loads holds the load report of each server; one that is missing does not answer.
	loads  map[string]*sycamorevane.LoadReport
	probes int
}

func newFakeServers(st *sycamorevane.State, delay time.Duration, loads map[string]*sycamorevane.LoadReport, records ...cataloger.ServerRecord) *fakeServers {
	f := &fakeServers{delay: delay, loads: loads}
	for i := range records {
		records[i].ReportedAt = time.Now()
	}
	f.d = newTestDispatcher(st, records...)
	f.d.cfg.SendProbe = func(p Probe) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.probes++
		time.AfterFunc(f.delay, func() { f.answer(p.Server.ID) })
	}
	return f
}

func (f *fakeServers) set(id string, l *sycamorevane.LoadReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads[id] = l
}

func (f *fakeServers) setDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

func (f *fakeServers) probeCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.probes
}

func (f *fakeServers) answer(id string) {
	f.mu.Lock()
	l := f.loads[id]
	f.mu.Unlock()
	if l != nil {
		f.d.HandleProbeResult(time.Now(), id, ProbeResult{Answered: true, Load: l, ColdRemaining: -1})
	}
}

// reportAll gives the dispatcher a load report of each server, which also shows it that they report their load.
func (f *fakeServers) reportAll() {
	for id := range f.loads {
		f.answer(id)
	}
}

func (f *fakeServers) acquire(t *testing.T, req sycamorevane.Request) (sycamorevane.Grant, time.Duration) {
	t.Helper()
	began := time.Now()
	req.Service, req.Route, req.Deadline = "s", "r", began.Add(3*time.Second)
	g, err := f.d.Acquire(context.Background(), req)
	require.NoError(t, err)
	return g, time.Since(began)
}

func normalLoad() *sycamorevane.LoadReport { return &sycamorevane.LoadReport{Slots: 4, Slowdown: 1} }

func slowLoad() *sycamorevane.LoadReport { return &sycamorevane.LoadReport{Slots: 4, Slowdown: 4} }

// Guards against placing requests on hosts that have become slow since their last load report. How long a request
// takes depends on the load at its start.
func TestRequestIsPlacedByAFreshReport(t *testing.T) {
	run := func(name string, f func(t *testing.T)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
	}
	run("the server that has become slow is left out", func(t *testing.T) {
		f := newFakeServers(newState(), time.Millisecond, map[string]*sycamorevane.LoadReport{"x": normalLoad(), "y": slowLoad()}, newRecord("x", "a", "v1"), newRecord("y", "a", "v1"))
		f.reportAll()
		time.Sleep(200 * time.Millisecond)
		f.set("x", slowLoad())
		f.set("y", normalLoad())
		g, took := f.acquire(t, sycamorevane.Request{})
		require.Equal(t, "y", g.Server.ID)
		require.Less(t, took, freshReportWait)
	})
	run("nobody is asked while a report is fresh", func(t *testing.T) {
		f := newFakeServers(newState(), time.Millisecond, map[string]*sycamorevane.LoadReport{"x": normalLoad()}, newRecord("x", "a", "v1"))
		f.reportAll()
		_, took := f.acquire(t, sycamorevane.Request{})
		require.Zero(t, took)
		require.Zero(t, f.probeCount())
	})
	run("servers that do not answer in time hold nobody up", func(t *testing.T) {
		f := newFakeServers(newState(), time.Second, map[string]*sycamorevane.LoadReport{"x": normalLoad()}, newRecord("x", "a", "v1"))
		f.reportAll()
		time.Sleep(200 * time.Millisecond)
		g, took := f.acquire(t, sycamorevane.Request{})
		require.Equal(t, "x", g.Server.ID)
		require.LessOrEqual(t, took, freshReportWait+queueRetryInterval)
	})
	run("nor does anybody wait while most answers come too late", func(t *testing.T) {
		f := newFakeServers(newState(), 2*freshReportWait, map[string]*sycamorevane.LoadReport{"x": normalLoad()}, newRecord("x", "a", "v1"))
		f.reportAll()
		for range 20 {
			time.Sleep(200 * time.Millisecond)
			g, _ := f.acquire(t, sycamorevane.Request{})
			f.d.Release(g, sycamorevane.Outcome{Kind: sycamorevane.OutcomeCancelled, Route: "r"})
		}
		time.Sleep(200 * time.Millisecond)
		_, took := f.acquire(t, sycamorevane.Request{})
		require.Zero(t, took)
		f.setDelay(time.Millisecond)
		for range 30 {
			f.d.send([]Probe{{Server: sycamorevane.Server{ID: "x"}}})
			f.d.mu.Lock()
			f.d.core.byID["x"].probedAt = time.Now()
			f.d.mu.Unlock()
			time.Sleep(200 * time.Millisecond)
		}
		_, took = f.acquire(t, sycamorevane.Request{})
		require.Positive(t, took, "requests wait for answers again once these come in time")
	})
	run("where all are slow one is used", func(t *testing.T) {
		f := newFakeServers(newState(), time.Millisecond, map[string]*sycamorevane.LoadReport{"x": slowLoad(), "y": slowLoad()}, newRecord("x", "a", "v1"), newRecord("y", "a", "v1"))
		f.reportAll()
		time.Sleep(200 * time.Millisecond)
		_, took := f.acquire(t, sycamorevane.Request{})
		require.LessOrEqual(t, took, freshReportWait+queueRetryInterval)
	})
	run("a second attempt asks, but does not wait for room", func(t *testing.T) {
		f := newFakeServers(newState(), time.Millisecond, map[string]*sycamorevane.LoadReport{"x": normalLoad()}, newRecord("x", "a", "v1"))
		f.reportAll()
		time.Sleep(200 * time.Millisecond)
		g, _ := f.acquire(t, sycamorevane.Request{Hedge: true})
		require.Equal(t, "x", g.Server.ID)
		for range 2 {
			f.acquire(t, sycamorevane.Request{})
		}
		began := time.Now()
		_, err := f.d.Acquire(context.Background(), sycamorevane.Request{Service: "s", Route: "r", Hedge: true, Deadline: began.Add(time.Second)})
		expectRefused(t, err)
		require.Zero(t, time.Since(began))
	})
}

// Guards against a trial version that gets less than its share because its few servers seldom have a fresh load
// report.
func TestTrialShareWithFreshReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newState()
		st.ServingVersions = map[string]string{"s": "v1"}
		st.Rollouts = map[string]sycamorevane.Rollout{"s": {
			Service: "s", FromVersion: "v1", ToVersion: "v2", Phase: sycamorevane.RolloutTrial, Share: 0.1,
		}}
		f := newFakeServers(st, time.Millisecond, map[string]*sycamorevane.LoadReport{"old": normalLoad(), "new": normalLoad()}, newRecord("old", "a", "v1"), newRecord("new", "a", "v2"))
		f.reportAll()
		trial := 0
		const requests = 2000
		for range requests {
			g, _ := f.acquire(t, sycamorevane.Request{})
			if g.Server.ID == "new" {
				require.True(t, g.Trial)
				trial++
			}
			time.Sleep(10 * time.Millisecond)
			f.d.Release(g, sycamorevane.Outcome{Kind: sycamorevane.OutcomeOK, Latency: 10 * time.Millisecond, Route: "r", Load: normalLoad()})
		}
		require.InDelta(t, requests/10, trial, 60)
	})
}

// Guards against a probe rate that grows with the number of requests or entries.
func TestQuestionsOverAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries = 3
		var fakes []*fakeServers
		for rank := range entries {
			f := newFakeServers(newState(), 500*time.Microsecond, map[string]*sycamorevane.LoadReport{"x": slowLoad()}, newRecord("x", "a", "v1"))
			f.d.cfg.EntryRank = func() (int, int) { return rank, entries }
			f.reportAll()
			fakes = append(fakes, f)
		}
		const seconds = 5
		for range seconds * 200 {
			for _, f := range fakes {
				go func() {
					ctx, cancel := context.WithTimeout(context.Background(), 40*time.Millisecond)
					defer cancel()
					g, err := f.d.Acquire(ctx, sycamorevane.Request{Service: "s", Route: "r", Deadline: time.Now().Add(time.Second)})
					if err == nil {
						f.d.Release(g, sycamorevane.Outcome{Kind: sycamorevane.OutcomeOK, Latency: time.Millisecond, Route: "r"})
					}
				}()
			}
			time.Sleep(5 * time.Millisecond)
		}
		probes := 0
		for _, f := range fakes {
			probes += f.probeCount()
		}
		require.Positive(t, probes)
		require.LessOrEqual(t, probes, seconds*demandProbesPerSecond+entries, "the first probe of each entry is sent at once")
		time.Sleep(time.Second)
	})
}

// Guards against an upload that is delayed beyond its limit, or although the host is not slow.
func TestAwaitQuiet(t *testing.T) {
	run := func(name string, loads map[string]*sycamorevane.LoadReport, change func(f *fakeServers), want time.Duration) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeServers(newState(), time.Millisecond, loads, newRecord("x", "a", "v1"))
				f.reportAll()
				time.Sleep(200 * time.Millisecond)
				if change != nil {
					change(f)
				}
				began := time.Now()
				f.d.WaitWhileSlow(context.Background(), "x", began.Add(300*time.Millisecond))
				require.InDelta(t, want, time.Since(began), float64(slowProbeInterval+slowCheckInterval))
			})
		})
	}
	run("a quiet machine", map[string]*sycamorevane.LoadReport{"x": normalLoad()}, nil, time.Millisecond)
	run("one that stays slow", map[string]*sycamorevane.LoadReport{"x": slowLoad()}, nil, 300*time.Millisecond)
	run("one that becomes quiet", map[string]*sycamorevane.LoadReport{"x": slowLoad()}, func(f *fakeServers) {
		time.AfterFunc(100*time.Millisecond, func() { f.set("x", normalLoad()) })
	}, 100*time.Millisecond)
	run("a server that does not tell its load", nil, nil, 0)
	run("a server that has left", map[string]*sycamorevane.LoadReport{"x": slowLoad()}, func(f *fakeServers) {
		f.d.cfg.Servers = func() []cataloger.ServerRecord { return nil }
		f.d.Update()
	}, 0)
}
