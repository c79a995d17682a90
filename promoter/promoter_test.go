package promoter

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

type testClock struct{ now time.Time }

func (c *testClock) Now() time.Time { return c.now }

func testRollout(phase sycamorevane.RolloutPhase, share float64) sycamorevane.Rollout {
	start := time.Unix(1e9, 0)
	return sycamorevane.Rollout{
		ID: "r1", Service: "flagboard", FromVersion: "1", ToVersion: "2", Phase: phase, Share: share,
		StartedAt: start.UnixMilli(), Deadline: start.Add(time.Minute).UnixMilli(), ChangedAt: start.UnixMilli(),
	}
}

func rolloutMap(r sycamorevane.Rollout) map[string]sycamorevane.Rollout {
	return map[string]sycamorevane.Rollout{r.Service: r}
}

func newTestCollector() (*Collector, *testClock) {
	clock := &testClock{now: time.Unix(1e9, 0)}
	c := NewCollector(clock)
	c.Update(rolloutMap(testRollout(sycamorevane.RolloutTrial, 0.01)))
	return c, clock
}

func observe(c *Collector, version string, kind sycamorevane.OutcomeKind, n int) {
	for range n {
		c.Observe("flagboard", version, "read", sycamorevane.Outcome{Kind: kind, Latency: 20 * time.Millisecond})
	}
}

// newTestCore returns a Core that evaluates the rollout of the test collector.
func newTestCore() *Core {
	core := NewCore()
	core.Step(Input{Now: time.Unix(1e9, 0), Rollouts: rolloutMap(testRollout(sycamorevane.RolloutTrial, 0.01))})
	return core
}

func expectCounted(t *testing.T, core *Core, calls float64) {
	t.Helper()
	got := 0.0
	for _, w := range core.evaluations["flagboard"].window {
		got += w.calls[0] + w.calls[1]
	}
	require.InDelta(t, calls, got, 0)
}

// TestEvidenceDelivery guards against evidence that is lost with a message or counted twice after it is sent again.
func TestEvidenceDelivery(t *testing.T) {
	t.Run("lost message is sent again", func(t *testing.T) {
		c, _ := newTestCollector()
		core := newTestCore()
		observe(c, "1", sycamorevane.OutcomeOK, 3)
		_ = c.Summary()
		observe(c, "2", sycamorevane.OutcomeOK, 4)
		core.Add("e1", c.Summary())
		expectCounted(t, core, 7)
	})
	t.Run("lost acknowledgement does not count twice", func(t *testing.T) {
		c, _ := newTestCollector()
		core := newTestCore()
		observe(c, "1", sycamorevane.OutcomeOK, 3)
		core.Add("e1", c.Summary())
		observe(c, "2", sycamorevane.OutcomeOK, 4)
		ack := core.Add("e1", c.Summary())
		expectCounted(t, core, 7)
		c.Acknowledge(ack)
		require.Nil(t, c.Summary())
	})
	t.Run("restarted entry counts anew", func(t *testing.T) {
		core := newTestCore()
		for range 2 {
			c, _ := newTestCollector()
			observe(c, "1", sycamorevane.OutcomeOK, 3)
			core.Add("e1", c.Summary())
		}
		expectCounted(t, core, 6)
	})
	t.Run("acknowledgement of an earlier start is ignored", func(t *testing.T) {
		c, _ := newTestCollector()
		observe(c, "1", sycamorevane.OutcomeOK, 1)
		e := c.Summary()
		c.Acknowledge(&encoder.EvidenceAck{Boot: e.Boot + 1, Sequence: 100})
		require.NotNil(t, c.Summary())
	})
	t.Run("evidence of an earlier rollout does not count", func(t *testing.T) {
		c, _ := newTestCollector()
		observe(c, "1", sycamorevane.OutcomeOK, 3)
		core := NewCore()
		r := testRollout(sycamorevane.RolloutTrial, 0.01)
		r.ID = "r2"
		core.Step(Input{Now: time.Unix(1e9, 0), Rollouts: rolloutMap(r)})
		core.Add("e1", c.Summary())
		expectCounted(t, core, 0)
	})
	t.Run("pending windows are bounded and lose nothing", func(t *testing.T) {
		c, _ := newTestCollector()
		core := newTestCore()
		for range 3 * maxPending {
			observe(c, "1", sycamorevane.OutcomeOK, 1)
			require.LessOrEqual(t, len(c.Summary().Windows), maxPending)
		}
		c.Acknowledge(core.Add("e1", c.Summary()))
		c.Acknowledge(core.Add("e1", c.Summary()))
		expectCounted(t, core, 3*maxPending)
	})
}

