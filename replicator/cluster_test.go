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

// recordingMachine is a state machine that records the ids of commands, each only once.
type recordingMachine struct {
	mu               sync.Mutex
	commands         []string
	indexOf          map[string]uint64
	repeatedCommands int
	// applyDelayNanos delays Apply.
	applyDelayNanos atomic.Int64
}

func newRecordingMachine() *recordingMachine {
	return &recordingMachine{indexOf: make(map[string]uint64)}
}

func (m *recordingMachine) Apply(e sycamorevane.LogEntry) []byte {
	time.Sleep(time.Duration(m.applyDelayNanos.Load()))
	m.mu.Lock()
	defer m.mu.Unlock()
	id := string(e.Data)
	if index, ok := m.indexOf[id]; ok {
		m.repeatedCommands++
		return fmt.Append(nil, index)
	}
	m.indexOf[id] = e.Index
	m.commands = append(m.commands, id)
	return fmt.Append(nil, e.Index)
}

type recordingSnapshot struct {
	IDs  []string
	Seen map[string]uint64
}

func (m *recordingMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Marshal(recordingSnapshot{m.commands, m.indexOf})
}

func (m *recordingMachine) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	var snapshot recordingSnapshot
	if err := json.Unmarshal(data, &snapshot); err != nil {
		return err
	}
	m.commands, m.indexOf = snapshot.IDs, snapshot.Seen
	if m.indexOf == nil {
		m.indexOf = make(map[string]uint64)
	}
	return nil
}

// duplicates returns the number of ids that were recorded more than once.
func (m *recordingMachine) duplicates() int {
	got := m.appliedCommands()
	slices.Sort(got)
	return len(got) - len(slices.Compact(got))
}

func (m *recordingMachine) appliedCommands() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.commands)
}

// node is a control host with a real messenger on the loopback interface and a real store.
type node struct {
	name         string
	dir          string
	disconnected atomic.Bool
	fs           *faultFS
	mesh         *messenger.Messenger
	store        *persister.Store
	machine      *recordingMachine
	*Replicator
	logs *logRecorder
}

type logRecorder struct {
	mu    sync.Mutex
	lines []string
}

func (l *logRecorder) add(_, args string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, args)
}

func (l *logRecorder) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprint(l.lines)
}

// faultFS makes writes fail while diskFull is set, and delays syncs.
type faultFS struct {
	persister.OS
	diskFull  atomic.Bool
	syncDelay atomic.Int64 // in ns
	// failing is the kind of operation that fails while the disk is full.
	failing atomic.Int32
}

// Kinds of operation that fail while a disk is full. A write that runs out of space may store a part of its data.
const (
	failWrites = iota
	failPartialWrites
	failSyncs
	failCreations
	failRenames
	failEverything
	failureKinds
)

func (f *faultFS) fails(kinds ...int32) bool {
	return f.diskFull.Load() && (slices.Contains(kinds, f.failing.Load()) || f.failing.Load() == failEverything)
}

func (f *faultFS) Create(name string) (persister.File, error) {
	if f.fails(failCreations) {
		return nil, errFull
	}
	file, err := f.OS.Create(name)
	if err != nil {
		return nil, err
	}
	return &faultFile{file, f}, nil
}

func (f *faultFS) Rename(from, to string) error {
	if f.fails(failRenames) {
		return errFull
	}
	return f.OS.Rename(from, to)
}

func (f *faultFS) SyncDir(dir string) error {
	if f.fails(failSyncs) {
		return errFull
	}
	return f.OS.SyncDir(dir)
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
	switch {
	case f.fs.fails(failPartialWrites):
		n, _ := f.File.Write(b[:len(b)/2])
		return n, errFull
	case f.fs.fails(failWrites):
		return 0, errFull
	}
	return f.File.Write(b)
}

func (f *faultFile) Sync() error {
	if f.fs.fails(failSyncs) {
		return errFull
	}
	time.Sleep(time.Duration(f.fs.syncDelay.Load()))
	return f.File.Sync()
}

// cluster is a set of control hosts that run in this process.
type cluster struct {
	t               testing.TB
	addrs           map[string]string
	nodes           map[string]*node
	snapshotEntries uint64
	// reopensStores lets hosts reopen a failed store.
	reopensStores bool
}

func newCluster(t testing.TB, names ...string) *cluster { return newClusterWith(t, false, names...) }

func newClusterWith(t testing.TB, reopensStores bool, names ...string) *cluster {
	cl := &cluster{
		t: t, snapshotEntries: 100, reopensStores: reopensStores,
		addrs: make(map[string]string), nodes: make(map[string]*node),
	}
	for _, n := range names {
		cl.startHost(n, t.TempDir(), names)
	}
	cl.connectAll()
	t.Cleanup(func() {
		for n := range cl.nodes {
			cl.kill(n)
		}
	})
	return cl
}

