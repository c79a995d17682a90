package cataloger

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
)

// namedServices is a configuration that tests change.
type namedServices struct {
	mu    sync.Mutex
	names sycamorevane.Set[string]
}

func (n *namedServices) has(service string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.names.Has(service)
}

func (n *namedServices) add(service string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names.Add(service)
}

func newParkingCatalog(t *testing.T, services ...string) (*ControlCatalog, *namedServices) {
	t.Helper()
	named := &namedServices{names: sycamorevane.NewSet(services...)}
	c := NewControlCatalog(ControlCatalogConfig{
		Transport: newFakeTransports("c1")["c1"], Epoch: 1, ReportInterval: time.Second, Log: logr.Discard(),
		ControlHosts: func() []string { return nil }, FollowingEntries: func() []string { return nil },
		IsLeader: func() bool { return true }, HasLeaderContact: func() bool { return true }, NamesService: named.has,
		EndCommitted: func(context.Context, string) bool { return false },
		CommitEnd:    func(context.Context, []string) error { return nil },
		OnRemoved:    func([]string) {},
	})
	c.Start()
	t.Cleanup(c.Close)
	return c, named
}

func serverReport(id, service, addr string, startedAt int64) Report {
	return Report{
		Server:    sycamorevane.Server{ID: id, InstanceName: id, Service: service, Addr: addr, Slots: 4},
		StartedAt: startedAt, Sequence: 1,
	}
}

func requireUsable(t *testing.T, c *ControlCatalog, id string) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	rec, ok := c.catalog.Get(id)
	require.True(t, ok, id)
	require.False(t, rec.Leaving(), id)
}

func countServers(c *ControlCatalog) int { return len(c.All()) }

// Guards against a report for a service that the configuration does not name, which ended the server at its address.
func TestReportsOfUnknownServices(t *testing.T) {
	ctx := context.Background()
	t.Run("a server keeps its address", func(t *testing.T) {
		c, _ := newParkingCatalog(t, "board")
		require.NoError(t, c.Report(ctx, serverReport("x", "board", "10.0.0.1:80", 1)))
		require.NoError(t, c.Report(ctx, serverReport("agent", "telemetry", "10.0.0.1:80", 2)))
		requireUsable(t, c, "x")
		require.Equal(t, 1, countServers(c))
	})
	t.Run("a server keeps its service", func(t *testing.T) {
		c, _ := newParkingCatalog(t, "board")
		require.NoError(t, c.Report(ctx, serverReport("x", "board", "10.0.0.1:80", 1)))
		odd := serverReport("x", "telemetry", "10.0.0.2:80", 1)
		odd.Sequence = 9
		require.NoError(t, c.Report(ctx, odd))
		rec, _ := c.FindByInstanceName("x")
		require.Equal(t, "board", rec.Server.Service)
	})
	t.Run("a server that is known reports before the configuration is known", func(t *testing.T) {
		c, named := newParkingCatalog(t, "board")
		require.NoError(t, c.Report(ctx, serverReport("x", "board", "10.0.0.1:80", 1)))
		named.mu.Lock()
		named.names = sycamorevane.NewSet[string]()
		named.mu.Unlock()
		again := serverReport("x", "board", "10.0.0.1:80", 1)
		again.Sequence = 2
		require.NoError(t, c.Report(ctx, again))
		rec, _ := c.FindByInstanceName("x")
		require.Equal(t, uint64(2), rec.Sequence)
	})
	t.Run("a server is added once the configuration names its service", func(t *testing.T) {
		c, named := newParkingCatalog(t)
		require.NoError(t, c.Report(ctx, serverReport("x", "board", "10.0.0.1:80", 1)))
		require.Zero(t, countServers(c))
		named.add("board")
		require.Eventually(t, func() bool { return countServers(c) == 1 }, time.Second, time.Millisecond)
		requireUsable(t, c, "x")
	})
	t.Run("reports that are kept have a limit and an end", func(t *testing.T) {
		c, _ := newParkingCatalog(t)
		for i := range maxParked + 10 {
			require.NoError(t, c.Report(ctx, serverReport("x"+strconv.Itoa(i), "board", "10.0.0.1:80", 1)))
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		require.Len(t, c.parked, maxParked)
		c.mergeParked(time.Now().Add(c.lease() + time.Second))
		require.Empty(t, c.parked)
	})
}