// TestColdCallsAreNotSlow guards against a good version that is reverted for calls that began on cold servers and end when
// the servers are warm.
func TestColdCallsAreNotSlow(t *testing.T) {
	for name, tc := range map[string]struct {
		cold bool
		want int
	}{"cold": {true, 0}, "warm": {false, 1}} {
		t.Run(name, func(t *testing.T) {
			c, _ := newTestCollector()
			c.Observe("flagboard", "2", "read", sycamorevane.Outcome{Latency: time.Second, Cold: tc.cold})
			cell := c.Summary().Windows[0].Moves[0].Cells[0]
			require.Equal(t, uint32(1), cell.Counts[sycamorevane.OutcomeOK], "the call counts as answered")
			require.Len(t, cell.Bins, 2*tc.want)
		})
	}
}

// TestCollectorScope guards against costs and messages for services without a rollout.
func TestCollectorScope(t *testing.T) {
	cases := map[string]struct {
		phase sycamorevane.RolloutPhase
		after time.Duration
		want  bool
	}{
		"trial":                {sycamorevane.RolloutTrial, 0, true},
		"reverting":            {sycamorevane.RolloutReverting, 0, true},
		"reverted":             {sycamorevane.RolloutReverted, 0, false},
		"recently done":        {sycamorevane.RolloutDone, minWatchPeriod / 2, true},
		"done and watch over":  {sycamorevane.RolloutDone, 2 * minWatchPeriod, false},
		"unfinished, long ago": {sycamorevane.RolloutMoving, time.Hour, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c, clock := newTestCollector()
			c.Update(rolloutMap(testRollout(tc.phase, 0)))
			clock.now = clock.now.Add(tc.after)
			c.Summary()
			observe(c, "2", sycamorevane.OutcomeOK, 1)
			require.Equal(t, tc.want, c.Summary() != nil)
		})
	}
	t.Run("other version", func(t *testing.T) {
		c, _ := newTestCollector()
		observe(c, "0", sycamorevane.OutcomeOK, 1)
		require.Nil(t, c.Summary())
	})
}

// TestGuard guards against an entry that keeps sending calls to a version that fails there, and against blocking a
// version for failures with another cause.
func TestGuard(t *testing.T) {
	cases := map[string]struct {
		kind    sycamorevane.OutcomeKind
		n       int
		old     sycamorevane.OutcomeKind
		blocked bool
	}{
		"fails":             {sycamorevane.OutcomeFailed, guardFailures, sycamorevane.OutcomeOK, true},
		"breaks":            {sycamorevane.OutcomeIncomplete, guardFailures, sycamorevane.OutcomeOK, true},
		"fails too rarely":  {sycamorevane.OutcomeFailed, guardFailures - 1, sycamorevane.OutcomeOK, false},
		"sheds when cold":   {sycamorevane.OutcomeShed, 20, sycamorevane.OutcomeOK, false},
		"callers leave":     {sycamorevane.OutcomeCancelled, 20, sycamorevane.OutcomeOK, false},
		"old one fails too": {sycamorevane.OutcomeFailed, 20, sycamorevane.OutcomeFailed, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c, clock := newTestCollector()
			observe(c, "1", tc.old, 64)
			observe(c, "2", tc.kind, tc.n)
			require.Equal(t, tc.blocked, c.Blocked("flagboard", "2"))
			require.False(t, c.Blocked("flagboard", "1"))
			clock.now = clock.now.Add(minBlockTime)
			require.False(t, c.Blocked("flagboard", "2"), "the block ends")
		})
	}
	t.Run("one failure is enough after a hold", func(t *testing.T) {
		c, clock := newTestCollector()
		observe(c, "2", sycamorevane.OutcomeFailed, guardFailures)
		clock.now = clock.now.Add(minBlockTime)
		observe(c, "2", sycamorevane.OutcomeFailed, 1)
		require.True(t, c.Blocked("flagboard", "2"))
		clock.now = clock.now.Add(minBlockTime)
		require.True(t, c.Blocked("flagboard", "2"), "the second block is longer")
	})
}

