package cataloger

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

// fakeTransport delivers messages between the hosts of a test synchronously. A host with dropped set receives none.
type fakeTransport struct {
	mu       sync.Mutex
	self     string
	hosts    map[string]*fakeTransport
	handlers map[uint32]sycamorevane.Handler
	dropped  bool
}

func newFakeTransports(names ...string) map[string]*fakeTransport {
	hosts := make(map[string]*fakeTransport)
	for _, name := range names {
		hosts[name] = &fakeTransport{self: name, hosts: hosts, handlers: make(map[uint32]sycamorevane.Handler)}
	}
	return hosts
}

func (f *fakeTransport) target(to string, m proto.Message) sycamorevane.Handler {
	h := f.hosts[to]
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dropped {
		return nil
	}
	return h.handlers[encoder.Kind(m)]
}

func (f *fakeTransport) drop(dropped bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropped = dropped
}

func (f *fakeTransport) Send(to string, m proto.Message) error {
	if h := f.target(to, m); h != nil {
		h(f.self, m)
	}
	return nil
}

func (f *fakeTransport) Call(_ context.Context, to string, m proto.Message) (proto.Message, error) {
	if h := f.target(to, m); h != nil {
		return h(f.self, m), nil
	}
	return nil, &sycamorevane.UnreachableError{Peer: to}
}

func (f *fakeTransport) Handle(m proto.Message, h sycamorevane.Handler) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handlers[encoder.Kind(m)] = h
}
func (f *fakeTransport) Peers() []sycamorevane.Peer { return nil }
func (f *fakeTransport) Self() string               { return f.self }

// startControlCatalog runs a ControlCatalog. leader points to the name of the control leader and is guarded by mu. The
// returned map holds the ids whose end is committed.
func startControlCatalog(
	t *testing.T, transport *fakeTransport, others []string, leader *string, mu *sync.Mutex,
) (*ControlCatalog, map[string]bool) {
	t.Helper()
	committed := make(map[string]bool)
	isLeader := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return *leader == transport.self
	}
	c := NewControlCatalog(ControlCatalogConfig{
		Transport: transport, ReportInterval: time.Second, Log: logr.Discard(),
		Epoch: map[string]uint64{"c1": 1, "c2": 2}[transport.self], ControlHosts: func() []string { return others },
		FollowingEntries: func() []string {
			if !isLeader() {
				return nil // In these tests the entry follows the leader.
			}
			return []string{"entry"}
		},
		IsLeader: isLeader,
		HasLeaderContact: func() bool {
			mu.Lock()
			defer mu.Unlock()
			return *leader != ""
		},
		EndCommitted: func(_ context.Context, id string) bool { return committed[id] },
		CommitEnd: func(_ context.Context, ids []string) error {
			if ids[0] == "refused" {
				return errors.New("no quorum")
			}
			committed[ids[0]] = true
			return nil
		},
		OnRemoved: func([]string) {},
	})
	c.Start()
	t.Cleanup(c.Close)
	return c, committed
}

// Guards against an entry that has no servers after a restart of all hosts until it has a session with the leader: any
// control host can send it a catalog.
func TestEntryWithoutServersAsksAnyControlHost(t *testing.T) {
	transports := newFakeTransports("c1", "c2", "entry")
	var mu sync.Mutex
	leader := "c1"
	first, _ := startControlCatalog(t, transports["c1"], nil, &leader, &mu)
	second, _ := startControlCatalog(t, transports["c2"], nil, &leader, &mu)
	f := NewFollower(FollowerConfig{Transport: transports["entry"], OnChange: func() {}, Log: logr.Discard()})
	t.Cleanup(f.Close)
	transports["entry"].drop(true) // The entry receives no push from the leader.
	ctx := context.Background()
	require.NoError(t, second.Report(ctx, report("x", "1", 1, 1)))
	f.HandleRevision("c2", 0, 0)
	require.Eventually(t, func() bool { return len(f.All()) == 1 }, time.Second, time.Millisecond)
	require.NoError(t, second.Report(ctx, report("y", "2", 1, 1)))
	f.HandleRevision("c2", 0, 0)
	time.Sleep(20 * time.Millisecond)
	require.Len(t, f.All(), 1, "an entry that knows servers does not fetch a catalog without an epoch")
	require.NoError(t, first.Report(ctx, report("z", "3", 1, 1)))
	require.Eventually(t, func() bool {
		epoch, revision := first.Revision()
		f.HandleRevision("c1", epoch, revision)
		return len(f.All()) == 2
	}, 2*time.Second, time.Millisecond, "the leader's catalog is merged after one without an epoch")
}