// startHost starts a host. The caller must call connectAll afterwards.
func (cl *cluster) startHost(name, dir string, bootstrap []string) *node {
	cl.t.Helper()
	n := &node{name: name, dir: dir, fs: &faultFS{}, machine: newRecordingMachine(), logs: &logRecorder{}}
	listen := cl.addrs[name]
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	var err error
	n.mesh, err = messenger.New(messenger.Config{
		Self: name, DC: "dc-a", Roles: sycamorevane.NewSet(sycamorevane.RoleControl),
		ListenAddr: listen, ClusterKey: "a cluster key for tests", Log: logr.Discard(),
		Filter: func(string) bool { return !n.disconnected.Load() },
	})
	require.NoError(cl.t, err)
	cl.addrs[name] = n.mesh.Addr()
	n.store, err = persister.Open(persister.Config{Dir: dir, FS: n.fs})
	require.NoError(cl.t, err)
	var reopen func() (sycamorevane.Store, error)
	if cl.reopensStores {
		reopen = func() (sycamorevane.Store, error) { return persister.Open(persister.Config{Dir: dir, FS: n.fs}) }
	}
	n.Replicator = New(Config{
		Self: name, Transport: n.mesh, Store: n.store, StateMachine: n.machine, BootstrapVoters: bootstrap,
		Log: funcr.New(n.logs.add, funcr.Options{}), SnapshotEntries: cl.snapshotEntries,
		ReopenStore: reopen,
	})
	n.mesh.Start()
	require.NoError(cl.t, n.Start())
	cl.nodes[name] = n
	return n
}

func (cl *cluster) connectAll() {
	for _, n := range cl.nodes {
		for name, addr := range cl.addrs {
			n.mesh.Connect(name, "dc-a", addr)
		}
	}
}

// kill disconnects a host and then stops it, so that the shutdown sends no messages, such as a leadership transfer.
func (cl *cluster) kill(name string) *node {
	n := cl.nodes[name]
	n.disconnected.Store(true)
	n.Replicator.Close()
	n.mesh.Close()
	_ = n.store.Close()
	delete(cl.nodes, name)
	return n
}

func (cl *cluster) restart(name string) *node {
	n := cl.kill(name)
	n = cl.startHost(name, n.dir, nil)
	cl.connectAll()
	return n
}

// awaitLeader waits until all running hosts that are connected agree on one of them as leader.
func (cl *cluster) awaitLeader() *node {
	cl.t.Helper()
	var found *node
	require.Eventually(cl.t, func() bool {
		names := sycamorevane.NewSet[string]()
		for _, n := range cl.nodes {
			if n.disconnected.Load() || len(n.Members()) == 0 {
				continue
			}
			name, _, _ := n.Leader()
			names.Add(name)
		}
		if len(names) != 1 {
			return false
		}
		found = cl.nodes[names.Sorted()[0]]
		if found == nil || found.disconnected.Load() {
			return false
		}
		_, self, _ := found.Leader()
		return self
	}, 10*time.Second, 5*time.Millisecond, "no leader that all hosts agree on")
	return found
}

// awaitSuccessor waits until the hosts other than old agree on a new leader.
func (cl *cluster) awaitSuccessor(old *node) {
	cl.t.Helper()
	require.Eventually(cl.t, func() bool {
		names := sycamorevane.NewSet[string]()
		for _, n := range cl.others(old) {
			name, _, _ := n.Leader()
			names.Add(name)
		}
		found := names.Sorted()[0]
		return len(names) == 1 && found != "" && found != old.name
	}, 10*time.Second, 5*time.Millisecond, "no successor of %s", old.name)
}

func (cl *cluster) others(excluded *node) []*node {
	var list []*node
	for _, name := range slices.Sorted(keys(cl.nodes)) {
		if name != excluded.name {
			list = append(list, cl.nodes[name])
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

// mustPropose proposes a command on the host and resends it until it is committed.
func (cl *cluster) mustPropose(n *node, id string) {
	cl.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	for {
		_, err := n.Propose(ctx, []byte(id))
		if err == nil {
			return
		}
		require.NoError(cl.t, ctx.Err(), "command %s: %v", id, err)
	}
}

// requireCommands checks with a linearizable read that the host has applied exactly the given commands.
func (cl *cluster) requireCommands(n *node, want []string) {
	cl.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	_, err := n.ReadIndex(ctx)
	require.NoError(cl.t, err)
	got := n.machine.appliedCommands()
	slices.Sort(got)
	want = slices.Sorted(slices.Values(want))
	require.Equal(cl.t, want, got, "commands on host %s", n.name)
}

func commandIDs(prefix string, n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("%s-%04d", prefix, i)
	}
	return list
}
