package limiter

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/messenger"
	"sycamorevane.example/sycamorevane/placer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testService = "flagboard"

// cluster is a set of entries in one process that talk over loopback.
type cluster struct {
	t       *testing.T
	state   atomic.Pointer[sycamorevane.State]
	names   []string
	mesh    map[string]*messenger.Messenger
	entries map[string]*Limiter
	filter  sync.Map
	probe   func(context.Context, sycamorevane.Server) error
}

func newCluster(t *testing.T, dcs map[string]string, names ...string) *cluster {
	t.Helper()
	c := &cluster{t: t, names: names, mesh: make(map[string]*messenger.Messenger), entries: make(map[string]*Limiter)}
	all := make(sycamorevane.Set[string])
	for _, dc := range dcs {
		all.Add(dc)
	}
	c.state.Store(&sycamorevane.State{Version: 1, Config: sycamorevane.Config{
		DCs:      all.Sorted(),
		Services: []sycamorevane.Service{{Name: testService, MaxQueued: 64, Timeout: 2 * time.Second}},
	}})
	for _, name := range names {
		c.add(name, dcs[name])
	}
	for _, a := range names {
		for _, b := range names {
			c.mesh[a].Connect(b, dcs[b], c.mesh[b].Addr())
		}
	}
	for _, a := range names {
		require.Eventually(t, func() bool { return c.alive(a) == len(names)-1 }, 5*time.Second, 5*time.Millisecond)
	}
	return c
}

func (c *cluster) alive(name string) int {
	n := 0
	for _, p := range c.mesh[name].Peers() {
		if p.Alive {
			n++
		}
	}
	return n
}

func (c *cluster) add(name, dc string) {
	m, err := messenger.New(messenger.Config{
		Self: name, DC: dc, Roles: sycamorevane.NewSet(sycamorevane.RoleEntry), Listen: "127.0.0.1:0",
		Key: "a cluster key for tests", Log: logr.Discard(),
		Filter: func(peer string) bool {
			_, cut := c.filter.Load(name)
			_, link := c.filter.Load(name + "-" + peer)
			return !cut && !link
		},
	})
	require.NoError(c.t, err)
	l := New(Config{
		Self: name, DC: dc, Transport: m, State: c.state.Load, Log: logr.Discard(),
		Entries: func() []string { return c.names }, Probe: c.probe,
	})
	m.Start()
	l.Start()
	c.mesh[name], c.entries[name] = m, l
	c.t.Cleanup(func() { l.Close(); m.Close() })
}

func (c *cluster) setServers(dc string, list []sycamorevane.Server) {
	for _, l := range c.entries {
		if l.cfg.DC == dc {
			l.SetServers(list)
		}
	}
}

func (c *cluster) update(change func(s *sycamorevane.State)) {
	next := *c.state.Load()
	next.Version++
	change(&next)
	c.state.Store(&next)
	for _, l := range c.entries {
		l.StateChanged()
	}
}

func servers(dc, version string, n, slots int) []sycamorevane.Server {
	var list []sycamorevane.Server
	for i := range n {
		list = append(list, sycamorevane.Server{
			Service: testService, Version: version, ID: fmt.Sprintf("%s-%s-%d", dc, version, i),
			Addr: fmt.Sprintf("127.0.0.1:%d", 20000+i), DC: dc, Slots: slots, MaxConns: 240, State: sycamorevane.ServerReady,
		})
	}
	return list
}

func (c *cluster) acquire(entry string) (sycamorevane.Grant, error) {
	ctx, cancel := context.WithTimeout(c.t.Context(), 3*time.Second)
	defer cancel()
	return c.entries[entry].Acquire(ctx, sycamorevane.Request{Service: testService, Workspace: "north", Method: "GET"})
}