// Guards against servers that report to one control host but stay unknown to the entries, including after a change of
// the leader and for an entry that missed a push.
func TestReportsReachEntries(t *testing.T) {
	transports := newFakeTransports("c1", "c2", "entry")
	var mu sync.Mutex
	leader := "c1"
	first, _ := startControlCatalog(t, transports["c1"], []string{"c2"}, &leader, &mu)
	second, _ := startControlCatalog(t, transports["c2"], []string{"c1"}, &leader, &mu)
	f := NewFollower(FollowerConfig{Transport: transports["entry"], OnChange: func() {}, Log: logr.Discard()})
	t.Cleanup(f.Close)
	ctx := context.Background()
	expectKnown := func(want ...string) {
		t.Helper()
		require.Eventually(t, func() bool {
			var got []string
			for _, rec := range f.All() {
				got = append(got, rec.Server.ID)
			}
			return len(got) == len(want)
		}, 2*time.Second, 5*time.Millisecond)
	}
	announce := func(c *ControlCatalog, from string) {
		epoch, revision := c.Revision()
		f.HandleRevision(from, epoch, revision)
	}
	require.NoError(t, second.Report(ctx, report("a", "1", 1, 1)))
	require.Eventually(t, func() bool { announce(first, "c1"); return len(f.All()) == 1 }, 2*time.Second, 20*time.Millisecond)
	transports["entry"].drop(true)
	require.NoError(t, first.Report(ctx, report("b", "2", 1, 1)))
	time.Sleep(3 * flushInterval)
	transports["entry"].drop(false)
	require.NoError(t, first.Report(ctx, report("c", "3", 1, 1)))
	expectKnown("a", "b", "c")
	mu.Lock()
	leader = "c2"
	mu.Unlock()
	require.NoError(t, first.Report(ctx, report("d", "4", 1, 1)))
	require.Eventually(t, func() bool { announce(second, "c2"); return len(f.All()) == 4 }, 2*time.Second, 20*time.Millisecond)
}

func TestAcknowledgement(t *testing.T) {
	transports := newFakeTransports("c1", "entry")
	var mu sync.Mutex
	leader := "c1"
	c, committed := startControlCatalog(t, transports["c1"], nil, &leader, &mu)
	ctx := context.Background()
	t.Run("a leaving server is acknowledged when its end is committed", func(t *testing.T) {
		r := report("s", "1", 1, 2)
		r.Draining = true
		require.NoError(t, c.Report(ctx, r))
		require.True(t, committed["s"])
	})
	t.Run("and not when it cannot be committed", func(t *testing.T) {
		r := report("refused", "2", 1, 2)
		r.Ended = true
		require.Error(t, c.Report(ctx, r))
	})
	t.Run("the latest start is found by its name", func(t *testing.T) {
		old, later := report("x@1", "3", 1, 1), report("x@2", "3", 2, 1)
		old.Server.InstanceName, later.Server.InstanceName = "x", "x"
		require.NoError(t, c.Report(ctx, old))
		require.NoError(t, c.Report(ctx, later))
		rec, ok := c.FindByInstanceName("x")
		require.True(t, ok)
		require.Equal(t, "x@2", rec.Server.ID)
	})
	t.Run("a host that is cut off refuses reports", func(t *testing.T) {
		mu.Lock()
		leader = ""
		mu.Unlock()
		var unavailable *UnavailableError
		require.ErrorAs(t, c.Report(ctx, report("s2", "9", 1, 1)), &unavailable)
	})
}
