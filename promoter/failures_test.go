package promoter

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

// evidence is a window of one route with the given answers, by side.
func evidence(sequence uint64, ok, failed [2]uint32) *encoder.Evidence {
	m := &encoder.EvidenceMove{Service: "flagboard", Rollout: "r1"}
	for side := range ok {
		counts := make([]uint32, outcomeKinds)
		counts[sycamorevane.OutcomeOK], counts[sycamorevane.OutcomeFailed] = ok[side], failed[side]
		m.Cells = append(m.Cells, &encoder.EvidenceCell{To: side == 1, Route: "read", Counts: counts})
	}
	return &encoder.Evidence{Boot: 1, Windows: []*encoder.EvidenceWindow{{Sequence: sequence, Moves: []*encoder.EvidenceMove{m}}}}
}

// Guards against a version that gets calls for seconds after it has begun to fail, and a revert for failures of another cause.
func TestFailuresBetweenDecisions(t *testing.T) {
	limit := ExposureLimit{Share: 0.1, Calls: 50}
	for name, tc := range map[string]struct {
		phase      sycamorevane.RolloutPhase
		limit      ExposureLimit
		ok, failed [2]uint32
		want       bool
	}{
		"half fails":               {sycamorevane.RolloutMoving, ExposureLimit{}, [2]uint32{20, 20}, [2]uint32{0, 20}, true},
		"a quarter fails":          {sycamorevane.RolloutMoving, ExposureLimit{}, [2]uint32{20, 75}, [2]uint32{0, 25}, true},
		"few failures":             {sycamorevane.RolloutMoving, ExposureLimit{}, [2]uint32{20, 95}, [2]uint32{0, 5}, false},
		"a tenth fails":            {sycamorevane.RolloutMoving, ExposureLimit{}, [2]uint32{20, 90}, [2]uint32{0, 10}, false},
		"the old version does too": {sycamorevane.RolloutMoving, ExposureLimit{}, [2]uint32{100, 75}, [2]uint32{40, 25}, false},
		"some failures, no limit":  {sycamorevane.RolloutMoving, ExposureLimit{}, [2]uint32{20, 60}, [2]uint32{0, 15}, false},
		"some failures":            {sycamorevane.RolloutMoving, limit, [2]uint32{20, 60}, [2]uint32{0, 15}, true},
		"some failures, trial":     {sycamorevane.RolloutTrial, limit, [2]uint32{20, 60}, [2]uint32{0, 15}, false},
		"few failures, limit":      {sycamorevane.RolloutMoving, limit, [2]uint32{20, 95}, [2]uint32{0, 5}, false},
		"taken over":               {sycamorevane.RolloutDone, ExposureLimit{}, [2]uint32{0, 20}, [2]uint32{0, 20}, false},
	} {
		t.Run(name, func(t *testing.T) {
			core := NewCore()
			in := Input{Now: time.Unix(1e9, 0), Rollouts: rolloutMap(testRollout(tc.phase, 0.9)), Exposure: tc.limit}
			core.Step(in)
			core.Add("e1", evidence(1, [2]uint32{2000, 2000}, [2]uint32{}))
			in.Now = in.Now.Add(time.Second)
			core.Step(in)
			require.Empty(t, core.Alarms(in), "good answers")
			core.Add("e1", evidence(2, tc.ok, tc.failed))
			s, reverts := core.Alarms(in)["flagboard"]
			require.Equal(t, tc.want, reverts)
			if tc.want {
				require.Equal(t, sycamorevane.RolloutReverting, s.Phase)
				require.Zero(t, s.Share)
			}
		})
	}
}

func expectAlarm(t *testing.T, c *Collector, want bool) {
	t.Helper()
	select {
	case <-c.Alarm():
		require.True(t, want, "alarm")
	default:
		require.False(t, want, "no alarm")
	}
}

