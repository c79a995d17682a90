package promoter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

// Guards against a bad version that keeps its share while the servers of the old version are full: timeouts of the
// old version must not excuse the new version's own failures.
func TestPlainFailuresEndARolloutWhileOldServersAreFull(t *testing.T) {
	c := NewCore()
	now := time.UnixMilli(1_000_000)
	r := sycamorevane.Rollout{
		ID: "r", Service: "s", FromVersion: "v1", ToVersion: "v2", Phase: sycamorevane.RolloutTrial, Share: 0.08,
		StartedAt: now.UnixMilli(), Deadline: now.Add(16 * time.Second).UnixMilli(), ChangedAt: now.UnixMilli(),
	}
	versions := Capacity{Old: VersionCapacity{Servers: 20, Slots: 80, Warm: 20}, New: VersionCapacity{Servers: 20, Slots: 80, Warm: 20}}
	step := func() Step {
		s := c.Step(Input{
			Now: now, Rollouts: map[string]sycamorevane.Rollout{"s": r}, Capacity: map[string]Capacity{"s": versions},
		})["s"]
		now = now.Add(time.Second)
		return s
	}
	step()
	failures := 0
	for second := range uint64(10) {
		oldCounts, newCounts := make([]uint32, outcomeKinds), make([]uint32, outcomeKinds)
		oldCounts[sycamorevane.OutcomeOK], oldCounts[sycamorevane.OutcomeTimeout] = 60, 60
		newCounts[sycamorevane.OutcomeOK], newCounts[sycamorevane.OutcomeFailed] = 4, 6
		failures += 6
		c.Add("e", &encoder.Evidence{Boot: 1, Windows: []*encoder.EvidenceWindow{{
			Sequence: second + 1,
			Moves: []*encoder.EvidenceMove{{Service: "s", Rollout: "r", Cells: []*encoder.EvidenceCell{
				{Route: "a", Counts: oldCounts}, {To: true, Route: "a", Counts: newCounts},
			}}},
		}}})
		if step().Phase == sycamorevane.RolloutReverting {
			break
		}
	}
	require.LessOrEqual(t, failures, obviousFailures, "bad answers before the revert")
}

// Guards against a short rollout that spends much of its time waiting for the initial evidence.
func TestFirstShareOfAShortRollout(t *testing.T) {
	for allowed, want := range map[time.Duration]float64{shortRollout - time.Second: 0.08, shortRollout: initialShare} {
		c := NewCore()
		now := time.UnixMilli(1_000_000)
		r := sycamorevane.Rollout{
			ID: "r", Service: "s", FromVersion: "v1", ToVersion: "v2", Phase: sycamorevane.RolloutWaiting,
			StartedAt: now.UnixMilli(), Deadline: now.Add(allowed).UnixMilli(),
		}
		steps := c.Step(Input{
			Now: now, Rollouts: map[string]sycamorevane.Rollout{"s": r}, Ceilings: map[string]float64{"s": 0.08},
			Capacity: map[string]Capacity{"s": {New: VersionCapacity{Servers: 2, Slots: 8, Warm: 2}}},
		})
		require.InDelta(t, want, steps["s"].Share, 1e-9, allowed)
	}
}
