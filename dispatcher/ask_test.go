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

// farm answers the questions of a dispatcher after delay, as the servers are then.
type farm struct {
	d *Dispatcher

	mu    sync.Mutex
	delay time.Duration
	// loads holds what each server says; one that is missing does not answer.
	loads map[string]*sycamorevane.LoadReport
	asked int
}

func newFarm(st *sycamorevane.State, delay time.Duration, loads map[string]*sycamorevane.LoadReport, entries ...cataloger.ServerRecord) *farm {
	f := &farm{delay: delay, loads: loads}
	for i := range entries {
		entries[i].ReportedAt = time.Now()
	}
	f.d = newTestDispatcher(st, entries...)
	f.d.cfg.Probe = func(p Probe) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.asked++
		time.AfterFunc(f.delay, func() { f.answer(p.Server.ID) })
	}
	return f
}

func (f *farm) set(id string, l *sycamorevane.LoadReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads[id] = l
}

func (f *farm) setDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

func (f *farm) questions() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asked
}

func (f *farm) answer(id string) {
	f.mu.Lock()
	l := f.loads[id]
	f.mu.Unlock()
	if l != nil {
		f.d.HandleProbeResult(time.Now(), id, ProbeResult{Answered: true, Load: l, ColdRemaining: -1})
	}
}

// learn makes the dispatcher know that servers tell their load, and what they say now.
func (f *farm) learn() {
	for id := range f.loads {
		f.answer(id)
	}
}

func (f *farm) acquire(t *testing.T, a sycamorevane.Request) (sycamorevane.Grant, time.Duration) {
	t.Helper()
	began := time.Now()
	a.Service, a.Route, a.SoftDeadline, a.Deadline = "s", "r", began.Add(time.Second), began.Add(3*time.Second)
	g, err := f.d.Acquire(context.Background(), a)
	require.NoError(t, err)
	return g, time.Since(began)
}

func quiet() *sycamorevane.LoadReport { return &sycamorevane.LoadReport{Slots: 4, Slowdown: 1} }
func slow() *sycamorevane.LoadReport  { return &sycamorevane.LoadReport{Slots: 4, Slowdown: 4} }

// Guards against requests on machines that have become slow since their last report: how long a request takes is settled
// when it starts.
func TestRequestIsPlacedByAFreshReport(t *testing.T) {
	run := func(name string, f func(t *testing.T)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
	}
	run("the server that has become slow is left out", func(t *testing.T) {
		f := newFarm(newState(), time.Millisecond, map[string]*sycamorevane.LoadReport{"x": quiet(), "y": slow()}, entry("x", "a", "v1"), entry("y", "a", "v1"))
		f.learn()
		time.Sleep(200 * time.Millisecond)
		f.set("x", slow())
		f.set("y", quiet())
		g, took := f.acquire(t, sycamorevane.Request{})
		require.Equal(t, "y", g.Server.ID)
		require.Less(t, took, askWait)
	})
	run("nobody is asked while a report is fresh", func(t *testing.T) {
		f := newFarm(newState(), time.Millisecond, map[string]*sycamorevane.LoadReport{"x": quiet()}, entry("x", "a", "v1"))
		f.learn()
		_, took := f.acquire(t, sycamorevane.Request{})
		require.Zero(t, took)
		require.Zero(t, f.questions())
	})
	run("servers that do not answer in time hold nobody up", func(t *testing.T) {
		f := newFarm(newState(), time.Second, map[string]*sycamorevane.LoadReport{"x": quiet()}, entry("x", "a", "v1"))
		f.learn()
		time.Sleep(200 * time.Millisecond)
		g, took := f.acquire(t, sycamorevane.Request{})
		require.Equal(t, "x", g.Server.ID)
		require.LessOrEqual(t, took, askWait+retryQueue)
	})
	run("nor does anybody wait while most answers come too late", func(t *testing.T) {
		f := newFarm(newState(), 2*askWait, map[string]*sycamorevane.LoadReport{"x": quiet()}, entry("x", "a", "v1"))
		f.learn()
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
			f.d.core.byID["x"].probed = time.Now()
			f.d.mu.Unlock()
			time.Sleep(200 * time.Millisecond)
		}
		_, took = f.acquire(t, sycamorevane.Request{})
		require.Positive(t, took, "once they come in time again, requests wait for them")
	})
	run("where all are slow one is used", func(t *testing.T) {
		f := newFarm(newState(), time.Millisecond, map[string]*sycamorevane.LoadReport{"x": slow(), "y": slow()}, entry("x", "a", "v1"), entry("y", "a", "v1"))
		f.learn()
		time.Sleep(200 * time.Millisecond)
		_, took := f.acquire(t, sycamorevane.Request{})
		require.LessOrEqual(t, took, askWait+retryQueue)
	})
	run("a second attempt asks, but does not wait for room", func(t *testing.T) {
		f := newFarm(newState(), time.Millisecond, map[string]*sycamorevane.LoadReport{"x": quiet()}, entry("x", "a", "v1"))
		f.learn()
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

// Guards against a trial version that gets less than its share, since its few servers have seldom reported just now.
func TestTrialShareWithFreshReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newState()
		st.ServingVersions = map[string]string{"s": "v1"}
		st.Rollouts = map[string]sycamorevane.Rollout{"s": {
			Service: "s", FromVersion: "v1", ToVersion: "v2", Phase: sycamorevane.RolloutTrial, Share: 0.1,
		}}
		f := newFarm(st, time.Millisecond, map[string]*sycamorevane.LoadReport{"old": quiet(), "new": quiet()}, entry("old", "a", "v1"), entry("new", "a", "v2"))
		f.learn()
		trial := 0
		const requests = 2000
		for range requests {
			g, _ := f.acquire(t, sycamorevane.Request{})
			if g.Server.ID == "new" {
				require.True(t, g.Trial)
				trial++
			}
			time.Sleep(10 * time.Millisecond)
			f.d.Release(g, sycamorevane.Outcome{Kind: sycamorevane.OutcomeOK, Latency: 10 * time.Millisecond, Route: "r", Load: quiet()})
		}
		require.InDelta(t, requests/10, trial, 60)
	})
}

