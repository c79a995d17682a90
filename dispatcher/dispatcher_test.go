package dispatcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/cataloger"
)

var start = time.Unix(1_000, 0)

func entry(id, dc, version string) cataloger.ServerRecord {
	return cataloger.ServerRecord{
		Report: cataloger.Report{Server: sycamorevane.Server{
			ID: id, InstanceName: id, Service: "s", Version: version, Addr: id, DC: dc, Slots: 4,
		}},
		ReportedAt: start,
	}
}

func newState() *sycamorevane.State {
	return &sycamorevane.State{Config: sycamorevane.Config{
		SequenceNumber: 1, Services: []sycamorevane.Service{{Name: "s", ColdPeriod: 3 * time.Second, ColdRate: 4.9, HealthPath: "/health"}},
	}}
}

func newView(now time.Time) *view {
	return &view{now: now, state: newState(), blocked: func(string, string) bool { return false }, share: share{0, 1}}
}

func newTestCore(entries ...cataloger.ServerRecord) *core {
	c := newCore("a", Bounds{ColdFactor: 1.5, ColdSlack: 5}, rand.New(rand.NewPCG(1, 2)))
	c.update(entries)
	return c
}

func newRequest() *sycamorevane.Request { return &sycamorevane.Request{Service: "s", Route: "r"} }

func (c *core) pickID(v *view, a *sycamorevane.Request) string {
	if got := c.pick(v, a); got.server != nil {
		return got.server.entry.Server.ID
	}
	return ""
}

func TestUnusableServersGetNothing(t *testing.T) {
	cases := map[string]func(v *view, e *cataloger.ServerRecord, a *sycamorevane.Request){
		"draining": func(_ *view, e *cataloger.ServerRecord, _ *sycamorevane.Request) { e.Draining = true },
		"left":     func(_ *view, e *cataloger.ServerRecord, _ *sycamorevane.Request) { e.Ended = true },
		"leaving, as committed": func(v *view, _ *cataloger.ServerRecord, _ *sycamorevane.Request) {
			v.state.DrainedServers = map[string]int64{"x": 1}
		},
		"leaving, by its label": func(v *view, e *cataloger.ServerRecord, _ *sycamorevane.Request) {
			e.Server.InstanceName, e.StartedAt = "label", 1
			v.state.DrainedServers = map[string]int64{"label": 1}
		},
		"data centre out": func(v *view, _ *cataloger.ServerRecord, _ *sycamorevane.Request) {
			v.state.DrainedDCs = map[string]int64{"a": 1}
		},
		"has failed it before": func(_ *view, _ *cataloger.ServerRecord, a *sycamorevane.Request) { a.ExcludedServers = []string{"x"} },
		"version not serving": func(v *view, _ *cataloger.ServerRecord, _ *sycamorevane.Request) {
			v.state.ServingVersions = map[string]string{"s": "v9"}
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			v, e, a := newView(start), entry("x", "a", "v1"), newRequest()
			require.Equal(t, "x", newTestCore(e).pickID(v, a))
			change(v, &e, a)
			got := newTestCore(e).pick(v, a)
			require.Nil(t, got.server)
			require.False(t, got.full, "the caller is told at once")
		})
	}
}

// Guards against entries that fill a server beyond the part of its slots above which all its work slows down.
func TestServerStaysBelowItsKnee(t *testing.T) {
	c := newTestCore(entry("x", "a", "v1"))
	v := newView(start)
	for range 3 {
		got := c.pick(v, newRequest())
		require.NotNil(t, got.server)
		c.start(start, got.server)
	}
	got := c.pick(v, newRequest())
	require.Nil(t, got.server)
	require.True(t, got.full)
}

