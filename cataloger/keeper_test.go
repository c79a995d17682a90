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

// wire hands messages between the hosts of a test at once; dropped hosts get none.
type wire struct {
	mu       sync.Mutex
	self     string
	hosts    map[string]*wire
	handlers map[uint32]sycamorevane.Handler
	dropped  bool
}

func newWires(names ...string) map[string]*wire {
	hosts := make(map[string]*wire)
	for _, name := range names {
		hosts[name] = &wire{self: name, hosts: hosts, handlers: make(map[uint32]sycamorevane.Handler)}
	}
	return hosts
}

func (w *wire) target(to string, m proto.Message) sycamorevane.Handler {
	h := w.hosts[to]
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dropped {
		return nil
	}
	return h.handlers[encoder.Kind(m)]
}

func (w *wire) drop(dropped bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped = dropped
}

func (w *wire) Send(to string, m proto.Message) error {
	if h := w.target(to, m); h != nil {
		h(w.self, m)
	}
	return nil
}

func (w *wire) Call(_ context.Context, to string, m proto.Message) (proto.Message, error) {
	if h := w.target(to, m); h != nil {
		return h(w.self, m), nil
	}
	return nil, &sycamorevane.UnreachableError{Peer: to}
}

func (w *wire) Handle(m proto.Message, h sycamorevane.Handler) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.handlers[encoder.Kind(m)] = h
}
func (w *wire) Peers() []sycamorevane.Peer { return nil }
func (w *wire) Self() string               { return w.self }

// keeperOn runs a keeper; leader names the leading host.
func keeperOn(t *testing.T, w *wire, others []string, leader *string, mu *sync.Mutex) (*ControlCatalog, map[string]bool) {
	t.Helper()
	committed := make(map[string]bool)
	leads := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return *leader == w.self
	}
	k := NewControlCatalog(ControlCatalogConfig{
		Transport: w, Interval: time.Second, Log: logr.Discard(),
		Epoch: map[string]uint64{"c1": 1, "c2": 2}[w.self], Controls: func() []string { return others },
		Entries: func() []string {
			if !leads() {
				return nil // The entry of the tests follows the leader.
			}
			return []string{"entry"}
		},
		IsLeader: leads,
		HasLeaderContact: func() bool {
			mu.Lock()
			defer mu.Unlock()
			return *leader != ""
		},
		EndCommitted: func(id string) bool { return committed[id] },
		CommitEnd: func(_ context.Context, ids []string) error {
			if ids[0] == "refused" {
				return errors.New("no quorum")
			}
			committed[ids[0]] = true
			return nil
		},
		OnRemoved: func([]string) {},
	})
	k.Start()
	t.Cleanup(k.Close)
	return k, committed
}

// Guards against an entry that serves nobody after a restart of all hosts, until it has a session with the leader.
func TestEntryWithoutServersAsksAnyControlHost(t *testing.T) {
	wires := newWires("c1", "c2", "entry")
	var mu sync.Mutex
	leader := "c1"
	first, _ := keeperOn(t, wires["c1"], nil, &leader, &mu)
	second, _ := keeperOn(t, wires["c2"], nil, &leader, &mu)
	f := NewFollower(FollowerConfig{Transport: wires["entry"], Changed: func() {}, Log: logr.Discard()})
	t.Cleanup(f.Close)
	wires["entry"].drop(true) // It gets no push of the leader.
	ctx := context.Background()
	require.NoError(t, second.Report(ctx, report("x", "1", 1, 1)))
	f.Announced("c2", 0, 0)
	require.Eventually(t, func() bool { return len(f.All()) == 1 }, time.Second, time.Millisecond)
	require.NoError(t, second.Report(ctx, report("y", "2", 1, 1)))
	f.Announced("c2", 0, 0)
	time.Sleep(20 * time.Millisecond)
	require.Len(t, f.All(), 1, "it knows servers")
	require.NoError(t, first.Report(ctx, report("z", "3", 1, 1)))
	require.Eventually(t, func() bool {
		epoch, revision := first.Revision()
		f.Announced("c1", epoch, revision)
		return len(f.All()) == 2
	}, 2*time.Second, time.Millisecond, "the leader's catalog is taken whatever another host has said")
}

// Guards against servers that report to one control host and stay unknown to entries, also after a change of the leader
// and for an entry that missed a push.
func TestReportsReachEntries(t *testing.T) {
	wires := newWires("c1", "c2", "entry")
	var mu sync.Mutex
	leader := "c1"
	first, _ := keeperOn(t, wires["c1"], []string{"c2"}, &leader, &mu)
	second, _ := keeperOn(t, wires["c2"], []string{"c1"}, &leader, &mu)
	f := NewFollower(FollowerConfig{Transport: wires["entry"], Changed: func() {}, Log: logr.Discard()})
	t.Cleanup(f.Close)
	ctx := context.Background()
	expectKnown := func(want ...string) {
		t.Helper()
		require.Eventually(t, func() bool {
			var got []string
			for _, e := range f.All() {
				got = append(got, e.Server.ID)
			}
			return len(got) == len(want)
		}, 2*time.Second, 5*time.Millisecond)
	}
	announce := func(k *ControlCatalog, from string) {
		epoch, revision := k.Revision()
		f.Announced(from, epoch, revision)
	}
	require.NoError(t, second.Report(ctx, report("a", "1", 1, 1)))
	require.Eventually(t, func() bool { announce(first, "c1"); return len(f.All()) == 1 }, 2*time.Second, 20*time.Millisecond)
	wires["entry"].drop(true)
	require.NoError(t, first.Report(ctx, report("b", "2", 1, 1)))
	time.Sleep(3 * flushInterval)
	wires["entry"].drop(false)
	require.NoError(t, first.Report(ctx, report("c", "3", 1, 1)))
	expectKnown("a", "b", "c")
	mu.Lock()
	leader = "c2"
	mu.Unlock()
	require.NoError(t, first.Report(ctx, report("d", "4", 1, 1)))
	require.Eventually(t, func() bool { announce(second, "c2"); return len(f.All()) == 4 }, 2*time.Second, 20*time.Millisecond)
}

func TestAcknowledgement(t *testing.T) {
	wires := newWires("c1", "entry")
	var mu sync.Mutex
	leader := "c1"
	k, committed := keeperOn(t, wires["c1"], nil, &leader, &mu)
	ctx := context.Background()
	t.Run("a leaving server is acknowledged when its end is committed", func(t *testing.T) {
		r := report("s", "1", 1, 2)
		r.Draining = true
		require.NoError(t, k.Report(ctx, r))
		require.True(t, committed["s"])
	})
	t.Run("and not when it cannot be committed", func(t *testing.T) {
		r := report("refused", "2", 1, 2)
		r.Ended = true
		require.Error(t, k.Report(ctx, r))
	})
	t.Run("the latest start is found by its name", func(t *testing.T) {
		old, later := report("x@1", "3", 1, 1), report("x@2", "3", 2, 1)
		old.Server.InstanceName, later.Server.InstanceName = "x", "x"
		require.NoError(t, k.Report(ctx, old))
		require.NoError(t, k.Report(ctx, later))
		e, ok := k.Find("x")
		require.True(t, ok)
		require.Equal(t, "x@2", e.Server.ID)
	})
	t.Run("a host that is cut off refuses reports", func(t *testing.T) {
		mu.Lock()
		leader = ""
		mu.Unlock()
		var unavailable *UnavailableError
		require.ErrorAs(t, k.Report(ctx, report("s2", "9", 1, 1)), &unavailable)
	})
}
