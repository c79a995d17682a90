package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// load is a load report of a server with three slots.
func load(running int, slowdown float64) *sycamorevane.LoadReport {
	return &sycamorevane.LoadReport{Running: running, Slots: 3, Slowdown: slowdown}
}

// newPool returns a pool of n servers with three slots, of which two are used, that have just reported that they are
// idle.
func newPool(n int) *Core {
	c := New(Config{Rand: rand.New(rand.NewPCG(1, 2))})
	servers := make([]Server, n)
	for i := range servers {
		servers[i] = Server{ID: fmt.Sprintf("s%d", i), Slots: 3, Usable: true}
	}
	c.Update(start, servers)
	for _, s := range servers {
		c.Report(start, s.ID, load(0, 1))
	}
	return c
}

func key(id uint64) Key { return Key{Entry: "e1", ID: id} }

// ask is a request of the given work whose caller has the given time left.
func ask(id uint64, now time.Time, work, left time.Duration) Ask {
	return Ask{Key: key(id), Route: work.String(), Work: work, Deadline: now.Add(left)}
}

// lookup is a request of the most urgent kind of census.
func lookup(id uint64, now time.Time) Ask {
	return ask(id, now, 160*time.Millisecond, 4*time.Second)
}

// filledPool returns a pool of one server both of whose places are taken by the requests 1000 and 1001.
func filledPool(t *testing.T) *Core {
	t.Helper()
	c := newPool(1)
	for id := range uint64(2) {
		require.Len(t, c.Ask(start, lookup(1000+id, start)), 1)
	}
	return c
}

func finish(c *Core, now time.Time, id uint64, running int) []Decision {
	return c.Finish(now, Finish{Key: key(id), Server: "s0", Load: load(running, 1)})
}

func grantedIDs(decisions []Decision) (ids []uint64) {
	for _, d := range decisions {
		if d.Server != "" {
			ids = append(ids, d.ID)
		}
	}
	return ids
}

// Guards against a pool that sends more requests to its servers than they run at full speed, or leaves room unused.
func TestGrantsUpToTheKnee(t *testing.T) {
	c := newPool(4)
	perServer, servers := make(map[string]int), make(map[Key]string)
	for i := range uint64(20) {
		for _, d := range c.Ask(start, lookup(i, start)) {
			require.NotEmpty(t, d.Server)
			perServer[d.Server]++
			servers[d.Key] = d.Server
		}
	}
	require.Equal(t, map[string]int{"s0": 2, "s1": 2, "s2": 2, "s3": 2}, perServer)
	require.Equal(t, 12, c.Summary(start).Waiting)
	decisions := c.Finish(at(1), Finish{Key: key(0), Server: servers[key(0)], Load: load(2, 1)})
	require.Len(t, decisions, 1)
	require.Equal(t, servers[key(0)], decisions[0].Server)
}

// Guards against servers of two slots that are used half during congestion, although their second slot adds more
// throughput than its slowdown costs.
func TestCongestedPoolUsesAllOfTwoSlots(t *testing.T) {
	c := New(Config{})
	c.Update(start, []Server{{ID: "s0", Slots: 2, Usable: true}})
	c.Report(start, "s0", load(0, 1))
	c.Ask(start, lookup(1, start))
	require.Empty(t, c.Ask(start, lookup(2, start)))
	c.Tick(at(45))
	c.Report(at(50), "s0", load(1, 1))
	require.Equal(t, 2, c.Summary(at(50)).Running)
}

// Guards against each rule of the order of requests: the second one is served first when room comes, with the load of
// census.
func TestOrder(t *testing.T) {
	second := func(change func(*Ask)) []Ask {
		a, b := lookup(1, start), lookup(2, start)
		a.Priority, b.Priority = 1, 1
		change(&b)
		return []Ask{a, b}
	}
	for name, asks := range map[string][]Ask{
		"more urgent":           second(func(a *Ask) { a.Priority = 0 }),
		"less time left":        {lookup(1, start), ask(2, start, 160*time.Millisecond, time.Second)},
		"more work left":        {lookup(1, start), ask(2, start, 640*time.Millisecond, 4*time.Second)},
		"urgent but only later": {func() Ask { a := lookup(1, start); a.Priority = 2; return a }(), func() Ask { a := lookup(2, start); a.Priority = 1; return a }()},
	} {
		t.Run(name, func(t *testing.T) {
			c := filledPool(t)
			for _, a := range asks {
				require.Empty(t, grantedIDs(c.Ask(start, a)))
			}
			require.Equal(t, []uint64{2}, grantedIDs(finish(c, at(10), 1000, 2)))
		})
	}
}

