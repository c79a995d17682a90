package accountant

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/applier"
	"sycamorevane.example/sycamorevane/encoder"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// localTransport delivers each message to the handlers of the same process.
type localTransport struct {
	handlers map[protoreflect.FullName]sycamorevane.Handler
}

func (l *localTransport) Send(string, proto.Message) error { return nil }
func (l *localTransport) Peers() []sycamorevane.Peer       { return nil }
func (l *localTransport) Self() string                     { return "c0" }
func (l *localTransport) Handle(m proto.Message, h sycamorevane.Handler) {
	l.handlers[m.ProtoReflect().Descriptor().FullName()] = h
}

func (l *localTransport) Call(_ context.Context, _ string, m proto.Message) (proto.Message, error) {
	if reply := l.handlers[m.ProtoReflect().Descriptor().FullName()]("e0", m); reply != nil {
		return reply, nil
	}
	return nil, errors.New("no reply")
}

type recordingSender struct {
	mu      sync.Mutex
	reports []Report
}

func (s *recordingSender) Send(_ context.Context, r Report) (Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports = append(s.reports, r)
	return ResultAccepted, nil
}

func (s *recordingSender) total(workspace string) (n uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.reports {
		n += r.Counts[workspace]
	}
	return n
}

// Guards against drivers that lose counts between the entry, the log and the platform, in particular the last counts of an
// entry that shuts down, or that send a window again after its delivery was committed.
func TestCountsReachThePlatformOnce(t *testing.T) {
	machine, sender := applier.New(), &recordingSender{}
	transport := &localTransport{handlers: make(map[protoreflect.FullName]sycamorevane.Handler)}
	index := uint64(0)
	propose := func(change *applier.UsageChange) error {
		data, err := applier.Encode(applier.Command{Op: applier.OpUsage, Args: applier.Args{Usage: change}})
		index++
		machine.Apply(sycamorevane.LogEntry{Index: index, Data: data})
		return err
	}
	a := NewAccountant(DriverConfig{
		Config: Config{Window: time.Second, Late: 4 * time.Second, Lease: 200 * time.Millisecond, CallRate: 20},
		Name:   "core-1", Transport: transport, Sender: sender, Leader: func() (bool, uint64) { return true, 7 },
		Confirm: func(context.Context) error { return nil }, Members: func() []string { return []string{"c0"} },
		Committed: machine.Usage, Propose: propose, Log: logr.Discard(), Metrics: tally.NoopScope,
	})
	counter := NewCounter(time.Now())
	r := NewReporter(ReporterConfig{
		Transport: transport, Counter: counter, LeaderName: func() string { return "c0" }, Log: logr.Discard(), Metrics: tally.NoopScope,
	})
	a.Start()
	r.Start()
	for range 100 {
		counter.Started("kaje80", time.Now())
		time.Sleep(15 * time.Millisecond)
	}
	rejected := time.Now()
	counter.Started("kaje80", rejected)
	counter.Rejected("kaje80", rejected)
	counter.Started("vopu11", time.Now())
	r.Close(context.Background())
	require.Eventually(t, func() bool { return sender.total("kaje80") == 100 && sender.total("vopu11") == 1 }, 8*time.Second, 20*time.Millisecond)
	time.Sleep(time.Second)
	a.Close()
	seen := sycamorevane.NewSet[int64]()
	for _, report := range sender.reports {
		require.False(t, seen.Has(report.Window), "window %d was sent twice", report.Window)
		seen.Add(report.Window)
		require.Equal(t, []any{"core-1", uint64(7)}, []any{report.Holder, report.Token})
	}
	require.EqualValues(t, 100, sender.total("kaje80"))
}

// Guards against an entry that exceeds its memory without a leader, and against a report that exceeds the size of a message.
func TestCounterIsBounded(t *testing.T) {
	start := time.Unix(0, 0)
	c := NewCounter(start)
	at := start
	for range maxPairs + 100 {
		at = at.Add(CellWidth)
		c.Started("w", at)
	}
	require.Equal(t, maxPairs, c.pairs)
	require.EqualValues(t, 100, c.Dropped())
	m := c.Report(at.Add(time.Second), false)
	require.Len(t, m.Cells, maxReportPairs)
	require.Equal(t, m.Cells[maxReportPairs-1].Index+1, m.Until)
	require.True(t, validReport(m))
}

// Guards against a leader that ends because of a malformed report.
func TestMalformedReportsAreRefused(t *testing.T) {
	cell := func(counts ...uint32) []*encoder.UsageCell { return []*encoder.UsageCell{{Index: 5, Counts: counts}} }
	for name, m := range map[string]*encoder.UsageReport{
		"no width":           {Until: 9},
		"order":              {Width: 100_000, First: 9, Until: 8},
		"cell out of range":  {Width: 100_000, Until: 5, Cells: cell()},
		"odd counts":         {Width: 100_000, Until: 9, Cells: cell(1)},
		"unknown workspace":  {Width: 100_000, Until: 9, Cells: cell(0, 4)},
		"times out of range": {Width: 1 << 63, Sent: 1 << 63, Until: 1 << 63},
	} {
		var l ledger
		require.False(t, l.add(time.Hour, "e", m), name)
		require.Empty(t, l.sources, name)
	}
}

// Guards against true time that follows a minority of wall clocks, or the own one without a majority.
func TestTrueTimeIsTheMedian(t *testing.T) {
	var c trueClock
	members := []string{"a", "b", "c"}
	c.add("a", time.Hour, time.Second, time.Second)
	_, known := c.offset(time.Second, members)
	require.False(t, known)
	c.add("b", 100*time.Second, 0, 2*time.Millisecond)
	c.add("c", 100*time.Second, 0, 4*time.Millisecond)
	offset, known := c.offset(time.Second, members)
	require.True(t, known)
	require.InDelta(t, 100*time.Second, offset, float64(2*time.Millisecond))
	require.Equal(t, []string{"a"}, c.outliers(time.Second, offset, members))
	c.add("b", 200*time.Second, time.Second, 2*time.Second)
	again, _ := c.offset(2*time.Second, members)
	require.Equal(t, offset, again, "a reading with a long round trip is ignored")
	_, known = c.offset(time.Minute, members)
	require.False(t, known, "old readings are not used")
}
