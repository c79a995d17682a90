package promoter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/seeder"
)

var staffedCapacity = Capacity{Old: VersionCapacity{Servers: 4, Warm: 4, Slots: 16}, New: VersionCapacity{Servers: 4, Warm: 4, Slots: 16}}

// harness drives a Core second by second with synthetic evidence.
type harness struct {
	core      *Core
	collector *Collector
	clock     *testClock
	rollout   sycamorevane.Rollout
	capacity  Capacity
	exposure  ExposureLimit
}

func newHarness(phase sycamorevane.RolloutPhase, share float64) *harness {
	b := &harness{core: NewCore(), rollout: testRollout(phase, share), capacity: staffedCapacity}
	b.collector, b.clock = newTestCollector()
	b.collector.Update(rolloutMap(b.rollout))
	return b
}

// runSecond counts the calls of one second and applies the decision.
func (b *harness) runSecond(oldCalls, newCalls int, kind sycamorevane.OutcomeKind) {
	b.clock.now = b.clock.now.Add(time.Second)
	observe(b.collector, "1", sycamorevane.OutcomeOK, oldCalls)
	observe(b.collector, "2", kind, newCalls)
	if e := b.collector.Summary(); e != nil {
		b.collector.Acknowledge(b.core.Add("e1", e))
	}
	b.decide()
}

func (b *harness) decide() {
	steps := b.core.Step(Input{
		Now: b.clock.now, Rollouts: rolloutMap(b.rollout), Capacity: map[string]Capacity{"flagboard": b.capacity}, Exposure: b.exposure,
	})
	if s, ok := steps["flagboard"]; ok {
		b.rollout, _ = s.Apply(b.rollout, b.clock.now)
	}
	b.collector.Update(rolloutMap(b.rollout))
}

// TestCore guards against wrong decisions in single situations.
func TestCore(t *testing.T) {
	ok := sycamorevane.OutcomeOK
	t.Run("waits for servers and is late early", func(t *testing.T) {
		b := newHarness(sycamorevane.RolloutWaiting, 0)
		b.capacity.New = VersionCapacity{}
		for range 20 {
			b.runSecond(100, 0, ok)
		}
		require.Equal(t, sycamorevane.RolloutWaiting, b.rollout.Phase)
		require.True(t, b.rollout.DeadlineAtRisk, "a third of the time has passed without a server")
	})
	t.Run("reverts at the deadline", func(t *testing.T) {
		b := newHarness(sycamorevane.RolloutMoving, 0.5)
		b.clock.now = time.UnixMilli(b.rollout.Deadline)
		b.decide()
		require.Equal(t, sycamorevane.RolloutReverting, b.rollout.Phase)
		require.Zero(t, b.rollout.Share)
	})
	t.Run("a trial that can no longer end in time is reverted by the deadline", func(t *testing.T) {
		b := newHarness(sycamorevane.RolloutTrial, 0.05)
		for b.clock.now.UnixMilli() < b.rollout.Deadline {
			b.runSecond(100, 0, ok)
		}
		require.Equal(t, sycamorevane.RolloutReverted, b.rollout.Phase)
	})
	t.Run("no calls, no growth", func(t *testing.T) {
		b := newHarness(sycamorevane.RolloutWaiting, 0)
		for range 50 {
			b.runSecond(100, 0, ok)
		}
		require.Equal(t, sycamorevane.RolloutTrial, b.rollout.Phase)
		require.InDelta(t, initialShare, b.rollout.Share, 0)
		require.True(t, b.rollout.DeadlineAtRisk, "the evidence cannot be collected in the time left")
	})
	t.Run("one failure among the first calls keeps the first share", func(t *testing.T) {
		b := newHarness(sycamorevane.RolloutTrial, initialShare)
		b.runSecond(100, 1, sycamorevane.OutcomeFailed)
		for range 4 {
			b.runSecond(100, 1, ok)
		}
		require.InDelta(t, initialShare, b.rollout.Share, 0)
	})
	t.Run("new leader needs fresh evidence at the committed share", func(t *testing.T) {
		b := newHarness(sycamorevane.RolloutMoving, 0.5)
		b.clock.now = b.clock.now.Add(40 * time.Second)
		for range 10 {
			b.runSecond(100, 0, ok)
		}
		require.InDelta(t, 0.5, b.rollout.Share, 0)
	})
	t.Run("share stays within usable slots", func(t *testing.T) {
		b := newHarness(sycamorevane.RolloutMoving, 0.1)
		b.capacity.Old.Running, b.capacity.New.Running, b.capacity.New.Slots = 18, 2, 5
		for range 60 {
			b.runSecond(100, 30, ok)
			require.LessOrEqual(t, b.rollout.Share, maxSlotUse*5/20)
		}
	})
	t.Run("a version with the old one's slots takes over at 90% load", func(t *testing.T) {
		b := newHarness(sycamorevane.RolloutMoving, 0.1)
		b.capacity.Old.Running, b.capacity.New.Running = 13, 2
		for range 50 {
			b.runSecond(100, 30, ok)
		}
		require.Equal(t, sycamorevane.RolloutDone, b.rollout.Phase)
	})
	t.Run("share follows slots that disappear", func(t *testing.T) {
		b := newHarness(sycamorevane.RolloutMoving, 0.9)
		b.capacity.Old.Running, b.capacity.New.Running, b.capacity.New.Slots = 2, 18, 10
		b.runSecond(10, 90, ok)
		require.LessOrEqual(t, b.rollout.Share, 0.5)
	})
	t.Run("unknown capacity holds the share", func(t *testing.T) {
		b := newHarness(sycamorevane.RolloutMoving, 0.1)
		for range 30 {
			b.clock.now = b.clock.now.Add(time.Second)
			require.Empty(t, b.core.Step(Input{Now: b.clock.now, Rollouts: rolloutMap(b.rollout)}))
		}
	})
	t.Run("servers that stop take the share to zero and in the end revert", func(t *testing.T) {
		b := newHarness(sycamorevane.RolloutTrial, 0.01)
		staffed := b.capacity.New
		for i := 0; i < 30 && b.rollout.Phase != sycamorevane.RolloutReverting; i++ {
			b.capacity.New = VersionCapacity{}
			if i%5 == 0 {
				b.capacity.New = staffed
			}
			b.runSecond(100, 0, ok)
			require.LessOrEqual(t, b.rollout.Share, initialShare)
		}
		require.Equal(t, sycamorevane.RolloutReverting, b.rollout.Phase)
	})
	t.Run("no revert after done without old servers", func(t *testing.T) {
		b := newHarness(sycamorevane.RolloutDone, 1)
		b.capacity.Old = VersionCapacity{}
		for range 10 {
			b.runSecond(0, 100, sycamorevane.OutcomeFailed)
		}
		require.Equal(t, sycamorevane.RolloutDone, b.rollout.Phase)
	})
	t.Run("revert after done by a leader without reference", func(t *testing.T) {
		b := newHarness(sycamorevane.RolloutDone, 1)
		for range 5 {
			b.runSecond(0, 100, ok)
		}
		for range 3 {
			b.runSecond(0, 100, sycamorevane.OutcomeFailed)
		}
		require.Equal(t, sycamorevane.RolloutReverting, b.rollout.Phase)
	})
	t.Run("no revert after the watch period", func(t *testing.T) {
		b := newHarness(sycamorevane.RolloutDone, 1)
		b.clock.now = b.clock.now.Add(WatchPeriod(b.rollout) + time.Second)
		for range 5 {
			b.runSecond(0, 100, sycamorevane.OutcomeFailed)
		}
		require.Equal(t, sycamorevane.RolloutDone, b.rollout.Phase)
	})
	t.Run("revert ends only when no call reaches the new version", func(t *testing.T) {
		b := newHarness(sycamorevane.RolloutReverting, 0)
		for range 6 {
			b.runSecond(100, 1, ok)
			require.Equal(t, sycamorevane.RolloutReverting, b.rollout.Phase)
		}
		for range 4 {
			b.runSecond(100, 0, ok)
		}
		require.Equal(t, sycamorevane.RolloutReverted, b.rollout.Phase)
	})
	t.Run("step of an earlier phase is not applied over a rollback", func(t *testing.T) {
		r := testRollout(sycamorevane.RolloutReverting, 0)
		_, applied := Step{ID: r.ID, FromPhase: sycamorevane.RolloutMoving, Phase: sycamorevane.RolloutMoving, Share: 0.5}.Apply(r, time.Unix(1e9, 0))
		require.False(t, applied)
	})
}

