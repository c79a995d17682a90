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

// Bounds from section 3 of the design: what a daemon may use for control.
const (
	boundTraffic   = 7_000.0 // bytes per second
	boundCPU       = 0.011   // of a core
	boundMemory    = 32 << 20
	changesPerDay  = 990
	commandSize    = 400
	boundWire      = 4 * 1024.0 // bytes per change and host; 990 a day are then 47 bytes per second
	boundDisk      = 1024.0     // bytes per change of commandSize
	boundLatency   = 100 * time.Millisecond
	idleMeasuring  = 10 * time.Second
	tickPerSecond  = int(time.Second / TickInterval)
	lockstepPeriod = 60
)

// relay forwards one host's connections to another and counts the bytes in both directions.
type relay struct {
	l     net.Listener
	bytes atomic.Int64
	mu    sync.Mutex
	conns []net.Conn
}

func newRelay(t testing.TB, target string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &relay{l: l}
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
			r.mu.Lock()
			r.conns = append(r.conns, in, out)
			r.mu.Unlock()
			wg.Go(func() { r.copy(out, in) })
			wg.Go(func() { r.copy(in, out) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		r.mu.Lock()
		for _, c := range r.conns {
			_ = c.Close()
		}
		r.mu.Unlock()
		wg.Wait()
	})
	return r
}

func (r *relay) copy(dst, src net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := src.Read(buf)
		r.bytes.Add(int64(n))
		if _, werr := dst.Write(buf[:n]); err != nil || werr != nil {
			_ = dst.Close()
			return
		}
	}
}

// relayed starts a group whose sessions pass relays, and returns a function for the bytes that passed so far at the
// busiest host, sent and received.
func relayed(t testing.TB) (*group, func() float64) {
	g := &group{t: t, addrs: make(map[string]string), nodes: make(map[string]*node)}
	names := []string{"a", "b", "c"}
	for _, n := range names {
		g.open(n, t.TempDir(), names)
	}
	relays := make(map[[2]string]*relay)
	for i, from := range names {
		for _, to := range names[i+1:] { // One session per pair.
			r := newRelay(t, g.addrs[to])
			relays[[2]string{from, to}] = r
			g.nodes[from].mesh.Connect(to, "dc-a", r.l.Addr().String())
		}
	}
	t.Cleanup(func() {
		for n := range g.nodes {
			g.kill(n)
		}
	})
	return g, func() float64 {
		most := int64(0)
		for _, n := range names {
			sum := int64(0)
			for pair, r := range relays {
				if pair[0] == n || pair[1] == n {
					sum += r.bytes.Load()
				}
			}
			most = max(most, sum)
		}
		return float64(most)
	}
}