// Guards against a workspace with many requests that keeps others of its priority waiting.
func TestWorkspacesInTurn(t *testing.T) {
	c := filledPool(t)
	for id := range uint64(20) {
		a := lookup(id, start)
		a.Workspace = "large"
		c.Ask(start, a)
	}
	for id := range uint64(4) {
		a := lookup(100+id, at(1))
		a.Workspace = "small"
		c.Ask(at(1), a)
	}
	running, small := []uint64{1000, 1001}, 0
	for i := range 8 {
		for _, id := range grantedIDs(finish(c, at(2+i), running[0], 2)) {
			running = append(running, id)
			if id >= 100 {
				small++
			}
		}
		running = running[1:]
	}
	require.Equal(t, 4, small)
}

// Guards against callers that wait for an answer although it is known that they cannot be served, and against callers
// that all return at the same time or later than they are willing to.
func TestRejectsAtOnce(t *testing.T) {
	c := newPool(2)
	var returns []time.Duration
	for i := range uint64(2000) {
		now := start.Add(time.Duration(i) * time.Millisecond)
		for _, d := range append(c.Ask(now, lookup(i, now)), c.Tick(now)...) {
			if d.Server == "" && d.ID == i {
				returns = append(returns, d.RetryAfter)
			}
		}
	}
	require.Greater(t, len(returns), 1000, "rejected in the call")
	distinct := sycamorevane.NewSet[time.Duration]()
	for _, r := range returns {
		require.Greater(t, r, 20*time.Millisecond)
		require.LessOrEqual(t, r, 4*time.Second/3)
		distinct.Add(r.Round(10 * time.Millisecond))
	}
	require.Greater(t, len(distinct), 10)
}

// Guards against requests that wait for a server although there is none, or until after their deadline.
func TestRejectsWhatCannotBeFinished(t *testing.T) {
	c := newPool(1)
	past := lookup(1, start)
	past.Deadline = at(100)
	require.Equal(t, "deadline cannot be met", c.Ask(start, past)[0].Reason)
	c.Update(start, []Server{{ID: "s0", Slots: 3}})
	require.Equal(t, ReasonNoServer, c.Ask(start, lookup(2, start))[0].Reason)
	c.Update(start, nil)
	require.Equal(t, ReasonNoServer, c.Ask(start, lookup(3, start))[0].Reason)
}

// Guards against requests that start on a slow host, where they would be late and take a slot four times as long, while
// there is time to wait for a fast one.
func TestWaitsForAFastHost(t *testing.T) {
	c := newPool(2)
	c.Report(start, "s0", load(0, 4))
	c.Report(start, "s1", load(0, 4))
	require.Empty(t, c.Ask(start, lookup(1, start)))
	require.Empty(t, c.Tick(at(50)))
	require.NotEmpty(t, c.DueProbes(at(50)))
	decisions := c.Report(at(60), "s1", load(0, 1))
	require.Len(t, decisions, 1)
	require.Equal(t, "s1", decisions[0].Server)
}

// Guards against a request that waits for a fast host until it is late although it would be in time on a slow one.
func TestUsesASlowHostInTime(t *testing.T) {
	c := newPool(1)
	c.Report(start, "s0", load(0, 4))
	history := ask(1, start, 640*time.Millisecond, 4*time.Second)
	c.Ask(start, history)
	for ms := 0; ms < 1000; ms += 5 {
		c.Report(at(ms), "s0", load(0, 4))
		if d := c.Tick(at(ms)); len(d) > 0 || c.Summary(at(ms)).Running > 0 {
			return
		}
	}
	t.Fatal("not granted while it could be in time")
}

// Guards against probes that help no request, and against more than 8 probes of a server in a second.
func TestProbes(t *testing.T) {
	c := newPool(3)
	require.Empty(t, c.DueProbes(at(500)), "nothing waits")
	probes := 0
	for ms := range 10_000 {
		now := at(500 + ms)
		if ms%100 == 0 {
			c.Ask(now, lookup(uint64(ms), now))
		}
		due := c.DueProbes(now)
		require.LessOrEqual(t, len(due), c.Summary(now).Waiting)
		for _, id := range due {
			probes++
			c.Report(now, id, load(0, 4))
		}
		c.Tick(now)
	}
	require.Positive(t, probes)
	require.LessOrEqual(t, probes, 3*(10*probesPerSecond+probeBurst))
}

