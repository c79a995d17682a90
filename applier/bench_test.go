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
	// heapBound is half of a daemon's 32 MB, since the replicator and the runtime need the rest.
	heapBound = 16 << 20
	// snapshotBound is the encoded size that a snapshot may have.
	snapshotBound = 2 << 20
	// applyBound is far below the 87 s between changes at 990 changes per day.
	applyBound = 20 * time.Millisecond
)

// bigConfig has the sizes of two years: 190 services, 7 data centres.
func bigConfig() *sycamorevane.Config {
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

// fill brings a machine to the size of two years: all servers drained, all services in a rollout, the history full.
func fill(t testing.TB) *bench {
	b := &bench{m: New()}
	expectResult(t, b.do(Command{ID: "config", Op: OpApply, Args: Args{Config: bigConfig()}}), ResultApplied)
	for i := range 2200 {
		expectResult(t, b.do(Command{ID: fmt.Sprintf("server-%032d", i), Op: OpDrain, Args: Args{
			Server: fmt.Sprintf("%032d", i), Target: &Target{Service: "marker-registry-001", DC: "plateau-1", Slots: 6},
		}, Force: true}), ResultApplied)
	}
	for i := range 190 {
		expectResult(t, b.do(Command{ID: fmt.Sprintf("rollout-%032d", i), Op: OpRollout, Args: Args{
			Service: fmt.Sprintf("marker-registry-%03d", i), ToVersion: "v2", Deadline: start + 60_000, Versions: map[string]int{"v1": 1, "v2": 1},
		}}), ResultApplied)
	}
	for i := range History {
		b.do(drainDC(fmt.Sprintf("refused-%032d", i), "somewhere-unknown"))
	}
	return b
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// TestMemoryBound guards against state that outgrows a control daemon's 32 MB at the size of two years.
func TestMemoryBound(t *testing.T) {
	before := heap()
	b := fill(t)
	used := heap() - before
	data, err := b.m.Snapshot()
	require.NoError(t, err)
	t.Logf("heap %.1f MB, snapshot %.1f MB", float64(used)/(1<<20), float64(len(data))/(1<<20))
	require.Less(t, used, uint64(heapBound))
	require.Less(t, len(data), snapshotBound)
	require.Len(t, b.m.State().DrainedServers, 2200)
	require.Len(t, b.m.trail.records, History)
	require.Len(t, b.m.trail.ids, History, "evicted ids are removed")
	twin := New()
	require.NoError(t, twin.Restore(data))
	again, err := twin.Snapshot()
	require.NoError(t, err)
	require.Equal(t, data, again)
}

// BenchmarkApply measures a server drain at the size of two years.
func BenchmarkApply(b *testing.B) {
	f := fill(b)
	target := &Target{Service: "marker-registry-001", DC: "plateau-1", Slots: 6}
	n := 0
	for b.Loop() {
		n++
		c := Command{ID: fmt.Sprintf("bench-%d", n), Op: OpDrain, Args: Args{Server: "extra", Target: target}, Force: true}
		if n%2 == 0 {
			c.Op = OpUndrain
		}
		f.do(c)
	}
	expectBelow(b, applyBound)
	reporter.Record(b, reporter.Measurement{
		Area: "control", Description: "applying one server drain at two-year size", Unit: "ms",
		Value: b.Elapsed().Seconds() * 1000 / float64(b.N), Bound: reporter.AtMost, Target: applyBound.Seconds() * 1000,
	})
}

// BenchmarkSnapshot measures encoding the state of two years.
func BenchmarkSnapshot(b *testing.B) {
	f := fill(b)
	for b.Loop() {
		_, err := f.m.Snapshot()
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