// localTransport delivers calls to a handler in the same process.
type localTransport struct {
	mu      sync.Mutex
	handler sycamorevane.Handler
}

func (p *localTransport) Send(string, proto.Message) error { return &sycamorevane.UnreachableError{} }
func (p *localTransport) Peers() []sycamorevane.Peer       { return nil }
func (p *localTransport) Self() string                     { return "e1" }

func (p *localTransport) Handle(_ proto.Message, h sycamorevane.Handler) { p.handler = h }

func (p *localTransport) Call(_ context.Context, to string, m proto.Message) (proto.Message, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.handler("e1", m); r != nil {
		return r, nil
	}
	return nil, &sycamorevane.UnreachableError{Peer: to}
}

// TestPromoter guards against decisions by a host that is not the leader, evidence acknowledged by such a host, and a
// second submission of a step while the first is in progress.
func TestPromoter(t *testing.T) {
	defer goleak.VerifyNone(t)
	c, clock := newTestCollector()
	isLeader := false
	submitted := make(chan Step, 8)
	release := make(chan struct{})
	transport := &localTransport{}
	p := New(Config{
		Transport: transport, Clock: clock, Log: logr.Discard(),
		IsLeader: func() bool { return isLeader },
		State: func() sycamorevane.State {
			return sycamorevane.State{Rollouts: rolloutMap(testRollout(sycamorevane.RolloutWaiting, 0))}
		},
		Capacity: func() map[string]Capacity {
			return map[string]Capacity{"flagboard": {New: VersionCapacity{Servers: 1, Slots: 1}}}
		},
		Submit: func(_ context.Context, _ string, s Step) error {
			submitted <- s
			<-release
			return nil
		},
	})
	r := NewReporter(ReporterConfig{Transport: transport, Collector: c, Log: logr.Discard(), LeaderName: func() string { return "c1" }})
	ctx := context.Background()

	observe(c, "1", sycamorevane.OutcomeOK, 1)
	p.decide(ctx)
	r.report(ctx)
	require.NotNil(t, c.Summary(), "a host that is not the leader must not acknowledge")
	require.Empty(t, submitted)

	isLeader = true
	p.decide(ctx)
	r.report(ctx)
	require.Nil(t, c.Summary(), "the leader acknowledges")
	s := <-submitted
	require.Equal(t, sycamorevane.RolloutTrial, s.Phase)
	require.InDelta(t, initialShare, s.Share, 0)
	p.decide(ctx)
	require.Empty(t, submitted, "the first submission is still in progress")
	close(release)
	p.Close()
}

// TestObserveCost guards against allocations on the path of each call.
func TestObserveCost(t *testing.T) {
	c, _ := newTestCollector()
	o := sycamorevane.Outcome{Latency: 20 * time.Millisecond}
	c.Observe("flagboard", "2", "read", o)
	require.Zero(t, testing.AllocsPerRun(1000, func() { c.Observe("flagboard", "2", "read", o) }))
	require.Zero(t, testing.AllocsPerRun(1000, func() { c.Observe("corestore", "2", "read", o) }))
}

func BenchmarkObserve(b *testing.B) {
	c, _ := newTestCollector()
	o := sycamorevane.Outcome{Latency: 20 * time.Millisecond}
	b.Run("rollout", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			c.Observe("flagboard", "2", "read", o)
		}
	})
	b.Run("rollout, 10 goroutines on one route", func(b *testing.B) {
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				c.Observe("flagboard", "2", "read", o)
			}
		})
	})
	b.Run("no rollout", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			c.Observe("corestore", "2", "read", o)
		}
	})
}

// BenchmarkSummary reports the message size of one second's evidence of a rollout with three routes.
func BenchmarkSummary(b *testing.B) {
	c, _ := newTestCollector()
	size := 0
	for b.Loop() {
		for i, route := range []string{"read", "write", "rare"} {
			for j := range 30 {
				c.Observe("flagboard", "1", route, sycamorevane.Outcome{Latency: time.Duration(20+i*10+j) * time.Millisecond})
			}
			c.Observe("flagboard", "2", route, sycamorevane.Outcome{Latency: 20 * time.Millisecond})
		}
		e := c.Summary()
		size = proto.Size(e)
		c.Acknowledge(&encoder.EvidenceAck{Boot: c.incarnation, Sequence: c.sequence})
	}
	b.ReportMetric(float64(size), "B/message")
}
