package dispatcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/cataloger"
	"sycamorevane.example/sycamorevane/scheduler"
)

// fakeScheduler answers with the given placements, one after the other, and then with err.
type fakeScheduler struct {
	servers  []string
	err      error
	decides  bool
	asks     []scheduler.Ask
	returned []Placement
	started  []scheduler.Start
	finished []scheduler.Finish
}

func (f *fakeScheduler) Place(_ context.Context, _ string, a scheduler.Ask) (Placement, error) {
	f.asks = append(f.asks, a)
	if len(f.servers) == 0 {
		return Placement{}, f.err
	}
	p := Placement{ID: uint64(len(f.asks)), Server: ServerNumber(f.servers[0]), Scheduler: "control"}
	f.servers = f.servers[1:]
	return p, nil
}

func (f *fakeScheduler) Return(_ string, p Placement, _ bool) { f.returned = append(f.returned, p) }

func (f *fakeScheduler) ReportStart(_ string, s scheduler.Start) uint64 {
	f.started = append(f.started, s)
	return uint64(100 + len(f.started))
}

func (f *fakeScheduler) ReportFinish(_ string, e scheduler.Finish) {
	f.finished = append(f.finished, e)
}

func (f *fakeScheduler) Decides(string) bool { return f.decides }

// newScheduled returns a dispatcher whose servers x and y have reported their load.
func newScheduled(f *fakeScheduler, change func(x *cataloger.ServerRecord, st *sycamorevane.State)) *Dispatcher {
	st := newState()
	x, y := newRecord("x", "a", "v1"), newRecord("y", "a", "v1")
	if change != nil {
		change(&x, st)
	}
	d := New(Config{
		DC: "a", Bounds: Bounds{ColdFactor: 1.5, ColdSlack: 5}, Servers: func() []cataloger.ServerRecord { return []cataloger.ServerRecord{x, y} },
		State: func() *sycamorevane.State { return st }, EntryRank: func() (int, int) { return 0, 1 },
		Scheduler: f, Log: logr.Discard(),
	})
	d.Update()
	d.core.pool("s").markReportsLoad()
	return d
}

func timedRequest() sycamorevane.Request {
	now := time.Now()
	return sycamorevane.Request{Service: "s", Route: "r", Deadline: now.Add(4 * time.Second)}
}

// Guards against grants that are not used as given, and requests whose end the scheduler never learns.
func TestGrantOfTheSchedulerIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeScheduler{servers: []string{"y"}, decides: true}
		d := newScheduled(f, nil)
		g, err := d.Acquire(t.Context(), timedRequest())
		require.NoError(t, err)
		require.Equal(t, "y", g.Server.ID)
		require.Equal(t, "control", g.Scheduler)
		d.Release(g, sycamorevane.Outcome{Kind: sycamorevane.OutcomeOK, Route: "r"})
		require.Equal(t, []scheduler.Finish{{Key: scheduler.Key{ID: 1}, Server: "y", Route: "r"}}, f.finished)
		require.Empty(t, f.started)
		require.Empty(t, f.returned)
		require.Empty(t, d.scheduled)
	})
}

// Guards against a scheduler with outdated information that overrides the rules of the entry: I2, I3, I8 of docs/design.md,
// request limits and servers on which the request has failed.
func TestForbiddenGrantIsReturned(t *testing.T) {
	cases := map[string]func(x *cataloger.ServerRecord, st *sycamorevane.State){
		"cold": func(x *cataloger.ServerRecord, _ *sycamorevane.State) { x.ColdUntil = time.Now().Add(time.Second) },
		"limited": func(x *cataloger.ServerRecord, _ *sycamorevane.State) {
			x.Limit = &cataloger.LimitReport{RequestLimit: sycamorevane.RequestLimit{Limited: true, Rate: 1}}
			x.LimitStatedAt = time.Now()
		},
		"draining":            func(x *cataloger.ServerRecord, _ *sycamorevane.State) { x.Draining = true },
		"version not serving": func(x *cataloger.ServerRecord, _ *sycamorevane.State) { x.Server.Version = "v2" },
		"data centre out": func(x *cataloger.ServerRecord, st *sycamorevane.State) {
			x.Server.DC, st.DrainedDCs = "b", map[string]int64{"b": 1}
		},
		"drained": func(_ *cataloger.ServerRecord, st *sycamorevane.State) { st.DrainedServers = map[string]int64{"x": 1} },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeScheduler{servers: []string{"x", "y"}, decides: true}
				d := newScheduled(f, func(x *cataloger.ServerRecord, st *sycamorevane.State) {
					st.ServingVersions = map[string]string{"s": "v1"}
					change(x, st)
				})
				g, err := d.Acquire(t.Context(), timedRequest())
				require.NoError(t, err)
				require.Equal(t, "y", g.Server.ID)
				require.Equal(t, []Placement{{ID: 1, Server: ServerNumber("x"), Scheduler: "control"}}, f.returned)
				if name != "data centre out" { // The server of another data centre is not known as one of the pool.
					require.Equal(t, []string{"x"}, f.asks[1].ExcludedServers)
				}
			})
		})
	}
	t.Run("has failed it before", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeScheduler{servers: []string{"x", "y"}, decides: true}
			req := timedRequest()
			req.ExcludedServers = []string{"x"}
			g, err := newScheduled(f, nil).Acquire(t.Context(), req)
			require.NoError(t, err)
			require.Equal(t, "y", g.Server.ID)
			require.Len(t, f.returned, 1)
			require.Equal(t, []string{"x"}, f.asks[0].ExcludedServers)
		})
	})
}

