package promoter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

// Guards against a revert to a version whose servers have stopped: no server would be left for any request.
func TestFinalRolloutIsNotRevertedAfterItIsDone(t *testing.T) {
	require.False(t, revertsAfterDone(true))
	require.True(t, revertsAfterDone(false), "the same evidence reverts a rollout that can be rolled back")
}

// revertsAfterDone runs twenty seconds in which the trial goes well and then all calls of the new version fail. It
// reports whether the rollout is reverted.
func revertsAfterDone(final bool) bool {
	c := NewCore()
	now := time.UnixMilli(1_000_000)
	r := sycamorevane.Rollout{
		ID: "r", Service: "s", FromVersion: "v1", ToVersion: "v2", Phase: sycamorevane.RolloutMoving, Share: 0.5, Irreversible: final, ChangedAt: now.UnixMilli(),
		StartedAt: now.UnixMilli(), Deadline: now.Add(16 * time.Second).UnixMilli(),
	}
	versions := Capacity{Old: VersionCapacity{Servers: 20, Slots: 80, Warm: 20}, New: VersionCapacity{Servers: 20, Slots: 80, Warm: 20}}
	for second := range uint64(20) {
		kind := sycamorevane.OutcomeOK
		if second >= 8 {
			r.Phase, r.Share = sycamorevane.RolloutDone, 1
			kind = sycamorevane.OutcomeFailed
		}
		newCounts, oldCounts := make([]uint32, outcomeKinds), make([]uint32, outcomeKinds)
		newCounts[kind] = 200
		cells := []*encoder.EvidenceCell{{To: true, Route: "a", Counts: newCounts}}
		if second < 8 {
			oldCounts[sycamorevane.OutcomeOK] = 200
			cells = append(cells, &encoder.EvidenceCell{Route: "a", Counts: oldCounts})
		}
		c.Add("e", &encoder.Evidence{Boot: 1, Windows: []*encoder.EvidenceWindow{{
			Sequence: second + 1, Moves: []*encoder.EvidenceMove{{Service: "s", Rollout: "r", Cells: cells}},
		}}})
		steps := c.Step(Input{
			Now: now, Rollouts: map[string]sycamorevane.Rollout{"s": r}, Capacity: map[string]Capacity{"s": versions},
		})
		if steps["s"].Phase == sycamorevane.RolloutReverting {
			return true
		}
		now = now.Add(time.Second)
	}
	return false
}