// Guards against a server that gets as many requests as at the time when it rejected one or reset the connection, and
// against one that never gets that many again.
func TestLearnsTheEdge(t *testing.T) {
	for _, kind := range []sycamorevane.OutcomeKind{sycamorevane.OutcomeShed, sycamorevane.OutcomeIncomplete} {
		c := filledPool(t)
		c.Finish(start, Finish{Key: key(1000), Server: "s0", Kind: kind})
		for _, test := range []struct{ ms, room int }{{1000, 0}, {4000, 1}} {
			c.Report(at(test.ms), "s0", load(1, 1))
			require.Equal(t, test.room, c.Summary(at(test.ms)).Room, "%v after %d ms", kind, test.ms)
		}
	}
}

// Guards against a pool that loses its room when its servers reject a part of their requests although they have free slots.
func TestKeepsRoomOfServersThatRejectBelowCapacity(t *testing.T) {
	c := filledPool(t)
	c.Finish(start, Finish{Key: key(1000), Server: "s0", Kind: sycamorevane.OutcomeShed, Load: load(1, 1)})
	require.Equal(t, 1, c.Summary(at(10)).Room)
}

// Guards against an entry that is cut off from all servers and takes them from the other entries.
func TestOneEntryPausesFewServers(t *testing.T) {
	c := newPool(10)
	for i := range 10 {
		server := fmt.Sprint("s", i)
		c.Report(start, server, load(0, 1))
		c.Finish(start, Finish{Key: Key{Entry: "cut off", ID: uint64(i)}, Server: server, Kind: sycamorevane.OutcomeConnectFailed})
	}
	require.Equal(t, 10-maxBlamed, c.Summary(start).Servers)
}

// Guards against a server that gets requests while it fails: two incomplete responses, a failed connection, two probes
// without an answer.
func TestPausesFailingServers(t *testing.T) {
	for name, fail := range map[string]func(*Core){
		"connection": func(c *Core) {
			c.Finish(start, Finish{Key: key(1000), Server: "s0", Kind: sycamorevane.OutcomeConnectFailed})
		},
		"incomplete": func(c *Core) {
			c.Finish(start, Finish{Key: key(1000), Server: "s0", Kind: sycamorevane.OutcomeIncomplete})
			c.Finish(start, Finish{Key: key(1001), Server: "s0", Kind: sycamorevane.OutcomeIncomplete})
		},
		"probe": func(c *Core) {
			c.Report(start, "s0", nil)
			c.Report(start, "s0", nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := filledPool(t)
			fail(c)
			require.Zero(t, c.Summary(at(400)).Servers)
			require.Equal(t, 1, c.Summary(at(1100)).Servers)
		})
	}
}

// Guards against a request that is sent again to a server on which it has failed.
func TestExcludedServers(t *testing.T) {
	c := newPool(2)
	a := lookup(1, start)
	a.ExcludedServers = []string{"s0"}
	require.Equal(t, "s1", c.Ask(start, a)[0].Server)
}

// Guards against a new pool that overloads servers because it does not know what was running before.
func TestNewPoolCountsRunningRequests(t *testing.T) {
	c := newPool(1)
	for id := range uint64(2) {
		c.Start(start, Start{Key: Key{Entry: "e2", ID: id}, Server: "s0", Work: 100 * time.Millisecond, At: at(-50)})
	}
	require.Empty(t, c.Ask(start, lookup(1, start)))
	c = New(Config{})
	c.Start(start, Start{Key: key(1), Server: "s0", At: start})
	c.Update(start, []Server{{ID: "s0", Slots: 1, Usable: true}})
	require.Empty(t, c.Ask(start, lookup(2, start)), "reported before the server was known")
}

// Guards against requests that an entry has placed itself or withdrawn and that still wait or count on a server.
func TestEntryPlacesByItsOwnView(t *testing.T) {
	c := filledPool(t)
	c.Ask(start, lookup(1, start))
	c.Start(at(40), Start{Key: key(1), Server: "s0", At: at(40)})
	require.Zero(t, c.Summary(at(40)).Waiting)
	require.Equal(t, 3, c.Summary(at(40)).Running)
	c.Start(at(41), Start{Key: key(1000), Server: "s1", At: at(41)}) // It has used another server than the granted one.
	c.Cancel(at(41), key(1001))
	c.Cancel(at(41), key(77))
	require.Equal(t, 2, c.Summary(at(41)).Running)
	require.Equal(t, 1, c.Summary(at(41)).Room)
	require.Empty(t, c.Ask(at(41), Ask{Key: key(1)}), "a known key is ignored")
	require.Zero(t, c.Summary(at(41)).Waiting)
}