// TestShortRollout guards against a demand for evidence that a busy service cannot supply within the shortest time
// that a rollout may be allowed.
func TestShortRollout(t *testing.T) {
	const rate, ceiling = 300, 0.05
	b := newHarness(sycamorevane.RolloutWaiting, 0)
	b.rollout.Deadline = b.rollout.StartedAt + MinEvidenceTime(rate, ceiling).Milliseconds()
	for b.clock.now.UnixMilli() < b.rollout.Deadline && b.rollout.Phase != sycamorevane.RolloutDone {
		newCalls := int(rate * b.rollout.Share)
		b.runSecond(rate-newCalls, newCalls, sycamorevane.OutcomeOK)
	}
	require.Equal(t, sycamorevane.RolloutDone, b.rollout.Phase, b.rollout.Reason)
	require.LessOrEqual(t, elapsed(b.clock.now, b.rollout), 0.8)
	t.Logf("done after %.0f s of %v", b.clock.now.Sub(time.Unix(1e9, 0)).Seconds(), MinEvidenceTime(rate, ceiling))
}

// TestShareInvariants guards against a share above the ceiling during the trial, a share outside 0 to 1, and a share
// above zero after a revert, for arbitrary evidence and capacity.
func TestShareInvariants(t *testing.T) {
	seeder.FixSeed(t, 0)
	rapid.Check(t, func(t *rapid.T) {
		b := newHarness(sycamorevane.RolloutWaiting, 0)
		reverting := false
		for range rapid.IntRange(1, 70).Draw(t, "seconds") {
			b.capacity.New.Servers = rapid.IntRange(0, 4).Draw(t, "servers")
			b.capacity.New.Slots = rapid.IntRange(0, 16).Draw(t, "slots")
			b.capacity.New.Warm = rapid.IntRange(0, 4).Draw(t, "warm")
			b.capacity.Old.Running = rapid.IntRange(0, 20).Draw(t, "busy")
			kind := sycamorevane.OutcomeKind(rapid.IntRange(0, outcomeKinds-1).Draw(t, "kind"))
			b.runSecond(rapid.IntRange(0, 60).Draw(t, "old"), rapid.IntRange(0, 60).Draw(t, "new"), kind)
			reverting = reverting || b.rollout.Phase == sycamorevane.RolloutReverting
			require.True(t, b.rollout.Share >= 0 && b.rollout.Share <= 1, "share %v", b.rollout.Share)
			if b.rollout.Phase == sycamorevane.RolloutTrial {
				require.LessOrEqual(t, b.rollout.Share, 0.05)
			}
			if reverting {
				require.Zero(t, b.rollout.Share)
			}
		}
	})
}