// Guards against refusals that are lost or delayed, and against cold servers that never get a request while the scheduler
// refuses.
func TestRefusalOfTheScheduler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refusal := &sycamorevane.RefusedError{Service: "s", Reason: "full", RetryAfter: 70 * time.Millisecond}
		f := &fakeScheduler{err: refusal, decides: true}
		_, err := newScheduled(f, nil).Acquire(t.Context(), timedRequest())
		require.ErrorIs(t, err, refusal)
		d := newScheduled(f, func(x *cataloger.ServerRecord, _ *sycamorevane.State) { x.ColdUntil = time.Now().Add(time.Minute) })
		d.mu.Lock()
		d.core.byID["x"].coldBucket = tokenBucket{tokens: 1, refilledAt: time.Now()}
		d.mu.Unlock()
		g, err := d.Acquire(t.Context(), timedRequest())
		require.NoError(t, err)
		require.Equal(t, "x", g.Server.ID, "only the cold server is not the scheduler's")
		_, err = d.Acquire(t.Context(), timedRequest())
		require.ErrorIs(t, err, refusal, "within the rate of cold servers")
	})
}

// Guards against requests that the scheduler does not learn of: those of the own view, hedges and trials of a version.
func TestOwnViewIsReported(t *testing.T) {
	cases := map[string]struct {
		change func(x *cataloger.ServerRecord, st *sycamorevane.State)
		req    func(*sycamorevane.Request)
		asks   int
	}{
		"no scheduler decides": {nil, func(*sycamorevane.Request) {}, 1},
		"hedge":                {nil, func(r *sycamorevane.Request) { r.Hedge = true }, 0},
		"trial": {func(x *cataloger.ServerRecord, st *sycamorevane.State) {
			x.Server.Version = "v2"
			st.Rollouts = map[string]sycamorevane.Rollout{"s": {Service: "s", FromVersion: "v1", ToVersion: "v2", Phase: sycamorevane.RolloutMoving, Share: 1}}
		}, func(*sycamorevane.Request) {}, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeScheduler{err: ErrOwnView}
				d := newScheduled(f, tc.change)
				req := timedRequest()
				tc.req(&req)
				g, err := d.Acquire(t.Context(), req)
				require.NoError(t, err)
				require.Len(t, f.asks, tc.asks)
				require.Empty(t, g.Scheduler)
				require.Len(t, f.started, 1)
				require.Equal(t, g.Server.ID, f.started[0].Server)
				d.Release(g, sycamorevane.Outcome{Kind: sycamorevane.OutcomeShed, Route: "r"})
				require.Equal(t, uint64(101), f.finished[0].ID)
				require.Equal(t, sycamorevane.OutcomeShed, f.finished[0].Kind)
			})
		})
	}
}

// Guards against probes by entries whose scheduler probes, and against entries that don't probe while it is silent.
func TestProbesOnlyWithoutScheduler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeScheduler{err: ErrOwnView}
		d := newScheduled(f, nil)
		_, err := d.Acquire(t.Context(), timedRequest())
		require.NoError(t, err)
		time.Sleep(500 * time.Millisecond)
		f.decides = true
		require.Empty(t, d.DueProbes(time.Now()))
		f.decides = false
		require.NotEmpty(t, d.DueProbes(time.Now()))
	})
}
