package applier

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/reporter"
)

const (
	// maxHeapBytes is half of the 32 MB that a process may use for control; the replicator and the Go runtime need the rest.
	maxHeapBytes = 16 << 20
	// maxSnapshotBytes is the maximum encoded size of a snapshot.
	maxSnapshotBytes = 2 << 20
	// maxApplyTime is the maximum time to apply a command. It is far below the 87 s between changes at 990 changes per
	// day.
	maxApplyTime = 20 * time.Millisecond
)

// twoYearConfig returns a configuration of the size expected in two years: 190 services, 7 data centres.
func twoYearConfig() *sycamorevane.Config {
	cfg := &sycamorevane.Config{}
	for i := range 7 {
		cfg.DCs = append(cfg.DCs, fmt.Sprintf("plateau-%d", i))
	}
	for i := range 190 {
		name := fmt.Sprintf("marker-registry-%03d", i)
		cfg.Services = append(cfg.Services, sycamorevane.Service{
			Name: name, Hosts: []string{name + ".trailmark.example"}, Prefix: "/" + name,
			Routes: []sycamorevane.Route{{Name: "orders", Method: "POST", Prefix: "/orders"}, {Name: "lookup", Prefix: "/markers"}},
		})
	}
	for i := range 100 {
		cfg.Hosts = append(cfg.Hosts, sycamorevane.Host{
			Name: fmt.Sprintf("host-%03d", i), DC: cfg.DCs[i%7], MeshAddr: "10.0.0.1:7000", CallerAddr: "10.0.0.1:80", Roles: sycamorevane.NewSet("entry"),
		})
	}
	return cfg
}

// twoYearMachine returns a machine with the state size expected in two years: all servers drained, all services in a
// rollout, and a full audit trail.
func twoYearMachine(t testing.TB) *testMachine {
	tm := &testMachine{machine: New()}
	expectResult(t, tm.apply(Command{ID: "config", Op: OpApply, Args: Args{Config: twoYearConfig()}}), ResultApplied)
	for i := range 2200 {
		expectResult(t, tm.apply(Command{ID: fmt.Sprintf("server-%032d", i), Op: OpDrain, Args: Args{
			Server: fmt.Sprintf("%032d", i), Target: &Target{Service: "marker-registry-001", DC: "plateau-1", Slots: 6},
		}, Force: true}), ResultApplied)
	}
	for i := range 190 {
		expectResult(t, tm.apply(Command{ID: fmt.Sprintf("rollout-%032d", i), Op: OpRollout, Args: Args{
			Service: fmt.Sprintf("marker-registry-%03d", i), ToVersion: "v2", Deadline: startMs + 60_000, Versions: map[string]int{"v1": 1, "v2": 1},
		}}), ResultApplied)
	}
	for i := range MaxAuditRecords {
		tm.apply(drainDCCommand(fmt.Sprintf("refused-%032d", i), "somewhere-unknown"))
	}
	return tm
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// TestMemoryBound guards against a state of two-year size that does not fit into the 32 MB that a process may use for
// control.
func TestMemoryBound(t *testing.T) {
	before := heapBytes()
	tm := twoYearMachine(t)
	used := heapBytes() - before
	data, err := tm.machine.Snapshot()
	require.NoError(t, err)
	t.Logf("heap %.1f MB, snapshot %.1f MB", float64(used)/(1<<20), float64(len(data))/(1<<20))
	require.Less(t, used, uint64(maxHeapBytes))
	require.Less(t, len(data), maxSnapshotBytes)
	require.Len(t, tm.machine.State().DrainedServers, 2200)
	require.Len(t, tm.machine.trail.records, MaxAuditRecords)
	require.Len(t, tm.machine.trail.ids, MaxAuditRecords, "evicted ids are removed")
	restored := New()
	require.NoError(t, restored.Restore(data))
	again, err := restored.Snapshot()
	require.NoError(t, err)
	require.Equal(t, data, again)
}

// BenchmarkApply measures a server drain on a state of two-year size.
func BenchmarkApply(b *testing.B) {
	f := twoYearMachine(b)
	target := &Target{Service: "marker-registry-001", DC: "plateau-1", Slots: 6}
	n := 0
	for b.Loop() {
		n++
		c := Command{ID: fmt.Sprintf("bench-%d", n), Op: OpDrain, Args: Args{Server: "extra", Target: target}, Force: true}
		if n%2 == 0 {
			c.Op = OpUndrain
		}
		f.apply(c)
	}
	expectBelow(b, maxApplyTime)
	reporter.Record(b, reporter.Measurement{
		Area: "control", Description: "applying one server drain at two-year size", Unit: "ms",
		Value: b.Elapsed().Seconds() * 1000 / float64(b.N), Bound: reporter.AtMost, Target: maxApplyTime.Seconds() * 1000,
	})
}

// BenchmarkSnapshot measures encoding a state of two-year size.
func BenchmarkSnapshot(b *testing.B) {
	f := twoYearMachine(b)
	for b.Loop() {
		_, err := f.machine.Snapshot()
		require.NoError(b, err)
	}
	expectBelow(b, time.Second)
}

// expectBelow fails a benchmark whose operation takes longer than the bound.
func expectBelow(b *testing.B, bound time.Duration) {
	b.Helper()
	if per := b.Elapsed() / time.Duration(b.N); per > bound {
		b.Errorf("one operation takes %v; the bound is %v", per, bound)
	}
}
