package runner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/promoter"
)

// Guards against a step of a former leader that is committed after steps of the current leader: it would reset a rollout to
// an older share, from which the share would have to rise again.
func TestLateStepOfAFormerLeader(t *testing.T) {
	stepUp := promoter.Step{ID: "r", FromPhase: sycamorevane.RolloutMoving, Phase: sycamorevane.RolloutMoving, FromShare: 0.1, Share: 0.3}
	args := stepArgs("s", stepUp)
	require.NotNil(t, args.Step.FromShare)
	require.Equal(t, 0.1, *args.Step.FromShare)
	rollout := sycamorevane.Rollout{ID: "r", Phase: sycamorevane.RolloutMoving, Share: 0.5}
	_, applied := stepUp.Apply(rollout, time.Unix(1_000, 0))
	require.False(t, applied)
	rollout.Share = 0.1
	_, applied = stepUp.Apply(rollout, time.Unix(1_000, 0))
	require.True(t, applied)
	t.Run("a step down is taken whatever the share is", func(t *testing.T) {
		stepDown := promoter.Step{ID: "r", FromPhase: sycamorevane.RolloutMoving, Phase: sycamorevane.RolloutReverting, FromShare: 0.3}
		require.Nil(t, stepArgs("s", stepDown).Step.FromShare)
		rollout.Share = 0.5
		moved, applied := stepDown.Apply(rollout, time.Unix(1_000, 0))
		require.True(t, applied)
		require.Zero(t, moved.Share)
	})
}
