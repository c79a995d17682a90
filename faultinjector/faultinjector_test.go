package faultinjector

import (
	"context"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane/faker"
	"sycamorevane.example/sycamorevane/reporter"
)

const (
	// maxParallelSystems limits how many systems run at the same time; each has 8 hosts.
	maxParallelSystems = 6
	// With -short, which the race detector's run uses, every shortStride-th fault runs, one at a time: the detector
	// slows a system down about tenfold, and the bounds on time are those that users see.
	shortStride  = 5
	defaultPairs = 4
	runTimeout   = 80 * time.Second
	minLogLines  = 100
)

// systemSlots is a semaphore that each running system holds once.
var systemSlots = sync.OnceValue(func() chan struct{} {
	if testing.Short() {
		return make(chan struct{}, 1)
	}
	return make(chan struct{}, maxParallelSystems)
})

// seed is FAULTS_SEED when set, so that a failed run can be repeated with the same choices.
func seed(t *testing.T) uint64 {
	t.Helper()
	value := os.Getenv("FAULTS_SEED")
	if value == "" {
		return 1
	}
	n, err := strconv.ParseUint(value, 10, 64)
	require.NoError(t, err)
	return n
}

// acquireSystemSlot waits until another system may run and releases its slot at the end of the test.
func acquireSystemSlot(t *testing.T) {
	t.Helper()
	systemSlots() <- struct{}{}
	t.Cleanup(func() { <-systemSlots() })
}

// newRecentLog returns a logger and a function that returns its last lines, for runs that end without a report.
func newRecentLog() (log logr.Logger, lines func() string) {
	ring := make([]string, 0, 2*minLogLines)
	var mu sync.Mutex
	log = funcr.New(func(prefix, args string) {
		mu.Lock()
		defer mu.Unlock()
		if len(ring) == cap(ring) {
			ring = append(ring[:0], ring[minLogLines:]...)
		}
		ring = append(ring, time.Now().Format("05.000 ")+prefix+args)
	}, funcr.Options{})
	return log, func() string {
		mu.Lock()
		defer mu.Unlock()
		return strings.Join(ring, "\n")
	}
}

func expectRecovery(t *testing.T, seed uint64, faults ...*Fault) {
	t.Helper()
	names := make([]string, 0, len(faults))
	for _, fault := range faults {
		names = append(names, fault.Name)
	}
	t.Run(strings.Join(names, " + "), func(t *testing.T) {
		reporter.SkipKnownFailures(t)
		t.Parallel()
		acquireSystemSlot(t)
		log, lines := newRecentLog()
		ctx, cancel := context.WithTimeout(t.Context(), runTimeout)
		defer cancel()
		report, err := Run(ctx, Config{Faults: faults, Seed: seed, Dir: t.TempDir(), Log: log})
		if err != nil {
			t.Log(lines())
		}
		require.NoError(t, err, "seed %d", seed)
		t.Logf("%s: seed %d: %s", strings.Join(names, " + "), seed, report)
		require.Empty(t, report.Violations, "seed %d", seed)
	})
}

// Guards against a fault that breaks an invariant or from which the system does not recover within the bounds.
func TestFaults(t *testing.T) {
	t.Parallel()
	for i, fault := range Faults {
		if testing.Short() && i%shortStride != 0 {
			continue
		}
		expectRecovery(t, seed(t), fault)
	}
}

// Guards against faults that are harmless alone and break an invariant together. The seed chooses the pairs;
// FAULTS_PAIRS is their number or "all".
func TestPairs(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("pairs run without -short")
	}
	pairs := Pairs(Faults, seed(t))
	switch value := os.Getenv("FAULTS_PAIRS"); value {
	case "":
		pairs = pairs[:defaultPairs]
	case "all":
	default:
		n, err := strconv.Atoi(value)
		require.NoError(t, err)
		pairs = pairs[:min(n, len(pairs))]
	}
	for _, p := range pairs {
		expectRecovery(t, seed(t), p...)
	}
}

// Guards against a relay whose frozen connections close or pass data, or that stops accepting new ones: the fault
// "connections go silent" would then test something else.
func TestRelayFreezesOnlyOpenConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	r, err := NewRelay()
	require.NoError(t, err)
	t.Cleanup(r.Close)
	r.Start(l.Addr().String())
	old := expectEcho(t, r.Addr())
	require.Equal(t, 1, r.Freeze())
	_, err = old.Write([]byte("x"))
	require.NoError(t, err)
	require.NoError(t, old.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = old.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	expectEcho(t, r.Addr())
}

func expectEcho(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = c.Write([]byte("ping"))
	require.NoError(t, err)
	answer := make([]byte, 4)
	_, err = io.ReadFull(c, answer)
	require.NoError(t, err)
	require.Equal(t, "ping", string(answer))
	return c
}

// Guards against a fault injector that passes whatever happens: it must detect calls that fail without an exemption.
func TestRunnerSeesAFaultThatIsNotAllowed(t *testing.T) {
	t.Parallel()
	acquireSystemSlot(t)
	fault := &Fault{Name: "all servers fail", MaxRecoveryDuring: time.Millisecond, Inject: func(_ context.Context, s *Testbed) (heal, error) {
		for _, b := range s.Backends {
			b.UpdateBehaviour(func(h *faker.Behaviour) { h.FailShare = 0.2 })
		}
		return func(context.Context) error { return nil }, nil
	}, MaxRecoveryAfter: time.Millisecond, HoldTime: time.Second}
	report, err := Run(t.Context(), Config{Faults: []*Fault{fault}, Seed: 1, Dir: t.TempDir(), Log: logr.Discard()})
	require.NoError(t, err)
	text := strings.Join(report.Violations, "\n")
	require.Contains(t, text, "only after")
	require.Contains(t, text, "calls failed that the design does not allow to")
}