// Guards against servers of two slots that get one request at a time while others are refused.
func TestSlotsAboveTheKnee(t *testing.T) {
	for slots, room := range map[int]struct{ below, all float64 }{
		1: {1, 1}, 2: {1, 2}, 3: {2, 2}, 4: {3, 3}, 6: {4, 4}, 16: {12, 12},
	} {
		e := entry("x", "a", "v1")
		e.Server.Slots = slots
		s := newServer(e)
		require.Equal(t, room.below, s.roomFor(false, false), "%d slots", slots)
		require.Equal(t, room.all, s.roomFor(false, true), "%d slots", slots)
	}
	two := func(id string) cataloger.ServerRecord {
		e := entry(id, "a", "v1")
		e.Server.Slots = 2
		return e
	}
	v := newView(start)
	t.Run("an idle server goes first", func(t *testing.T) {
		c := newTestCore(two("x"), two("y"))
		c.pool("s").crowded = start
		c.start(start, c.byID["x"])
		for range 20 {
			require.Equal(t, "y", c.pickID(v, newRequest()))
		}
	})
	t.Run("a request that would be late there waits", func(t *testing.T) {
		c := newTestCore(two("x"))
		c.pool("s").crowded = start
		c.start(start, c.byID["x"])
		a := newRequest()
		a.SoftDeadline = start.Add(c.pool("s").timesOf("r").base * 3 / 2)
		c.pool("s").timesOf("r").known = true
		require.Empty(t, c.pickID(v, a))
		a.SoftDeadline = start.Add(2 * c.pool("s").timesOf("r").base)
		require.Equal(t, "x", c.pickID(v, a))
	})
}

// Guards against entries that all fill the first servers they know of after a start.
func TestServerOfUnknownLoadGetsOneRequest(t *testing.T) {
	c := newTestCore(entry("known", "a", "v1"), entry("new", "a", "v1"))
	grant := c.start(start, c.byID["known"])
	c.finish(start, "s", "known", grant, sycamorevane.Outcome{
		Kind: sycamorevane.OutcomeOK, Latency: time.Millisecond, Load: &sycamorevane.LoadReport{Running: 1, Slots: 4, Slowdown: 1},
	})
	for range 4 {
		c.start(start, c.pick(newView(start), newRequest()).server)
	}
	require.Len(t, c.byID["new"].started, 1)
	require.Len(t, c.byID["known"].started, 3)
	c.byID["new"].report(start, &sycamorevane.LoadReport{Running: 1, Slots: 4, Slowdown: 1})
	require.Equal(t, "new", c.pickID(newView(start), newRequest()))
}

// Guards against the view that a server which others fill has room.
func TestLoadOfOtherEntriesCounts(t *testing.T) {
	c := newTestCore(entry("x", "a", "v1"), entry("y", "b", "v1"))
	c.byID["x"].report(start, &sycamorevane.LoadReport{Running: 3, Slots: 4, Slowdown: 1})
	for range 20 {
		require.Equal(t, "y", c.pickID(newView(start), newRequest()))
	}
	t.Run("without the request that the answer was for", func(t *testing.T) {
		c := newTestCore(entry("x", "a", "v1"))
		grant := c.start(start, c.byID["x"])
		c.finish(start, "s", "x", grant, sycamorevane.Outcome{
			Kind: sycamorevane.OutcomeOK, Latency: time.Millisecond, Load: &sycamorevane.LoadReport{Running: 1, Slots: 4, Slowdown: 1},
		})
		require.Zero(t, c.byID["x"].others)
	})
}

// Guards against entries that each fill all servers after a start of the whole system, since none has told its load yet.
func TestEntriesShareTheServersAfterAStart(t *testing.T) {
	const entries, servers = 3, 9
	var list []cataloger.ServerRecord
	for i := range servers {
		list = append(list, entry(fmt.Sprintf("s%d", i), "a", "v1"))
	}
	sent := 0
	for rank := range entries {
		c := newTestCore(list...)
		v := newView(start)
		v.share = share{rank, entries}
		for got := c.pick(v, newRequest()); got.server != nil; got = c.pick(v, newRequest()) {
			c.start(start, got.server)
			sent++
		}
	}
	room := 0.0
	for _, e := range list {
		room += newServer(e).room()
	}
	require.LessOrEqual(t, float64(sent), room)
}