// Guards against questions that grow with the requests or the entries.
func TestQuestionsOverAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries = 3
		var farms []*farm
		for rank := range entries {
			f := newFarm(newState(), 500*time.Microsecond, map[string]*sycamorevane.LoadReport{"x": slow()}, entry("x", "a", "v1"))
			f.d.cfg.EntryRank = func() (int, int) { return rank, entries }
			f.learn()
			farms = append(farms, f)
		}
		const seconds = 5
		for range seconds * 200 {
			for _, f := range farms {
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
		asked := 0
		for _, f := range farms {
			asked += f.questions()
		}
		require.Positive(t, asked)
		require.LessOrEqual(t, asked, seconds*askRate+entries, "the first question of each entry comes at once")
		time.Sleep(time.Second)
	})
}

// Guards against an upload that is held back without end, or for a machine that is quiet.
func TestAwaitQuiet(t *testing.T) {
	run := func(name string, loads map[string]*sycamorevane.LoadReport, change func(f *farm), want time.Duration) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFarm(newState(), time.Millisecond, loads, entry("x", "a", "v1"))
				f.learn()
				time.Sleep(200 * time.Millisecond)
				if change != nil {
					change(f)
				}
				began := time.Now()
				f.d.AwaitQuiet(context.Background(), "x", began.Add(300*time.Millisecond))
				require.InDelta(t, want, time.Since(began), float64(quietGap+quietTick))
			})
		})
	}
	run("a quiet machine", map[string]*sycamorevane.LoadReport{"x": quiet()}, nil, time.Millisecond)
	run("one that stays slow", map[string]*sycamorevane.LoadReport{"x": slow()}, nil, 300*time.Millisecond)
	run("one that becomes quiet", map[string]*sycamorevane.LoadReport{"x": slow()}, func(f *farm) {
		time.AfterFunc(100*time.Millisecond, func() { f.set("x", quiet()) })
	}, 100*time.Millisecond)
	run("a server that does not tell its load", nil, nil, 0)
	run("a server that has left", map[string]*sycamorevane.LoadReport{"x": slow()}, func(f *farm) {
		f.d.cfg.Servers = func() []cataloger.ServerRecord { return nil }
		f.d.Update()
	}, 0)
}