func cpuTime(t testing.TB) time.Duration {
	var u syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkIdle measures a group of three without commands: messenger heartbeats, consensus heartbeats and ticks.
// The processor time includes the relays and is divided by the number of hosts.
func BenchmarkIdle(b *testing.B) {
	g, bytes := relayed(b)
	g.leader()
	time.Sleep(time.Second)
	for b.Loop() {
		cpu, sent := cpuTime(b), bytes()
		time.Sleep(idleMeasuring)
		traffic := (bytes() - sent) / idleMeasuring.Seconds()
		share := float64(cpuTime(b)-cpu) / float64(idleMeasuring) / 3
		b.ReportMetric(traffic, "B/s/host")
		b.ReportMetric(100*share, "%core/host")
		reporter.Record(b, reporter.Measurement{
			Area: "control", Description: "idle traffic of a consensus host, sent and received", Unit: "KB/s",
			Value: traffic / 1000, Bound: reporter.AtMost, Target: boundTraffic / 1000,
		})
		reporter.Record(b, reporter.Measurement{
			Area: "control", Description: "idle processor time of a consensus host", Unit: "% of a core",
			Value: 100 * share, Bound: reporter.AtMost, Target: 100 * boundCPU,
		})
	}
}

// BenchmarkCommit measures one command at a time, proposed on a follower, as an operator's command is.
func BenchmarkCommit(b *testing.B) {
	g, bytes := relayed(b)
	from := g.others(g.leader())[0]
	pad := strings.Repeat("x", commandSize)
	g.put(from, "first"+pad)
	sent, disk := bytes(), folderSize(b, from.dir)
	var times []time.Duration
	for i := 0; b.Loop(); i++ {
		began := time.Now()
		g.put(from, fmt.Sprint(i, pad))
		times = append(times, time.Since(began))
	}
	slices.Sort(times)
	n := float64(len(times))
	median, p99 := times[len(times)/2], times[len(times)*99/100]
	b.ReportMetric(float64(median.Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(p99.Microseconds())/1000, "p99-ms")
	b.ReportMetric((bytes()-sent)/n, "wire-B/change")
	b.ReportMetric((folderSize(b, from.dir)-disk)/n, "disk-B/change")
	reporter.Record(b, reporter.Measurement{
		Area: "control", Description: "commit of one change proposed on a follower, p50", Unit: "ms",
		Value: float64(median.Microseconds()) / 1000, Bound: reporter.AtMost, Target: float64(boundLatency.Milliseconds()),
	})
	if n > 100 { // Fewer commands do not outweigh the heartbeats.
		require.Less(b, (bytes()-sent)/n, boundWire)
		require.Less(b, (folderSize(b, from.dir)-disk)/n, boundDisk)
	}
}

// BenchmarkCommitParallel measures commands of 64 callers, which share writes to the store.
func BenchmarkCommitParallel(b *testing.B) {
	g, _ := relayed(b)
	from := g.leader()
	var next atomic.Int64
	b.SetParallelism(64 / runtime.GOMAXPROCS(0))
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			g.put(from, fmt.Sprint("command ", next.Add(1)))
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "changes/s")
}

func folderSize(t testing.TB, dir string) float64 {
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	sum := int64(0)
	for _, e := range entries {
		if info, err := e.Info(); err == nil {
			sum += info.Size()
		}
	}
	return float64(sum)
}

// Guards against heartbeats that outgrow the share of control traffic and against chatter that never ends: in
// lockstep, with no dependence on the machine.
func TestIdleMessages(t *testing.T) {
	s := newSim(3, 1, chances{}, rules{})
	s.elected(t)
	s.rounds(tickPerSecond)
	count, size := 0, 0
	for range lockstepPeriod * tickPerSecond {
		for _, n := range s.names {
			s.hosts[n].core.tick()
			s.process(s.hosts[n])
		}
		for len(s.net) > 0 {
			count++
			size += proto.Size(s.net[0].env.m)
			s.deliver(0)
		}
	}
	t.Logf("%d messages and %d bytes per second in the group, before framing", count/lockstepPeriod, size/lockstepPeriod)
	require.LessOrEqual(t, count/lockstepPeriod, 16, "two heartbeats and their answers, four times a second")
	require.LessOrEqual(t, size/lockstepPeriod, 500)
}

// Guards against messages that grow with the number of entries sent before.
func TestMessagesPerCommand(t *testing.T) {
	s := newSim(3, 1, chances{}, rules{})
	h, _ := s.elected(t)
	s.rounds(heartbeatTicks)
	for i := range 50 {
		_, _, err := h.core.propose(fmt.Appendf(nil, "command %0400d", i))
		require.NoError(t, err)
		s.process(h)
		count := 0
		for len(s.net) > 0 {
			count++
			require.Less(t, proto.Size(s.net[0].env.m), 500)
			s.deliver(0)
		}
		require.LessOrEqual(t, count, 8, "entry, answer, commit, answer for two followers")
	}
}

// nullTransport takes no messages; a single voter sends none.
type nullTransport struct{ sycamorevane.Transport }

func (nullTransport) Handle(proto.Message, sycamorevane.Handler) {}

// nullMachine keeps nothing, so that only the log is measured.
type nullMachine struct{}

func (nullMachine) Apply(sycamorevane.LogEntry) []byte { return nil }
func (nullMachine) Snapshot() ([]byte, error)          { return []byte{1}, nil }
func (nullMachine) Restore([]byte) error               { return nil }

// Guards against a log that grows without bound in memory, at any size of command.
func TestLogMemory(t *testing.T) {
	for _, size := range []int{commandSize, 100 << 10} {
		d := sycamorevane.DurableState{Entries: []sycamorevane.LogEntry{bootstrapEntry([]string{"a"})}}
		r := New(Config{Self: "a", Store: &memStore{d: d}, Machine: nullMachine{}, Transport: nullTransport{}})
		var err error
		r.core, err = newCore("a", d, rand.New(rand.NewPCG(1, 1)))
		require.NoError(t, err)
		for range electionTicks + electionSpread {
			r.core.tick()
			r.drain()
		}
		before, most := heap(), int64(0)
		for i := range 5 * changesPerDay {
			_, _, err := r.core.propose(make([]byte, size))
			require.NoError(t, err)
			r.drain()
			r.compact()
			if i%200 == 199 {
				most = max(most, heap()-before)
			}
		}
		t.Logf("commands of %d bytes: heap grew by at most %d KiB", size, most>>10)
		require.Greater(t, r.core.log.snapshot.Index, uint64(changesPerDay))
		require.Less(t, most, int64(snapshotBytes+keepBytes+1<<20))
		require.Less(t, most, int64(boundMemory/4), "memory of all control tasks")
	}
}

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