// expectServed waits until the entry gets slots.
func (c *cluster) expectServed(entry string) sycamorevane.Grant {
	c.t.Helper()
	var g sycamorevane.Grant
	require.Eventually(c.t, func() bool {
		var err error
		g, err = c.acquire(entry)
		if err == nil {
			c.entries[entry].Release(g, sycamorevane.Outcome{Kind: sycamorevane.OutcomeOK, Latency: 10 * time.Millisecond})
		}
		return err == nil
	}, 10*time.Second, 10*time.Millisecond, "entry %s gets no slot", entry)
	return g
}

// Guards against a driver that loses reports or loans, and against servers being loaded above their slots while
// several entries borrow from one owner.
func TestEntriesShareServers(t *testing.T) {
	dcs := map[string]string{"a": "dc-a", "b": "dc-a", "c": "dc-a"}
	c := newCluster(t, dcs, "a", "b", "c")
	c.setServers("dc-a", servers("dc-a", "v1", 3, 4))
	for _, name := range c.names {
		c.expectServed(name)
	}
	var mu sync.Mutex
	running, worst := make(map[string]int), 0
	var wg sync.WaitGroup
	var served, refused atomic.Int64
	for _, name := range c.names {
		for range 6 {
			wg.Go(func() {
				for range 40 {
					g, err := c.acquire(name)
					if err != nil {
						refused.Add(1)
						continue
					}
					mu.Lock()
					running[g.Server.ID]++
					worst = max(worst, running[g.Server.ID])
					mu.Unlock()
					time.Sleep(2 * time.Millisecond)
					mu.Lock()
					running[g.Server.ID]--
					mu.Unlock()
					c.entries[name].Release(g, sycamorevane.Outcome{Kind: sycamorevane.OutcomeOK, Latency: 2 * time.Millisecond})
					served.Add(1)
				}
			})
		}
	}
	wg.Wait()
	require.LessOrEqual(t, worst, 4)
	require.Zero(t, refused.Load())
	require.EqualValues(t, 3*6*40, served.Load())
}

// Guards against requests being tied to the own data centre when it has no servers.
func TestOtherDataCentreServes(t *testing.T) {
	dcs := map[string]string{"a": "dc-a", "b": "dc-b", "c": "dc-c"}
	c := newCluster(t, dcs, "a", "b", "c")
	c.setServers("dc-b", servers("dc-b", "v1", 2, 4))
	require.Equal(t, "dc-b", c.expectServed("a").Server.DC)
}

// Guards against requests that queue for the own data centre while another one has free slots.
func TestSpillBeforeQueueing(t *testing.T) {
	dcs := map[string]string{"a": "dc-a", "b": "dc-b", "c": "dc-c"}
	c := newCluster(t, dcs, "a", "b", "c")
	c.setServers("dc-a", servers("dc-a", "v1", 1, 1))
	c.setServers("dc-b", servers("dc-b", "v1", 4, 1))
	require.Eventually(t, func() bool { return c.expectServed("a").Server.DC == "dc-a" }, 5*time.Second, 5*time.Millisecond)
	require.Eventually(t, func() bool { return c.expectServed("b").Server.DC == "dc-b" }, 5*time.Second, 5*time.Millisecond)
	got := make(map[string]int)
	var held []sycamorevane.Grant
	for range 4 {
		began := time.Now()
		g, err := c.acquire("a")
		require.NoError(t, err)
		require.Less(t, time.Since(began), time.Second)
		got[g.Server.DC]++
		held = append(held, g)
	}
	require.Equal(t, map[string]int{"dc-a": 1, "dc-b": 3}, got)
	for _, g := range held {
		c.entries["a"].Release(g, sycamorevane.Outcome{Kind: sycamorevane.OutcomeOK, Latency: time.Millisecond})
	}
}