// Guards against many entries that each know nothing of any server, since each sees too few of its answers.
func TestEntriesPreferTheirHomeServers(t *testing.T) {
	const perDC, dcs, servers = 12, 3, 40
	var entries []cataloger.ServerRecord
	for i := range servers {
		entries = append(entries, entry(fmt.Sprintf("s%d", i), "a", "v1"))
	}
	homes := make(map[string]int)
	for rank := range perDC {
		c := newTestCore(entries...)
		v := newView(start)
		v.state.Config.DCs = []string{"a", "b", "c"}
		v.share = share{rank, perDC * dcs}
		mine := sycamorevane.NewSet[string]()
		for id, s := range c.byID {
			if c.home(v, s) {
				homes[id]++
				mine.Add(id)
			}
		}
		for range len(mine) {
			got := c.pick(v, newRequest())
			require.True(t, mine.Has(got.server.entry.Server.ID))
			c.start(start, got.server)
		}
		for id := range mine {
			c.byID[id].pause(start, time.Second)
		}
		require.NotNil(t, c.pick(v, newRequest()).server, "others are used where its own ones are not fit")
	}
	for id, n := range homes {
		require.Equal(t, homeEntries, n, id)
	}
	require.Len(t, homes, servers)

	t.Run("few entries know all servers", func(t *testing.T) {
		c := newTestCore(entries...)
		v := newView(start)
		v.state.Config.DCs = []string{"a", "b", "c"}
		v.share = share{4, homeEntries * dcs}
		for _, s := range c.byID {
			require.True(t, c.home(v, s))
		}
	})
}

// Guards against a server that gets a request from each of many entries at the same moment, since it told each of them long
// ago that it was idle.
func TestForeignServerIsUsedJustAfterItsReport(t *testing.T) {
	const perDC, dcs = 12, 3
	st := newState()
	st.Config.DCs = []string{"a", "b", "c"}
	for name, dc := range map[string]string{"of the own data centre": "a", "of another one": "b"} {
		t.Run(name, func(t *testing.T) {
			d := newTestDispatcher(st, entry("x", dc, "v1"))
			rank := 0
			d.cfg.EntryRank = func() (int, int) { return rank, perDC * dcs }
			s := d.core.byID["x"]
			s.tells = true
			for d.core.home(d.view(start), s) {
				rank++
			}
			now := time.Now()
			s.report(now, &sycamorevane.LoadReport{Slots: 4, Slowdown: 1})
			require.NotNil(t, d.core.pick(d.view(now), newRequest()).server)
			v := d.view(now.Add(2 * foreignAge))
			got := d.core.pick(v, newRequest())
			require.Nil(t, got.server)
			require.True(t, got.full, "the request waits until the server has been asked")

			d.core.pool("s").asked = v.now
			require.Empty(t, d.DueProbes(v.now), "nobody waits")
			d.queue["s"] = []*waiter{{req: newRequest()}}
			n := 0
			for ms := 0; ms < 10_000; ms += 5 {
				at := v.now.Add(time.Duration(ms) * time.Millisecond)
				d.core.pool("s").asked = at
				if len(d.DueProbes(at)) > 0 {
					n++
					full := &sycamorevane.LoadReport{Running: 4, Slots: 4} // The request goes on waiting.
					d.HandleProbeResult(at, "x", ProbeResult{Answered: true, Load: full, ColdRemaining: -1})
				}
			}
			require.Positive(t, n)
			require.LessOrEqual(t, float64(n*perDC*dcs)/10, float64(foreignRate), "over all entries")
		})
	}
}

// Guards against entries that all take the same room, because each has heard of it from the same answers.
func TestRoomIsKeptForOtherEntries(t *testing.T) {
	const entries = 6
	place := func(running int, age time.Duration, entries int) bool {
		c := newTestCore(entry("x", "a", "v1"))
		c.pools["s"].timesOf("r").usual = 100 * time.Millisecond
		s := c.byID["x"]
		s.tells = true
		s.report(start, &sycamorevane.LoadReport{Running: running, Slots: 4, Slowdown: 1})
		s.usually = float64(running)
		v := newView(start.Add(age))
		v.share.entries = entries
		return c.pick(v, newRequest()).server != nil
	}
	require.True(t, place(2, 0, entries), "it has just told of one free slot below its knee")
	require.False(t, place(2, 100*time.Millisecond, entries))
	require.True(t, place(2, 100*time.Millisecond, 1), "nobody else sends to it")
	require.False(t, place(1, 100*time.Millisecond, entries))
	require.True(t, place(0, 100*time.Millisecond, entries), "an idle server takes a request in any case")
	require.True(t, place(0, time.Minute, entries))
}