func TestAlarm(t *testing.T) {
	for name, tc := range map[string]struct {
		version string
		kind    sycamorevane.OutcomeKind
		n       int
		want    bool
	}{
		"failures":                {"2", sycamorevane.OutcomeFailed, alarmFailures, true},
		"a single failure":        {"2", sycamorevane.OutcomeFailed, alarmFailures - 1, false},
		"good answers":            {"2", sycamorevane.OutcomeOK, 100, false},
		"failures of the old one": {"1", sycamorevane.OutcomeFailed, 100, false},
	} {
		t.Run(name, func(t *testing.T) {
			c, _ := newTestCollector()
			observe(c, tc.version, tc.kind, tc.n)
			expectAlarm(t, c, tc.want)
		})
	}
	t.Run("failures of two windows", func(t *testing.T) {
		c, _ := newTestCollector()
		observe(c, "2", sycamorevane.OutcomeFailed, 1)
		c.Summary()
		observe(c, "2", sycamorevane.OutcomeFailed, 1)
		expectAlarm(t, c, false)
		observe(c, "2", sycamorevane.OutcomeFailed, 1)
		expectAlarm(t, c, true)
	})
}

func newTestReporter(transport *localTransport, c *Collector) *Reporter {
	return NewReporter(ReporterConfig{Transport: transport, Collector: c, Log: logr.Discard(), LeaderName: func() string { return "c1" }})
}

// TestLastCallsOfAnEntryAreReported guards against calls of a bad version that are not counted because their entry stops.
func TestLastCallsOfAnEntryAreReported(t *testing.T) {
	c, _ := newTestCollector()
	transport := &localTransport{}
	core := NewCore()
	core.Step(Input{Now: time.Unix(1e9, 0), Rollouts: rolloutMap(testRollout(sycamorevane.RolloutMoving, 0.9))})
	transport.Handle(&encoder.Evidence{}, func(from string, m proto.Message) proto.Message {
		return core.Add(from, m.(*encoder.Evidence))
	})
	r := newTestReporter(transport, c)
	observe(c, "2", sycamorevane.OutcomeFailed, 3)
	r.Flush()
	r.Close()
	require.InDelta(t, 3, core.evaluations["flagboard"].answers.failures[1], 0)
	require.Nil(t, c.Summary(), "reported calls are acknowledged")
}

// Guards against reports of failures, and decisions on them, that wait for the next interval.
func TestFailuresAreReportedAndActedOnAtOnce(t *testing.T) {
	defer goleak.VerifyNone(t)
	c, clock := newTestCollector()
	transport := &localTransport{}
	submitted := make(chan Step, 1)
	p := New(Config{
		Transport: transport, Clock: clock, Log: logr.Discard(), IsLeader: func() bool { return true },
		State: func() sycamorevane.State {
			return sycamorevane.State{Rollouts: rolloutMap(testRollout(sycamorevane.RolloutMoving, 0.9))}
		},
		Capacity: func() map[string]Capacity { return nil },
		Submit: func(_ context.Context, _ string, s Step) error {
			submitted <- s
			return nil
		},
	})
	r := newTestReporter(transport, c)
	ctx, stop := context.WithCancel(context.Background())
	defer p.wg.Wait()
	defer stop()
	p.decide(ctx)
	p.wg.Go(func() { p.run(ctx, nil) })
	p.wg.Go(func() { r.run(ctx, nil) })
	observe(c, "2", sycamorevane.OutcomeFailed, 2*obviousFailures)
	select {
	case s := <-submitted:
		require.Equal(t, sycamorevane.RolloutReverting, s.Phase)
	case <-time.After(10 * time.Second):
		require.Fail(t, "no decision")
	}
}