// Guards against new work in a drained data centre from slots leased before the drain.
func TestDrainedDataCentreGetsNoWork(t *testing.T) {
	dcs := map[string]string{"a": "dc-a", "b": "dc-b", "c": "dc-c"}
	c := newCluster(t, dcs, "a", "b", "c")
	c.setServers("dc-a", servers("dc-a", "v1", 2, 4))
	c.setServers("dc-b", servers("dc-b", "v1", 2, 4))
	require.Eventually(t, func() bool { return c.expectServed("a").Server.DC == "dc-a" }, 5*time.Second, 5*time.Millisecond)
	c.update(func(s *sycamorevane.State) { s.DrainedDCs = map[string]int64{"dc-a": 1} })
	for range 20 {
		require.Equal(t, "dc-b", c.expectServed("a").Server.DC)
	}
}

// Guards against refusals that are late or not of the promised type.
func TestUnknownServiceIsRefused(t *testing.T) {
	c := newCluster(t, map[string]string{"a": "dc-a"}, "a")
	_, err := c.entries["a"].Acquire(t.Context(), sycamorevane.Request{Service: "unknown"})
	var refused *sycamorevane.RefusedError
	require.True(t, errors.As(err, &refused))
	require.Positive(t, refused.RetryAfter)
}

func (c *cluster) ownerOf(dc string) string {
	var live []string
	for _, name := range c.names {
		if c.entries[name].cfg.DC == dc {
			live = append(live, name)
		}
	}
	return placer.PoolOwner(testService, dc, live)
}

func (c *cluster) owners(dc string) int {
	n := 0
	for _, l := range c.entries {
		for _, p := range l.Pools() {
			if p.DC == dc && !p.Rebuilding {
				n++
			}
		}
	}
	return n
}

// Guards against slots that are lent on both sides of a partition, and against a majority side without an owner.
func TestPartitionedOwnerStopsLending(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for the silence limit")
	}
	dcs := map[string]string{"a": "dc-a", "b": "dc-a", "c": "dc-a"}
	c := newCluster(t, dcs, "a", "b", "c")
	c.setServers("dc-a", servers("dc-a", "v1", 2, 4))
	for _, name := range c.names {
		c.expectServed(name)
	}
	old := c.ownerOf("dc-a")
	cut := time.Now()
	c.filter.Store(old, true)
	require.Eventually(t, func() bool { return len(c.entries[old].Pools()) == 0 }, 3*time.Second, 10*time.Millisecond)
	require.Less(t, time.Since(cut), 2*time.Second)
	for _, name := range c.names {
		if name != old {
			c.expectServed(name)
		}
	}
	require.Equal(t, 1, c.owners("dc-a"))
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err := c.entries[old].Acquire(ctx, sycamorevane.Request{Service: testService})
	require.Error(t, err)
	c.filter.Delete(old)
	c.expectServed(old)
}

// Guards against two owners, and against none, when only the link between two entries fails.
func TestFailedLinkLeavesOneOwner(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for the silence limit")
	}
	dcs := map[string]string{"a": "dc-a", "b": "dc-a", "c": "dc-a"}
	c := newCluster(t, dcs, "a", "b", "c")
	c.setServers("dc-a", servers("dc-a", "v1", 2, 4))
	for _, name := range c.names {
		c.expectServed(name)
	}
	old := c.ownerOf("dc-a")
	var rest []string
	for _, name := range c.names {
		if name != old {
			rest = append(rest, name)
		}
	}
	// The entry that would own the pool without the present owner loses its link to it.
	next := placer.PoolOwner(testService, "dc-a", rest)
	c.filter.Store(old+"-"+next, true)
	c.filter.Store(next+"-"+old, true)
	require.Eventually(t, func() bool { return c.alive(next) == 1 && c.alive(old) == 1 }, 5*time.Second, 10*time.Millisecond)
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		require.LessOrEqual(t, c.owners("dc-a"), 1)
	}
	require.Equal(t, 1, c.owners("dc-a"))
	c.expectServed(old)
	for _, name := range rest {
		if name != next {
			c.expectServed(name)
		}
	}
}

