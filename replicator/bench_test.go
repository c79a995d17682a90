package replicator

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/reporter"
)

// Limits from section 3 of the design for the resources that a daemon may use for control.
const (
	maxIdleBytesPerSecond = 7_000.0
	maxIdleCPUCores       = 0.011
	maxMemoryBytes        = 32 << 20
	changesPerDay         = 990
	commandBytes          = 400
	maxWireBytesPerChange = 4 * 1024.0 // per host; with 990 changes per day this is 47 bytes per second
	maxDiskBytesPerChange = 1024.0     // for a change of commandBytes
	maxCommitLatency      = 100 * time.Millisecond
	idleMeasurementTime   = 10 * time.Second
	ticksPerSecond        = int(time.Second / TickInterval)
	lockstepSeconds       = 60
)

// countingProxy forwards one host's connections to another host and counts the bytes in both directions.
type countingProxy struct {
	l     net.Listener
	bytes atomic.Int64
	mu    sync.Mutex
	conns []net.Conn
}

func newCountingProxy(t testing.TB, target string) *countingProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &countingProxy{l: l}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				continue
			}
			p.mu.Lock()
			p.conns = append(p.conns, in, out)
			p.mu.Unlock()
			wg.Go(func() { p.copy(out, in) })
			wg.Go(func() { p.copy(in, out) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		p.mu.Lock()
		for _, c := range p.conns {
			_ = c.Close()
		}
		p.mu.Unlock()
		wg.Wait()
	})
	return p
}

func (p *countingProxy) copy(dst, src net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := src.Read(buf)
		p.bytes.Add(int64(n))
		if _, werr := dst.Write(buf[:n]); err != nil || werr != nil {
			_ = dst.Close()
			return
		}
	}
}

// newProxiedCluster starts a cluster whose sessions go through counting proxies. The returned function gives the number
// of bytes sent and received so far by the host with the most traffic.
func newProxiedCluster(t testing.TB) (*cluster, func() float64) {
	cl := &cluster{t: t, addrs: make(map[string]string), nodes: make(map[string]*node)}
	names := []string{"a", "b", "c"}
	for _, n := range names {
		cl.startHost(n, t.TempDir(), names)
	}
	proxies := make(map[[2]string]*countingProxy)
	for i, from := range names {
		for _, to := range names[i+1:] { // There is one session per pair of hosts.
			p := newCountingProxy(t, cl.addrs[to])
			proxies[[2]string{from, to}] = p
			cl.nodes[from].mesh.Connect(to, "dc-a", p.l.Addr().String())
		}
	}
	t.Cleanup(func() {
		for n := range cl.nodes {
			cl.kill(n)
		}
	})
	return cl, func() float64 {
		maxTotal := int64(0)
		for _, n := range names {
			total := int64(0)
			for pair, p := range proxies {
				if pair[0] == n || pair[1] == n {
					total += p.bytes.Load()
				}
			}
			maxTotal = max(maxTotal, total)
		}
		return float64(maxTotal)
	}
}