// Guards against requests on a machine that others have made slow for a moment, where they would be late.
func TestRequestWaitsForAMachineOnWhichItIsInTime(t *testing.T) {
	c := newTestCore(entry("slow", "a", "v1"), entry("quiet", "a", "v1"))
	c.byID["slow"].report(start, &sycamorevane.LoadReport{Slots: 4, Slowdown: 4})
	for range 3 {
		c.start(start, c.byID["quiet"])
	}
	v := newView(start)
	hurried := newRequest()
	hurried.SoftDeadline = start.Add(250 * time.Millisecond)
	got := c.pick(v, hurried)
	require.Nil(t, got.server)
	require.True(t, got.full)
	late := newRequest()
	late.SoftDeadline = start.Add(time.Millisecond)
	require.Equal(t, "slow", c.pickID(v, late), "a late request uses the room that nobody else wants")
	c.byID["quiet"].pause(start, time.Second)
	require.Equal(t, "slow", c.pickID(v, hurried), "without a machine on which it is in time any will do")
}

// Guards against a cold server that gets more than it bears because each entry keeps to the bound by itself.
func TestColdServerOverAllEntries(t *testing.T) {
	const entries, bound = 16, 4.9*1.5 + 5
	cold := entry("x", "a", "v1")
	cold.ColdUntil = start.Add(time.Hour)
	cores := make([]*core, entries)
	for i := range cores {
		cores[i] = newTestCore(cold)
	}
	var sent []time.Time
	for ms := range 5000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for i, c := range cores {
			v := newView(now)
			v.share = share{i, entries}
			if got := c.pick(v, newRequest()); got.server != nil {
				c.finish(now, "s", "x", c.start(now, got.server), sycamorevane.Outcome{Kind: sycamorevane.OutcomeOK})
				sent = append(sent, now)
			}
		}
	}
	require.Greater(t, len(sent), 15, "a cold server is used")
	for i, at := range sent {
		within := 0
		for _, other := range sent[i:] {
			if other.Sub(at) < time.Second {
				within++
			}
		}
		require.LessOrEqual(t, float64(within), bound)
	}
}

// Guards against full load on servers that became cold while their data centre was out and have not said so.
func TestReturnedDataCentreIsColdUntilItReports(t *testing.T) {
	c := newTestCore(entry("x", "a", "v1"))
	v := newView(start.Add(time.Second))
	v.undrainedAt = map[string]time.Time{"a": start.Add(500 * time.Millisecond)}
	require.Empty(t, c.pickID(v, newRequest()))
	warm := entry("x", "a", "v1")
	warm.ReportedAt = start.Add(900 * time.Millisecond)
	c.update([]cataloger.ServerRecord{warm})
	require.Equal(t, "x", c.pickID(v, newRequest()))
}

func TestTrialShare(t *testing.T) {
	c := newTestCore(entry("old", "a", "v1"), entry("new", "a", "v2"))
	v := newView(start)
	v.state.ServingVersions = map[string]string{"s": "v1"}
	v.state.Rollouts = map[string]sycamorevane.Rollout{"s": {
		Service: "s", FromVersion: "v1", ToVersion: "v2", Phase: sycamorevane.RolloutTrial, Share: 0.1,
	}}
	count := func() (n int) {
		for range 2000 {
			if c.pickID(v, newRequest()) == "new" {
				n++
			}
		}
		return n
	}
	require.InDelta(t, 200, count(), 60)
	t.Run("a version blocked by its own failures gets nothing", func(t *testing.T) {
		v.blocked = func(_, version string) bool { return version == "v2" }
		require.Zero(t, count())
		v.blocked = func(string, string) bool { return false }
	})
	t.Run("calls go to the old version when the new one has no server", func(t *testing.T) {
		c.update([]cataloger.ServerRecord{entry("old", "a", "v1")})
		for range 50 {
			require.Equal(t, "old", c.pickID(v, newRequest()))
		}
	})
}

