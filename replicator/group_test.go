package replicator

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/messenger"
	"sycamorevane.example/sycamorevane/persister"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// ledger is a state machine that records the ids of commands, each once.
type ledger struct {
	mu      sync.Mutex
	ids     []string
	seen    map[string]uint64
	repeats int
	// delay in nanoseconds makes Apply slow.
	delay atomic.Int64
}

func newLedger() *ledger { return &ledger{seen: make(map[string]uint64)} }

func (l *ledger) Apply(e sycamorevane.LogEntry) []byte {
	time.Sleep(time.Duration(l.delay.Load()))
	l.mu.Lock()
	defer l.mu.Unlock()
	id := string(e.Data)
	if at, ok := l.seen[id]; ok {
		l.repeats++
		return fmt.Append(nil, at)
	}
	l.seen[id] = e.Index
	l.ids = append(l.ids, id)
	return fmt.Append(nil, e.Index)
}

type ledgerImage struct {
	IDs  []string
	Seen map[string]uint64
}

func (l *ledger) Snapshot() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return json.Marshal(ledgerImage{l.ids, l.seen})
}

func (l *ledger) Restore(data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var image ledgerImage
	if err := json.Unmarshal(data, &image); err != nil {
		return err
	}
	l.ids, l.seen = image.IDs, image.Seen
	if l.seen == nil {
		l.seen = make(map[string]uint64)
	}
	return nil
}

// doubles counts ids that are in the ledger more than once.
func (l *ledger) doubles() int {
	got := l.list()
	slices.Sort(got)
	return len(got) - len(slices.Compact(got))
}

func (l *ledger) list() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.ids)
}

// node is one control host over loopback with a real messenger and store.
type node struct {
	name    string
	dir     string
	cut     atomic.Bool
	fs      *faultFS
	mesh    *messenger.Messenger
	store   *persister.Store
	machine *ledger
	*Replicator
	logs *logLines
}

type logLines struct {
	mu    sync.Mutex
	lines []string
}

func (l *logLines) add(_, args string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, args)
}

func (l *logLines) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprint(l.lines)
}

// faultFS makes writes fail while full is set.
type faultFS struct {
	persister.OS
	full atomic.Bool
}

type faultFile struct {
	persister.File
	fs *faultFS
}

var errFull = errors.New("no space left on device")

func (f *faultFS) Append(name string) (persister.File, error) {
	file, err := f.OS.Append(name)
	return &faultFile{file, f}, err
}

func (f *faultFile) Write(b []byte) (int, error) {
	if f.fs.full.Load() {
		return 0, errFull
	}
	return f.File.Write(b)
}

type group struct {
	t         testing.TB
	addrs     map[string]string
	nodes     map[string]*node
	snapshots uint64
	// reopens lets hosts open a failed store again.
	reopens bool
}

func newGroup(t testing.TB, names ...string) *group { return newGroupWith(t, false, names...) }

func newGroupWith(t testing.TB, reopens bool, names ...string) *group {
	g := &group{t: t, snapshots: 100, reopens: reopens, addrs: make(map[string]string), nodes: make(map[string]*node)}
	for _, n := range names {
		g.open(n, t.TempDir(), names)
	}
	g.connect()
	t.Cleanup(func() {
		for n := range g.nodes {
			g.kill(n)
		}
	})
	return g
}

// open starts a host; connect has to follow.
func (g *group) open(name, dir string, bootstrap []string) *node {
	g.t.Helper()
	n := &node{name: name, dir: dir, fs: &faultFS{}, machine: newLedger(), logs: &logLines{}}
	listen := g.addrs[name]
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	var err error
	n.mesh, err = messenger.New(messenger.Config{
		Self: name, DC: "dc-a", Roles: sycamorevane.NewSet(sycamorevane.RoleControl),
		Listen: listen, Key: "a cluster key for tests", Log: logr.Discard(),
		Filter: func(string) bool { return !n.cut.Load() },
	})
	require.NoError(g.t, err)
	g.addrs[name] = n.mesh.Addr()
	n.store, err = persister.Open(persister.Config{Dir: dir, FS: n.fs})
	require.NoError(g.t, err)
	var reopen func() (sycamorevane.Store, error)
	if g.reopens {
		reopen = func() (sycamorevane.Store, error) { return persister.Open(persister.Config{Dir: dir, FS: n.fs}) }
	}
	n.Replicator = New(Config{
		Self: name, Transport: n.mesh, Store: n.store, Machine: n.machine, Bootstrap: bootstrap,
		Log: funcr.New(n.logs.add, funcr.Options{}), SnapshotEntries: g.snapshots,
		Reopen: reopen,
	})
	n.mesh.Start()
	require.NoError(g.t, n.Start())
	g.nodes[name] = n
	return n
}

func (g *group) connect() {
	for _, n := range g.nodes {
		for name, addr := range g.addrs {
			n.mesh.Connect(name, "dc-a", addr)
		}
	}
}

// kill stops a host without any farewell to the others.
func (g *group) kill(name string) *node {
	n := g.nodes[name]
	n.cut.Store(true)
	n.Replicator.Close()
	n.mesh.Close()
	_ = n.store.Close()
	delete(g.nodes, name)
	return n
}

func (g *group) restart(name string) *node {
	n := g.kill(name)
	n = g.open(name, n.dir, nil)
	g.connect()
	return n
}

// leader waits until all running members outside a partition agree on a leader among them.
func (g *group) leader() *node {
	g.t.Helper()
	var found *node
	require.Eventually(g.t, func() bool {
		names := sycamorevane.NewSet[string]()
		for _, n := range g.nodes {
			if n.cut.Load() || len(n.Members()) == 0 {
				continue
			}
			name, _, _ := n.Leader()
			names.Add(name)
		}
		if len(names) != 1 {
			return false
		}
		found = g.nodes[names.Sorted()[0]]
		if found == nil || found.cut.Load() {
			return false
		}
		_, self, _ := found.Leader()
		return self
	}, 10*time.Second, 5*time.Millisecond, "no leader that all hosts agree on")
	return found
}

// succeeded waits until the other hosts agree on a new leader among them.
func (g *group) succeeded(old *node) {
	g.t.Helper()
	require.Eventually(g.t, func() bool {
		names := sycamorevane.NewSet[string]()
		for _, n := range g.others(old) {
			name, _, _ := n.Leader()
			names.Add(name)
		}
		found := names.Sorted()[0]
		return len(names) == 1 && found != "" && found != old.name
	}, 10*time.Second, 5*time.Millisecond, "no successor of %s", old.name)
}

func (g *group) others(not *node) []*node {
	var list []*node
	for _, name := range slices.Sorted(keys(g.nodes)) {
		if name != not.name {
			list = append(list, g.nodes[name])
		}
	}
	return list
}

func keys(m map[string]*node) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// put proposes a command on the host and sends it again while its outcome is unknown.
func (g *group) put(n *node, id string) {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	for {
		_, err := n.Propose(ctx, []byte(id))
		if err == nil {
			return
		}
		require.NoError(g.t, ctx.Err(), "command %s: %v", id, err)
	}
}

// expectAll checks by a linearizable read that the host has exactly the commands.
func (g *group) expectAll(n *node, want []string) {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	_, err := n.ReadIndex(ctx)
	require.NoError(g.t, err)
	got := n.machine.list()
	slices.Sort(got)
	want = slices.Sorted(slices.Values(want))
	require.Equal(g.t, want, got, "commands on host %s", n.name)
}

func ids(prefix string, n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("%s-%04d", prefix, i)
	}
	return list
}