// TestStepsLeaveCallsForTheNext guards against a share at which a version that turns bad exceeds what it may get.
func TestStepsLeaveCallsForTheNext(t *testing.T) {
	limit := ExposureLimit{Share: 0.1, Calls: 50}
	for name, tc := range map[string]struct {
		limit             ExposureLimit
		rate, used        float64
		from, share, want float64
	}{
		"room for the step":         {limit, 300, 40, 0.08, 0.2, 0.2},
		"room for a small step":     {limit, 300, 40, 0.08, 0.1, 0.1},
		"room for a smaller step":   {limit, 300, 120, 0.08, 0.5, 0.31},
		"no room before the last":   {limit, 300, 250, 0.08, 0.3, 0.9},
		"too few calls to see":      {limit, 60, 50, 0.08, 0.3, 0.9},
		"the last share":            {limit, 300, 500, 0.3, 0.9, 0.9},
		"hardly more than now":      {limit, 300, 120, 0.3, 0.5, 0.9},
		"without a limit":           {ExposureLimit{}, 300, 1e6, 0.08, 0.5, 0.5},
		"before calls are reported": {limit, 0, 0, 0.08, 0.5, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			r := testRollout(sycamorevane.RolloutMoving, tc.from)
			r.Deadline = r.StartedAt + 16_000
			x := exposure{limit: tc.limit, newCalls: tc.used, recentCalls: tc.rate, recentTime: time.Second}
			s := x.limitStep(r, Step{Phase: sycamorevane.RolloutMoving, FromShare: tc.from, Share: tc.share})
			require.InDelta(t, tc.want, s.Share, 0.01)
		})
	}
}

// expectPhaseAfterTrial checks the decision on a rollout with a limit and the evidence that set adds.
func expectPhaseAfterTrial(t *testing.T, want sycamorevane.RolloutPhase, set func(*evaluation)) {
	t.Helper()
	b := newHarness(sycamorevane.RolloutMoving, 0.5)
	b.exposure = ExposureLimit{Share: 0.1, Calls: 50}
	for range 2 {
		b.runSecond(100, 100, sycamorevane.OutcomeOK)
	}
	set(b.core.evaluations["flagboard"])
	b.decide()
	require.Equal(t, want, b.rollout.Phase)
}

// TestSlowCallsAfterTheTrialNeedFullEvidence guards against a good version that is reverted for a few slow calls of one route.
func TestSlowCallsAfterTheTrialNeedFullEvidence(t *testing.T) {
	for name, tc := range map[string]struct {
		errors, latency float64
		want            sycamorevane.RolloutPhase
	}{
		"errors":  {2 * limitedRevertThreshold, 0, sycamorevane.RolloutReverting},
		"latency": {0, 2 * limitedRevertThreshold, sycamorevane.RolloutMoving},
	} {
		t.Run(name, func(t *testing.T) {
			expectPhaseAfterTrial(t, tc.want, func(e *evaluation) {
				e.routes["read"].errorEvidence, e.routes["read"].tailEvidence = tc.errors, tc.latency
			})
		})
	}
}

// TestSlowVersionIsRevertedAfterTheTrial guards against a version that gets calls for further seconds although all are slow.
func TestSlowVersionIsRevertedAfterTheTrial(t *testing.T) {
	expectPhaseAfterTrial(t, sycamorevane.RolloutReverting, func(e *evaluation) { e.all.shiftEvidence = 2 * limitedRevertThreshold })
}

// TestNewLeaderCountsEarlierCalls guards against a leader that takes a limit for unused because it has seen no calls.
func TestNewLeaderCountsEarlierCalls(t *testing.T) {
	b := newHarness(sycamorevane.RolloutMoving, 0.9)
	b.exposure = ExposureLimit{Share: 0.1}
	b.clock.now = b.clock.now.Add(20 * time.Second)
	for range 2 {
		b.runSecond(30, 270, sycamorevane.OutcomeOK)
	}
	e := b.core.evaluations["flagboard"]
	require.True(t, e.exposure.spent(b.rollout))
	require.InDelta(t, 300*0.9*21, e.exposure.used(), 300)
}
