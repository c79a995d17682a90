package adopter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
)

func state(serving string, phase sycamorevane.RolloutPhase) *sycamorevane.State {
	st := &sycamorevane.State{
		Config:          sycamorevane.Config{Services: []sycamorevane.Service{{Name: "s"}}},
		ServingVersions: map[string]string{}, Rollouts: map[string]sycamorevane.Rollout{},
	}
	if serving != "" {
		st.ServingVersions["s"] = serving
	}
	if phase != "" {
		st.Rollouts["s"] = sycamorevane.Rollout{Service: "s", FromVersion: "1", ToVersion: "2", Phase: phase}
	}
	return st
}

func announced(slots map[string]int) func(string) map[string]int {
	return func(string) map[string]int { return slots }
}

func TestFirstVersionIsAdopted(t *testing.T) {
	got := NewCore().Decide(time.Unix(0, 0), state("", ""), announced(map[string]int{"1": 8, "2": 4}))
	require.Equal(t, []Change{{Service: "s", ToVersion: "1"}}, got)
}

// Guards against sending traffic to a version that has not been rolled out.
func TestNewVersionBesideTheServingOneStaysIdle(t *testing.T) {
	require.Empty(t, NewCore().Decide(time.Unix(0, 0), state("1", ""), announced(map[string]int{"1": 4, "2": 40})))
}

// Guards against a service that stays unavailable although another version has servers.
func TestVanishedVersionIsReplacedAfterGrace(t *testing.T) {
	c, only := NewCore(), announced(map[string]int{"2": 4})
	now := time.Unix(0, 0)
	require.Empty(t, c.Decide(now, state("1", ""), only))
	require.Empty(t, c.Decide(now.Add(GracePeriod-time.Second), state("1", ""), only))
	require.Equal(t, []Change{{Service: "s", FromVersion: "1", ToVersion: "2"}}, c.Decide(now.Add(GracePeriod), state("1", ""), only))
}

func TestReturnedVersionResetsTheGrace(t *testing.T) {
	c, now := NewCore(), time.Unix(0, 0)
	c.Decide(now, state("1", ""), announced(map[string]int{"2": 4}))
	c.Decide(now.Add(GracePeriod/2), state("1", ""), announced(map[string]int{"1": 1, "2": 4}))
	require.Empty(t, c.Decide(now.Add(GracePeriod), state("1", ""), announced(map[string]int{"2": 4})))
}

func TestRolloutDecidesAlone(t *testing.T) {
	c := NewCore()
	for i := range 3 {
		now := time.Unix(0, 0).Add(time.Duration(i) * GracePeriod)
		require.Empty(t, c.Decide(now, state("1", sycamorevane.RolloutMoving), announced(map[string]int{"2": 4})))
	}
}