func TestServersThatFailAreLeftAlone(t *testing.T) {
	kinds := map[string][]sycamorevane.OutcomeKind{
		"refuses connections": {sycamorevane.OutcomeConnectFailed},
		"breaks answers off":  {sycamorevane.OutcomeIncomplete, sycamorevane.OutcomeIncomplete},
		"does not answer":     {sycamorevane.OutcomeTimeout},
		"says it is full":     {sycamorevane.OutcomeShed},
		"answers failures":    {sycamorevane.OutcomeFailed, sycamorevane.OutcomeFailed, sycamorevane.OutcomeFailed},
	}
	for name, outcomes := range kinds {
		t.Run(name, func(t *testing.T) {
			c := newTestCore(entry("bad", "a", "v1"), entry("good", "b", "v1"))
			for _, kind := range outcomes {
				c.finish(start, "s", "bad", c.start(start, c.byID["bad"]), sycamorevane.Outcome{Kind: kind, Latency: time.Millisecond})
			}
			for range 20 {
				require.Equal(t, "good", c.pickID(newView(start.Add(50*time.Millisecond)), newRequest()))
			}
			later := newView(start.Add(time.Minute))
			require.Equal(t, "bad", c.pickID(later, newRequest()), "it is the near one and gets requests again")
		})
	}
	t.Run("has another server's address", func(t *testing.T) {
		c := newTestCore(entry("bad", "a", "v1"))
		c.finish(start, "s", "bad", c.start(start, c.byID["bad"]), sycamorevane.Outcome{Kind: sycamorevane.OutcomeShed, AddressReused: true})
		require.Empty(t, c.pickID(newView(start.Add(time.Hour)), newRequest()))
	})
	t.Run("keeps requests", func(t *testing.T) {
		c := newTestCore(entry("stuck", "a", "v1"), entry("good", "b", "v1"))
		c.start(start, c.byID["stuck"])
		require.Equal(t, "good", c.pickID(newView(start.Add(2*time.Second)), newRequest()))
	})
}

func newTestDispatcher(st *sycamorevane.State, entries ...cataloger.ServerRecord) *Dispatcher {
	d := New(Config{
		DC: "a", Bounds: Bounds{ColdFactor: 1.5, ColdSlack: 5}, Log: logr.Discard(),
		Servers:   func() []cataloger.ServerRecord { return entries },
		State:     func() *sycamorevane.State { return st },
		EntryRank: func() (int, int) { return 0, 1 },
	})
	d.started = d.started.Add(-time.Hour)
	d.Update()
	return d
}

// Guards against a long queue in which each request is served when it has almost no time left.
func TestLongQueueServesTheNewestFirst(t *testing.T) {
	live := entry("x", "a", "v1")
	live.ReportedAt = time.Now()
	d := newTestDispatcher(newState(), live)
	now := time.Now()
	var list []*waiter
	for i := range 4 {
		w := &waiter{got: make(chan placement, 1), req: &sycamorevane.Request{
			Service: "s", Route: "r", Priority: i % 2, SoftDeadline: now.Add(time.Second), Deadline: now.Add(time.Minute),
		}}
		d.enqueue(w)
		w.since = now.Add(-2 * longWait)
		list = append(list, w)
	}
	d.serve(now, "s")
	for i, want := range []int{1, 0, 1, 1} {
		require.Len(t, list[i].got, want, "of two waiters each, the room for three goes to the more urgent and the newest")
	}
}

// Guards against refusals for a start that everybody knows of: servers report again within a second or two.
func TestRequestsWaitForServersAfterTheStart(t *testing.T) {
	d := newTestDispatcher(newState())
	d.started = time.Now()
	live := entry("x", "a", "v1")
	live.ReportedAt = time.Now()
	time.AfterFunc(50*time.Millisecond, func() {
		d.cfg.Servers = func() []cataloger.ServerRecord { return []cataloger.ServerRecord{live} }
		d.Update()
	})
	g, err := d.Acquire(context.Background(), sycamorevane.Request{Service: "s", Deadline: time.Now().Add(2 * time.Second)})
	require.NoError(t, err)
	require.Equal(t, "x", g.Server.ID)
}

// Guards against an entry that takes servers for cold because their data centre came back long before its own start.
func TestOldReturnIsForgotten(t *testing.T) {
	st := newState()
	st.UndrainedDCs = map[string]int64{"a": time.Now().Add(-time.Minute).UnixMilli(), "b": time.Now().UnixMilli()}
	d := newTestDispatcher(st)
	require.True(t, d.undrainedAt["a"].IsZero())
	require.False(t, d.undrainedAt["b"].IsZero())
}

func expectRefused(t *testing.T, err error) *sycamorevane.RefusedError {
	t.Helper()
	var refused *sycamorevane.RefusedError
	require.ErrorAs(t, err, &refused)
	require.Positive(t, refused.RetryAfter, "the caller is told when to come back")
	return refused
}