// Guards against an orderly stop that loses the ramp levels or leaves requests waiting.
func TestStoppedOwnerHandsOver(t *testing.T) {
	dcs := map[string]string{"a": "dc-a", "b": "dc-a", "c": "dc-a"}
	c := newCluster(t, dcs, "a", "b", "c")
	c.setServers("dc-a", servers("dc-a", "v1", 1, 2))
	for _, name := range c.names {
		c.expectServed(name)
	}
	old := c.ownerOf("dc-a")
	limit := func() float64 {
		for _, l := range c.entries {
			for _, p := range l.Pools() {
				if len(p.Servers) == 1 {
					return p.Servers[0].Limit
				}
			}
		}
		return 0
	}
	require.Eventually(t, func() bool { c.expectServed(c.names[0]); return limit() == 2 }, 10*time.Second, time.Millisecond)
	c.entries[old].Close()
	c.mesh[old].Close()
	_, err := c.acquire(old)
	var refused *sycamorevane.RefusedError
	require.True(t, errors.As(err, &refused))
	delete(c.entries, old)
	for name := range c.entries {
		c.expectServed(name)
	}
	require.InDelta(t, 2, limit(), 0)
}

// Guards against a slot that stays taken when the caller goes away while it waits.
func TestCallerGoneWhileWaiting(t *testing.T) {
	c := newCluster(t, map[string]string{"a": "dc-a"}, "a")
	c.setServers("dc-a", servers("dc-a", "v1", 1, 1))
	c.expectServed("a")
	held, err := c.acquire("a")
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = c.entries["a"].Acquire(ctx, sycamorevane.Request{Service: testService, Deadline: time.Now().Add(time.Second)})
	require.ErrorIs(t, err, context.DeadlineExceeded)
	c.entries["a"].Release(held, sycamorevane.Outcome{Kind: sycamorevane.OutcomeOK, Latency: time.Millisecond})
	c.expectServed("a")
}

// Guards against an entry that is cut off and holds waiting requests back until near their deadlines.
func TestWithdrawRefusesWaitingRequests(t *testing.T) {
	c := newCluster(t, map[string]string{"a": "dc-a"}, "a")
	c.setServers("dc-a", servers("dc-a", "v1", 1, 1))
	c.expectServed("a")
	held, err := c.acquire("a")
	require.NoError(t, err)
	l := c.entries["a"]
	done := make(chan error, 1)
	go func() {
		_, err := l.Acquire(t.Context(), sycamorevane.Request{Service: testService, Deadline: time.Now().Add(time.Minute)})
		done <- err
	}()
	require.Eventually(t, func() bool {
		l.Withdraw()
		select {
		case err = <-done:
			return true
		default:
			return false
		}
	}, 5*time.Second, 10*time.Millisecond)
	var refused *sycamorevane.RefusedError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, refusedCutOff, refused.Reason)
	l.Release(held, sycamorevane.Outcome{Kind: sycamorevane.OutcomeOK, Latency: time.Millisecond})
	c.expectServed("a")
}

// Guards against measurement requests to servers with recent answers and above the budget.
func TestProbesKeepToBudget(t *testing.T) {
	var probes atomic.Int64
	c := newCluster(t, map[string]string{"a": "dc-a", "b": "dc-a"})
	c.probe = func(context.Context, sycamorevane.Server) error {
		probes.Add(1)
		time.Sleep(5 * time.Millisecond)
		return nil
	}
	c.names = []string{"a"}
	c.add("a", "dc-a")
	c.update(func(s *sycamorevane.State) { s.Config.Services[0].ProbeRatio = 0.05 })
	c.setServers("dc-a", servers("dc-a", "v1", 2, 1))
	began := time.Now()
	require.Eventually(t, func() bool { return probes.Load() >= 2 }, 5*time.Second, 10*time.Millisecond)
	allowed := 2 * 0.05 * time.Since(began).Seconds() / 0.005
	require.LessOrEqual(t, float64(probes.Load()), allowed+1)
	require.Positive(t, c.entries["a"].Pools()[0].Probes)
}