func cpuTime(t testing.TB) time.Duration {
	var u syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkIdle measures a cluster of three hosts without commands: messenger heartbeats, consensus heartbeats and
// ticks. The processor time includes the proxies and is divided by the number of hosts.
func BenchmarkIdle(b *testing.B) {
	cl, bytes := newProxiedCluster(b)
	cl.awaitLeader()
	time.Sleep(time.Second)
	for b.Loop() {
		cpuBefore, bytesBefore := cpuTime(b), bytes()
		time.Sleep(idleMeasurementTime)
		bytesPerSecond := (bytes() - bytesBefore) / idleMeasurementTime.Seconds()
		cpuShare := float64(cpuTime(b)-cpuBefore) / float64(idleMeasurementTime) / 3
		b.ReportMetric(bytesPerSecond, "B/s/host")
		b.ReportMetric(100*cpuShare, "%core/host")
		reporter.Record(b, reporter.Measurement{
			Area: "control", Description: "idle traffic of a consensus host, sent and received", Unit: "KB/s",
			Value: bytesPerSecond / 1000, Bound: reporter.AtMost, Target: maxIdleBytesPerSecond / 1000,
		})
		reporter.Record(b, reporter.Measurement{
			Area: "control", Description: "idle processor time of a consensus host", Unit: "% of a core",
			Value: 100 * cpuShare, Bound: reporter.AtMost, Target: 100 * maxIdleCPUCores,
		})
	}
}

// BenchmarkCommit measures one command at a time, proposed on a follower like an operator's command.
func BenchmarkCommit(b *testing.B) {
	cl, bytes := newProxiedCluster(b)
	from := cl.others(cl.awaitLeader())[0]
	pad := strings.Repeat("x", commandBytes)
	cl.mustPropose(from, "first"+pad)
	bytesBefore, diskBefore := bytes(), directoryBytes(b, from.dir)
	var latencies []time.Duration
	for i := 0; b.Loop(); i++ {
		start := time.Now()
		cl.mustPropose(from, fmt.Sprint(i, pad))
		latencies = append(latencies, time.Since(start))
	}
	slices.Sort(latencies)
	n := float64(len(latencies))
	median, p99 := latencies[len(latencies)/2], latencies[len(latencies)*99/100]
	b.ReportMetric(float64(median.Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(p99.Microseconds())/1000, "p99-ms")
	b.ReportMetric((bytes()-bytesBefore)/n, "wire-B/change")
	b.ReportMetric((directoryBytes(b, from.dir)-diskBefore)/n, "disk-B/change")
	reporter.Record(b, reporter.Measurement{
		Area: "control", Description: "commit of one change proposed on a follower, p50", Unit: "ms",
		Value: float64(median.Microseconds()) / 1000, Bound: reporter.AtMost, Target: float64(maxCommitLatency.Milliseconds()),
	})
	if n > 100 { // With fewer commands the heartbeats dominate the traffic.
		require.Less(b, (bytes()-bytesBefore)/n, maxWireBytesPerChange)
		require.Less(b, (directoryBytes(b, from.dir)-diskBefore)/n, maxDiskBytesPerChange)
	}
}

// BenchmarkCommitParallel measures commands from 64 callers, whose commands are batched into common store writes.
func BenchmarkCommitParallel(b *testing.B) {
	cl, _ := newProxiedCluster(b)
	from := cl.awaitLeader()
	var next atomic.Int64
	b.SetParallelism(64 / runtime.GOMAXPROCS(0))
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			cl.mustPropose(from, fmt.Sprint("command ", next.Add(1)))
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "changes/s")
}

func directoryBytes(t testing.TB, dir string) float64 {
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	total := int64(0)
	for _, e := range entries {
		if info, err := e.Info(); err == nil {
			total += info.Size()
		}
	}
	return float64(total)
}

// Guards against heartbeats that exceed the limit for control traffic and against messages that cause each other
// endlessly. All hosts tick in lockstep in simulated time, so the result does not depend on the speed of the machine.
func TestIdleMessages(t *testing.T) {
	s := newSim(3, 1, faultProbabilities{}, disabledRules{})
	s.awaitLeader(t)
	s.tickAll(ticksPerSecond)
	count, size := 0, 0
	for range lockstepSeconds * ticksPerSecond {
		for _, n := range s.names {
			s.hosts[n].core.tick()
			s.processEffects(s.hosts[n])
		}
		for len(s.inFlight) > 0 {
			count++
			size += proto.Size(s.inFlight[0].outbound.msg)
			s.deliver(0)
		}
	}
	t.Logf("%d messages and %d bytes per second in the cluster, before framing", count/lockstepSeconds, size/lockstepSeconds)
	require.LessOrEqual(t, count/lockstepSeconds, 16, "two heartbeats and their replies, four times a second")
	require.LessOrEqual(t, size/lockstepSeconds, 500)
}

// Guards against messages whose size or number grows with the number of entries sent earlier.
func TestMessagesPerCommand(t *testing.T) {
	s := newSim(3, 1, faultProbabilities{}, disabledRules{})
	h, _ := s.awaitLeader(t)
	s.tickAll(heartbeatTicks)
	for i := range 50 {
		_, _, err := h.core.propose(fmt.Appendf(nil, "command %0400d", i))
		require.NoError(t, err)
		s.processEffects(h)
		count := 0
		for len(s.inFlight) > 0 {
			count++
			require.Less(t, proto.Size(s.inFlight[0].outbound.msg), 500)
			s.deliver(0)
		}
		require.LessOrEqual(t, count, 8, "entry, reply, commit index and reply for two followers")
	}
}

// nullTransport implements only Handle; a single voter sends no messages.
type nullTransport struct{ sycamorevane.Transport }

func (nullTransport) Handle(proto.Message, sycamorevane.Handler) {}

// nullMachine is a state machine without state, so that the test measures only the memory of the log.
type nullMachine struct{}

func (nullMachine) Apply(sycamorevane.LogEntry) []byte { return nil }
func (nullMachine) Snapshot() ([]byte, error)          { return []byte{1}, nil }
func (nullMachine) Restore([]byte) error               { return nil }

// Guards against a log that grows without limit in memory, with small and large commands.
func TestLogMemory(t *testing.T) {
	for _, size := range []int{commandBytes, 100 << 10} {
		d := sycamorevane.DurableState{Entries: []sycamorevane.LogEntry{bootstrapEntry([]string{"a"})}}
		r := New(Config{Self: "a", Store: &memStore{durable: d}, StateMachine: nullMachine{}, Transport: nullTransport{}})
		var err error
		r.core, err = newCore("a", d, rand.New(rand.NewPCG(1, 1)))
		require.NoError(t, err)
		for range electionTimeoutTicks + electionJitterTicks {
			r.core.tick()
			r.processEffects()
		}
		before, maxGrowth := heapBytes(), int64(0)
		for i := range 5 * changesPerDay {
			_, _, err := r.core.propose(make([]byte, size))
			require.NoError(t, err)
			r.processEffects()
			r.compactIfDue()
			if i%200 == 199 {
				maxGrowth = max(maxGrowth, heapBytes()-before)
			}
		}
		t.Logf("commands of %d bytes: heap grew by at most %d KiB", size, maxGrowth>>10)
		require.Greater(t, r.core.log.snapshot.Index, uint64(changesPerDay))
		require.Less(t, maxGrowth, int64(snapshotThresholdBytes+catchUpLogBytes+1<<20))
		require.Less(t, maxGrowth, int64(maxMemoryBytes/4), "the limit covers all control tasks")
	}
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