func TestAcquire(t *testing.T) {
	live := entry("x", "a", "v1")
	live.ReportedAt = time.Now()
	fill := func(t *testing.T, d *Dispatcher) []sycamorevane.Grant {
		t.Helper()
		var grants []sycamorevane.Grant
		for range 3 {
			g, err := d.Acquire(context.Background(), sycamorevane.Request{Service: "s", Deadline: time.Now().Add(time.Second)})
			require.NoError(t, err)
			grants = append(grants, g)
		}
		return grants
	}
	t.Run("without a configuration", func(t *testing.T) {
		_, err := newTestDispatcher(nil, live).Acquire(context.Background(), sycamorevane.Request{Service: "s"})
		expectRefused(t, err)
	})
	t.Run("without a server it is refused at once", func(t *testing.T) {
		began := time.Now()
		_, err := newTestDispatcher(newState()).Acquire(context.Background(), sycamorevane.Request{Service: "s", Deadline: began.Add(time.Minute)})
		expectRefused(t, err)
		require.Less(t, time.Since(began), 50*time.Millisecond)
	})
	t.Run("it waits for room", func(t *testing.T) {
		d := newTestDispatcher(newState(), live)
		grants := fill(t, d)
		time.AfterFunc(30*time.Millisecond, func() {
			d.Release(grants[0], sycamorevane.Outcome{Kind: sycamorevane.OutcomeOK, Latency: time.Millisecond})
		})
		_, err := d.Acquire(context.Background(), sycamorevane.Request{Service: "s", Deadline: time.Now().Add(2 * time.Second)})
		require.NoError(t, err)
	})
	t.Run("but not until its deadline", func(t *testing.T) {
		d := newTestDispatcher(newState(), live)
		fill(t, d)
		began := time.Now()
		_, err := d.Acquire(context.Background(), sycamorevane.Request{Service: "s", Deadline: began.Add(2 * time.Second), SoftDeadline: began.Add(time.Second)})
		expectRefused(t, err)
		require.Less(t, time.Since(began), time.Second)
	})
	t.Run("a caller that leaves leaves the queue", func(t *testing.T) {
		d := newTestDispatcher(newState(), live)
		fill(t, d)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		_, err := d.Acquire(ctx, sycamorevane.Request{Service: "s", Deadline: time.Now().Add(time.Minute)})
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Empty(t, d.queue["s"])
	})
}

// Guards against late requests that take the room of those that can still be in time, and against a less urgent kind
// that goes before a more urgent one.
func TestOrderOfTheQueue(t *testing.T) {
	live := entry("x", "a", "v1")
	live.ReportedAt = time.Now()
	d := newTestDispatcher(newState(), live)
	now := time.Now()
	var order []string
	add := func(name string, priority int, aim time.Duration) *waiter {
		w := &waiter{got: make(chan placement, 1), req: &sycamorevane.Request{
			Service: "s", Route: name, Priority: priority, SoftDeadline: now.Add(aim), Deadline: now.Add(time.Minute),
		}}
		d.enqueue(w)
		return w
	}
	waiters := map[string]*waiter{
		"late":        add("late", 1, -time.Second),
		"less urgent": add("less urgent", 2, time.Second),
		"urgent":      add("urgent", 1, time.Second),
	}
	s := d.core.byID["x"]
	held := []uint64{d.core.start(now, s), d.core.start(now, s), d.core.start(now, s)}
	for ; len(held) > 0; held = held[1:] {
		d.core.finish(now, "s", "x", held[0], sycamorevane.Outcome{Kind: sycamorevane.OutcomeCancelled})
		d.serve(now, "s")
		for name, w := range waiters {
			select {
			case p := <-w.got:
				order = append(order, name)
				held = append(held, p.grant.ID)
			default:
			}
		}
	}
	require.Equal(t, []string{"urgent", "less urgent", "late"}, order)
}

