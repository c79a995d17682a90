package runner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/promoter"
)

// Guards against a step of a former leader that is committed after steps of the present one and takes a rollout back to an
// older share, from which it goes up again.
func TestLateStepOfAFormerLeader(t *testing.T) {
	up := promoter.Step{ID: "r", FromPhase: sycamorevane.RolloutMoving, Phase: sycamorevane.RolloutMoving, FromShare: 0.1, Share: 0.3}
	args := stepArgs("s", up)
	require.NotNil(t, args.Step.FromShare)
	require.Equal(t, 0.1, *args.Step.FromShare)
	r := sycamorevane.Rollout{ID: "r", Phase: sycamorevane.RolloutMoving, Share: 0.5}
	_, applied := up.Apply(r, time.Unix(1_000, 0))
	require.False(t, applied)
	r.Share = 0.1
	_, applied = up.Apply(r, time.Unix(1_000, 0))
	require.True(t, applied)
	t.Run("a step down is taken whatever the share is", func(t *testing.T) {
		down := promoter.Step{ID: "r", FromPhase: sycamorevane.RolloutMoving, Phase: sycamorevane.RolloutReverting, FromShare: 0.3}
		require.Nil(t, stepArgs("s", down).Step.FromShare)
		r.Share = 0.5
		moved, applied := down.Apply(r, time.Unix(1_000, 0))
		require.True(t, applied)
		require.Zero(t, moved.Share)
	})
}