// Guards against slots that stay taken after an entry has died, and against ones that are granted at once although its
// requests still run.
func TestDeadEntry(t *testing.T) {
	c := newPool(1)
	c.Ask(start, lookup(1, start))
	c.Ask(start, ask(2, start, time.Minute, time.Hour))
	c.Ask(start, lookup(3, start))
	c.ForgetEntry(at(20), "e1")
	require.Zero(t, c.Summary(at(20)).Waiting)
	require.Zero(t, c.Summary(at(150)).Room)
	for _, test := range []struct{ ms, room int }{{300, 1}, {2200, 2}} {
		c.Tick(at(test.ms))
		require.Equal(t, test.room, c.Summary(at(test.ms)).Room, "after %d ms", test.ms)
	}
}

// Guards against requests that no longer count although their entry has opened a new session and reported them again.
func TestEntryReturns(t *testing.T) {
	c := newPool(1)
	c.Ask(start, lookup(1, start))
	c.ForgetEntry(at(20), "e1")
	c.Start(at(30), Start{Key: key(1), Server: "s0", At: start})
	c.Tick(at(3000))
	require.Equal(t, 1, c.Summary(at(3000)).Running)
	finish(c, at(3010), 1, 1)
	require.Zero(t, c.Summary(at(3010)).Running)
}

// Guards against counts that drift, keys that are decided twice, and servers above their limit in any order of events.
func TestRandomEvents(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 3))
		c := newPool(5)
		granted, decided := make(map[Key]string), make(map[Key]bool)
		var id uint64
		now := start
		note := func(decisions []Decision) {
			for _, d := range decisions {
				require.False(t, decided[d.Key], "decided twice")
				decided[d.Key] = true
				if d.Server != "" {
					granted[d.Key] = d.Server
				}
			}
		}
		for range 3000 {
			now = now.Add(time.Duration(r.IntN(4)) * time.Millisecond)
			switch r.IntN(6) {
			case 0, 1:
				id++
				a := lookup(id, now)
				a.Entry, a.Priority, a.Workspace = fmt.Sprintf("e%d", r.IntN(3)), r.IntN(3), fmt.Sprintf("w%d", r.IntN(3))
				note(c.Ask(now, a))
			case 2:
				for k, s := range granted {
					delete(granted, k)
					note(c.Finish(now, Finish{
						Key: k, Server: s, Route: "r", Kind: sycamorevane.OutcomeKind(r.IntN(7)), Latency: 200 * time.Millisecond,
						Load: load(r.IntN(3), float64(1+r.IntN(4))),
					}))
					break
				}
			case 3:
				note(c.Tick(now))
			case 4:
				for _, s := range c.DueProbes(now) {
					note(c.Report(now, s, load(r.IntN(3), float64(1+r.IntN(4)))))
				}
			case 5:
				note(c.Cancel(now, Key{Entry: fmt.Sprintf("e%d", r.IntN(3)), ID: uint64(r.IntN(int(id + 1)))}))
			}
			perServer := make(map[string]int)
			for _, run := range c.runs {
				perServer[run.server]++
			}
			require.Equal(t, len(c.waiting), c.queue.count)
			for _, s := range c.list {
				require.Equal(t, perServer[s.ID], s.running)
				require.LessOrEqual(t, s.running, 2)
			}
		}
	}
}

// BenchmarkAsk measures an ask, its end and a tick in the largest pool of census with 100 waiting requests.
func BenchmarkAsk(b *testing.B) {
	c := newPool(40)
	running := make([]Decision, 0, 200)
	now := start
	for i := range uint64(180) {
		running = append(running, c.Ask(now, ask(i, now, 160*time.Millisecond, time.Hour))...)
	}
	id := uint64(1000)
	b.ResetTimer()
	for range b.N {
		now = now.Add(3 * time.Millisecond)
		id++
		running = append(running, c.Ask(now, ask(id, now, 160*time.Millisecond, time.Hour))...)
		d := running[0]
		running = append(running[1:], c.Finish(now, Finish{Key: d.Key, Server: d.Server, Route: "r", Latency: 160 * time.Millisecond, Load: load(2, 1)})...)
		running = append(running, c.Tick(now)...)
		c.DueProbes(now)
	}
}