// Guards against requests that are late in any case and take the room of those that can be in time, which may come to other
// entries.
func TestLateRequestsLeaveRoomToOthers(t *testing.T) {
	late := func() *sycamorevane.Request {
		a := newRequest()
		a.SoftDeadline, a.Deadline = start.Add(-time.Second), start.Add(time.Minute)
		return a
	}
	cases := map[string]struct {
		crowded time.Time
		ask     *sycamorevane.Request
		want    int
	}{
		"late while others find room":  {time.Time{}, late(), 3},
		"late while others find none":  {start, late(), 1},
		"late long after":              {start.Add(-2 * crowdedLife), late(), 3},
		"in time":                      {start, &sycamorevane.Request{Service: "s", Route: "r", SoftDeadline: start.Add(time.Second)}, 3},
		"of a caller that has no aims": {start, newRequest(), 3},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := newTestCore(entry("x", "a", "v1"))
			c.pool("s").crowded = tc.crowded
			n := 0
			for got := c.pick(newView(start), tc.ask); got.server != nil; got = c.pick(newView(start), tc.ask) {
				c.start(start, got.server)
				n++
			}
			require.Equal(t, tc.want, n, "of a room for 3")
		})
	}
	t.Run("others have found none", func(t *testing.T) {
		live := entry("x", "a", "v1")
		live.ReportedAt = time.Now()
		d := newTestDispatcher(newState(), live)
		now := time.Now()
		for range 3 {
			d.core.start(now, d.core.byID["x"])
		}
		wait := func(aim, waited time.Duration) {
			w := &waiter{got: make(chan placement, 1), req: &sycamorevane.Request{
				Service: "s", Route: "r", SoftDeadline: now.Add(aim), Deadline: now.Add(time.Minute),
			}}
			d.enqueue(w)
			w.since = now.Add(-waited)
			d.serve(now, "s")
		}
		wait(-time.Second, time.Second)
		require.Zero(t, d.core.pool("s").crowded, "late ones do not count")
		wait(time.Second, crowdedAfter/2)
		require.Zero(t, d.core.pool("s").crowded, "a short wait does not count")
		wait(time.Second, crowdedAfter)
		require.Equal(t, now, d.core.pool("s").crowded)
	})
}

// Guards against probes that grow with the number of entries.
func TestProbesOverAllEntries(t *testing.T) {
	const perDC, dcs = 40, 3
	live := entry("x", "a", "v1")
	st := newState()
	st.Config.DCs = []string{"a", "b", "c"}
	began := time.Now()
	askers, n := 0, 0
	var d *Dispatcher
	for rank := range perDC {
		d = newTestDispatcher(st, live)
		d.cfg.EntryRank = func() (int, int) { return rank, perDC * dcs }
		own := 0
		for ms := 0; ms < 10_000; ms += 5 {
			now := began.Add(time.Duration(ms) * time.Millisecond)
			d.core.pool("s").asked = now
			if len(d.DueProbes(now)) > 0 {
				own++
				d.HandleProbeResult(now, "x", ProbeResult{Answered: true, Load: &sycamorevane.LoadReport{Slots: 4}, ColdRemaining: -1})
			}
		}
		n += own
		if own > 0 {
			askers++
		}
	}
	require.Equal(t, homeEntries, askers)
	require.Greater(t, n, 10*10, "its load changes several times a second")
	require.LessOrEqual(t, float64(n)/10, 60.0, "the users' bound")
	t.Run("an entry that callers are not sent to asks nobody", func(t *testing.T) {
		d.cfg.EntryRank = func() (int, int) { return perDC * dcs, perDC * dcs }
		d.core.pool("s").asked = began
		require.Empty(t, d.DueProbes(began))
	})
}

func TestProbes(t *testing.T) {
	live, far := entry("x", "a", "v1"), entry("y", "b", "v1")
	d := newTestDispatcher(newState(), live, far)
	now := time.Now()
	require.Empty(t, d.DueProbes(now), "no request has come for the service")
	_, err := d.Acquire(context.Background(), sycamorevane.Request{Service: "s", Deadline: now.Add(time.Second)})
	require.NoError(t, err)
	list := d.DueProbes(time.Now())
	require.Len(t, list, 1, "only the own data centre is asked")
	require.Equal(t, "/health", list[0].Path)
	require.Empty(t, d.DueProbes(time.Now()), "one probe at a time")
	d.HandleProbeResult(time.Now(), "x", ProbeResult{Answered: true, Load: &sycamorevane.LoadReport{Running: 1, Slots: 4, Slowdown: 4}, ColdRemaining: 2 * time.Second})
	require.Equal(t, 4.0, d.core.byID["x"].slowdown)
	require.True(t, d.core.byID["x"].entry.ColdUntil.After(time.Now()))
	for range probeMisses {
		d.HandleProbeResult(time.Now(), "x", ProbeResult{})
	}
	require.True(t, d.core.byID["x"].pausedAt(time.Now()), "a server that does not answer is left alone")
	d.HandleProbeResult(time.Now(), "x", ProbeResult{Answered: true, AddressReused: true, ColdRemaining: -1})
	require.True(t, d.core.byID["x"].addressReused)
}
